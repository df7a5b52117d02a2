"""Steps for control replies that report only changed attempts."""

from behave import given, then, when

from waxwingford.batch._server import ServerControl
from waxwingford.ownership import (
    AcquisitionDelays,
    AcquisitionSchedule,
    ControlLease,
)
from waxwingford.ports import (
    AttemptKey,
    ControlRequest,
    ForgetTask,
    Resources,
    StartTask,
    StopTask,
    Vm,
    VmState,
)
from waxwingford_standins.backend_server import BackendServerCore
from waxwingford_standins.server_service import ServiceModel

LEASE_MS = 6000
TASK_LEASE_MS = 5000


def task_key(name):
    return AttemptKey(f'qadri.{name}/0', 1)


def exchange(context, *commands, known=None, **fields):
    request = ControlRequest(
        'd0#1',
        context.epoch,
        LEASE_MS,
        task_lease_ms=TASK_LEASE_MS,
        commands=commands,
        known=context.holder.known if known is None else known,
        **fields,
    )
    context.answer = context.core.control(request, context.now_ms)
    context.epoch = context.answer.epoch
    return request


def ask(context, *commands, **fields):
    request = exchange(context, *commands, **fields)
    context.holder.take_grant(request, context.answer, epoch_changed=False)


def start_command(name):
    return StartTask(
        task_key(name), 'k', Resources(1000, 1000), '{"run_ms":900000}', '',
        TASK_LEASE_MS,
    )  # fmt: skip


@given(
    'a server that reports changes with attempts "{one}" and "{other}" running'
)
def changing_server(context, one, other):
    vm = Vm(
        's0', 'g', 'r', '127.0.0.1', 1, VmState.live,
        Resources(8000, 8000), 8, 8, 'dispatcher',
    )  # fmt: skip
    context.core = BackendServerCore(vm, ServiceModel('dispatcher'))
    preference = AcquisitionSchedule(AcquisitionDelays(), 0, 0)
    context.holder = ServerControl(vm, ControlLease(500), preference)
    context.epoch = 0
    context.now_ms = 0
    ask(context)
    ask(context, start_command(one), start_command(other))


@when('the holder requests changes since its version')
def requests_changes(context):
    ask(context)


@when('the holder requests all attempts')
def requests_all(context):
    ask(context, known=0)


@when(
    'attempt "{name}" is stopped and the holder requests changes since its version'
)
def stopped_and_requests_changes(context, name):
    ask(context, StopTask(task_key(name)))


def names(reports):
    return ', '.join(sorted(report.key.task_id[6] for report in reports))


@then('the reply is a delta that reports "{listed}"')
@then('the reply is a delta that reports ""')
def is_delta(context, listed=''):
    assert context.answer.is_delta
    assert names(context.answer.tasks) == listed, context.answer
    assert names(context.holder.report_by_key.values()) == 'a, b'


@then('the reply is complete and reports "{listed}"')
def is_whole(context, listed):
    assert not context.answer.is_delta
    assert names(context.answer.tasks) == listed, context.answer


def renew_for(context, seconds, known, excepted):
    for _ in range(seconds):
        context.now_ms += 1000
        exchange(context, known=known, renew_except=excepted)


@when(
    'the holder renews all known attempts except "{name}" for {seconds:d} '
    'seconds'
)
def renews_except(context, name, seconds):
    renew_for(context, seconds, context.holder.known, (task_key(name),))


@when('attempt "{name}" starts and the reply is lost')
def starts_with_lost_reply(context, name):
    exchange(context, start_command(name))


@when('the holder renews all known attempts for {seconds:d} seconds')
def renews_known(context, seconds):
    renew_for(context, seconds, context.holder.known, ())


@then('attempt "{one}" is "{phase}" and attempt "{other}" is "{other_phase}"')
def phases_are(context, one, phase, other, other_phase):
    exchange(context, known=0)
    found = {one.key: one.phase.value for one in context.answer.tasks}
    assert found[task_key(one)] == phase, found
    assert found[task_key(other)] == other_phase, found


@when('"{name}" is stopped and forgotten, and the reply is lost')
def forgotten_with_lost_reply(context, name):
    ask(context, StopTask(task_key(name)))
    exchange(context, ForgetTask(task_key(name)))


@when('the holder forgets "{name}" again')
def forgets_again(context, name):
    ask(context, ForgetTask(task_key(name)))


@then('the holder knows only "{listed}"')
def holder_knows(context, listed):
    assert names(context.holder.report_by_key.values()) == listed
