"""Steps that take protections away and stage sequences of faults."""

import contextlib

from behave import given, then, when

from waxwingford.batch import BatchSettings
from waxwingford.batch._plan import plan_exchange
from waxwingford.batch._plan_types import PlanInput
from waxwingford.batch._server import ServerControl
from waxwingford.batch.tests.mutations import switched_off
from waxwingford.kernel import BrokenInvariant
from waxwingford.ownership import ControlLease, OwnershipTimes, Preference
from waxwingford.ports import (
    ControlGranted,
    Resources,
    StartTask,
    TaskKey,
    Vm,
    VmState,
)
from waxwingford.records import (
    AttemptAlive,
    AttemptEnded,
    AttemptSuspected,
    Claim,
    DomainState,
    JobAccepted,
    JobSpec,
    RecordGroup,
    TasksClaimed,
    Valid,
)
from waxwingford_bench.random_run import play
from waxwingford_bench.virtual.domain import VirtualDomain
from waxwingford_bench.virtual.oracle import Violation

STEPS = 400
MOST_SEEDS = 60
SECOND_MS = 1000


def silent(line):
    """Drop a line of the trace."""


def breach(seed):
    try:
        play(seed, STEPS, silent)
    except (Violation, BrokenInvariant) as error:
        return str(error)
    return ''


@when('runs are played without "{name}", seed {first:d} first')
def play_without(context, name, first):
    seeds = (first, *range(1, MOST_SEEDS))
    with switched_off(name):
        found = ((breach(seed), seed) for seed in seeds)
        told, seed = next((one for one in found if one[0]), ('', first))
    context.breach = told
    context.seed = seed


@then('one of them breaks a rule about "{rule}"')
def breaks_rule(context, rule):
    assert rule in context.breach, (context.seed, context.breach)


@then('the same seed keeps all rules with the protection')
def keeps_rules(context):
    assert breach(context.seed) == ''  # noqa: WPS520


@given('the protection "{name}" is taken away')
def disable_protection(context, name):
    context.off = contextlib.ExitStack()
    context.off.enter_context(switched_off(name))
    context.add_cleanup(context.off.close)


@when('all protections are in place')
def all_in_place(context):
    context.off.close()


def stage(context, lost_after_ms):
    domain = VirtualDomain(1, daemons=3, servers=2)
    context.domain = domain
    domain.run(6 * SECOND_MS)
    context.holder = next(
        daemon
        for daemon in domain.daemon_by_id.values()
        if 's0' in daemon.controller.fleet.held(domain.now_ms)
    )
    others = set(domain.daemon_by_id) - {context.holder.daemon_id}
    for other in others:
        domain.network.cut.add(frozenset((other, 's0')))
    # Only s0 takes work until it is claimed there.
    domain.server_by_id['s1'].leave(domain.now_ms)
    domain.run(6 * SECOND_MS)
    job = JobSpec(
        'qadri.j', 'qadri', 'archive', 'archive_rebuild', 1,
        Resources(4000, 4000), 900_000, lost_after_ms=lost_after_ms,
        payload='{"run_ms":900000}',
    )  # fmt: skip
    domain.submit(context.holder.daemon_id, job)


@given(
    'a job that gives up when out of contact, on a server that only its '
    'holder reaches'
)
def stage_losable(context):
    stage(context, 10_000)


@given('a job that waits for contact, on a server that only its holder reaches')
def stage_waiting(context):
    stage(context, 0)


def run_until(context, condition, most_ms, step_ms):
    domain = context.domain
    until_ms = domain.now_ms + most_ms
    while not condition():
        assert domain.now_ms < until_ms, 'never came'
        domain.time.run(step_ms)


def places(context):
    return [
        (server_id, start.key.attempt)
        for server_id, server in context.domain.server_by_id.items()
        for start in server.running()
    ]


def is_start_decided(context):
    server = context.holder.controller.fleet.server_by_id['s0']
    commands = server.in_flight.request.commands if server.in_flight else ()
    return any(isinstance(command, StartTask) for command in commands)


@when('the holder is frozen before it sends the start')
def freeze_before_start(context):
    run_until(context, lambda: is_start_decided(context), 60_000, 1)
    assert not places(context)
    context.holder.freeze()


@when('the task runs and the holder loses the log')
def holder_loses_log(context):
    run_until(context, lambda: places(context) == [('s0', 1)], 60_000, 100)
    link = frozenset((context.holder.daemon_id, 'log'))
    context.domain.network.cut.add(link)


@when('the task runs and its VM is lost and never listed again')
def vm_lost(context):
    run_until(context, lambda: places(context) == [('s0', 1)], 60_000, 100)
    domain = context.domain
    domain.server_by_id['s0'].die(domain.now_ms)
    for daemon_id in domain.daemon_by_id:
        domain.network.cut.add(frozenset((daemon_id, 's0')))
    domain.unlisted.add('s0')


