"""Measures the rollout of bundles in one process, over an in-process log.

``python -m waxwingford_bench.bundles_rollout`` prints one JSON line for each
measurement: time from append to in force by reader count, the same from one
peer while the log is away, and processor time and bytes of a change by the
size of the bundle.  All readers share one process and one event loop, so the
times are those of many daemons on one core, an upper bound for one.
"""

import argparse
import asyncio
import copy
import itertools
import random
import statistics
import sys
import time
from typing import NamedTuple

import msgspec
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from waxwingford.bundles import (
    CONFIG_STREAM,
    RESTATE_CHANGES,
    Body,
    Bundle,
    BundleChain,
    BundleInForce,
    BundleReader,
    FromLog,
    PeerBundle,
    PeerBundleAnswer,
    PeerSilent,
    ReaderSetup,
    body_of,
    canonical_bytes,
    digest_of,
    encode_record,
    make_record,
    public_text,
    sign_digest,
)
from waxwingford.kernel import SystemClock
from waxwingford.metrics import Metrics
from waxwingford.ports import AppendOutcome, LogUnavailable, ReadOutcome
from waxwingford_standins.platform_log import FakeLog, LogCore

_KEYS = {
    member: Ed25519PrivateKey.from_private_bytes(bytes([index]) * 32)
    for index, member in enumerate(('qadri', 'svatbena'), 1)
}
_TRUST = {member: public_text(key) for member, key in _KEYS.items()}
_MS_IN_S = 1000
_CHANGES_A_DAY = 6900
_DAY_MS = 86_400_000
_TEAMS = (10, 100, 680)
_READERS = (8, 144)
#: Just after a restatement, and just before the next is due.
_STREAM_CHANGES = (322, 382)
_DOMAIN_DAEMONS = 8


class Figures(NamedTuple):
    """One measurement.

    :ivar name: what was measured.
    :ivar readers: readers in the process.
    :ivar teams: teams in the bundle.
    :ivar changes: changes that were made.
    :ivar p50_ms: median over readers and changes, in milliseconds.
    :ivar max_ms: largest, in milliseconds.
    """

    name: str
    readers: int
    teams: int
    changes: int
    p50_ms: float
    max_ms: float


class Cost(NamedTuple):
    """Cost of a change in one daemon.

    :ivar name: what was measured.
    :ivar teams: teams in the bundle.
    :ivar body_bytes: canonical body.
    :ivar record_bytes: record of a change.
    :ivar whole_bytes: whole record, as restated.
    :ivar processor_ms: processor time of taking one change in, milliseconds.
    :ivar share_of_core: at 6,900 changes a day.
    """

    name: str
    teams: int
    body_bytes: int
    record_bytes: int
    whole_bytes: int
    processor_ms: float
    share_of_core: float


class StartCost(NamedTuple):
    """Cost of a start with an empty memory.

    :ivar name: what was measured.
    :ivar teams: teams in the bundle.
    :ivar changes: changes in the stream.
    :ivar read_bytes: payloads read until the bundle was in force.
    :ivar processor_ms: processor time until then, in milliseconds.
    """

    name: str
    teams: int
    changes: int
    read_bytes: int
    processor_ms: float


class HeldLog(FakeLog):
    """In-process log that holds reads until something is appended.

    :ivar away: whether the log is out of service, for this port only.
    :ivar read_bytes: payloads read.
    """

    def __init__(self, core: LogCore, grown: asyncio.Condition) -> None:
        """Bind a port to the shared core.

        :param core: the log.
        :param grown: notified by every append.
        """
        super().__init__(core, SystemClock())
        self.away = False
        self.read_bytes = 0
        self._grown = grown

    async def append(self, stream: str, payload: bytes) -> AppendOutcome:
        """Append and wake held reads.

        :param stream: its name.
        :param payload: one entry.
        :returns: tagged outcome.
        """
        outcome = await super().append(stream, payload)
        async with self._grown:
            self._grown.notify_all()
        return outcome

    async def read(
        self, stream: str, from_offset: int, limit: int, wait_ms: int = 0
    ) -> ReadOutcome:
        """Read, or wait until there is something to read.

        :param stream: its name.
        :param from_offset: first offset wanted.
        :param limit: entries at most.
        :param wait_ms: longest wait, in milliseconds.
        :returns: tagged outcome.
        """
        if self.away:
            return LogUnavailable('away')
        outcome = await super().read(stream, from_offset, limit)
        entries = getattr(outcome, 'entries', ())
        self.read_bytes += sum(len(entry.payload) for entry in entries)
        if wait_ms and not entries:
            try:
                async with asyncio.timeout(wait_ms / _MS_IN_S), self._grown:
                    await self._grown.wait()
            except TimeoutError:
                return outcome
            return await self.read(stream, from_offset, limit)
        return outcome


