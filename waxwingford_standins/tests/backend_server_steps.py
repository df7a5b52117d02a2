"""Steps for the simulated backend server."""

import msgspec
from behave import given, then, when

from waxwingford.kernel import ManualClock
from waxwingford.ports import (
    AttemptKey,
    CheckpointTask,
    ControlDenied,
    ControlGranted,
    ControlRequest,
    ForgetTask,
    Resources,
    ServiceCall,
    StartTask,
    ThrottleTask,
    Vm,
    VmState,
)
from waxwingford_standins.backend_server import BackendServerCore
from waxwingford_standins.server_service import CallStarted, ServiceModel
from waxwingford_standins.server_tasks import Work

LEASE_MS = 9000


def exchange(context, holder, *commands, lease_ms=LEASE_MS, **fields):
    """Send a control request under the current epoch of the holder."""
    request = ControlRequest(
        holder,
        context.epochs.get(holder, 0),
        lease_ms,
        commands=commands,
        **fields,
    )
    context.reply = context.server.control(
        request, context.clock.monotonic_ms()
    )
    return context.reply


def start_command(task_id, run_ms, attempt=1, milli=4000, **fields):
    payload = msgspec.json.encode(Work(run_ms)).decode()
    fields = {'resume_from': '', 'lease_ms': LEASE_MS} | fields
    return StartTask(
        AttemptKey(task_id, attempt),
        'kind',
        Resources(milli, 1000),
        payload,
        **fields,
    )


@given('a simulated server with {slots:d} slots, {milli:d} milli and {mb:d} MB')
def simulated_server(context, slots, milli, mb):
    size = Resources(milli, mb)
    vm = Vm('s', 'd', 'r', 'h', 1, VmState.live, size, slots, 64, 'dispatcher')
    context.server = BackendServerCore(vm, ServiceModel('dispatcher'))
    context.first_boot_id = context.server.boot_id
    context.clock = ManualClock()
    context.epochs = {}
    context.earlier_epoch = 0


@given('usage windows of {window_ms:d} ms reported after {lag_ms:d} ms')
def usage_windows(context, window_ms, lag_ms):
    context.server.usage = context.server.usage._replace(
        window_ms=window_ms, lag_ms=lag_ms
    )
    context.server.advance(context.clock.monotonic_ms())


@when('"{holder}" acquires the server for {lease_ms:d} ms')
def acquire(context, holder, lease_ms):
    context.earlier_epoch = context.epochs.pop(holder, 0)
    reply = exchange(context, holder, lease_ms=lease_ms)
    if isinstance(reply, ControlGranted):
        context.epochs[holder] = reply.epoch


@when('"{holder}" renews its lease for {lease_ms:d} ms')
def renew_control(context, holder, lease_ms):
    context.earlier_epoch = context.epochs[holder]
    exchange(context, holder, lease_ms=lease_ms)


@when('"{holder}" releases the server')
def release_server(context, holder):
    exchange(context, holder, lease_ms=0)


@when('{step_ms:d} ms pass at the simulated server')
def time_passes(context, step_ms):
    context.clock.advance(step_ms)


@when('"{holder}" starts task "{task_id}" under its old epoch')
def start_stale(context, holder, task_id):
    exchange(context, holder, start_command(task_id, 1000))


@when(
    '"{holder}" starts task "{task_id}" of {run_ms:d} ms '
    'under a lease of {lease_ms:d} ms'
)
def start_task(context, holder, task_id, run_ms, lease_ms):
    exchange(context, holder, start_command(task_id, run_ms, lease_ms=lease_ms))
    assert not context.reply.refused, context.reply


@when(
    '"{holder}" starts task "{task_id}" by a request '
    'that is valid for {good_for_ms:d} ms'
)
def start_late(context, holder, task_id, good_for_ms):
    exchange(
        context,
        holder,
        start_command(task_id, 1000),
        stamp_ms=context.reply.stamp_ms,
        good_for_ms=good_for_ms,
    )


@when('"{holder}" starts task "{task_id}" with {milli:d} milli')
def start_sized(context, holder, task_id, milli):
    exchange(context, holder, start_command(task_id, 1000, 2, milli))


@when('"{holder}" resumes task "{task_id}" of {run_ms:d} ms from "{reference}"')
def resume_task(context, holder, task_id, run_ms, reference):
    start = start_command(task_id, run_ms, 2, resume_from=reference)
    exchange(context, holder, start)


