"""Steps for property tests of all colocation policies."""

from behave import then
from hypothesis import given, settings
from hypothesis import strategies as st

from waxwingford.kernel import load_plugins
from waxwingford.placement import (
    Evict,
    PendingTask,
    PolicyWeights,
    RunningTask,
    ServerView,
    Throttle,
    fits,
    free_resources,
    policies,
    subtract,
)
from waxwingford.ports import AttemptKey, Resources, UsageSample

load_plugins(['waxwingford.colocation'])

KINDS = ('rebuild', 'comparison', 'sync')
WEIGHTS = {'dispatcher': PolicyWeights(100, 0.8, 0.2)}
TOTAL = Resources(16_000, 64_000, 2)
SIZES = st.builds(
    Resources,
    st.integers(0, 9000),
    st.integers(0, 30_000),
    st.integers(0, 2),
)
PENDING = st.builds(
    PendingTask,
    st.builds(
        AttemptKey,
        st.sampled_from(['m.a/0', 'm.a/1', 'n.b/0', 'n.b/1']),
        st.integers(1, 3),
    ),
    st.just('m'),
    st.just('t'),
    st.sampled_from(KINDS),
    SIZES,
    st.integers(1, 10**6),
    slack_ms=st.none() | st.integers(-(10**6), 10**6),
    failed_on=st.sampled_from([(), ('w0',), ('w0', 'w1')]),
)


@st.composite
def server_views(draw, number):
    """Draw a server whose running attempts fit its resources."""
    reserved = draw(st.sampled_from([Resources(0, 0), Resources(6000, 9000)]))
    running = []
    free = subtract(TOTAL, reserved)
    for index in range(draw(st.integers(0, 4))):
        size = draw(SIZES)
        if fits(size, free):
            free = subtract(free, size)
            key = AttemptKey(f'm.r{number}/{index}', 1)
            kind = draw(st.sampled_from(KINDS))
            running.append(
                RunningTask(key, 'm', 't', kind, size, 0, draw(st.booleans())),
            )
    return ServerView(
        f'w{number}',
        f'r{number % 2}',
        'dispatcher',
        TOTAL,
        reserved,
        tuple(running),
        draw(st.booleans()),
        draw(st.booleans()),
        draw(st.floats(0, 1)),
    )


ROUNDS = st.lists(
    st.tuples(
        st.tuples(*(server_views(number) for number in range(3))),
        st.lists(PENDING, max_size=6, unique_by=lambda task: task.key),
        st.floats(0, 500),
        st.integers(0, 40_000),
    ),
    min_size=1,
    max_size=6,
)


def _observe(policy, server, p99_ms, now_ms):
    running = tuple(task.key for task in server.running)
    used = {task.key.task_id: task.resources for task in server.running}
    kinds = {task.key.task_id: task.kind for task in server.running}
    sample = UsageSample(
        5000,
        5000,
        server.service,
        server.busy_share,
        p99_ms,
        running,
        used,
    )
    policy.observe(server.server_id, sample, now_ms, kinds)


def _check_placements(placements, pending, servers):
    task_by_key = {task.key: task for task in pending}
    server_by_id = {server.server_id: server for server in servers}
    free_by_id = {
        server.server_id: free_resources(server) for server in servers
    }
    assert len({key for key, _ in placements}) == len(placements)
    for key, server_id in placements:
        task, server = task_by_key.pop(key), server_by_id[server_id]
        assert not server.leaving
        assert server_id not in task.failed_on
        if server.quarantined:
            assert not server.running
            assert (
                sum(placed.server_id == server_id for placed in placements) == 1
            )
        assert fits(task.resources, free_by_id[server_id]), (task, server)
        free_by_id[server_id] = subtract(free_by_id[server_id], task.resources)


def _check_reactions(reactions, servers):
    known = {task.key for server in servers for task in server.running}
    for reaction in reactions:
        assert reaction.key in known, reaction
        if isinstance(reaction, Throttle):
            assert 1 <= reaction.percent <= 100
    evicted = [
        reaction.key for reaction in reactions if isinstance(reaction, Evict)
    ]
    assert len(set(evicted)) == len(evicted)


@then('policy "{name}" keeps the placement invariants in random runs')
def check_placement_invariants(context, name):
    @settings(max_examples=60)
    @given(ROUNDS)
    def run(rounds):
        policy = policies.get(name)(WEIGHTS, 7)
        now_ms = 10_000
        for servers, pending, p99_ms, step_ms in rounds:
            now_ms += step_ms
            for server in servers:
                _observe(policy, server, p99_ms, now_ms)
            _check_reactions(policy.react(list(servers), now_ms), servers)
            placements = policy.place(pending, list(servers), now_ms)
            _check_placements(placements, pending, servers)
            assert all(policy.predicted_ms(server) >= 0 for server in servers)

    run()
