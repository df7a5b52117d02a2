"""Steps that disable protections and script sequences of faults."""

import contextlib

from behave import given, then, when

from waxwingford.batch import BatchSettings
from waxwingford.batch._plan import plan_exchange
from waxwingford.batch._plan_types import PlanInput
from waxwingford.batch._server import ServerControl
from waxwingford.batch.tests.mutations import disabled
from waxwingford.kernel import InvariantViolation
from waxwingford.ownership import (
    AcquisitionDelays,
    AcquisitionSchedule,
    ControlLease,
)
from waxwingford.ports import (
    AttemptKey,
    ControlGranted,
    Resources,
    StartTask,
    Vm,
    VmState,
)
from waxwingford.records import (
    AttemptEnded,
    AttemptSuspected,
    Claim,
    DomainState,
    JobAccepted,
    JobSpec,
    RecordGroup,
    SuspicionRefuted,
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


def violation_of(seed):
    try:
        play(seed, STEPS, silent)
    except (Violation, InvariantViolation) as error:
        return str(error)
    return ''


@when('randomised runs are executed without "{name}", seed {first:d} first')
def run_without(context, name, first):
    seeds = (first, *range(1, MOST_SEEDS))
    with disabled(name):
        found = ((violation_of(seed), seed) for seed in seeds)
        violation, seed = next((one for one in found if one[0]), ('', first))
    context.violation = violation
    context.seed = seed


@then('one of them reports a violation with "{rule}"')
def violates_invariant(context, rule):
    assert rule in context.violation, (context.seed, context.violation)


@then('the same seed violates no invariant with the protection')
def violates_nothing(context):
    assert violation_of(context.seed) == ''  # noqa: WPS520


@given('the protection "{name}" is disabled')
def disable_protection(context, name):
    context.off = contextlib.ExitStack()
    context.off.enter_context(disabled(name))
    context.add_cleanup(context.off.close)


@when('all protections are enabled')
def enable_all(context):
    context.off.close()


def start_domain(context, lost_after_ms):
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
    # s1 leaves, so that the task is claimed on s0.
    domain.server_by_id['s1'].leave(domain.now_ms)
    domain.run(6 * SECOND_MS)
    job = JobSpec(
        'qadri.j', 'qadri', 'archive', 'archive_rebuild', 1,
        Resources(4000, 4000), 900_000, lost_after_ms=lost_after_ms,
        payload='{"run_ms":900000}',
    )  # fmt: skip
    domain.submit(context.holder.daemon_id, job)


@given(
    'a job that lapses when out of contact, on a server that only its '
    'holder reaches'
)
def domain_with_lapsing_job(context):
    start_domain(context, 10_000)


@given('a job that never lapses, on a server that only its holder reaches')
def domain_with_lasting_job(context):
    start_domain(context, 0)


def run_until(context, condition, most_ms, step_ms):
    domain = context.domain
    until_ms = domain.now_ms + most_ms
    while not condition():
        assert domain.now_ms < until_ms, 'condition not met in time'
        domain.time.run(step_ms)


def running_attempts(context):
    return [
        (server_id, start.key.attempt)
        for server_id, server in context.domain.server_by_id.items()
        for start in server.running()
    ]


def is_start_decided(context):
    server = context.holder.controller.fleet.server_by_id['s0']
    commands = server.in_flight.request.commands if server.in_flight else ()
    return any(isinstance(command, StartTask) for command in commands)


@when('the holder is suspended before it sends the start')
def suspend_before_start(context):
    run_until(context, lambda: is_start_decided(context), 60_000, 1)
    assert not running_attempts(context)
    context.holder.freeze()


@when('the task runs and the holder loses the log')
def holder_loses_log(context):
    run_until(
        context, lambda: running_attempts(context) == [('s0', 1)], 60_000, 100
    )
    link = frozenset((context.holder.daemon_id, 'log'))
    context.domain.network.cut.add(link)


@when('the task runs and its VM fails and is no longer listed')
def vm_fails(context):
    run_until(
        context, lambda: running_attempts(context) == [('s0', 1)], 60_000, 100
    )
    domain = context.domain
    domain.server_by_id['s0'].die(domain.now_ms)
    for daemon_id in domain.daemon_by_id:
        domain.network.cut.add(frozenset((daemon_id, 's0')))
    domain.unlisted.add('s0')


@when('the other daemons end the attempt as lapsed and start the next one')
def next_attempt(context):
    context.domain.server_by_id['s1'].rejoin(context.domain.now_ms)
    # A violation is checked by the last step.
    with contextlib.suppress(Violation):
        run_until(
            context,
            lambda: ('s1', 2) in running_attempts(context),
            200_000,
            100,
        )


@when('the holder resumes')
def holder_resumes(context):
    context.holder.thaw()
    with contextlib.suppress(Violation):
        context.domain.time.run(SECOND_MS)


@then('the task runs on one server')
def on_one_server(context):
    assert running_attempts(context) == [('s1', 2)], running_attempts(context)


@then('the task runs on two servers')
def on_two_servers(context):
    assert running_attempts(context) == [('s0', 1), ('s1', 2)], (
        running_attempts(context)
    )


@when('the task runs and another daemon suspects it')
def others_suspect(context):
    run_until(
        context, lambda: running_attempts(context) == [('s0', 1)], 60_000, 100
    )
    names = [
        f'{name}#' for name in context.domain.daemon_by_id
        if name != context.holder.daemon_id
    ]  # fmt: skip
    assert names
    domain = context.domain
    key = AttemptKey('qadri.j/0', 1)
    record = AttemptSuspected((key,), f'{names[0]}1')
    context.domain.server_by_id['s1'].rejoin(domain.now_ms)
    group = RecordGroup(f'{names[0]}x', 1, (record,))
    context.domain.network.land(group)


@then('after {seconds:d} seconds the first attempt still runs')
def first_still_runs(context, seconds):
    context.domain.run(seconds * SECOND_MS)
    assert running_attempts(context) == [('s0', 1)], running_attempts(context)


@when('the task runs and the holder crashes')
def holder_crashes(context):
    run_until(
        context, lambda: running_attempts(context) == [('s0', 1)], 60_000, 100
    )
    context.domain.server_by_id['s1'].rejoin(context.domain.now_ms)
    context.holder.kill()


@then('after {seconds:d} seconds no other attempt was claimed')
def no_other_claimed(context, seconds):
    context.domain.run(seconds * SECOND_MS)
    task = context.domain.fold.task('qadri.j/0')
    assert (task.stage.name, task.attempt) == ('claimed', 1), task


@when('the server is reachable again')
def reachable_again(context):
    context.domain.heal()


@then('the task is started a second time and finishes')
def started_twice_and_done(context):
    context.domain.run(1500 * SECOND_MS)
    context.domain.oracle.check_finished(context.domain.fold)
    assert context.domain.oracle.starts == 2, context.domain.oracle.starts


@given('a claim on a server that is leaving')
def claim_on_leaving(context):
    size = Resources(8000, 8000)
    vm = Vm('s0', 'g', 'r', '127.0.0.1', 1, VmState.leaving, size, 8, 8, 'd')
    lease = ControlLease(500)
    lease.record_request()
    lease.record_grant(0, 1, 6000, ControlGranted(3, 'boot', False, ()))
    preference = AcquisitionSchedule(AcquisitionDelays(), 0, 0)
    context.server = ServerControl(vm, lease, preference)
    spec = JobSpec('qadri.j', 'qadri', 't', 'k', 1, Resources(1000, 1000), 1)
    claim = Claim(AttemptKey('qadri.j/0', 1))
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


@when('the server is no longer leaving and the next exchange is planned')
def stop_leaving_and_plan(context):
    context.server.vm = context.server.vm._replace(state=VmState.live)
    plan_next(context)


@then('the claim is abandoned and its end is offered')
def is_abandoned(context):
    ends = context.plan.record_by_key.values()
    assert [end.how for end in ends] == ['absent'], context.plan
    assert not context.plan.commands


@then('nothing is started and the end is offered again')
def not_started(context):
    is_abandoned(context)


def is_refuted_lapse_valid():
    key = AttemptKey('qadri.j/0', 1)
    spec = JobSpec(
        'qadri.j', 'qadri', 't', 'k', 1, Resources(1, 1), 1, lost_after_ms=9
    )
    records = (
        JobAccepted(spec),
        TasksClaimed('a#1', 's0', 'boot', 1, (Claim(key),)),
        AttemptSuspected((key,), 'b#1'),
        SuspicionRefuted((key,), 'a#1'),
        AttemptSuspected((key,), 'c#1'),
        AttemptEnded(key, 's0', 'lapsed', suspected_offset=2),
    )
    state = DomainState()
    for offset, record in enumerate(records):
        verdicts = state.apply(offset, RecordGroup('a#1', offset, (record,)))
    return isinstance(verdicts[0], Valid)


@then('a lapse by a refuted suspicion ends the attempt')
def lapse_counts(context):
    assert is_refuted_lapse_valid()


@then('a lapse by a refuted suspicion is ignored')
def lapse_does_not_count(context):
    assert not is_refuted_lapse_valid()
