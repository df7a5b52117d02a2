"""Steps for unexpected errors in the parts of an owner."""

import functools

from behave import then, when
from hypothesis import given as drawn
from hypothesis import settings
from hypothesis import strategies as st

from waxwingford.scheduling import (
    EndKind,
    EndReport,
    JobSpec,
    PollResult,
    RunKey,
    RunningReport,
    TaskKey,
)
from waxwingford.scheduling.tests.engine_harness import (
    JOB,
    QUEUE,
    SECOND,
    THIRD,
    EngineHarness,
)
from waxwingford.scheduling.tests.engine_harness import step as harness_step

ERRORS = {
    error.__name__: error
    for error in (UnicodeError, RecursionError, OverflowError)
}
METHOD_BY_CALLS = {'polls': 'poll', 'starts': 'start'}
EXAMPLES = 200
ROUNDS = 6
ROUND_MS = 300
ODD_SERVER = 's0'
#: Tasks of the sound job, more than one server has room for.
WIDTH = 12
NUMBERS = st.one_of(
    st.integers(-2, 5),
    st.sampled_from((10**6, 2**53, 2**63, 10**30, 10**400, -(10**400))),
)
FIGURES = st.one_of(NUMBERS, st.floats())
RUNS = st.builds(
    RunKey,
    st.builds(
        TaskKey,
        st.sampled_from((JOB, SECOND, '')),
        st.integers(-1, 1),
        st.integers(-1, 2),
        st.integers(-1, 4),
    ),
    NUMBERS,
)
ANSWERS = st.builds(
    PollResult,
    NUMBERS,
    st.lists(
        st.builds(RunningReport, RUNS, st.text(max_size=2), FIGURES, FIGURES),
        max_size=3,
    ).map(tuple),
    st.lists(
        st.builds(
            EndReport,
            NUMBERS,
            RUNS,
            st.sampled_from(EndKind),
            st.text(max_size=2),
        ),
        max_size=3,
    ).map(tuple),
    NUMBERS,
)


def owner_of(context):
    return context.shard.owners[0].member.owner


def note_owner(context):
    context.owning_daemon = context.shard.owners[0]
    context.epoch = owner_of(context).epoch


def change_clients(context, method, change):
    """Change a method of the clients of all daemons for the first server."""
    note_owner(context)
    server_id = next(iter(context.shard.servers.server_by_id))
    for daemon in context.shard.daemons:
        client = daemon.servers
        original = getattr(client, method)
        changed = functools.partial(_changed_call, original, server_id, change)
        setattr(client, method, changed)


async def _changed_call(original, server_id, change, address, order):
    if address.server_id == server_id:
        return await change(original, address, order)
    return await original(address, order)


@when('{calls} to a server raise {error}')
def raise_in_calls(context, calls, error):
    async def fail(original, address, order):
        raise ERRORS[error]('label empty or too long')

    change_clients(context, METHOD_BY_CALLS[calls], fail)


@when('the polls of a server return a text as its clock')
def return_texts(context):
    async def answer(original, address, order):
        await original(address, order)
        return PollResult('noon', (), ())

    change_clients(context, 'poll', answer)


@when('the next {count:d} rounds of {part} raise an error')
def fail_rounds(context, count, part):
    note_owner(context)
    fail_part(owner_of(context), part, count)


@when('all rounds of decisions of the owner raise an error')
def fail_all_rounds(context):
    note_owner(context)
    fail_part(owner_of(context), 'decisions', 10**6)


def fail_part(owner, part, count):
    """Replace what a part calls in each round; it fails so many times."""
    holder, name = {
        'decisions': (owner.start_control, 'decide'),
        'commits': (owner._writer, 'append'),
        'registrations': (owner._fleet, 'register'),
        'heartbeats': (owner._heartbeats, '_send'),
        'intake': (owner._intake._mirror, 'catch_up'),
    }[part]
    original = getattr(holder, name)
    left = [count]

    def failing(*args, **more):
        if left[0]:
            left[0] -= 1
            raise LookupError(f'a fault of {part}')
        return original(*args, **more)

    if name == 'catch_up':
        # A mirror has slots.
        owner._intake._mirror = _Replaced(owner._intake._mirror, name, failing)
    else:
        setattr(holder, name, failing)


class _Replaced:
    """Object with one method replaced."""

    def __init__(self, original, name, method):
        self._original = original
        setattr(self, name, method)

    def __getattr__(self, name):
        return getattr(self._original, name)


@when('placing the next job raises an error')
def fail_placing(context):
    note_owner(context)
    context.failing_job = f'{context.shard.job_count + 1:016x}'
    placer = owner_of(context)._engine._placer
    original = placer._choose_server

    def place(pending, *args):
        if pending.task.key.job_id == context.failing_job:
            raise ZeroDivisionError('a fault of placing')
        return original(pending, *args)

    placer._choose_server = place


@then('the failing job has no runs')
def check_failing_job(context):
    shard = context.shard
    assert not shard.running(context.failing_job)
    assert shard.phase(context.failing_job) == 'queued'
    told = [
        line
        for line in shard.lines
        if 'work.failed' in line and context.failing_job in line
    ]
    assert len(told) == 1, told


@then('the owner has not changed')
def check_same_owner(context):
    assert context.shard.owners == [context.owning_daemon]
    assert owner_of(context).epoch == context.epoch


@then('the owner has changed')
def check_other_owner(context):
    assert owner_of(context).epoch > context.epoch


@then('unexpected errors are counted at "{place}"')
def check_counted(context, place):
    rendered = context.owning_daemon.observer.metrics.render()
    name = f'waxwingford_unexpected_errors_total{{place="{place}"}}'
    assert name in rendered, rendered


@then('an owner runs a sound job beside a server that gives any answers')
def any_answers(context):
    @settings(max_examples=EXAMPLES)
    @drawn(st.lists(ANSWERS, min_size=1, max_size=3))
    def _answer(answers):
        harness = EngineHarness(3, 8)
        harness.submit(harness_step(6), harness_step(2, after=(0,)))
        for answer in answers:
            answer_oddly(harness, answer)
        sound = JobSpec(
            THIRD, QUEUE.name, '', (harness_step(WIDTH),), terms=QUEUE
        )
        harness.engine.submit(sound, harness.now_ms)
        for _ in range(ROUNDS):
            poll_others(harness)
            harness.decide()
            harness.now_ms += ROUND_MS
        placed = {
            run.server_id
            for run in harness.planned_runs
            if run.key.task.job_id == THIRD
        }
        assert placed - {ODD_SERVER}, harness.planned_runs

    _answer()


def answer_oddly(harness, answer):
    """Have a server give an answer, and tell the engine as its driver would."""
    server = harness.engine.state.server_by_id[ODD_SERVER]
    try:
        harness.engine.poll_answered(
            server, harness.now_ms, harness.now_ms + 1, answer
        )
    except Exception:
        assert server.entry.server_id == ODD_SERVER
    harness.now_ms += 1


def poll_others(harness):
    for server in list(harness.engine.state.server_by_id.values()):
        if server.entry.server_id != ODD_SERVER:
            answer = PollResult(
                harness.now_ms,
                tuple(
                    RunningReport(key, '', 50, 1) for key in server.run_by_key
                ),
                (),
            )
            harness.engine.poll_answered(
                server, harness.now_ms, harness.now_ms + 2, answer
            )
