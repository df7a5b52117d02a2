"""Steps for recovery of a new owner from the rows of its predecessor."""

from behave import then, when

from waxwingford.scheduling import Denial, EndKind, EndReport, OrderDenied
from waxwingford.scheduling._rows import encode_step_row
from waxwingford.scheduling.tests.engine_harness import (
    JOB,
    new_engine,
    step,
    store_rows,
)

MS_IN_S = 1000


@when('the owner changes to one whose clock is {behind_s:d} s behind')
def owner_clock_behind(context, behind_s):
    context.bench.wall_offset_ms -= behind_s * MS_IN_S
    change_owner(context)


@when('the owner changes to one whose clock is {ahead_s:d} s ahead')
def owner_clock_ahead(context, ahead_s):
    # Twice, as an earlier step has set the clock back by as much.
    context.bench.wall_offset_ms += 2 * ahead_s * MS_IN_S
    change_owner(context)


@when('its run is stopped while no server accepts starts')
def stop_without_server(context):
    bench = context.bench
    bench.drain(context.run.server_id)
    bench.end(context.run, EndKind.stopped)


@then('it has waited for {least_s:d} to {most_s:d} s')
def has_waited(context, least_s, most_s):
    bench = context.bench
    bench.decide()
    task = bench.engine.book.ready_by_key[context.run.key.task]
    waited_s = (bench.now_ms - task.waiting_ms) / MS_IN_S
    assert least_s <= waited_s <= most_s, waited_s


@when('the owner changes')
def change_owner(context):
    bench = context.bench
    former = bench.engine
    engine = new_engine(former.orders.token + 1, bench.now_ms)
    engine.restore(dict(bench.rows))
    for job in former.book.job_by_id.values():
        engine.submit(job.spec, bench.now_ms)
    engine.inherit(bench.now_ms, bench.wall_ms)
    bench.engine = engine
    bench.register()


@when('it makes no progress until a stop is ordered, for {span_s:d} s at most')
def no_progress_until_stop(context, span_s):
    bench = context.bench
    bench.stalled = True
    until_ms = bench.now_ms + span_s * 1000
    while bench.now_ms < until_ms and not bench.stops():
        bench.pass_ms(1)


@when(
    '{span_s:d} s pass before the owner reaches the server,'
    ' which lists 0 percent for {still_s:d} s'
)
def reach_server_late(context, span_s, still_s):
    bench = context.bench
    for _ in range(span_s):
        bench.now_ms += 950
        bench.decide()
    bench.stalled = True
    bench.stalled_percent = 0
    bench.pass_ms(still_s * 1000)


@when('the last planned run ends as done')
def end_last_run(context):
    context.bench.end(context.bench.planned[-1], EndKind.done)


@when('the first planned run ends as done')
def end_first_run(context):
    context.bench.end(context.bench.planned[0], EndKind.done)


@when('a job of two steps is submitted')
def submit_two_steps(context):
    context.bench.submit(step(), step(after=(0,)))
    context.bench.look()


@when('the last planned run ends as done, and the owner changes at once')
def end_last_run_then_change_owner(context):
    bench = context.bench
    run = bench.planned[-1]
    end = EndReport(1, run.key, EndKind.done, '')
    bench.ends[run.server_id].append(end)
    bench.look()
    store_then_change_owner(context)


def store_then_change_owner(context):
    # Stores the pending rows without another decision.
    bench = context.bench
    store_rows(bench.rows, bench.engine.take_batch().payload_by_key)
    change_owner(context)


@when('one member is refused by its server, and the owner changes at once')
def refuse_member_then_change_owner(context):
    bench = context.bench
    run = bench.planned[0]
    server = bench.engine.book.server_by_id[run.server_id]
    refusal = OrderDenied(Denial.no_room)
    bench.engine.settler.start_answered(server, run, bench.now_ms, refusal)
    store_then_change_owner(context)


@when('the previous owner stores that its task is done, but not its end')
def store_task_done_only(context):
    bench = context.bench
    context.planned_before = len(bench.planned)
    job = bench.engine.book.job_by_id[JOB]
    task = job.steps_by_occurrence[0][0].tasks[0]
    server_id = task.run_by_number[1].server_id
    end = EndReport(1, context.run.key, EndKind.done, '')
    bench.ends[server_id].append(end)
    task.done = True
    task.run_by_number.clear()
    row = encode_step_row(job.steps_by_occurrence[0][0], 0)
    bench.rows[f'{JOB}.0.0'] = row


@then('nothing else was planned')
def nothing_more_planned(context):
    assert len(context.bench.planned) == context.planned_before
