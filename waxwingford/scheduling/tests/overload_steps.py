"""Steps for placing best-effort tasks where demand is over supply."""

import msgspec
from behave import given, then, when

from waxwingford.scheduling import EndKind, JobSpec
from waxwingford.scheduling.tests.engine_harness import (
    JOB,
    QUEUE,
    SECOND,
    THIRD,
    EngineHarness,
    new_engine,
    step,
)

CORES = 64
SERVING_CORES = 13
TARGET_MS = 18
LATENCY_MS = 7
VARIANCE = 0.01
BEST_EFFORT = 'best-effort'


def submit(harness, job_id, *steps):
    spec = JobSpec(job_id, QUEUE.name, '', steps, terms=QUEUE)
    harness.engine.submit(spec, harness.now_ms)
    harness.decide()


@given('2 servers of 64 cores, one of which serves red, the other blue')
def start_servers(context):
    harness = EngineHarness(2, CORES)
    harness.figure_by_image = {'calm': LATENCY_MS, 'wild': 1}
    context.harness = harness
    context.serving_jobs = {'red': SECOND, 'blue': THIRD}


@given(
    'best-effort tasks are known to take {red:g} of the headroom of red, and'
    ' {blue:g} of that of blue'
)
def know_effects(context, red, blue):
    harness = context.harness
    effects = [
        (image, BEST_EFFORT, mean, VARIANCE)
        for image, mean in (('red', red), ('blue', blue))
    ]
    harness.engine = new_engine(8, harness.now_ms)
    harness.engine.restore({'effects': msgspec.msgpack.encode(effects)})
    harness.engine.inherit(harness.now_ms, harness.wall_ms)
    harness.register()
    harness.poll()
    for image, job_id in context.serving_jobs.items():
        serving = step(
            4,
            cores=SERVING_CORES,
            image=image,
            target_ms=TARGET_MS,
            long_running=True,
        )
        submit(harness, job_id, serving)


@when('a best-effort job of {count:d} tasks of 7 cores is submitted')
def submit_best_effort(context, count):
    submit(
        context.harness,
        JOB,
        step(count, cores=7, image=BEST_EFFORT, best_effort=True),
    )


@then('{count:d} of its tasks start on the server that serves blue')
def check_blue(context, count):
    runs = context.harness.planned_runs
    blue = {run.server_id for run in runs if run.key.task.job_id == THIRD}
    started = [run.server_id for run in runs if run.key.task.job_id == JOB]
    assert len(blue) == 1, runs
    assert len([one for one in started if one in blue]) == count, started


@given('{count:d} servers of 64 cores')
def start_empty_servers(context, count):
    context.harness = EngineHarness(count, CORES)
    context.harness.figure_by_image = {'calm': LATENCY_MS, 'wild': 1}


def start_serving(context, job_id, count):
    serving = step(
        count, cores=16, image='red', target_ms=TARGET_MS, long_running=True
    )
    submit(context.harness, job_id, serving)


@when('a serving job of {count:d} tasks of 16 cores starts')
def start_first_serving(context, count):
    start_serving(context, SECOND, count)


@when('another serving job of {count:d} tasks of 16 cores starts')
def start_second_serving(context, count):
    start_serving(context, THIRD, count)


def servers_of(context, job_id):
    return {
        run.server_id
        for run in context.harness.planned_runs
        if run.key.task.job_id == job_id
    }


@then('no server has tasks of both')
def check_apart(context):
    first, second = servers_of(context, SECOND), servers_of(context, THIRD)
    assert first and second and not first & second, (first, second)


@then('all {count:d} tasks run')
def check_all_run(context, count):
    assert len(context.harness.planned_runs) == count


def end_oldest_run(context):
    """End the run that has been placed for longest."""
    run = context.waiting_runs.pop(0)
    context.harness.end(run, EndKind.done)
    runs = context.harness.planned_runs
    context.waiting_runs += runs[context.seen_runs :]
    context.seen_runs = len(runs)
    return run


@given(
    'one server of 8 cores on which {done:d} of {count:d} tasks of a job have run'
)
def run_part_of_job(context, done, count):
    context.harness = EngineHarness(1, 8)
    context.waiting_runs = []
    context.seen_runs = 0
    submit(context.harness, JOB, step(count, cores=8))
    context.waiting_runs += context.harness.planned_runs
    context.seen_runs = len(context.waiting_runs)
    for _ in range(done):
        end_oldest_run(context)


@given('the job is late by half its objective')
def make_late(context):
    make_late_by(context, 0.5)


@given('the job is late by {factor:g} times its objective')
def make_late_by(context, factor):
    harness = context.harness
    job = harness.engine.state.job_by_id[JOB]
    # The queue asks for the run time of a task.
    objective_ms = job.spec.steps[0].estimate_ms
    job.received_ms = harness.now_ms - round((1 + factor) * objective_ms)


@when('jobs of {count:d} tasks keep coming as fast as its tasks run')
def overload_server(context, count):
    harness = context.harness
    context.ended = []
    context.ended_runs = []
    for number in range(40):
        if number % count == 0:
            submit(harness, f'{number:016x}', step(count, cores=8))
        job_id = end_oldest_run(context).key.task.job_id
        job = harness.engine.state.job_by_id.get(job_id)
        if job is None or job.ended is not None:
            context.ended.append(job_id)
        context.ended_runs.append(job_id)


@then('the large job completes before more than {most:d} of the others')
def check_large_completes(context, most):
    assert JOB in context.ended[: most + 1], context.ended


@then('one of the others completes before the large job has {most:d} more runs')
def check_small_completes(context, most):
    first_end = context.ended_runs.index(context.ended[0])
    before = context.ended_runs[: first_end + 1].count(JOB)
    assert context.ended[0] != JOB and before < most, context.ended_runs


@then('{least:d} of the others complete before the large job')
def check_expired_waits(context, least):
    assert JOB not in context.ended[:least], context.ended
    assert len(context.ended) >= least, context.ended


@given(
    'a job of {count:d} tasks that is due {wait_s:d} s after it was submitted'
)
def submit_timed(context, count, wait_s):
    harness = context.harness
    context.due_ms = harness.now_ms + 1000 * wait_s
    spec = JobSpec(
        SECOND,
        QUEUE.name,
        '',
        (step(count, cores=8),),
        first_due_ms=context.due_ms + harness.wall_offset_ms,
        every_ms=1000,
        times=1,
        terms=QUEUE,
    )
    harness.engine.submit(spec, harness.now_ms)
    harness.decide()


@when('the job becomes due, and one of {count:d} tasks is submitted')
def become_due(context, count):
    context.harness.now_ms = context.due_ms
    context.harness.decide()
    submit(context.harness, THIRD, step(count, cores=8))


@when('the run on the server ends')
def end_run_on_server(context):
    end_oldest_run(context)


@when('the clock steps back by {span_s:d} s')
def step_clock_back(context, span_s):
    context.harness.wall_offset_ms -= 1000 * span_s


def started_jobs(context):
    return [run.key.task.job_id for run in context.waiting_runs]


@then('the next start is one of the job that was due')
def check_timed_start(context):
    assert started_jobs(context) == [SECOND], started_jobs(context)


@then('the next start is one of the job that was submitted last')
def check_last_start(context):
    assert started_jobs(context) == [THIRD], started_jobs(context)
