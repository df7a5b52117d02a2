"""Steps for jobs of legal shapes that could occupy an owner."""

import msgspec
from behave import then, when

from waxwingford.ports import Resources
from waxwingford.scheduling import EndKind, EndReport, JobSpec, StepSpec
from waxwingford.scheduling.tests.engine_harness import (
    JOB,
    QUEUE,
    SECOND,
    new_engine,
    step,
)
from waxwingford.scheduling.tests.large_fleet_steps import CallCounter

#: Decisions that take in the tasks of the largest job.
TAKING_IN = 4
#: Needs of a task that is said to take no core.
TINY = Resources(1, 1, 0)


def counted(context, work):
    """Count the calls of the package during some work."""
    counter = CallCounter()
    with counter:
        work()
    context.calls = counter.calls
    return counter.calls


def submit(context, steps, job_id=JOB, **more):
    spec = JobSpec(job_id, 'queue', '', steps, terms=QUEUE, **more)
    context.harness.engine.submit(spec, context.harness.now_ms)


def runs_of(context, job_id):
    return [
        run
        for run in context.harness.planned_runs
        if run.key.task.job_id == job_id
    ]


@when('a gang of {members:d} members of {cores:d} core is submitted')
@when('a gang of {members:d} members of {cores:d} cores is submitted')
def submit_gang(context, members, cores):
    spec = step(members, cores, gang=True)
    if not cores:
        spec = msgspec.structs.replace(spec, needs=TINY)
    list_started_only(context.harness)
    submit(context, (spec,))
    context.members = members


def list_started_only(harness):
    """Have servers list only runs whose start was sent."""
    poll_outcome = harness.poll_outcome

    def _poll_outcome(server):
        outcome = poll_outcome(server)
        started = {run.key for run in harness.planned_runs}
        running = [one for one in outcome.running if one.run in started]
        return msgspec.structs.replace(outcome, running=tuple(running))

    harness.poll_outcome = _poll_outcome


@then('each of {rounds:d} rounds takes at most {most:d} calls')
def check_rounds(context, rounds, most):
    # The first ones also take the job in.
    for _ in range(TAKING_IN):
        context.harness.decide()
    for _ in range(rounds):
        calls = counted(context, context.harness.decide)
        assert calls <= most, calls


@then('a job of a task of 1 core is started in the next round')
def check_started(context):
    submit(context, (step(1),), SECOND)
    context.harness.decide()
    assert len(runs_of(context, SECOND)) == 1


@then(
    'all of its members are started at once after {rounds:d} rounds of at most'
    ' {most:d} calls'
)
def check_members_started(context, rounds, most):
    for _ in range(rounds):
        assert not runs_of(context, JOB)
        calls = counted(context, context.harness.decide)
        assert calls <= most, calls
    assert len(runs_of(context, JOB)) == context.members


@when('nothing else happens')
def do_nothing(context):
    """Leave the gang to its owner."""


@when('the first server crashes')
def crash_first(context):
    context.harness.crash('s0')


@when('another owner follows')
def change_owner(context):
    harness = context.harness
    spec = harness.engine.state.job_by_id[JOB].spec
    entries = harness.entries
    harness.engine = new_engine(8, harness.now_ms)
    harness.engine.restore(dict(harness.rows))
    harness.engine.submit(spec, harness.now_ms)
    harness.engine.inherit(harness.now_ms, harness.wall_ms)
    harness.entries = entries
    harness.register()
    harness.poll()


@when('other tasks fill the servers')
def fill_beside(context):
    submit(context, (step(6 * 32),), SECOND)
    context.harness.decide()


@when('the gang is cancelled')
def cancel_gang(context):
    context.harness.engine.cancel(JOB)


@when('{span_ms:d} ms go by')
def go_by(context, span_ms):
    context.harness.pass_ms(span_ms)


@then('no member was started')
def check_none_started(context):
    assert not runs_of(context, JOB)


@then('all members are started once')
def check_all_started(context):
    runs = runs_of(context, JOB)
    assert len(runs) == context.members, len(runs)
    assert len({run.key.run for run in runs}) == 1
    assert len({run.key.task for run in runs}) == context.members


@when('a third of its members ends as {kind}')
def end_members(context, kind):
    harness = context.harness
    context.ended = context.members // 3
    for run in runs_of(context, JOB)[: context.ended]:
        ends = harness.ends[run.server_id]
        end = EndReport(len(ends) + 1, run.key, EndKind(kind), run.server_id)
        ends.append(end)

    def _apply():
        harness.poll()
        harness.decide()

    counted(context, _apply)


@then('that took at most {most:d} calls for each')
def check_calls_for_each(context, most):
    assert context.calls <= most * context.ended, context.calls / context.ended


@when('a server crashes right after the start of its members')
def crash_server(context):
    harness = context.harness
    while not runs_of(context, JOB):
        harness.decide()
    server_id = runs_of(context, JOB)[0].server_id
    counted(context, lambda: harness.crash(server_id))


@then('that took at most {most:d} calls for each of its {members:d} members')
def check_calls_for_members(context, most, members):
    assert context.calls <= most * members, context.calls / members


