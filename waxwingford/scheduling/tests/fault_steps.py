"""Steps for refused and lost orders, and for failing runs."""

from behave import given, then, when

from waxwingford.scheduling import (
    EndKind,
    EndReport,
    JobSpec,
    OrderNotSent,
    OrderOutcomeUnknown,
    OrderRefused,
    RefusalReason,
)
from waxwingford.scheduling.tests.engine_harness import (
    JOB,
    POLL_INTERVAL_MS,
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
    harness = context.harness
    run = harness.planned_runs[0]
    server = harness.engine.state.server_by_id[run.server_id]
    refusal = OrderRefused(RefusalReason.no_room)
    harness.engine.settler.start_answered(server, run, harness.now_ms, refusal)
    harness.decide()


@when('the start of one member was not sent')
def member_not_sent(context):
    answer_start(
        context.harness, context.harness.planned_runs[0], OrderNotSent('-')
    )


def answer_start(harness, run, outcome):
    server = harness.engine.state.server_by_id[run.server_id]
    harness.engine.start_answered(server, run, harness.now_ms, outcome)
    harness.decide()


@when('a job of 1 task is submitted whose start is not sent')
def submit_not_sent(context):
    submit_unanswered(context, OrderNotSent('no connection'))


@when('a job of 1 task is submitted whose start breaks the connection')
def submit_broken(context):
    submit_unanswered(
        context, OrderOutcomeUnknown('connection reset', connection_lost=True)
    )


@when('a job of 1 task is submitted whose start has no answer')
def submit_unknown(context):
    submit_unanswered(context, OrderOutcomeUnknown('time-out'))


def submit_unanswered(context, outcome):
    harness = context.harness
    spec = JobSpec(JOB, 'queue', 'payload', (step(),), terms=QUEUE)
    harness.engine.submit(spec, harness.now_ms)
    harness.decide(accept=False)
    context.run = harness.planned_runs[0]
    answer_start(harness, context.run, outcome)


@then('no run is recorded on the first one')
def first_server_empty(context):
    state = context.harness.engine.state
    server = state.server_by_id[context.run.server_id]
    assert not server.run_by_key, server.run_by_key
    assert not context.harness.orders, context.harness.orders


@then('its first run may still be present')
def may_be_present(context):
    state = context.harness.engine.state
    server = state.server_by_id[context.run.server_id]
    assert list(server.run_by_key) == [context.run.key]


@then(
    'a second job of {count:d} tasks of 1 core is placed on the other server only'
)
def placed_on_other(context, count):
    assert servers_of_new_job(context, SECOND, count) == {
        one.server_id
        for one in context.harness.entries
        if one.server_id != context.run.server_id
    }


@when('all servers answer a poll')
def all_servers_answer(context):
    context.harness.poll()


@then('a third job of {count:d} tasks of 1 core is placed on the first one')
def placed_on_first(context, count):
    places = servers_of_new_job(context, THIRD, count)
    assert places == {context.run.server_id}, places


def servers_of_new_job(context, job_id, count):
    harness = context.harness
    spec = JobSpec(job_id, 'queue', 'payload', (step(count),), terms=QUEUE)
    harness.engine.submit(spec, harness.now_ms)
    harness.decide()
    runs = [
        run for run in harness.planned_runs if run.key.task.job_id == job_id
    ]
    assert len(runs) == count, f'{len(runs)} were planned'
    return {run.server_id for run in runs}


@given('{count:d} servers of {cores:d} cores without the label')
def servers_without_label(context, count, cores):
    for _ in range(count):
        context.harness.add(cores, labels=())


@given('a running long-running job of 1 task that requires the label')
def labelled_job(context):
    context.harness.long_running = True
    context.harness.submit(step(long_running=True, label='r1'))
    context.harness.poll()
    context.run = context.harness.planned_runs[0]


@when('its run fails {count:d} times, {span_s:d} s apart')
def fails_repeatedly(context, count, span_s):
    harness = context.harness
    context.waited_ms = []
    for number in range(count):
        planned = len(harness.planned_runs)
        harness.end(harness.planned_runs[-1], EndKind.failed)
        failed_ms = harness.now_ms
        while len(harness.planned_runs) == planned:
            harness.pass_ms(POLL_INTERVAL_MS)
        context.waited_ms.append(harness.now_ms - failed_ms)
        if number < count - 1:
            harness.pass_ms(span_s * 1000)


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
    harness = context.harness
    context.length_ms = length_ms
    context.spread_ms = 0
    context.pressed = 0
    until_ms = harness.now_ms + span_s * 1000
    while harness.now_ms < until_ms:
        while len(harness.engine.state.pending_by_key) < 4:
            submit_short(context)
        fail_short_runs(harness, 's0')
        end_short(context)
        harness.decide()


def fail_short_runs(harness, server_id):
    ends = harness.ends[server_id]
    listed = {end.run for end in ends}
    for run in short_runs(harness):
        if run.server_id == server_id and run.key not in listed:
            number = len(ends) + 1
            ends.append(EndReport(number, run.key, EndKind.failed, ''))
    harness.poll()


@when(
    'a long-running job of {count:d} tasks is submitted,'
    ' whose tasks all fail at once for {span_s:d} s'
)
def lasting_tasks_fail(context, count, span_s):
    harness = context.harness
    broken = {one.server_id for one in harness.entries} - {
        context.run.server_id
    }
    ends = harness.ends[broken.pop()]
    steps = (step(count, long_running=True),)
    spec = JobSpec(SECOND, 'queue', 'payload', steps, terms=QUEUE)
    harness.engine.submit(spec, harness.now_ms)
    until_ms = harness.now_ms + span_s * 1000
    while harness.now_ms < until_ms:
        harness.decide()
        runs = [
            run for run in harness.planned_runs if run.key.task.job_id == SECOND
        ]
        for run in runs[len(ends) :]:
            number = len(ends) + 1
            ends.append(EndReport(number, run.key, EndKind.failed, ''))
        harness.poll()
    context.starts = len(runs)


@then('they were started at most {count:d} times')
def started_at_most(context, count):
    assert context.starts <= count, context.starts


@then('at most {percent:d} percent of them were placed there')
def few_on_first_server(context, percent):
    places = [run.server_id for run in context.harness.planned_runs]
    share = 100 * places.count('s0') / len(places)
    assert share <= percent, (share, len(places))


@when(
    'a job of 1 task is submitted whose starts are all refused as invalid,'
    ' for {span_s:d} s'
)
def all_invalid(context, span_s):
    harness = context.harness
    spec = JobSpec(JOB, 'queue', 'payload', (step(),), terms=QUEUE)
    harness.engine.submit(spec, harness.now_ms)
    until_ms = harness.now_ms + span_s * 1000
    while harness.now_ms < until_ms:
        known = len(harness.planned_runs)
        harness.decide(accept=False)
        if len(harness.planned_runs) > known:
            answer_start(
                harness,
                harness.planned_runs[-1],
                OrderRefused(RefusalReason.invalid),
            )


@then('it was started at most {most:d} times')
def refused_starts_at_most(context, most):
    assert 0 < len(context.harness.planned_runs) <= most, len(
        context.harness.planned_runs
    )
