"""Steps for placement rounds on large fleets."""

import collections
import itertools
import sys

import msgspec
from behave import given, then, when

from waxwingford.ports import Resources
from waxwingford.scheduling import EndKind, JobSpec, StepSpec
from waxwingford.scheduling.tests.engine_harness import QUEUE, EngineHarness

MS_IN_S = 1000
PACKAGE = 'waxwingford.scheduling'
#: Memory of a task, in MB; servers have eight times as much per core.
TASK_MB = 500


class CallCounter:
    """Counts function calls of the package, as a measure without a clock."""

    def __init__(self):
        self.calls = 0

    def __enter__(self):
        sys.setprofile(self._count)
        return self

    def __exit__(self, *error):
        sys.setprofile(None)

    def _count(self, frame, event, argument):
        if event == 'call':
            name = frame.f_globals.get('__name__', '')
            self.calls += name.startswith(PACKAGE)


def job(number, tasks, cores=1, **more):
    needs = Resources(cores * 1000, TASK_MB, 0)
    spec = StepSpec(tasks, needs, 700, **more)
    return JobSpec(f'{number:016x}', 'queue', 'payload', (spec,), terms=QUEUE)


def submit(harness, jobs):
    for one in jobs:
        harness.engine.submit(one, harness.now_ms)


@given(
    'an engine with {count:d} servers of {cores:d} cores that registered together'
)
def start_large_fleet(context, count, cores):
    harness = EngineHarness(1, cores)
    first = harness.entries[0]
    harness.entries = [
        first._replace(server_id=f's{number}', endpoint=f's{number}:1')
        for number in range(count)
    ]
    harness.register()
    harness.poll()
    context.harness = harness


@given('each server runs {count:d} best-effort tasks')
def run_best_effort(context, count):
    harness = context.harness
    servers = len(harness.entries)
    submit(harness, [job(1, servers * count, best_effort=True)])
    rounds = 0
    while len(harness.planned_runs) < servers * count:
        harness.decide()
        rounds += 1
        assert rounds < servers * count, len(harness.planned_runs)
    # Use up the CPU that is left.
    submit(harness, [job(2, servers, cores=4)])
    harness.decide()
    used = collections.Counter(run.server_id for run in harness.planned_runs)
    assert len(used) == servers, len(used)


@given('a serving task runs on each server')
def run_serving_tasks(context):
    harness = context.harness
    count = len(harness.entries)
    serving = job(
        1, count, 8, long_running=True, target_ms=30, max_per_server=1
    )
    submit(harness, [serving])
    harness.decide()
    assert len(harness.planned_runs) == count, len(harness.planned_runs)


@when('a job with a step of {tasks:d} best-effort tasks is submitted')
def submit_best_effort_step(context, tasks):
    submit(context.harness, [job(7, tasks, best_effort=True, image='archive')])
    decide_counted(context)
    context.task_count = tasks
    assert len(context.harness.planned_runs) > len(context.harness.entries)


@when('a job with a step of {tasks:d} urgent tasks is submitted')
def submit_wide_step(context, tasks):
    submit(context.harness, [job(7, tasks)])
    decide_counted(context)
    context.task_count = tasks


@when('{jobs:d} jobs with a step of {tasks:d} urgent tasks are submitted')
def submit_wide_steps(context, jobs, tasks):
    submit(context.harness, [job(7 + one, tasks) for one in range(jobs)])
    context.harness.decide()
    context.task_count = jobs * tasks


@when('another placement round runs')
def run_another_round(context):
    decide_counted(context)


def decide_counted(context):
    with CallCounter() as counted:
        context.harness.decide()
    context.calls = counted.calls


@then('{tasks:d} starts are planned')
def starts_planned(context, tasks):
    assert len(context.harness.planned_runs) == tasks, len(
        context.harness.planned_runs
    )


@then('the round took at most {most:d} calls for each server and task')
def calls_bounded(context, most):
    parts = len(context.harness.entries) + context.task_count
    assert context.calls <= most * parts, context.calls / parts


