"""Steps for what is learned of pairs of images."""

import hashlib

from behave import given, then, when
from hypothesis import given as drawn
from hypothesis import settings
from hypothesis import strategies as st

from waxwingford.scheduling import JobSpec
from waxwingford.scheduling._learned_pairs import (
    MAX_NAMES_BYTES,
    MAX_ROW_BYTES,
    LearnedPairs,
)
from waxwingford.scheduling.tests.engine_harness import (
    QUEUE,
    EngineHarness,
    step,
)

NAMES = st.one_of(
    st.text(max_size=3),
    st.builds(lambda text, times: text * times, st.text(), st.integers(0, 700)),
)


def learn(pairs, serving, best_effort, mean=1.0):
    coefficient = pairs.learn(serving, best_effort)
    coefficient.mean = mean


@when('{count:d} pairs with names of 6 bytes are learned')
def learn_many(context, count):
    context.pairs = LearnedPairs()
    context.learned = [('s', f'{number:05}') for number in range(count)]
    for pair in context.learned:
        learn(context.pairs, *pair)


@when('a pair with names of {length:d} bytes is learned')
def learn_long(context, length):
    context.pairs = LearnedPairs()
    context.learned = [('s', 'b' * (length - 1))]
    learn(context.pairs, *context.learned[0])


@when('{looked_up:d} pairs are looked up and {learned:d} pairs are learned')
def look_up(context, looked_up, learned):
    context.pairs = LearnedPairs()
    for number in range(looked_up):
        context.pairs.find('s', f'{number}')
    context.learned = [('s', f'{number}') for number in range(learned)]
    for pair in context.learned:
        learn(context.pairs, *pair)


@then('{count:d} pairs are kept, the last ones')
def check_kept(context, count):
    assert len(context.pairs) == count, len(context.pairs)
    means = [context.pairs.find(*pair).mean for pair in context.learned]
    assert means.count(1.0) == count
    assert set(means[len(means) - count :]) <= {1.0}, means


@then('the row has at most {count:d} bytes')
def check_row(context, count):
    assert len(context.pairs.encode()) <= count


@then(
    'any learned pairs fit into a row, from which the last ones are read back'
)
def any_pairs(context):
    @settings(max_examples=200)
    @drawn(st.lists(st.tuples(NAMES, NAMES), max_size=60))
    def _learn(drawn_pairs):
        pairs = LearnedPairs()
        for number, pair in enumerate(drawn_pairs):
            learn(pairs, *pair, mean=float(number))
        raw = pairs.encode()
        assert len(raw) <= MAX_ROW_BYTES
        restored = LearnedPairs()
        restored.restore(raw)
        last_by_pair = {
            pair: float(number) for number, pair in enumerate(drawn_pairs)
        }
        fitting = [pair for pair in last_by_pair if _is_kept(pair)]
        recent_first = sorted(fitting, key=last_by_pair.get, reverse=True)
        stored = recent_first[: len(restored)]
        assert len(pairs) == len(fitting)
        for pair in stored:
            assert restored.find(*pair).mean == last_by_pair[pair]

    _learn()


def _is_kept(pair):
    return len(''.join(pair).encode()) <= MAX_NAMES_BYTES


@given('servers that serve many images, {servers:d} of {cores:d} cores')
def start_engine(context, servers, cores):
    context.harness = EngineHarness(servers, cores)
    context.harness.figure_by_image = {'calm': 10, 'wild': 2}


def image(kind, number):
    digest = hashlib.sha256(f'{kind} {number}'.encode()).hexdigest()
    return f'sha256:{digest}'


@when(
    '{count:d} serving and {others:d} best-effort jobs with images of their own'
    ' are submitted'
)
def submit_images(context, count, others):
    serving = [
        step(image=image('serving', number), target_ms=30, long_running=True)
        for number in range(count)
    ]
    best_effort = [
        step(2, image=image('best effort', number), best_effort=True)
        for number in range(others)
    ]
    for number, one in enumerate((*serving, *best_effort)):
        submit(context.harness, f'{number:016x}', one)
        context.harness.pass_ms(300)


def submit(harness, job_id, spec):
    harness.engine.submit(
        JobSpec(job_id, QUEUE.name, '', (spec,), terms=QUEUE), harness.now_ms
    )
    harness.decide()


@then('a plain job that follows is started')
def check_started(context):
    harness = context.harness
    submit(harness, 'f' * 16, step(4))
    harness.pass_ms(2000)
    started = [
        run for run in harness.planned_runs if run.key.task.job_id == 'f' * 16
    ]
    assert len(started) == 4, started
