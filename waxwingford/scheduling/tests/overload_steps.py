"""Steps for placing best-effort tasks where demand is over supply."""

import msgspec
from behave import given, then, when

from waxwingford.scheduling import JobSpec
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
