"""Steps for placement rounds on large fleets."""

import collections
import sys

from behave import given, then, when

from waxwingford.ports import Resources
from waxwingford.scheduling import EndKind, JobSpec, StepSpec
from waxwingford.scheduling.tests.engine_harness import QUEUE, Bench

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


def submit(bench, jobs):
    for one in jobs:
        bench.engine.submit(one, bench.now_ms)


@given('an engine with {servers:d} servers of {cores:d} cores')
def create_engine(context, servers, cores):
    context.bench = Bench(servers, cores)
    context.task_count = 0


@given('each server runs {count:d} best-effort tasks')
def run_best_effort(context, count):
    bench = context.bench
    servers = len(bench.entries)
    submit(bench, [job(1, servers * count, fills=True)])
    rounds = 0
    while len(bench.planned) < servers * count:
        bench.decide()
        rounds += 1
        assert rounds < servers * count, len(bench.planned)
    # Use up the CPU that is left.
    submit(bench, [job(2, servers, cores=4)])
    bench.decide()
    used = collections.Counter(run.server_id for run in bench.planned)
    assert len(used) == servers, len(used)


@when('a job with a step of {tasks:d} urgent tasks is submitted')
def submit_wide_step(context, tasks):
    submit(context.bench, [job(7, tasks)])
    decide_counted(context)
    context.task_count = tasks


@when('{jobs:d} jobs with a step of {tasks:d} urgent tasks are submitted')
def submit_wide_steps(context, jobs, tasks):
    submit(context.bench, [job(7 + one, tasks) for one in range(jobs)])
    context.bench.decide()
    context.task_count = jobs * tasks


@when('another placement round runs')
def run_another_round(context):
    decide_counted(context)


def decide_counted(context):
    with CallCounter() as counted:
        context.bench.decide()
    context.calls = counted.calls


@then('{tasks:d} starts are planned')
def starts_planned(context, tasks):
    assert len(context.bench.planned) == tasks, len(context.bench.planned)


@then('the round took at most {most:d} calls for each server and task')
def calls_bounded(context, most):
    parts = len(context.bench.entries) + context.task_count
    assert context.calls <= most * parts, context.calls / parts


@given('long-running tasks use {cores:d} cores of each server')
def use_for_long_running(context, cores):
    bench = context.bench
    count = len(bench.entries)
    submit(bench, [job(1, count, cores, lasting=True)])
    bench.decide()
    assert len(bench.planned) == count, len(bench.planned)


@given(
    'a long-running job of {tasks:d} tasks of 1 core has been pending'
    ' for {span_s:d} s beside short tasks'
)
def long_running_pending(context, tasks, span_s):
    bench = context.bench
    submit(bench, [job(2, len(bench.entries))])
    bench.decide()
    context.short = bench.planned[-len(bench.entries) :]
    submit(bench, [job(3, tasks, lasting=True)])
    bench.decide()
    bench.now_ms += span_s * MS_IN_S
    bench.decide()


@when('the short tasks end')
def end_short_tasks(context):
    context.planned = len(context.bench.planned)
    for run in context.short:
        context.bench.end(run, EndKind.done)


@then('the urgent tasks are planned, and no long-running one')
def only_urgent_planned(context):
    new = context.bench.planned[context.planned :]
    long_running = [
        run for run in new if context.bench.step_of(run.key).lasting
    ]
    assert len(new) == context.task_count, len(new)
    assert not long_running, long_running
