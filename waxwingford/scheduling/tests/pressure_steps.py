"""Steps for long-running tasks on servers overloaded with short tasks."""

from behave import given, then, when

from waxwingford.ports import Resources
from waxwingford.scheduling import EndKind, EndReport, JobSpec, StepSpec
from waxwingford.scheduling.tests.engine_harness import (
    QUEUE,
    SECOND,
    THIRD,
    step,
)

#: Estimate from which on a task doesn't end during a scenario, in ms.
LONG_MS = 30_000


@given('a running long-running job of {count:d} task of {cores:d} cores')
@given('a running long-running job of {count:d} tasks of {cores:d} cores')
def run_long_running(context, count, cores):
    context.harness.long_running = True
    context.harness.submit(step(count, cores, long_running=True))
    context.harness.poll()
    assert len(context.harness.planned_runs) == count
    context.run = context.harness.planned_runs[0]


@when(
    'a long-running job of 1 task of {cores:d} cores'
    ' is pending for {span_s:d} s'
)
def one_long_running_pending(context, cores, span_s):
    steps = (step(1, cores, long_running=True),)
    spec = JobSpec(SECOND, 'queue', 'payload', steps, terms=QUEUE)
    context.harness.engine.submit(spec, context.harness.now_ms)
    context.harness.pass_ms(span_s * 1000)


@when(
    'a long-running job of {count:d} tasks of {cores:d} cores'
    ' is pending for {span_s:d} s'
)
def long_running_pending(context, count, cores, span_s):
    submit_long_running(
        context.harness, SECOND, step(count, cores, long_running=True)
    )
    context.harness.pass_ms(span_s * 1000)


@when('another long-running job of 1 task of {cores:d} cores is submitted')
def add_long_running(context, cores):
    submit_long_running(
        context.harness, THIRD, step(1, cores, long_running=True)
    )


@when(
    'another long-running job of 1 task of {cores:d} cores'
    ' and {memory_mb:d} MB is submitted'
)
def add_large_long_running(context, cores, memory_mb):
    needs = Resources(cores * 1000, memory_mb, 0)
    large = StepSpec(1, needs, 700, long_running=True)
    submit_long_running(context.harness, THIRD, large)


def submit_long_running(harness, job_id, spec):
    job = JobSpec(job_id, 'queue', 'payload', (spec,), terms=QUEUE)
    harness.engine.submit(job, harness.now_ms)


@when(
    'a {kind} task of {cores:d} cores, {memory_mb:d} MB and {span_s:d} s runs'
)
def run_long_task(context, kind, cores, memory_mb, span_s):
    needs = Resources(cores * 1000, memory_mb, 0)
    long = StepSpec(1, needs, span_s * 1000, best_effort=kind == 'best-effort')
    context.harness.submit(long)
    context.harness.poll()
    assert len(context.harness.planned_runs) == 1


@then('the other long-running job is planned within {span_s:d} s')
def third_job_planned(context, span_s):
    harness = context.harness

    def planned():
        return any(run.key.task.job_id == THIRD for run in harness.planned_runs)

    elapsed_ms = run_overloaded(context, span_s * 1000, until=planned)
    assert planned(), f'not within {elapsed_ms} ms'


@when(
    'urgent tasks of 1 core and {length_ms:d} ms need twice the cores there are'
)
def overload(context, length_ms):
    overload_between(context, length_ms, length_ms)


@when(
    'urgent tasks of 1 core and {min_ms:d} to {max_ms:d} ms'
    ' need twice the cores there are'
)
def overload_between(context, min_ms, max_ms):
    context.length_ms = min_ms
    context.spread_ms = max_ms - min_ms
    context.pressed = 0
    run_overloaded(context, 3000, until=bool)


def run_overloaded(context, span_ms, until):
    """Let time pass with more pending short tasks than fit on the servers.

    :param span_ms: time limit, in ms.
    :param until: condition that ends the wait earlier.
    :returns: elapsed time, in ms.
    """
    harness = context.harness
    begin_ms = harness.now_ms
    cores = (
        sum(one.capacity.processors_milli for one in harness.entries) // 1000
    )
    while harness.now_ms - begin_ms < span_ms and not until():
        while len(harness.engine.state.pending_by_key) < cores:
            submit_short(context)
        end_short(context)
        harness.decide()
    return harness.now_ms - begin_ms


def submit_short(context):
    harness = context.harness
    context.pressed += 1
    job_id = f'{0xC000 + context.pressed:016x}'
    spec = JobSpec(job_id, 'queue', 'payload', (step(),), terms=QUEUE)
    harness.engine.submit(spec, harness.now_ms)
    harness.engine.decide(harness.now_ms, harness.wall_ms)


def short_runs(harness):
    return [
        run
        for server in harness.engine.state.server_by_id.values()
        for key, run in server.run_by_key.items()
        if not harness.step_of(key).long_running
        and harness.step_of(key).estimate_ms < LONG_MS
    ]


def end_short(context):
    harness = context.harness
    for run in short_runs(harness):
        extra_ms = int(run.key.task.job_id, 16) * 97 % (context.spread_ms + 1)
        if harness.now_ms - run.planned_ms >= context.length_ms + extra_ms:
            ends = harness.ends[run.server_id]
            end = EndReport(len(ends) + 1, run.key, EndKind.done, '')
            ends.append(end)
    harness.poll()


@when('the run of the long-running task ends as stopped')
def stop_long_running(context):
    context.harness.end(context.run, EndKind.stopped)


@then('it is planned again within {span_s:d} s')
def planned_again(context, span_s):
    harness = context.harness
    context.planned_before = len(harness.planned_runs)
    task = context.run.key.task

    def again():
        return any(
            run.key.task == task and run is not context.run
            for run in harness.planned_runs
        )

    elapsed_ms = run_overloaded(context, 3 * span_s * 1000, until=again)
    context.waited_ms = elapsed_ms
    assert again(), f'not within {elapsed_ms} ms'
    assert elapsed_ms <= span_s * 1000, elapsed_ms


@then('short tasks were planned throughout')
def short_tasks_planned(context):
    count = len(context.harness.planned_runs) - context.planned_before
    # Two of three servers run 16 tasks every 0.75 s.
    least = 16 * context.waited_ms // 750
    assert count >= least, (count, least)


@then('all {cores:d} cores beside the long-running tasks are in use')
def remaining_cores_used(context, cores):
    assert len(short_runs(context.harness)) == cores
