"""Steps for an engine that goes on from the rows of another one."""

from behave import when

from waxwingford.scheduling.tests.engine_steps import new_engine


@when('the owner changes')
def owner_changes(context):
    bench = context.bench
    former = bench.engine
    engine = new_engine(former.orders.token + 1, bench.now_ms)
    engine.restore(dict(bench.rows))
    for job in former.book.job_by_id.values():
        engine.submit(job.spec, bench.now_ms)
    engine.inherit(bench.now_ms)
    bench.engine = engine
    bench.register()


@when(
    'its progress stands still until a stop is ordered,'
    ' for {span_s:d} s at most'
)
def still_until_stop(context, span_s):
    bench = context.bench
    bench.still = True
    until_ms = bench.now_ms + span_s * 1000
    while bench.now_ms < until_ms and not bench.stops():
        bench.pass_ms(1)


@when(
    '{span_s:d} s pass before it reaches the server,'
    ' which lists 0 percent for {still_s:d} s'
)
def reached_late(context, span_s, still_s):
    bench = context.bench
    for _ in range(span_s):
        bench.now_ms += 950
        bench.decide()
    bench.still = True
    bench.still_percent = 0
    bench.pass_ms(still_s * 1000)
