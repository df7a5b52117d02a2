"""Steps for random runs of the request path."""

import collections
import itertools

from behave import then, when
from hypothesis import HealthCheck, given, settings, strategies

from waxwingford.routing import DispatchLimits, Urgency
from waxwingford.routing.tests.callers import Callers
from waxwingford.routing.tests.fakes import FakeServer
from waxwingford.routing.tests.region import Region

_DAEMONS = ('a', 'b', 'c')
_SERVERS = tuple(f'server-{number}' for number in range(4))
_LIMITS = DispatchLimits(
    key_memory_ms=20_000, delivery_ms=2000, max_keys_per_member=12
)
_LEASE_MS = 3000
_TICK_MS = 250

_daemon = strategies.sampled_from(_DAEMONS)
_server = strategies.sampled_from(_SERVERS)
_key = strategies.sampled_from(('k1', 'k2', 'k3', 'k4'))
_delay_ms = strategies.sampled_from((0, 0, 1, 5, 40, 300, 1900))
_urgency = strategies.sampled_from(list(Urgency))
_FAULTS = (
    'frozen',
    'refuses',
    'loses_answers',
    'foreign',
    'leaving',
    'drops',
    'late_ms',
    'overrun_ms',
)
_fault = strategies.sampled_from(_FAULTS)
_just = strategies.just
_keyed = strategies.tuples(
    _just('keyed'), _key, _daemon, _delay_ms, strategies.booleans()
)
_burst = strategies.tuples(
    _just('burst'), _daemon, strategies.integers(1, 12), _urgency
)
_broken = strategies.tuples(_just('fault'), _server, _fault)
_RARE = (
    strategies.tuples(_just('kill'), _daemon),
    strategies.tuples(_just('start'), _daemon),
    strategies.tuples(_just('freeze')),
    strategies.tuples(_just('cut'), _daemon, _daemon),
    strategies.tuples(_just('heal')),
    strategies.tuples(_just('hand_over'), _server, _daemon),
    strategies.tuples(_just('mend'), _server),
)
_ACTION = strategies.sampled_from(
    (
        *itertools.repeat(_keyed, 5),
        *itertools.repeat(_burst, 4),
        *itertools.repeat(_broken, 3),
        *_RARE,
    )
).flatmap(lambda action: action)
_WAIT_MS = strategies.sampled_from((0, 0, 0, 1, 3, 12, 60, 250, 900, 4000))
STEPS = strategies.lists(
    strategies.tuples(_WAIT_MS, _ACTION), min_size=15, max_size=60
)
#: Actions after which a server's calls are counted by another process.
_UNSTABLE = frozenset(('kill', 'freeze', 'hand_over'))


class RandomRun:
    """One run: applies steps, then checks the accounts."""

    def __init__(self, *, stable):
        self._stable = stable
        servers = [FakeServer(name, slots=2) for name in _SERVERS]
        self.region = Region(
            {'a': servers[:2], 'b': servers[2:], 'c': []}, limits=_LIMITS
        )
        self.callers = Callers(self.region)
        # Servers whose calls were always counted by one process.
        self.one_holder = set(_SERVERS)
        self.step_counts = collections.Counter()

    def apply(self, step):
        wait_ms, (name, *rest) = step
        self._pass(wait_ms)
        if self._stable and name in _UNSTABLE:
            return
        self.step_counts[name] += 1
        if name == 'heal':
            self.region.cut_links.clear()
        else:
            getattr(self, f'_{name}')(*rest)

    def finish(self):
        """Mend everything, wait, and check."""
        self.region.cut_links.clear()
        for daemon_id in _DAEMONS:
            self._start(daemon_id)
        for server in _SERVERS:
            self._mend(server)
        self._pass(2 * _LIMITS.key_memory_ms)
        self.callers.check_all()
        self._check_slots()
        self._check_not_stuck()

    def _keyed(self, key, daemon_id, delay_ms, says_age):
        self.callers.keyed(key, daemon_id, delay_ms, says_age)

    def _burst(self, daemon_id, count, urgency):
        self.callers.burst(daemon_id, count, urgency)

    def _fault(self, server_id, fault):
        level = 200 if fault.endswith('_ms') else True
        setattr(self.region.server_by_id[server_id], fault, level)

    def _mend(self, server_id):
        server = self.region.server_by_id[server_id]
        for fault in _FAULTS:
            setattr(server, fault, 0)

    def _kill(self, daemon_id):
        if self.region.dispatcher_by_id[daemon_id] is not None:
            self.region.kill(daemon_id)
            self._changed_holder(daemon_id)

    def _start(self, daemon_id):
        if self.region.dispatcher_by_id[daemon_id] is None:
            self.region.start(daemon_id)

    def _freeze(self):
        # All clocks agree on it; servers, too, overrun their deadlines.
        self.region.loop.stall(2 * _LEASE_MS / 1000)
        self.one_holder.clear()

    def _cut(self, one, other):
        self.region.cut_links.add((one, other))

    def _hand_over(self, server_id, daemon_id):
        server = self.region.server_by_id[server_id]
        for servers in self.region.servers_by_daemon.values():
            if server in servers:
                servers.remove(server)
        self.region.servers_by_daemon[daemon_id].append(server)
        self.one_holder.discard(server_id)

    def _pass(self, duration_ms):
        while duration_ms > 0:
            self.region.refresh(_LEASE_MS)
            self.region.advance_ms(min(duration_ms, _TICK_MS))
            duration_ms -= _TICK_MS

    def _changed_holder(self, daemon_id):
        servers = self.region.servers_by_daemon[daemon_id]
        self.one_holder -= {server.server_id for server in servers}

    def _check_slots(self):
        for server in self.region.server_by_id.values():
            assert server.peak <= server.slots, server
            assert not server.in_flight, server
            if server.server_id in self.one_holder:
                assert not server.overflows, server

    def _check_not_stuck(self):
        free_slots = [
            sum(dispatcher.spare_by_service().values())
            for dispatcher in self.region.dispatcher_by_id.values()
        ]
        assert sum(free_slots) == 2 * len(_SERVERS), free_slots
        for daemon_id in _DAEMONS:
            outcome = self.region.call(
                daemon_id, idempotent=False, key=f'last-{daemon_id}'
            )
            assert type(outcome).__name__ == 'Answered', outcome


def run_steps(steps, stable):
    run = RandomRun(stable=stable)
    try:
        for step in steps:
            run.apply(step)
        run.finish()
    finally:
        run.region.close()
    return run


@when('{count:d} random runs of the request path are made')
def random_runs(context, count):
    context.step_counts = collections.Counter()
    context.outcome_counts = collections.Counter()

    @settings(
        max_examples=count,
        suppress_health_check=list(HealthCheck),
    )
    @given(STEPS, strategies.booleans())
    def _one_run(steps, stable):
        run = run_steps(steps, stable)
        context.step_counts.update(run.step_counts)
        context.outcome_counts.update(run.callers.outcome_counts())

    _one_run()


@then('the accounts of the fake servers hold in all of them')
def accounts_hold(context):
    # A run that never gets to an outcome would prove nothing about it.
    expected = {'Answered', 'Refused', 'Unknown'}
    assert expected <= context.outcome_counts.keys(), context.outcome_counts
