"""Steps for refused and lost orders, and for failing runs."""

from behave import given, then, when

from waxwingford.scheduling import (
    Denial,
    EndKind,
    EndReport,
    JobSpec,
    OrderDenied,
    OrderNotSent,
    OrderUnknown,
)
from waxwingford.scheduling.tests.engine_harness import (
    JOB,
    LOOK_EVERY_MS,
    QUEUE,
    SECOND,
    THIRD,
    step,
)
from waxwingford.scheduling.tests.pressure_steps import (
    end_short,
    short_runs,
    submit_short,
)


@when('one member is refused by its server')
def member_refused(context):
    bench = context.bench
    run = bench.planned[0]
    server = bench.engine.book.server_by_id[run.server_id]
    refusal = OrderDenied(Denial.no_room)
    bench.engine.settler.start_answered(server, run, bench.now_ms, refusal)
    bench.decide()


@when('the start of one member was not sent')
def member_not_sent(context):
    answer_start(context.bench, context.bench.planned[0], OrderNotSent('-'))


def answer_start(bench, run, outcome):
    server = bench.engine.book.server_by_id[run.server_id]
    bench.engine.start_answered(server, run, bench.now_ms, outcome)
    bench.decide()


@when('a job of 1 task is submitted whose start is not sent')
def submit_not_sent(context):
    submit_unanswered(context, OrderNotSent('no connection'))


@when('a job of 1 task is submitted whose start has no answer')
def submit_unknown(context):
    submit_unanswered(context, OrderUnknown('time-out'))


def submit_unanswered(context, outcome):
    bench = context.bench
    spec = JobSpec(JOB, 'queue', 'payload', (step(),), terms=QUEUE)
    bench.engine.submit(spec, bench.now_ms)
    bench.decide(accept=False)
    context.run = bench.planned[0]
    answer_start(bench, context.run, outcome)


@then('no run is recorded on the first one')
def first_server_empty(context):
    book = context.bench.engine.book
    server = book.server_by_id[context.run.server_id]
    assert not server.run_by_key, server.run_by_key
    assert not context.bench.orders, context.bench.orders


@then('its first run may still be present')
def may_be_present(context):
    book = context.bench.engine.book
    server = book.server_by_id[context.run.server_id]
    assert list(server.run_by_key) == [context.run.key]


@then(
    'a second job of {count:d} tasks of 1 core is placed on the other server only'
)
def placed_on_other(context, count):
    assert servers_of_new_job(context, SECOND, count) == {
        one.server_id
        for one in context.bench.entries
        if one.server_id != context.run.server_id
    }


@when('all servers answer a poll')
def all_servers_answer(context):
    context.bench.look()


@then('a third job of {count:d} tasks of 1 core is placed on the first one')
def placed_on_first(context, count):
    places = servers_of_new_job(context, THIRD, count)
    assert places == {context.run.server_id}, places


def servers_of_new_job(context, job_id, count):
    bench = context.bench
    spec = JobSpec(job_id, 'queue', 'payload', (step(count),), terms=QUEUE)
    bench.engine.submit(spec, bench.now_ms)
    bench.decide()
    runs = [run for run in bench.planned if run.key.task.job_id == job_id]
    assert len(runs) == count, f'{len(runs)} were planned'
    return {run.server_id for run in runs}


@given('{count:d} servers of {cores:d} cores without the label')
def servers_without_label(context, count, cores):
    for _ in range(count):
        context.bench.add(cores, labels=())


@given('a lasting job of 1 task that runs and requires the label')
def labelled_job(context):
    context.bench.lasting = True
    context.bench.submit(step(lasting=True, label='r1'))
    context.bench.look()
    context.run = context.bench.planned[0]


@when('its run fails {count:d} times, {span_s:d} s apart')
def fails_repeatedly(context, count, span_s):
    bench = context.bench
    context.waited_ms = []
    for number in range(count):
        planned = len(bench.planned)
        bench.end(bench.planned[-1], EndKind.failed)
        failed_ms = bench.now_ms
        while len(bench.planned) == planned:
            bench.pass_ms(LOOK_EVERY_MS)
        context.waited_ms.append(bench.now_ms - failed_ms)
        if number < count - 1:
            bench.pass_ms(span_s * 1000)


@then('it runs again within {span_s:g} s each time')
def at_work_again(context, span_s):
    assert max(context.waited_ms) <= span_s * 1000, context.waited_ms


@then('a second job of {count:d} tasks of 1 core is planned at once')
def planned_at_once(context, count):
    assert len(servers_of_new_job(context, SECOND, count)) == 2


@when(
    'urgent tasks of {length_ms:d} ms arrive for {span_s:d} s'
    ' and all fail on the first server'
)
def fail_on_first(context, length_ms, span_s):
    bench = context.bench
    context.length_ms = length_ms
    context.spread_ms = 0
    context.pressed = 0
    until_ms = bench.now_ms + span_s * 1000
    while bench.now_ms < until_ms:
        while len(bench.engine.book.ready_by_key) < 4:
            submit_short(context)
        fail_short_runs(bench, 's0')
        end_short(context)
        bench.decide()


def fail_short_runs(bench, server_id):
    ends = bench.ends[server_id]
    listed = {end.run for end in ends}
    for run in short_runs(bench):
        if run.server_id == server_id and run.key not in listed:
            number = len(ends) + 1
            ends.append(EndReport(number, run.key, EndKind.failed, ''))
    bench.look()


@when(
    'a lasting job of {count:d} tasks is submitted,'
    ' whose tasks all fail at once for {span_s:d} s'
)
def lasting_tasks_fail(context, count, span_s):
    bench = context.bench
    broken = {one.server_id for one in bench.entries} - {context.run.server_id}
    ends = bench.ends[broken.pop()]
    steps = (step(count, lasting=True),)
    spec = JobSpec(SECOND, 'queue', 'payload', steps, terms=QUEUE)
    bench.engine.submit(spec, bench.now_ms)
    until_ms = bench.now_ms + span_s * 1000
    while bench.now_ms < until_ms:
        bench.decide()
        runs = [run for run in bench.planned if run.key.task.job_id == SECOND]
        for run in runs[len(ends) :]:
            number = len(ends) + 1
            ends.append(EndReport(number, run.key, EndKind.failed, ''))
        bench.look()
    context.starts = len(runs)


@then('they were started at most {count:d} times')
def started_at_most(context, count):
    assert context.starts <= count, context.starts


@then('at most {percent:d} percent of them were placed there')
def few_on_first_server(context, percent):
    places = [run.server_id for run in context.bench.planned]
    share = 100 * places.count('s0') / len(places)
    assert share <= percent, (share, len(places))


@when(
    'a job of 1 task is submitted whose starts are all refused as invalid,'
    ' for {span_s:d} s'
)
def all_invalid(context, span_s):
    bench = context.bench
    spec = JobSpec(JOB, 'queue', 'payload', (step(),), terms=QUEUE)
    bench.engine.submit(spec, bench.now_ms)
    until_ms = bench.now_ms + span_s * 1000
    while bench.now_ms < until_ms:
        known = len(bench.planned)
        bench.decide(accept=False)
        if len(bench.planned) > known:
            answer_start(bench, bench.planned[-1], OrderDenied(Denial.invalid))


@then('it was started at most {most:d} times')
def refused_starts_at_most(context, most):
    assert 0 < len(context.bench.planned) <= most, len(context.bench.planned)
