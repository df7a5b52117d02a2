"""Steps for servers that have more ends than an answer lists."""

from behave import given, then, when
from hypothesis import given as drawn
from hypothesis import settings
from hypothesis import strategies as st

from waxwingford.ports import Resources
from waxwingford.scheduling import (
    EndKind,
    EndReport,
    JobSpec,
    OrderAccepted,
    PollResult,
    RunningReport,
    ServerEntry,
)
from waxwingford.scheduling._backend_client import MAX_LISTED_ENDS
from waxwingford.scheduling.tests.engine_harness import (
    JOB,
    QUEUE,
    new_engine,
    store_rows,
)
from waxwingford.scheduling.tests.engine_harness import step as harness_step
from waxwingford.shard import Stored
from waxwingford.shard.tests.virtual_shard import VirtualShard, step

LENGTH_S = 6
GROUPS = 10
POLL_MS = 100
EXAMPLES = 40


@given(
    'a shard with {daemons:d} daemons, and {servers:d} servers with room for'
    ' {tasks:d} tasks'
)
def start_large_servers(context, daemons, servers, tasks):
    shard = VirtualShard(1, daemons, servers=0)
    context.add_cleanup(shard.close)
    shard.servers.add(servers, cores=tasks // servers + servers)
    shard.run(1)
    context.shard = shard
    context.jobs = []


@when('{tasks:d} tasks are started that end together')
def start_tasks(context, tasks):
    shard = context.shard
    counts = [len(range(group, tasks, GROUPS)) for group in range(GROUPS)]
    for count in counts:
        job_id, outcome = shard.submit(
            (step(count, length_ms=LENGTH_S * 1000),)
        )
        assert isinstance(outcome, Stored), outcome
        context.jobs.append(job_id)
    while sum(shard.servers.starts.values()) < tasks:
        shard.run(0.05)
    runs = [
        run
        for server in shard.servers.server_by_id.values()
        for run in server.run_by_task.values()
    ]
    assert len(runs) == tasks, len(runs)
    context.ends_at_s = max(run.started_s + run.length_s for run in runs)
    for server in shard.servers.server_by_id.values():
        for run in server.run_by_task.values():
            run.timer.cancel()
            run.timer = shard.loop.call_at(
                context.ends_at_s, server.end, run, EndKind.done
            )


def run_until_end(context, before_s=0):
    shard = context.shard
    shard.run(context.ends_at_s - before_s - shard.loop.time())


@when('the owner is killed {before_s:g} s before they end')
def kill_before_end(context, before_s):
    run_until_end(context, before_s)
    context.shard.call(context.shard.owners[0].kill)


@when('nothing happens')
def nothing_happens(context):
    run_until_end(context)


@when("the owner can't reach the servers for {span_s:g} s as they end")
def cut_servers(context, span_s):
    run_until_end(context, 0.1)
    shard = context.shard
    owner = shard.owners[0].daemon_id
    shard.servers.cut |= {
        (owner, server_id) for server_id in shard.servers.server_by_id
    }
    shard.run(span_s)
    shard.servers.cut.clear()


@when("the owner can't store anything for {span_s:g} s as they end")
def cut_store(context, span_s):
    run_until_end(context, 0.05)
    shard = context.shard
    shard.call(lambda: shard.store.refused.add(shard.owners[0].daemon_id))
    shard.run(span_s)
    shard.store.refused.clear()


@when('the owner is killed as they end, and its successor {later_s:g} s later')
def kill_twice(context, later_s):
    run_until_end(context, 0.05)
    shard = context.shard
    shard.call(shard.owners[0].kill)
    until_s = shard.loop.time() + 10
    while not shard.owners and shard.loop.time() < until_s:
        shard.run(0.01)
    shard.run(later_s)
    shard.call(shard.owners[0].kill)


@when('half of their jobs are cancelled as they end')
def cancel_half(context):
    run_until_end(context, 0.02)
    for job_id in context.jobs[::2]:
        context.shard.cancel(job_id)


class ListingServer:
    """Server that lists its ends as the platform's do."""

    def __init__(self, server_id):
        self.server_id = server_id
        self.run_keys = []
        self.ends = []
        self.acknowledged = 0

    @property
    def entry(self):
        return ServerEntry(
            self.server_id,
            f'{self.server_id}:1',
            'service',
            'd',
            frozenset(),
            Resources(10**6, 10**7, 0),
            draining=False,
        )

    def end(self, count):
        for key in self.run_keys[:count]:
            number = len(self.ends) + 1
            self.ends.append(EndReport(number, key, EndKind.done, ''))
        del self.run_keys[:count]

    def answer(self, order, now_ms):
        self.acknowledged = max(self.acknowledged, order.acknowledged_end)
        ends = self.ends[self.acknowledged :]
        return PollResult(
            now_ms,
            tuple(RunningReport(key, '', 50, 1) for key in self.run_keys),
            tuple(ends[:MAX_LISTED_ENDS]),
        )


class ListingShard:
    """Engine of the owner, whose batches are stored, or lost with it."""

    def __init__(self, servers, tasks):
        self.now_ms = 100_000
        self.rows = {}
        self.token = 7
        self.server_by_id = {
            f's{number}': ListingServer(f's{number}')
            for number in range(servers)
        }
        self.spec = JobSpec(
            JOB, QUEUE.name, '', (harness_step(tasks),), terms=QUEUE
        )
        self.started = set()
        self.done_again = []
        self.engine = new_engine(self.token, self.now_ms)
        self.engine.submit(self.spec, self.now_ms)
        self.register()

    def register(self):
        entries = [server.entry for server in self.server_by_id.values()]
        self.engine.register(entries, self.now_ms)

    def change_owner(self):
        self.token += 1
        self.engine = new_engine(self.token, self.now_ms)
        self.engine.restore(dict(self.rows))
        self.engine.submit(self.spec, self.now_ms)
        self.engine.inherit(self.now_ms, self.now_ms)
        self.register()

    def poll(self):
        self.now_ms += POLL_MS
        for server in list(self.engine.state.server_by_id.values()):
            order = self.engine.orders.poll(server, self.now_ms, 0, True)
            listed = self.server_by_id[server.entry.server_id].answer(
                order, self.now_ms
            )
            self.engine.poll_answered(
                server, self.now_ms - 1, self.now_ms, listed
            )

    def store(self):
        self.now_ms += POLL_MS
        self.engine.decide(self.now_ms, self.now_ms)
        batch = self.engine.take_batch()
        store_rows(self.rows, batch.payload_by_key)
        for start in self.engine.stored(batch):
            self.start(start)

    def start(self, start):
        key = start.run.key
        server = self.engine.state.server_by_id[start.server_id]
        if self.engine.orders.start(start.run, self.now_ms) is None:
            return
        if key.task in self.started:
            self.done_again.append(key)
        self.started.add(key.task)
        self.server_by_id[start.server_id].run_keys.append(key)
        self.engine.start_answered(
            server, start.run, self.now_ms, OrderAccepted(self.now_ms)
        )


EVENTS = st.one_of(
    st.tuples(
        st.just('end'),
        st.sampled_from((1, 7, 499, 500, 501, 1000, 1100)),
    ),
    st.sampled_from(
        (('poll', 0), ('store', 0), ('change_owner', 0), ('poll', 1))
    ),
)


@then('no done task starts again, whatever servers list and owners follow')
def any_lists(context):
    @settings(max_examples=EXAMPLES)
    @drawn(
        st.sampled_from((1, 2)),
        st.sampled_from((30, 499, 500, 501, 1200)),
        st.lists(EVENTS, max_size=12),
    )
    def _play(servers, tasks, events):
        shard = ListingShard(servers, tasks)
        shard.poll()
        shard.store()
        for name, number in events:
            play_event(shard, name, number)
        for server in shard.server_by_id.values():
            server.end(tasks)
        for _ in range(8):
            shard.poll()
            shard.store()
        assert not shard.done_again, shard.done_again
        assert len(shard.started) == tasks

    _play()


def play_event(shard, name, number):
    match name:
        case 'end':
            for server in shard.server_by_id.values():
                server.end(number)
        case 'poll':
            shard.poll()
            if number:
                shard.store()
        case 'store':
            shard.store()
        case _:
            shard.change_owner()