@when('"{holder}" renews task "{task_id}" to {lease_ms:d} ms')
def renew_task(context, holder, task_id, lease_ms):
    keys = (AttemptKey(task_id, 1),)
    exchange(context, holder, renew=keys, task_lease_ms=lease_ms)


@when('"{holder}" checkpoints task "{task_id}"')
def checkpoint_task(context, holder, task_id):
    exchange(context, holder, CheckpointTask(AttemptKey(task_id, 1)))


@when('"{holder}" throttles task "{task_id}" to {percent:d} percent')
def throttle_task(context, holder, task_id, percent):
    exchange(context, holder, ThrottleTask(AttemptKey(task_id, 1), percent))


@when('"{holder}" forgets task "{task_id}"')
def forget_task(context, holder, task_id):
    exchange(context, holder, ForgetTask(AttemptKey(task_id, 1)))


@when('no other event occurs')
def no_other_event(context):
    context.clock.advance(0)


@when('the server begins to leave')
def begins_to_leave(context):
    context.server.leave(context.clock.monotonic_ms())


@when('the simulated server crashes')
def server_crashes(context):
    context.server.die(context.clock.monotonic_ms())


@when('{count:d} concurrent requests reach the simulated server')
def requests_reach(context, count):
    calls = [
        ServiceCall(f'r{number}', 'dispatcher', 'p', b'', 1000)
        for number in range(count)
    ]
    context.calls = [context.server.begin_call(call, 0) for call in calls]


@then('the request is denied since the holder is "{holder}"')
def denied(context, holder):
    assert isinstance(context.reply, ControlDenied), context.reply
    assert context.reply.holder == holder, context.reply


@then('the request is granted')
def granted(context):
    assert isinstance(context.reply, ControlGranted), context.reply


@then('the simulated server ran no attempt')
def runs_nothing(context):
    audit = context.server.audit(context.clock.monotonic_ms())
    assert not audit.attempts, audit


@then('the epoch increased by {step:d}')
def epoch_increased(context, step):
    assert context.reply.epoch == context.earlier_epoch + step, context.reply


def report_of(context, task_id, attempt):
    """Request the report of an attempt as the current holder."""
    reply = exchange(context, next(iter(context.epochs)))
    reports = {report.key: report for report in reply.tasks}
    return reports.get(AttemptKey(task_id, attempt))


@then('task "{task_id}" is reported "{phase}"')
def task_reported(context, task_id, phase):
    assert report_of(context, task_id, 1).phase == phase, context.reply


@then('task "{task_id}" ended as "{phase}" with "{detail}"')
def task_reported_with(context, task_id, phase, detail):
    report = report_of(context, task_id, 1)
    assert (report.phase, report.detail) == (phase, detail), report


@then('attempt {attempt:d} of task "{task_id}" is reported "{phase}"')
def attempt_reported(context, attempt, task_id, phase):
    assert report_of(context, task_id, attempt).phase == phase, context.reply


@then('task "{task_id}" is not reported')
def task_not_reported(context, task_id):
    keys = [report.key.task_id for report in context.reply.tasks]
    assert task_id not in keys, keys


@then('the start is refused since "{reason}"')
def start_refused(context, reason):
    reasons = [found for _, found in context.reply.refused]
    assert reasons == [reason], reasons


@then('the boot id changed')
def boot_id_changed(context):
    assert context.reply.boot_id != context.first_boot_id, context.reply


@then('the audit still contains task "{task_id}"')
def audit_contains(context, task_id):
    audit = context.server.audit(context.clock.monotonic_ms())
    assert [run.task_id for run in audit.attempts] == [task_id], audit


@then('{count:d} usage samples are reported')
def samples_reported(context, count):
    assert len(context.reply.usage) == count, context.reply.usage


@then('the first of {count:d} usage samples is {age_ms:d} ms old')
def first_sample(context, count, age_ms):
    ages = [sample.sampled_ms_ago for sample in context.reply.usage]
    assert (len(ages), ages[0]) == (count, age_ms), ages


@then('{running:d} of them run and {refused:d} is refused')
def calls_run(context, running, refused):
    started = sum(isinstance(call, CallStarted) for call in context.calls)
    assert started == running, context.calls
    assert len(context.calls) - started == refused, context.calls
