"""Random interleavings of everything that can happen to bundles."""

import asyncio

from behave import then
from hypothesis import given as given_drawn
from hypothesis import settings
from hypothesis import strategies as drawn

from waxwingford.bundles import (
    CONFIG_STREAM,
    PeerBundle,
    PeerSilent,
    canonical_bytes,
    digest_of,
    encode_record,
)
from waxwingford.bundles.tests.chain_steps import REPLACE
from waxwingford.bundles.tests.consortium import (
    first_body,
    next_body,
    payload_of,
    reader_of,
    record_of,
)
from waxwingford.kernel import ManualClock
from waxwingford.ports import LogUnavailable
from waxwingford_standins.platform_log import FakeLog, LogCore

SLOTS = 4
MINUTE_MS = 60_000
ALL = 1000


def digest(body):
    return digest_of(canonical_bytes(body))


class Daemon(FakeLog):
    """A daemon's reader with its own way to the log and to its peers."""

    def __init__(self, world, slot):
        """Start empty in a slot of the world."""
        super().__init__(world.core, world.clock)
        self.world = world
        self.slot = slot
        self.limit = ALL
        self.told = []
        others = frozenset(f'd{other}' for other in range(SLOTS))
        self.reader = reader_of(
            self,
            self,
            world.clock,
            others - {f'd{slot}'},
            self.hear,
            lambda *_: None,
        )

    def hear(self, seen):
        """Check each bundle that takes force here."""
        known = [digest(body) for body in self.world.truth]
        assert seen.digest in known, f'd{self.slot} took a loser {seen}'
        assert seen.version > max(self.told, default=0), 'went back'
        self.told.append(seen.version)

    async def read(self, stream, from_offset, limit, wait_ms=0):
        """Read few entries at once, or none when cut off."""
        if self.slot in self.world.cut:
            return LogUnavailable('cut off')
        small = min(limit, self.limit)
        return await super().read(stream, from_offset, small, wait_ms)

    async def fetch(self, after_version):
        """Ask the others; a muted one does not answer."""
        return {
            f'd{slot}': PeerSilent('muted')
            if slot in self.world.muted or self.slot in self.world.muted
            else PeerBundle(self.world.payloads(slot, after_version))
            for slot in range(SLOTS)
            if slot != self.slot
        }


class World:
    """The log, what is truly in force, and the daemons."""

    def __init__(self):
        """Publish a first version."""
        self.clock = ManualClock()
        self.core = LogCore()
        self.cut = set()
        self.muted = set()
        self.body_by_payload = {}
        self.truth = [first_body()]
        self.count = 100
        self.publish(payload_of(self.truth[0]), self.truth[0])
        self.daemons = [Daemon(self, slot) for slot in range(SLOTS)]

    def entries(self):
        return self.core.read(CONFIG_STREAM, 0, ALL, 0)

    def payloads(self, slot, after_version):
        reader = self.daemons[slot].reader
        newer = reader.current and reader.current.version > after_version
        return (reader.whole_record(),) if newer else ()

    def publish(self, payload, body=None):
        """Append, and write down whether it takes force."""
        self.clock.advance(10)
        self.core.append(CONFIG_STREAM, payload, self.clock.monotonic_ms())
        if body:
            self.body_by_payload[payload] = body
        body = self.body_by_payload.get(payload)
        if body and body['predecessor'] == digest(self.truth[-1]):
            self.truth.append(body)

    def successor(self, before):
        self.count += 1
        return next_body(before, self.count)

    async def heal(self):
        """Let all read to the head and restate."""
        self.cut.clear()
        self.muted.clear()
        for _ in range(60):
            self.clock.advance(MINUTE_MS)
            for daemon in self.daemons:
                daemon.limit = ALL
                await daemon.reader.step()

    def check(self):
        """All have what is in force, if any of them has it."""
        newest = digest(self.truth[-1])
        held = [
            daemon.reader.current and daemon.reader.current.digest
            for daemon in self.daemons
        ]
        if newest in held:
            assert set(held) == {newest}, held


async def publish(world, number):
    body = world.successor(world.truth[-1])
    base = world.truth[-1] if number % 2 else None
    world.publish(payload_of(body, base), body)


async def race(world, number):
    body = world.successor(world.truth[max(len(world.truth) - 2, 0)])
    world.publish(payload_of(body), body)


async def orphan(world, number):
    body = {**world.successor(world.truth[-1]), 'predecessor': 'ab' * 32}
    body['version'] += number % 3
    world.publish(payload_of(body), body)


async def early(world, number):
    body = world.successor(world.truth[-1])
    after = world.successor(body)
    world.publish(payload_of(after, body), after)
    world.publish(payload_of(body), body)


async def replay(world, number):
    held = [entry.payload for entry in world.entries().entries]
    past = held or list(world.body_by_payload)
    world.publish(past[number % len(past)])


async def forge(world, number):
    record = record_of(world.successor(world.truth[-1]))
    signed = {'qadri': record.signature_by_member['qadri']}
    world.publish(encode_record(REPLACE(record, signature_by_member=signed)))


async def drop(world, number):
    head = world.entries().next_offset
    world.core.truncate(CONFIG_STREAM, head - 6 - number % 24)


async def step(world, number):
    daemon = world.daemons[number % SLOTS]
    daemon.limit = 1 + number // SLOTS % 7
    await daemon.reader.step()


async def cut(world, number):
    world.cut ^= {number % SLOTS}


async def mute(world, number):
    world.muted ^= {number % SLOTS}


async def replace(world, number):
    slot = number % SLOTS
    world.daemons[slot] = Daemon(world, slot)


async def wait(world, number):
    world.clock.advance((1 + number % 60) * MINUTE_MS)


ACTIONS = (
    *(publish, race, orphan, early, replay, forge),
    *(drop, cut, mute, replace, wait),
    *(step,) * 8,
)
MOVES = drawn.lists(
    drawn.tuples(drawn.sampled_from(ACTIONS), drawn.integers(0, 1000)),
    min_size=20,
    max_size=60,
)


async def play(moves):
    world = World()
    for action, number in moves:
        await action(world, number)
    await world.heal()
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
    # A world in which nothing is ever in force would prove nothing.
    assert sum(ends) * 2 > len(ends), ends