@given('long-running tasks use {cores:d} cores of each server')
def use_for_long_running(context, cores):
    harness = context.harness
    count = len(harness.entries)
    submit(harness, [job(1, count, cores, long_running=True)])
    harness.decide()
    assert len(harness.planned_runs) == count, len(harness.planned_runs)


@given(
    'a long-running job of {tasks:d} tasks of 1 core has been pending'
    ' for {span_s:d} s beside short tasks'
)
def long_running_pending(context, tasks, span_s):
    harness = context.harness
    submit(harness, [job(2, len(harness.entries))])
    harness.decide()
    context.short = harness.planned_runs[-len(harness.entries) :]
    submit(harness, [job(3, tasks, long_running=True)])
    harness.decide()
    harness.now_ms += span_s * MS_IN_S
    harness.decide()


@when('the short tasks end')
def end_short_tasks(context):
    context.planned_runs = len(context.harness.planned_runs)
    for run in context.short:
        context.harness.end(run, EndKind.done)


@then('the urgent tasks are planned, and no long-running one')
def only_urgent_planned(context):
    new = context.harness.planned_runs[context.planned_runs :]
    long_running = [
        run for run in new if context.harness.step_of(run.key).long_running
    ]
    assert len(new) == context.task_count, len(new)
    assert not long_running, long_running


@given('each decision may start {count:d} tasks')
def limit_starts(context, count):
    context.harness.max_starts = count


@when('a best-effort job of {tasks:d} tasks is submitted')
def submit_wide_best_effort(context, tasks):
    context.wide = job(7, tasks, best_effort=True, image='archive')
    submit(context.harness, [job(6, 8, best_effort=True), context.wide])
    context.submitted_ms = context.harness.now_ms


@when(
    'for {span_s:d} s, a best-effort job of {tasks:d} tasks arrives with each'
    ' decision'
)
def submit_small_continuously(context, span_s, tasks):
    harness = context.harness
    until_ms = harness.now_ms + span_s * MS_IN_S
    for number in itertools.count(100):
        if harness.now_ms >= until_ms:
            break
        submit(harness, [job(number, tasks, best_effort=True)])
        harness.decide()


@then('a task of the wide job was started within {span_s:d} s')
def check_wide_started(context, span_s):
    waited_ms = [
        run.planned_ms - context.submitted_ms
        for run in context.harness.planned_runs
        if run.key.task.job_id == context.wide.job_id
    ]
    assert waited_ms and min(waited_ms) <= span_s * MS_IN_S, waited_ms


@then('the backlog includes the later steps of jobs')
def check_later_steps(context):
    harness = context.harness
    steps = (
        job(8, 10, best_effort=True).steps[0],
        job(8, 30, best_effort=True, after=(0,)).steps[0],
    )
    before = harness.engine.decide(harness.now_ms + 100, 0, 1).backlog
    spec = job(8, 1)
    harness.engine.submit(
        msgspec.structs.replace(spec, steps=steps), harness.now_ms
    )
    after = harness.engine.decide(harness.now_ms + 200, 0, 1).backlog
    added = after.best_effort - before.best_effort
    assert added == 10 + 30 - 1, (before, after)


@when(
    '{count:d} jobs with a step of {tasks:d} long-running tasks are submitted'
)
def submit_many_long_running(context, count, tasks):
    harness = context.harness
    context.tasks = count * tasks
    submit(
        harness,
        [
            job(number, tasks, 13, long_running=True, image='a', target_ms=30)
            for number in range(count)
        ],
    )
    with CallCounter() as counted:
        harness.engine.decide(harness.now_ms + 1, harness.wall_ms)
    context.calls = counted.calls


@then('all of these tasks are planned')
def check_all_planned(context):
    starts = context.harness.engine.take_batch().starts
    assert len(starts) == context.tasks, len(starts)


@then('the round took at most {most:d} calls for each of these tasks')
def check_calls_per_task(context, most):
    assert context.calls <= most * context.tasks, context.calls / context.tasks