def odd_steps(steps, tasks, kind):
    """Make steps whose tasks fit on no server, each of another size."""
    more = {
        'short': {},
        'limited': {'max_per_server': 1},
        'long-running': {'long_running': True},
        'best-effort': {'best_effort': True, 'image': 'image'},
    }[kind]
    return tuple(
        StepSpec(tasks, Resources(33_000, 200_000 + number, 0), 700, **more)
        for number in range(steps)
    )


@when(
    'a job of {steps:d} steps of {tasks:d} {kind} tasks that fit nowhere is'
    ' submitted'
)
def submit_odd(context, steps, tasks, kind):
    submit(context, odd_steps(steps, tasks, kind))


@then(
    '{rounds:d} rounds after that take at most {most:d} calls each in the mean'
)
def check_mean(context, rounds, most):
    decide = context.harness.decide
    calls = [counted(context, decide) for _ in range(rounds)]
    assert sum(calls) <= most * rounds, calls


@when('long tasks fill the servers, and a task of 1 core waits')
def fill_servers(context):
    harness = context.harness
    submit(context, (step(6 * 32),))
    harness.decide()
    assert len(runs_of(context, JOB)) == 6 * 32
    submit(context, (step(1),), SECOND)
    harness.decide()
    assert not runs_of(context, SECOND)


@when('{jobs:d} jobs of {steps:d} steps that fit nowhere are submitted')
def submit_many_odd(context, jobs, steps):
    for number in range(jobs):
        specs = odd_steps(steps, 1, 'short')
        submit(context, specs, f'{0xDD00 + number:016x}')
    for _ in range(20):
        context.harness.decide()


@when('a long task ends')
@when('a task ends')
def end_long_task(context):
    run = context.harness.planned_runs[0]
    ends = context.harness.ends[run.server_id]
    ends.append(EndReport(len(ends) + 1, run.key, EndKind.done, ''))
    context.harness.poll()


@then('the task that waits is started within {span_s:d} s')
def check_waiting_started(context, span_s):
    harness = context.harness
    until_ms = harness.now_ms + span_s * 1000
    while not runs_of(context, SECOND) and harness.now_ms < until_ms:
        harness.decide()
    assert runs_of(context, SECOND)


@when(
    'a job of {times:d} repetitions of {tasks:d} tasks that fit nowhere is all'
    ' due'
)
def submit_repeated(context, times, tasks):
    due = {'times': times, 'every_ms': 1, 'first_due_ms': 1}
    submit(context, odd_steps(1, tasks, 'short'), **due)


@then('no decision makes more than {most:d} tasks pending')
def check_released(context, most):
    context.pending = [0]
    for _ in range(30):
        context.harness.decide()
        pending = context.harness.engine.state.pending_by_key
        context.pending.append(len(pending))
    steps = zip(context.pending, context.pending[1:])
    assert all(later - former <= most for former, later in steps)


@then('all {tasks:d} tasks are pending after {decisions:d} decisions')
def check_all_pending(context, tasks, decisions):
    assert context.pending[decisions] == tasks, context.pending


@when(
    'a job of {times:d} repetitions of 2 dependent tasks of 1 core is all due'
)
def submit_dependent(context, times):
    due = {'times': times, 'every_ms': 1, 'first_due_ms': 1}
    submit(context, (step(1), step(1, after=(0,))), **due)


@when('{rounds:d} rounds pass')
def pass_rounds(context, rounds):
    for _ in range(rounds):
        context.harness.decide()


@then('the decision after it takes at most {most:d} calls')
def check_decision(context, most):
    calls = counted(context, context.harness.decide)
    assert calls <= most, calls


@when(
    'a long-running step of {tasks:d} tasks runs, of which {most:d} may be'
    ' unavailable'
)
def run_limited(context, tasks, most):
    harness = context.harness
    harness.long_running = True
    spec = StepSpec(tasks, TINY, 700, long_running=True, max_unavailable=most)
    submit(context, (spec,))
    harness.pass_ms(6000)
    assert len(runs_of(context, JOB)) == tasks


@when('the first server drains')
def drain_server(context):
    context.server_id = 's0'
    context.harness.drain(context.server_id)


@then('the next {decisions:d} decisions take at most {most:d} calls each')
def check_decisions(context, decisions, most):
    for number in range(decisions):
        calls = counted(context, context.harness.decide)
        assert calls <= most, (number, calls)
        if not number:
            server_by_id = context.harness.engine.state.server_by_id
            runs = server_by_id[context.server_id].run_by_key.values()
            context.stopping = sum(run.stopping for run in runs)


@then('at most {most:d} of its runs are stopped at first')
def check_stopping(context, most):
    assert 0 < context.stopping <= most, context.stopping


@then('a job of a task of 1 core is started in at most {rounds:d} rounds')
def check_started_within(context, rounds):
    submit(context, (step(1),), SECOND)
    for _ in range(rounds):
        context.harness.decide()
    assert len(runs_of(context, SECOND)) == 1
