"""Steps for what an owner concludes from silence and from late answers."""

import asyncio

from behave import given, then, when

from waxwingford.ports import Resources
from waxwingford.routing.tests.virtual_loop import VirtualLoop, end_loop
from waxwingford.scheduling import (
    Engine,
    InheritedLeases,
    JobSpec,
    OrderOutcomeUnknown,
    PollResult,
    ServerEntry,
)
from waxwingford.shard._lateness import Lateness
from waxwingford.shard._start_window import StartWindow
from waxwingford.shard.tests.virtual_shard import LEASE_MS, QUEUE, TERMS, step

MS_PER_S = 1000
INTERVAL_S = 0.5
PROMPT_S = 0.005


@given('an engine whose only server with a run is silent for {silent_ms:d} ms')
def silent_engine(context, silent_ms):
    engine = Engine(1, LEASE_MS, InheritedLeases(0, {}))
    engine.configure(TERMS)
    entry = ServerEntry(
        's0',
        's0:1',
        'service',
        'd',
        frozenset(),
        Resources(8000, 32_000, 0),
        draining=False,
    )
    engine.register([entry], 0)
    server = engine.state.server_by_id['s0']
    engine.poll_answered(server, 0, 1, PollResult(1, (), ()))
    engine.submit(
        JobSpec('00000000000000aa', 'queue', '', (step(1),), terms=QUEUE), 2
    )
    engine.decide(2, 0)
    engine.stored(engine.take_batch())
    assert server.run_by_key
    engine.poll_answered(server, 10, 20, OrderOutcomeUnknown('no answer'))
    context.engine = engine
    context.now_ms = 20 + silent_ms


@when('leases are withheld while answers are {when}')
def withhold(context, when):
    context.named = context.engine.lease_withholding.withhold_silent(
        context.now_ms, timely=when == 'in time'
    )


@then('no server is named as silent')
def check_none_named(context):
    assert not context.named, context.named


@then('that server is named as silent')
def check_named(context):
    assert set(context.named) == {'s0'}, context.named


@given('an owner that gets an answer each 0.5 s')
def create_lateness(context):
    context.loop = VirtualLoop()
    asyncio.set_event_loop(context.loop)
    context.add_cleanup(end_loop, context.loop)
    context.lateness = Lateness()


@when('these answers take {delay_s:g} s for {span_s:g} s')
def answer_polls(context, delay_s, span_s):
    async def _answer():
        for _ in range(round(span_s / INTERVAL_S)):
            await asyncio.sleep(INTERVAL_S)
            context.lateness.answers.note_answer(delay_s)

    context.loop.run_until_complete(_answer())


@when(
    'for {span_s:d} s a server answers after {delay_s:g} s each second'
    ' beside {count:d} prompt answers'
)
def answer_beside_late(context, span_s, delay_s, count):
    async def _answer():
        for _ in range(span_s):
            context.lateness.answers.note_answer(delay_s)
            for _ in range(count):
                await asyncio.sleep(1 / count)
                context.lateness.answers.note_answer(PROMPT_S)

    context.loop.run_until_complete(_answer())


@when(
    '{count:d} jobs with a task of {length_s:g} s are submitted per second'
    ' for {span_s:d} s'
)
def submit_steadily(context, count, length_s, span_s):
    for _ in range(count * span_s):
        context.shard.submit((step(1, length_ms=int(length_s * MS_PER_S)),))
        context.shard.run(1 / count)


@when('no answer comes for {span_s:g} s')
def pass_silently(context, span_s):
    context.loop.run_until_complete(asyncio.sleep(span_s))


@when(
    '{count:d} orders to servers that take {least_s:g} s are answered after'
    ' {elapsed_s:g} s'
)
def answer_orders(context, count, least_s, elapsed_s):
    async def _answer():
        for number in range(count):
            server_id = f's{number % 8}'
            context.lateness.orders.note_answer(server_id, elapsed_s)

    async def _answer_first():
        for number in range(8):
            context.lateness.orders.note_answer(f's{number}', least_s)
        await asyncio.sleep(0)

    context.loop.run_until_complete(_answer_first())
    context.loop.run_until_complete(_answer())


@then('silence counts')
def check_counts(context):
    assert context.loop.run_until_complete(silence_counts(context))


@then("silence doesn't count")
def check_does_not_count(context):
    assert not context.loop.run_until_complete(silence_counts(context))


async def silence_counts(context):
    return context.lateness.silence_counts


@then('its usual lateness is {least_s:g} to {most_s:g} s')
def check_lateness(context, least_s, most_s):
    async def _mean_s():
        return context.lateness.mean_s

    mean_s = context.loop.run_until_complete(_mean_s())
    assert least_s <= mean_s <= most_s, mean_s


@given(
    'an owner that decides each 0.25 s, and whose event loop is {lag_ms:d} ms'
    ' late'
)
def create_window(context, lag_ms):
    create_lateness(context)
    context.lateness.loop_lag.mean_s = lag_ms / MS_PER_S
    context.window = StartWindow(context.lateness)


@when(
    'each of {rounds:d} decisions fills its window, and all starts are answered'
)
def fill_window(context, rounds):
    async def _decide():
        for number in range(rounds):
            now_ms = (number + 1) * 250
            context.room = context.window.room(0, now_ms)
            context.window.note_added(0, context.room)

    context.loop.run_until_complete(_decide())


@then('its window is {least:d} to {most:d} starts')
def check_window(context, least, most):
    assert least <= context.room <= most, context.room