class Fleet:
    """Readers that share a log and are each other's peers."""

    def __init__(self, count: int) -> None:
        """Start readers without running them.

        :param count: how many.
        """
        self.core = LogCore()
        grown = asyncio.Condition()
        self.logs = [HeldLog(self.core, grown) for _ in range(count)]
        self.at_by_version: dict[int, list[float]] = {}
        self.readers = [
            BundleReader(
                ReaderSetup(
                    log=log,
                    peers=PeersOf(self, own),
                    clock=SystemClock(),
                    key_by_member=_TRUST,
                    domain_daemons=frozenset(),
                    on_in_force=self._hear,
                    note=_note_nothing,
                    counters=Metrics(),
                    rng=random.Random(own),
                )
            )
            for own, log in enumerate(self.logs)
        ]

    async def until(self, version: int) -> list[float]:
        """Wait until a version is in force in all readers.

        :param version: which.
        :returns: monotonic seconds at which it took force, by reader.
        """
        times = self.at_by_version.setdefault(version, [])
        while len(times) < len(self.readers):
            await asyncio.sleep(0.001)
        return times

    def _hear(self, in_force: BundleInForce) -> None:
        times = self.at_by_version.setdefault(in_force.version, [])
        times.append(time.perf_counter())


class PeersOf:
    """Peers of one reader: the other daemons of its failure domain, and one.

    As daemons do, a reader asks its own failure domain and a few others.
    """

    def __init__(self, fleet: Fleet, own: int) -> None:
        """Choose the peers.

        :param fleet: all readers.
        :param own: index of the asking reader.
        """
        self._fleet = fleet
        first = own - own % _DOMAIN_DAEMONS
        beside = set(range(first, first + _DOMAIN_DAEMONS))
        self._own = own
        self._step = _DOMAIN_DAEMONS
        self._beside = beside

    async def fetch(self, after_version: int) -> dict[str, PeerBundleAnswer]:
        """Ask them.

        :param after_version: version known.
        :returns: answer by daemon id.
        """
        count = len(self._fleet.readers)
        far = {
            (self._own + self._step * 2**power) % count for power in range(6)
        }
        chosen = (self._beside | far) - {self._own}
        return {
            f'd{peer}': _answer(self._fleet.readers, peer, after_version)
            for peer in sorted(chosen)
        }


def _answer(
    readers: list[BundleReader], peer: int, after_version: int
) -> PeerBundleAnswer:
    if peer >= len(readers):
        return PeerSilent('absent')
    current = readers[peer].current
    if current is None or current.version <= after_version:
        return PeerBundle(())
    return PeerBundle((readers[peer].whole_record(),))


def _note_nothing(kind: str, subject: str, detail: str = '') -> None:
    """Drop an event.

    :param kind: what happened.
    :param subject: what it is about.
    :param detail: for people.
    """


def make_first(teams: int) -> Bundle:
    """Make a first version.

    :param teams: teams with quotas.
    :returns: bundle.
    """
    size = {'processors_milli': 8000, 'memory_mb': 16_000}
    return Bundle.model_validate_json(
        msgspec.json.encode(
            {
                'version': 1,
                'predecessor': '',
                'members': {'qadri': {'share': 1.0}},
                'failure_domains': {
                    f'domain{index}': {'region': 'lahore', 'daemons': []}
                    for index in range(18)
                },
                'largest_server': size,
                'services': {},
                'teams': {f'qadri/team{index}': size for index in range(teams)},
            }
        )
    )


def make_next(before: Bundle) -> Bundle:
    """Make a successor that changes one quota.

    :param before: version before.
    :returns: bundle.
    """
    body = copy.deepcopy(body_of(before))
    body['predecessor'] = digest_of(canonical_bytes(body_of(before)))
    body['version'] += 1
    body['teams']['qadri/team1']['memory_mb'] += 1
    return Bundle.model_validate_json(msgspec.json.encode(body))


def make_payload(bundle: Bundle, before: Body) -> bytes:
    """Sign a bundle and write its record.

    :param bundle: what to publish.
    :param before: body that it succeeds, empty for none.
    :returns: payload.
    """
    digest = digest_of(canonical_bytes(body_of(bundle)))
    signatures = {
        member: sign_digest(key, digest) for member, key in _KEYS.items()
    }
    return encode_record(make_record(bundle, signatures, before))


async def measure_rollout(count: int, teams: int, changes: int) -> Figures:
    """Time from append to in force, all readers reading the log.

    :param count: readers.
    :param teams: teams in the bundle.
    :param changes: changes to make, one after the other.
    :returns: figures.
    """
    fleet = Fleet(count)
    bundle = make_first(teams)
    await fleet.logs[0].append(CONFIG_STREAM, make_payload(bundle, {}))
    waits: list[float] = []
    async with asyncio.TaskGroup() as group:
        tasks = [group.create_task(one.run()) for one in fleet.readers]
        await fleet.until(1)
        for _ in range(changes):
            before, bundle = bundle, make_next(bundle)
            payload = make_payload(bundle, body_of(before))
            await asyncio.sleep(0.05)
            started = time.perf_counter()
            await fleet.logs[0].append(CONFIG_STREAM, payload)
            times = await fleet.until(bundle.version)
            waits += [(at - started) * _MS_IN_S for at in times]
        _cancel(tasks)
    return _figures('append to in force', count, teams, changes, waits)