@when('the others declare the attempt lapsed and start the next one')
def next_attempt(context):
    context.domain.server_by_id['s1'].rejoin(context.domain.now_ms)
    # Whether it runs twice is for the last step to say.
    with contextlib.suppress(Violation):
        run_until(context, lambda: ('s1', 2) in places(context), 200_000, 100)


@when('the holder thaws')
def holder_thaws(context):
    context.holder.thaw()
    with contextlib.suppress(Violation):
        context.domain.time.run(SECOND_MS)


@then('the task runs in one place')
def in_one_place(context):
    assert places(context) == [('s1', 2)], places(context)


@then('the task runs in two places')
def in_two_places(context):
    assert places(context) == [('s0', 1), ('s1', 2)], places(context)


@when('the task runs and the others suspect it')
def others_suspect(context):
    run_until(context, lambda: places(context) == [('s0', 1)], 60_000, 100)
    names = [
        f'{name}#' for name in context.domain.daemon_by_id
        if name != context.holder.daemon_id
    ]  # fmt: skip
    assert names
    domain = context.domain
    key = TaskKey('qadri.j/0', 1)
    record = AttemptSuspected((key,), f'{names[0]}1')
    context.domain.server_by_id['s1'].rejoin(domain.now_ms)
    group = RecordGroup(f'{names[0]}x', 1, (record,))
    context.domain.network.land(group)


@then('after {seconds:d} seconds the first attempt still runs')
def first_still_runs(context, seconds):
    context.domain.run(seconds * SECOND_MS)
    assert places(context) == [('s0', 1)], places(context)


@when('the task runs and the holder dies')
def holder_dies(context):
    run_until(context, lambda: places(context) == [('s0', 1)], 60_000, 100)
    context.domain.server_by_id['s1'].rejoin(context.domain.now_ms)
    context.holder.kill()


@then('after {seconds:d} seconds no other attempt was claimed')
def no_other_claimed(context, seconds):
    context.domain.run(seconds * SECOND_MS)
    task = context.domain.fold.task('qadri.j/0')
    assert (task.stage.name, task.attempt) == ('claimed', 1), task


@when('the server comes back into contact')
def back_in_contact(context):
    context.domain.heal()


@then('the task is done once more than before')
def done_at_last(context):
    context.domain.run(1500 * SECOND_MS)
    context.domain.oracle.check_finished(context.domain.fold)
    assert context.domain.oracle.starts == 2, context.domain.oracle.starts


@given('a claim on a server that is leaving')
def claim_on_leaving(context):
    size = Resources(8000, 8000)
    vm = Vm('s0', 'g', 'r', '127.0.0.1', 1, VmState.leaving, size, 8, 8, 'd')
    lease = ControlLease(500)
    lease.note_asked()
    lease.note_granted(0, 1, 6000, ControlGranted(3, 'boot', False, ()))
    preference = Preference(OwnershipTimes(), 0, 0)
    context.server = ServerControl(vm, lease, preference)
    spec = JobSpec('qadri.j', 'qadri', 't', 'k', 1, Resources(1000, 1000), 1)
    claim = Claim(TaskKey('qadri.j/0', 1))
    claimed = TasksClaimed('d0#1', 's0', 'boot', 3, (claim,))
    state = DomainState()
    state.apply(0, RecordGroup('d0#1', 1, (JobAccepted(spec), claimed)))
    settings = BatchSettings('d0', '1', 'g')
    nothing = Resources(0, 0, 0)
    context.plan_input = PlanInput(
        state, settings, settings.lease_timing(1), 10, 20, nothing
    )


@when('the next exchange is planned')
def plan_next(context):
    context.plan = plan_exchange(context.server, context.plan_input)


@when('the server stays after all and the next exchange is planned')
def stays_and_plan(context):
    context.server.vm = context.server.vm._replace(state=VmState.live)
    plan_next(context)


@then('the claim is given up and its end is offered')
def is_given_up(context):
    ends = context.plan.record_by_key.values()
    assert [end.how for end in ends] == ['absent'], context.plan
    assert not context.plan.commands


@then('nothing is started and the end is offered again')
def not_started(context):
    is_given_up(context)


def late_lapse():
    key = TaskKey('qadri.j/0', 1)
    spec = JobSpec(
        'qadri.j', 'qadri', 't', 'k', 1, Resources(1, 1), 1, lost_after_ms=9
    )
    records = (
        JobAccepted(spec),
        TasksClaimed('a#1', 's0', 'boot', 1, (Claim(key),)),
        AttemptSuspected((key,), 'b#1'),
        AttemptAlive((key,), 'a#1'),
        AttemptSuspected((key,), 'c#1'),
        AttemptEnded(key, 's0', 'lapsed', suspected_offset=2),
    )
    state = DomainState()
    for offset, record in enumerate(records):
        verdicts = state.apply(offset, RecordGroup('a#1', offset, (record,)))
    return isinstance(verdicts[0], Valid)


@then('a lapse that rests on an answered suspicion ends the attempt')
def lapse_counts(context):
    assert late_lapse()


@then('a lapse that rests on an answered suspicion changes nothing')
def lapse_does_not_count(context):
    assert not late_lapse()
