"""Steps for fills beside serving tasks, on servers in virtual time."""

from behave import given, then, when

from waxwingford.ports import Resources
from waxwingford.scheduling import StepSpec
from waxwingford.scheduling.tests.interfering_servers import (
    OTHER,
    URGENT,
    World,
    add_servers,
)

WARM_UP_S = 6
URGENT_JOB = 'f0000000000000ff'
FILL_JOB = 'b0000000000000ff'


def name(kind, number):
    return f'{kind}{number:015x}'


def fills(world):
    return [work for work in world.work_by_key.values() if work.spec.fills]


@given(
    '{count:d} servers, of which {reds:d} serve "red"'
    ' and {blues:d} serve "blue", {tasks:d} tasks each'
)
def serving_servers(context, count, reds, blues, tasks):
    context.world = World(count, {})
    context.images = [
        'red' if number < reds else 'blue' for number in range(reds + blues)
    ]
    context.tasks = tasks


@given(
    '"{one}" fills harm "{red}" by {much:g},'
    ' "{other}" fills harm "{blue}" by {more:g}'
)
def effects(context, one, red, much, other, blue, more):
    world = context.world
    world.effects = {(red, one): much, (blue, other): more}
    context.fills = [one, other]
    for number, image in enumerate(context.images):
        for task in range(context.tasks):
            job = name('a', number * 16 + task)
            world.serve(job, image, cores=28 // context.tasks)
    world.play(WARM_UP_S)
    world.over_ms = 0
    world.served_ms = 0


@when(
    '{count:d} fills of each wait, of {cores:d} cores'
    ' and {work_s:d} s, and {span_s:d} s pass'
)
def fills_wait(context, count, cores, work_s, span_s):
    world = context.world
    present = [one for one in context.fills if context.images.count('blue')]
    for image in present or context.fills[:1]:
        for number in range(count):
            job = name('b' if image == context.fills[0] else 'c', number)
            world.fill(job, image, cores=cores, estimate_ms=work_s * 1000)
    context.span_s = span_s
    world.play(span_s)


@then(
    'serving tasks were over their targets'
    ' for less than {percent:d} percent of the time'
)
def seldom_over(context, percent):
    world = context.world
    assert world.served_ms
    over = 100 * world.over_ms / world.served_ms
    assert over < percent, over


@then('all fills are done')
def all_done(context):
    book = context.world.engine.book
    waiting = [key for key in book.ready_by_key]
    assert not fills(context.world) and not waiting, (waiting,)


@then('fills of "{image}" have used {cores:d} cores at least on the mean')
def used(context, image, cores):
    mean = context.world.used / context.span_s
    assert mean >= cores, mean


@when('all fills are halted and the owner is killed')
def halted_and_killed(context):
    halt(context.world)
    context.world.change_owner()


@when('all fills are halted and the serving jobs are cancelled')
def halted_and_cancelled(context):
    world = context.world
    halt(world)
    for job_id in list(world.engine.book.job_by_id):
        if job_id.startswith('a'):
            world.engine.cancel(job_id)


def halt(world):
    assert fills(world)
    for key, work in world.work_by_key.items():
        if work.spec.fills:
            work.percent = 0
            work.paces.clear()
            server = world.engine.book.server_by_id[work.server_id]
            server.run_by_key[key].pace = 0


@then('some fill works again within {span_s:d} s')
def works_again(context, span_s):
    world = context.world
    seen = set()
    world.play(
        span_s,
        lambda now: seen.update(work.percent > 0 for work in fills(now)),
    )
    assert True in seen


@then('all fills work at full pace within {span_s:d} s')
def full_pace(context, span_s):
    world = context.world
    world.play(span_s)
    paces = [work.percent for work in fills(world)]
    assert paces and set(paces) == {100}, paces


@when(
    '{count:d} lasting tasks of 6 cores wait'
    ' before an urgent job of {cores:d} cores'
)
def lasting_before_urgent(context, count, cores):
    world = context.world
    for number in range(count):
        world.serve(name('a', number), 'red')
    needs = Resources(cores * 1000, 4000, 0)
    urgent = StepSpec(1, needs, 1000)
    world.submit(URGENT_JOB, urgent, queue=URGENT)
    world.play(1)


@then('the urgent job starts at once')
def urgent_starts(context):
    jobs = {key.task.job_id for key in context.world.work_by_key}
    assert URGENT_JOB in jobs, jobs


@given(
    '{count:d} servers of another service, with {cores:d} of 32 cores in use'
)
def other_service(context, count, cores):
    world = context.world
    add_servers(world, count, 'other')
    if cores:
        needs = Resources(cores * 1000, 4000, 0)
        busy = StepSpec(
            count, needs, 1000, lasting=True, image='busy', target_ms=1000
        )
        world.submit(name('e', 0), busy, queue=OTHER)


@given(
    'a task of {cores:d} cores that serves "{image}",'
    ' which "{fill}" fills harm by {much:g}'
)
def one_serving(context, cores, image, fill, much):
    world = context.world
    world.effects = {(image, fill): much}
    world.serve(name('a', 0), image, cores=cores)
    world.play(WARM_UP_S)


@when('a fill of "{image}" of {cores:d} cores waits for {span_s:d} s')
def one_fill(context, image, cores, span_s):
    world = context.world
    context.submitted_ms = world.now_ms
    world.fill(FILL_JOB, image, cores=cores, estimate_ms=20_000)
    world.play(span_s)


def began_ms(context):
    """Say when the fill of a scenario has started.

    :param context: of the scenario.
    :returns: times after it was submitted.
    """
    return [
        work.began_ms - context.submitted_ms
        for key, work in context.world.work_by_key.items()
        if key.task.job_id == FILL_JOB
    ]


@then('it has started after {least_s:d} s at least')
def started_after(context, least_s):
    times = began_ms(context)
    assert times and times[0] >= least_s * 1000, times


@then('it has not started')
def not_started(context):
    assert not began_ms(context), began_ms(context)


@given('they belong to another service, and 1 server of this one registers')
def only_server(context):
    world = context.world
    world.entries = [entry._replace(service='other') for entry in world.entries]
    add_servers(world, 1)


@when('a fill that fits nowhere waits, and {later_ms:d} ms later one that fits')
def two_fills(context, later_ms):
    world = context.world
    needs = Resources(1000, 500_000, 0)
    # Less work, so that its turn comes first, also after a while.
    large = StepSpec(1, needs, 3000, image='apple', fills=True)
    world.submit(name('b', 1), large)
    world.play(later_ms / 1000)
    context.submitted_ms = world.now_ms
    world.fill(FILL_JOB, 'apple', cores=4, estimate_ms=20_000)


@then('the fill that fits has started within {span_s:d} s')
def fill_started(context, span_s):
    context.world.play(span_s)
    assert began_ms(context), 'not started'