async def measure_from_peer(count: int, teams: int, changes: int) -> Figures:
    """Time until all have what one peer has, with the log away for the rest.

    :param count: readers.
    :param teams: teams in the bundle.
    :param changes: changes to make, one after the other.
    :returns: figures.
    """
    fleet = Fleet(count)
    bundle = make_first(teams)
    await fleet.logs[0].append(CONFIG_STREAM, make_payload(bundle, {}))
    waits: list[float] = []
    async with asyncio.TaskGroup() as group:
        tasks = [group.create_task(one.run()) for one in fleet.readers]
        await fleet.until(1)
        for log in fleet.logs[1:]:
            log.away = True
        for _ in range(changes):
            before, bundle = bundle, make_next(bundle)
            payload = make_payload(bundle, body_of(before))
            # Long enough for the pauses between questions to be longest.
            await asyncio.sleep(10)
            started = time.perf_counter()
            await fleet.logs[0].append(CONFIG_STREAM, payload)
            times = await fleet.until(bundle.version)
            waits += [(at - started) * _MS_IN_S for at in times]
        _cancel(tasks)
    return _figures('one peer to all', count, teams, changes, waits)


def measure_cost(teams: int, changes: int) -> Cost:
    """Processor time and bytes of a change in one daemon.

    :param teams: teams in the bundle.
    :param changes: changes to take the mean of.
    :returns: figures.
    """
    bundle = make_first(teams)
    chain = BundleChain(_TRUST)
    chain.offer_payload(make_payload(bundle, {}), FromLog(0))
    payloads = []
    for _ in range(changes):
        before, bundle = bundle, make_next(bundle)
        payloads.append(make_payload(bundle, body_of(before)))
    started = time.process_time()
    for offset, payload in enumerate(payloads, 1):
        chain.offer_payload(payload, FromLog(offset))
    spent_ms = (time.process_time() - started) * _MS_IN_S / changes
    if chain.version != changes + 1:
        raise ValueError(f'only version {chain.version} took force')
    return Cost(
        'change',
        teams,
        len(canonical_bytes(body_of(bundle))),
        len(payloads[-1]),
        len(chain.whole_record(changes)),
        round(spent_ms, 3),
        round(spent_ms * _CHANGES_A_DAY / _DAY_MS, 7),
    )


async def measure_start(teams: int, changes: int) -> StartCost:
    """Bytes and processor time until an empty VM has its bundle.

    :param teams: teams in the bundle.
    :param changes: changes in the stream, restated as daemons do.
    :returns: figures.
    """
    fleet = Fleet(1)
    bundle = make_first(teams)
    chain = BundleChain(_TRUST)
    before: Body = {}
    offsets = itertools.count()
    for _ in range(changes):
        offset = next(offsets)
        payload = make_payload(bundle, before)
        chain.offer_payload(payload, FromLog(offset))
        fleet.core.append(CONFIG_STREAM, payload, offset * _MS_IN_S)
        if not bundle.version % RESTATE_CHANGES:
            offset = next(offsets)
            payload = chain.whole_record(offset)
            fleet.core.append(CONFIG_STREAM, payload, offset * _MS_IN_S)
        before, bundle = body_of(bundle), make_next(bundle)
    started = time.process_time()
    await fleet.readers[0].step()
    spent_ms = (time.process_time() - started) * _MS_IN_S
    if changes not in fleet.at_by_version:
        raise ValueError(f'only {list(fleet.at_by_version)} took force')
    read_bytes = fleet.logs[0].read_bytes
    return StartCost('start', teams, changes, read_bytes, round(spent_ms, 1))


def _cancel(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()


def _figures(
    name: str, count: int, teams: int, changes: int, waits: list[float]
) -> Figures:
    return Figures(
        name,
        count,
        teams,
        changes,
        round(statistics.median(waits), 1),
        round(max(waits), 1),
    )


def main() -> None:
    """Run all measurements."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--changes', type=int, default=20)
    parser.add_argument('--outages', type=int, default=3)
    options = parser.parse_args()
    for teams in _TEAMS:
        _print(measure_cost(teams, options.changes * 10))
    for changes in _STREAM_CHANGES:
        _print(asyncio.run(measure_start(_TEAMS[-1], changes)))
    for count in _READERS:
        _print(asyncio.run(measure_rollout(count, 680, options.changes)))
    for count in _READERS:
        _print(asyncio.run(measure_from_peer(count, 680, options.outages)))


def _print(figures: Figures | Cost | StartCost) -> None:
    line = msgspec.json.encode(figures._asdict()).decode()
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    main()
