"""Steps for best-effort tasks beside serving tasks, in virtual time."""

from behave import given, then, when

from waxwingford.ports import Resources
from waxwingford.scheduling import StepSpec
from waxwingford.scheduling.tests.interfering_servers import (
    OTHER,
    URGENT,
    SimulatedCluster,
    add_servers,
)

WARM_UP_S = 6
URGENT_JOB = 'f0000000000000ff'
BEST_EFFORT_JOB = 'b0000000000000ff'


def job_name(kind, number):
    return f'{kind}{number:015x}'


def best_effort_runs(cluster):
    return [run for run in cluster.run_by_key.values() if run.spec.best_effort]


@given(
    '{count:d} servers, of which {reds:d} serve "red"'
    ' and {blues:d} serve "blue", {tasks:d} tasks each'
)
def serving_servers(context, count, reds, blues, tasks):
    context.cluster = SimulatedCluster(count, {})
    context.images = [
        'red' if number < reds else 'blue' for number in range(reds + blues)
    ]
    context.tasks = tasks


@given(
    '"{one}" interferes with "{red}" by {coefficient:g},'
    ' "{other}" interferes with "{blue}" by {other_coefficient:g}'
)
def set_coefficients(
    context, one, red, coefficient, other, blue, other_coefficient
):
    cluster = context.cluster
    cluster.coefficients = {
        (red, one): coefficient,
        (blue, other): other_coefficient,
    }
    context.best_effort_images = [one, other]
    for number, image in enumerate(context.images):
        for task in range(context.tasks):
            job = job_name('a', number * 16 + task)
            cluster.submit_serving(job, image, cores=28 // context.tasks)
    cluster.run_for(WARM_UP_S)
    cluster.over_ms = 0
    cluster.served_ms = 0


@when(
    '{count:d} best-effort tasks of each are submitted, with {cores:d} cores'
    ' and {work_s:d} s, and {span_s:d} s pass'
)
def submit_best_effort_tasks(context, count, cores, work_s, span_s):
    cluster = context.cluster
    images = [
        image
        for image in context.best_effort_images
        if context.images.count('blue')
    ]
    for image in images or context.best_effort_images[:1]:
        for number in range(count):
            job = job_name(
                'b' if image == context.best_effort_images[0] else 'c', number
            )
            cluster.submit_best_effort(
                job, image, cores=cores, estimate_ms=work_s * 1000
            )
    context.span_s = span_s
    cluster.run_for(span_s)


@then(
    'serving tasks were over their targets'
    ' for less than {percent:d} percent of the time'
)
def seldom_over_target(context, percent):
    cluster = context.cluster
    assert cluster.served_ms
    over = 100 * cluster.over_ms / cluster.served_ms
    assert over < percent, over


@then('all best-effort tasks are done')
def all_best_effort_done(context):
    state = context.cluster.engine.state
    pending = [key for key in state.pending_by_key]
    assert not best_effort_runs(context.cluster) and not pending, (pending,)


@then(
    'best-effort tasks of "{image}" have used at least {cores:d} cores'
    ' on average'
)
def used_on_average(context, image, cores):
    mean = context.cluster.used / context.span_s
    assert mean >= cores, mean


@when('all best-effort tasks are halted and the owner is killed')
def halted_and_owner_killed(context):
    halt(context.cluster)
    context.cluster.change_owner()


@when('all best-effort tasks are halted and the serving jobs are cancelled')
def halted_and_serving_cancelled(context):
    cluster = context.cluster
    halt(cluster)
    for job_id in list(cluster.engine.state.job_by_id):
        if job_id.startswith('a'):
            cluster.engine.cancel(job_id)


def halt(cluster):
    assert best_effort_runs(cluster)
    for key, run in cluster.run_by_key.items():
        if run.spec.best_effort:
            run.percent = 0
            run.paces.clear()
            server = cluster.engine.state.server_by_id[run.server_id]
            server.run_by_key[key].pace = 0


@then('some best-effort task runs again within {span_s:d} s')
def runs_again(context, span_s):
    cluster = context.cluster
    seen = set()
    cluster.run_for(
        span_s,
        lambda now: seen.update(
            run.percent > 0 for run in best_effort_runs(now)
        ),
    )
    assert True in seen


@then('all best-effort tasks run at full pace within {span_s:d} s')
def run_at_full_pace(context, span_s):
    cluster = context.cluster
    cluster.run_for(span_s)
    paces = [run.percent for run in best_effort_runs(cluster)]
    assert paces and set(paces) == {100}, paces


@when(
    '{count:d} long-running tasks of 6 cores are submitted'
    ' before an urgent job of {cores:d} cores'
)
def long_running_before_urgent(context, count, cores):
    cluster = context.cluster
    for number in range(count):
        cluster.submit_serving(job_name('a', number), 'red')
    needs = Resources(cores * 1000, 4000, 0)
    urgent = StepSpec(1, needs, 1000)
    cluster.submit(URGENT_JOB, urgent, queue=URGENT)
    cluster.run_for(1)


@then('the urgent job starts at once')
def urgent_job_started(context):
    jobs = {key.task.job_id for key in context.cluster.run_by_key}
    assert URGENT_JOB in jobs, jobs


@given(
    '{count:d} servers of another service, with {cores:d} of 32 cores in use'
)
def other_service_servers(context, count, cores):
    cluster = context.cluster
    add_servers(cluster, count, 'other')
    if cores:
        needs = Resources(cores * 1000, 4000, 0)
        busy = StepSpec(
            count, needs, 1000, long_running=True, image='busy', target_ms=1000
        )
        cluster.submit(job_name('e', 0), busy, queue=OTHER)


@given(
    'a task of {cores:d} cores that serves "{image}",'
    ' with which "{best_effort}" interferes by {coefficient:g}'
)
def one_serving_task(context, cores, image, best_effort, coefficient):
    cluster = context.cluster
    cluster.coefficients = {(image, best_effort): coefficient}
    cluster.submit_serving(job_name('a', 0), image, cores=cores)
    cluster.run_for(WARM_UP_S)


@when(
    'a best-effort task of "{image}" with {cores:d} cores is submitted'
    ' and {span_s:d} s pass'
)
def submit_best_effort_task(context, image, cores, span_s):
    cluster = context.cluster
    context.submitted_ms = cluster.now_ms
    cluster.submit_best_effort(
        BEST_EFFORT_JOB, image, cores=cores, estimate_ms=20_000
    )
    cluster.run_for(span_s)


def start_delays_ms(context):
    """List the start times of the best-effort job's runs.

    :returns: start times, in ms since the job was submitted.
    """
    return [
        run.started_ms - context.submitted_ms
        for key, run in context.cluster.run_by_key.items()
        if key.task.job_id == BEST_EFFORT_JOB
    ]


@then('it has started after at least {least_s:d} s')
def started_after(context, least_s):
    delays = start_delays_ms(context)
    assert delays and delays[0] >= least_s * 1000, delays


@then('it has not started')
def not_started(context):
    assert not start_delays_ms(context), start_delays_ms(context)


@given('they belong to another service, and 1 server of this one registers')
def only_server_of_service(context):
    cluster = context.cluster
    cluster.entries = [
        entry._replace(service='other') for entry in cluster.entries
    ]
    add_servers(cluster, 1)


@when(
    'a best-effort task that fits nowhere is submitted,'
    ' and {later_ms:d} ms later one that fits'
)
def submit_fitting_and_not(context, later_ms):
    cluster = context.cluster
    needs = Resources(1000, 500_000, 0)
    # Less work, so that it is placed first, also once both are late.
    large = StepSpec(1, needs, 3000, image='apple', best_effort=True)
    cluster.submit(job_name('b', 1), large)
    cluster.run_for(later_ms / 1000)
    context.submitted_ms = cluster.now_ms
    cluster.submit_best_effort(
        BEST_EFFORT_JOB, 'apple', cores=4, estimate_ms=20_000
    )


@then('the task that fits has started within {span_s:d} s')
def fitting_started(context, span_s):
    context.cluster.run_for(span_s)
    assert start_delays_ms(context), 'not started'
