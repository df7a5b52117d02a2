"""Property test of bundle readers under random interleavings."""

import asyncio

from behave import then
from hypothesis import given as given_drawn
from hypothesis import settings
from hypothesis import strategies as drawn

from waxwingford.bundles import (
    CONFIG_STREAM,
    PeerBundle,
    PeerUnavailable,
    canonical_bytes,
    compute_digest,
    encode_record,
)
from waxwingford.bundles.tests.chain_steps import replace_fields
from waxwingford.bundles.tests.consortium import (
    first_body,
    make_reader,
    next_body,
    signed_payload,
    signed_record,
)
from waxwingford.kernel import ManualClock
from waxwingford.ports import LogUnavailable
from waxwingford_standins.platform_log import FakeLog, LogCore

DAEMON_COUNT = 4
MINUTE_MS = 60_000
MAX_ENTRIES = 1000


def digest(body):
    return compute_digest(canonical_bytes(body))


class SimulatedDaemon(FakeLog):
    """A bundle reader with its own connections to the log and to peers."""

    def __init__(self, world, slot):
        """Start without a bundle as daemon ``slot`` of the simulation."""
        super().__init__(world.core, world.clock)
        self.world = world
        self.slot = slot
        self.limit = MAX_ENTRIES
        self.versions_in_force = []
        others = frozenset(f'd{other}' for other in range(DAEMON_COUNT))
        self.reader = make_reader(
            self,
            self,
            world.clock,
            others - {f'd{slot}'},
            self.on_bundle_change,
            lambda *_: None,
        )

    def on_bundle_change(self, seen):
        """Check each bundle that takes force here."""
        known = [digest(body) for body in self.world.accepted_bodies]
        assert seen.digest in known, (
            f'd{self.slot} took a losing version {seen}'
        )
        assert seen.version > max(self.versions_in_force, default=0), (
            'reverted to an older version'
        )
        self.versions_in_force.append(seen.version)

    async def read(self, stream, from_offset, limit, wait_ms=0):
        """Read at most ``self.limit`` entries; fail when cut off."""
        if self.slot in self.world.cut_off:
            return LogUnavailable('cut off')
        read_limit = min(limit, self.limit)
        return await super().read(stream, from_offset, read_limit, wait_ms)

    async def fetch(self, after_version):
        """Query the other daemons; muted ones do not answer."""
        return {
            f'd{slot}': PeerUnavailable('muted')
            if slot in self.world.muted or self.slot in self.world.muted
            else PeerBundle(self.world.payloads(slot, after_version))
            for slot in range(DAEMON_COUNT)
            if slot != self.slot
        }


class Simulation:
    """The log, the chain of accepted bodies, and the daemons."""

    def __init__(self):
        """Publish version 1."""
        self.clock = ManualClock()
        self.core = LogCore()
        self.cut_off = set()
        self.muted = set()
        self.body_by_payload = {}
        self.accepted_bodies = [first_body()]
        self.count = 100
        self.publish(
            signed_payload(self.accepted_bodies[0]), self.accepted_bodies[0]
        )
        self.daemons = [
            SimulatedDaemon(self, slot) for slot in range(DAEMON_COUNT)
        ]

    def entries(self):
        return self.core.read(CONFIG_STREAM, 0, MAX_ENTRIES, 0)

    def payloads(self, slot, after_version):
        reader = self.daemons[slot].reader
        newer = reader.current and reader.current.version > after_version
        return (reader.whole_record(),) if newer else ()

    def publish(self, payload, body=None):
        """Append, and track whether the record takes force."""
        self.clock.advance(10)
        self.core.append(CONFIG_STREAM, payload, self.clock.monotonic_ms())
        if body:
            self.body_by_payload[payload] = body
        body = self.body_by_payload.get(payload)
        if body and body['predecessor'] == digest(self.accepted_bodies[-1]):
            self.accepted_bodies.append(body)

    def successor(self, before):
        self.count += 1
        return next_body(before, self.count)

    async def recover(self):
        """Reconnect all daemons and let them read to the head."""
        self.cut_off.clear()
        self.muted.clear()
        for _ in range(60):
            self.clock.advance(MINUTE_MS)
            for daemon in self.daemons:
                daemon.limit = MAX_ENTRIES
                await daemon.reader.step()

    def check(self):
        """Check that all have the newest bundle if any of them has it."""
        newest = digest(self.accepted_bodies[-1])
        held = [
            daemon.reader.current and daemon.reader.current.digest
            for daemon in self.daemons
        ]
        if newest in held:
            assert set(held) == {newest}, held


async def publish(world, number):
    body = world.successor(world.accepted_bodies[-1])
    base = world.accepted_bodies[-1] if number % 2 else None
    world.publish(signed_payload(body, base), body)


async def publish_competing(world, number):
    body = world.successor(
        world.accepted_bodies[max(len(world.accepted_bodies) - 2, 0)]
    )
    world.publish(signed_payload(body), body)


async def publish_orphan(world, number):
    body = {
        **world.successor(world.accepted_bodies[-1]),
        'predecessor': 'ab' * 32,
    }
    body['version'] += number % 3
    world.publish(signed_payload(body), body)


async def publish_out_of_order(world, number):
    body = world.successor(world.accepted_bodies[-1])
    after = world.successor(body)
    world.publish(signed_payload(after, body), after)
    world.publish(signed_payload(body), body)


async def replay_record(world, number):
    held = [entry.payload for entry in world.entries().entries]
    past = held or list(world.body_by_payload)
    world.publish(past[number % len(past)])


async def append_partly_signed(world, number):
    record = signed_record(world.successor(world.accepted_bodies[-1]))
    signed = {'qadri': record.signature_by_member['qadri']}
    world.publish(
        encode_record(replace_fields(record, signature_by_member=signed))
    )


async def truncate_log(world, number):
    head = world.entries().next_offset
    world.core.truncate(CONFIG_STREAM, head - 6 - number % 24)


async def step_reader(world, number):
    daemon = world.daemons[number % DAEMON_COUNT]
    daemon.limit = 1 + number // DAEMON_COUNT % 7
    await daemon.reader.step()


async def toggle_cut_off(world, number):
    world.cut_off ^= {number % DAEMON_COUNT}


async def toggle_muted(world, number):
    world.muted ^= {number % DAEMON_COUNT}


async def restart_empty(world, number):
    slot = number % DAEMON_COUNT
    world.daemons[slot] = SimulatedDaemon(world, slot)


async def advance_clock(world, number):
    world.clock.advance((1 + number % 60) * MINUTE_MS)


ACTIONS = (
    *(
        publish,
        publish_competing,
        publish_orphan,
        publish_out_of_order,
        replay_record,
        append_partly_signed,
    ),
    *(truncate_log, toggle_cut_off, toggle_muted, restart_empty, advance_clock),
    *(step_reader,) * 8,
)
MOVES = drawn.lists(
    drawn.tuples(drawn.sampled_from(ACTIONS), drawn.integers(0, 1000)),
    min_size=20,
    max_size=60,
)


async def play(moves):
    world = Simulation()
    for action, number in moves:
        await action(world, number)
    await world.recover()
    world.check()
    return world


@then('in {count:d} random interleavings the bundle readers agree with the log')
def readers_agree(context, count):
    ends = []

    @settings(max_examples=count)
    @given_drawn(MOVES)
    def agree(moves):
        world = asyncio.run(play(moves))
        ends.append(world.daemons[0].reader.current is not None)

    agree()
    # Without bundles in force the property would hold trivially.
    assert sum(ends) * 2 > len(ends), ends
