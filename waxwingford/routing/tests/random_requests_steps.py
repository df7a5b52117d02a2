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
    'suspended',
    'refuses_calls',
    'loses_answers',
    'wrong_request_id',
    'leaving',
    'drops_connection',
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
_fault_action = strategies.tuples(_just('fault'), _server, _fault)
_RARE = (
    strategies.tuples(_just('kill'), _daemon),
    strategies.tuples(_just('start'), _daemon),
    strategies.tuples(_just('suspend')),
    strategies.tuples(_just('cut'), _daemon, _daemon),
    strategies.tuples(_just('heal')),
    strategies.tuples(_just('hand_over'), _server, _daemon),
    strategies.tuples(_just('repair'), _server),
)
_ACTION = strategies.sampled_from(
    (
        *itertools.repeat(_keyed, 5),
        *itertools.repeat(_burst, 4),
        *itertools.repeat(_fault_action, 3),
        *_RARE,
    )
).flatmap(lambda action: action)
_WAIT_MS = strategies.sampled_from((0, 0, 0, 1, 3, 12, 60, 250, 900, 4000))
STEPS = strategies.lists(
    strategies.tuples(_WAIT_MS, _ACTION), min_size=15, max_size=60
)
#: Actions after which another process counts the calls of a server.
_UNSTABLE = frozenset(('kill', 'suspend', 'hand_over'))


class RandomRun:
    """Applies the steps of one run and checks the invariants."""

    def __init__(self, *, stable):
        self._stable = stable
        servers = [FakeServer(name, slots=2) for name in _SERVERS]
        self.region = Region(
            {'a': servers[:2], 'b': servers[2:], 'c': []}, limits=_LIMITS
        )
        self.callers = Callers(self.region)
        # Servers whose calls were counted by a single process throughout.
        self.single_holder_servers = set(_SERVERS)
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
        """Remove all faults, wait for recovery and check the invariants."""
        self.region.cut_links.clear()
        for daemon_id in _DAEMONS:
            self._start(daemon_id)
        for server in _SERVERS:
            self._repair(server)
        self._pass(2 * _LIMITS.key_memory_ms)
        self.callers.check_all()
        self._check_slots()
        self._check_not_stuck()

    def _keyed(self, key, daemon_id, delay_ms, states_age):
        self.callers.send_keyed(key, daemon_id, delay_ms, states_age)

    def _burst(self, daemon_id, count, urgency):
        self.callers.send_burst(daemon_id, count, urgency)

    def _fault(self, server_id, fault):
        level = 200 if fault.endswith('_ms') else True
        setattr(self.region.server_by_id[server_id], fault, level)

    def _repair(self, server_id):
        server = self.region.server_by_id[server_id]
        for fault in _FAULTS:
            setattr(server, fault, 0)

    def _kill(self, daemon_id):
        if self.region.dispatcher_by_id[daemon_id] is not None:
            self.region.kill(daemon_id)
            self._record_holder_change(daemon_id)

    def _start(self, daemon_id):
        if self.region.dispatcher_by_id[daemon_id] is None:
            self.region.start(daemon_id)

    def _suspend(self):
        # The stall affects all clocks, so servers overrun deadlines too.
        self.region.loop.stall(2 * _LEASE_MS / 1000)
        self.single_holder_servers.clear()

    def _cut(self, one, other):
        self.region.cut_links.add((one, other))

    def _hand_over(self, server_id, daemon_id):
        server = self.region.server_by_id[server_id]
        for servers in self.region.servers_by_daemon.values():
            if server in servers:
                servers.remove(server)
        self.region.servers_by_daemon[daemon_id].append(server)
        self.single_holder_servers.discard(server_id)

    def _pass(self, duration_ms):
        while duration_ms > 0:
            self.region.refresh(_LEASE_MS)
            self.region.advance_ms(min(duration_ms, _TICK_MS))
            duration_ms -= _TICK_MS

    def _record_holder_change(self, daemon_id):
        servers = self.region.servers_by_daemon[daemon_id]
        self.single_holder_servers -= {server.server_id for server in servers}

    def _check_slots(self):
        for server in self.region.server_by_id.values():
            assert server.peak_in_flight <= server.slots, server
            assert not server.in_flight, server
            if server.server_id in self.single_holder_servers:
                assert not server.rejected_calls, server

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


@when('{count:d} random runs of the request path are executed')
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


@then('the invariants hold in all of them')
def invariants_hold(context):
    # Runs must cover each kind of outcome.
    expected = {'Answered', 'Refused', 'Unknown'}
    assert expected <= context.outcome_counts.keys(), context.outcome_counts
