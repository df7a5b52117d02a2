"""Bundle readers of many daemons in one process, with an in-process log."""

import asyncio
import random
import time

from waxwingford.bundles import (
    BundleInForce,
    BundleReader,
    PeerBundle,
    PeerBundleAnswer,
    PeerUnavailable,
    ReaderDependencies,
)
from waxwingford.kernel import SystemClock
from waxwingford.metrics import Metrics
from waxwingford.ports import AppendOutcome, LogUnavailable, ReadOutcome
from waxwingford_bench.bundles.versions import TRUST
from waxwingford_standins.platform_log import FakeLog, LogCore

_MS_IN_S = 1000
_DOMAIN_DAEMONS = 8


class LongPollLog(FakeLog):
    """Port to an in-process log that supports long polling.

    :ivar unavailable: whether reads through this port fail.
    :ivar read_bytes: size of all payloads read, in bytes.
    """

    def __init__(self, core: LogCore, appended: asyncio.Condition) -> None:
        """Create a port to the shared log.

        :param core: shared log.
        :param appended: condition notified after every append.
        """
        super().__init__(core, SystemClock())
        self.unavailable = False
        self.read_bytes = 0
        self._appended = appended

    async def append(self, stream: str, payload: bytes) -> AppendOutcome:
        """Append an entry and wake pending reads.

        :param stream: name of the stream.
        :param payload: payload of the entry.
        :returns: outcome of the append.
        """
        outcome = await super().append(stream, payload)
        async with self._appended:
            self._appended.notify_all()
        return outcome

    async def read(
        self, stream: str, from_offset: int, limit: int, wait_ms: int = 0
    ) -> ReadOutcome:
        """Read entries, waiting for an append if there are none.

        :param stream: name of the stream.
        :param from_offset: first offset to read.
        :param limit: maximum number of entries.
        :param wait_ms: maximum wait, in milliseconds.
        :returns: outcome of the read.
        """
        if self.unavailable:
            return LogUnavailable('not connected')
        outcome = await super().read(stream, from_offset, limit)
        entries = getattr(outcome, 'entries', ())
        self.read_bytes += sum(len(entry.payload) for entry in entries)
        if wait_ms and not entries:
            try:
                async with asyncio.timeout(wait_ms / _MS_IN_S), self._appended:
                    await self._appended.wait()
            except TimeoutError:
                return outcome
            return await self.read(stream, from_offset, limit)
        return outcome


class Fleet:
    """Bundle readers that share a log and are peers of each other.

    :ivar core: shared log.
    :ivar log_ports: port of each reader to the log.
    :ivar times_by_version: monotonic seconds at which each version came into
        force, one for each reader that has it.
    :ivar readers: bundle readers.
    """

    def __init__(self, count: int) -> None:
        """Create readers without running them.

        :param count: number of readers.
        """
        self.core = LogCore()
        appended = asyncio.Condition()
        self.log_ports = [
            LongPollLog(self.core, appended) for _ in range(count)
        ]
        self.times_by_version: dict[int, list[float]] = {}
        self.readers = [
            BundleReader(
                ReaderDependencies(
                    log=log,
                    peers=FleetPeers(self, own_index),
                    clock=SystemClock(),
                    key_by_member=TRUST,
                    domain_peers=frozenset(),
                    on_bundle_change=self._record_in_force,
                    note=_ignore_event,
                    counters=Metrics(),
                    rng=random.Random(own_index),
                )
            )
            for own_index, log in enumerate(self.log_ports)
        ]

    async def wait_for_version(self, version: int) -> list[float]:
        """Wait until a version is in force in all readers.

        :param version: version number.
        :returns: monotonic seconds at which it came into force, one for each
            reader.
        """
        times = self.times_by_version.setdefault(version, [])
        while len(times) < len(self.readers):
            await asyncio.sleep(0.001)
        return times

    def _record_in_force(self, in_force: BundleInForce) -> None:
        times = self.times_by_version.setdefault(in_force.version, [])
        times.append(time.perf_counter())


class FleetPeers:
    """Peers of one reader: its failure domain and a few distant daemons."""

    def __init__(self, fleet: Fleet, own_index: int) -> None:
        """Select the peers.

        :param fleet: all readers.
        :param own_index: index of the reader whose peers these are.
        """
        self._fleet = fleet
        first = own_index - own_index % _DOMAIN_DAEMONS
        domain_peers = set(range(first, first + _DOMAIN_DAEMONS))
        self._own_index = own_index
        self._step = _DOMAIN_DAEMONS
        self._domain_peers = domain_peers

    async def fetch(self, after_version: int) -> dict[str, PeerBundleAnswer]:
        """Fetch newer bundles from the peers.

        :param after_version: version that the reader has.
        :returns: answer by daemon id.
        """
        count = len(self._fleet.readers)
        distant_peers = {
            (self._own_index + self._step * 2**power) % count
            for power in range(6)
        }
        chosen = (self._domain_peers | distant_peers) - {self._own_index}
        return {
            f'd{peer}': _ask_peer(self._fleet.readers, peer, after_version)
            for peer in sorted(chosen)
        }


def _ask_peer(
    readers: list[BundleReader], peer: int, after_version: int
) -> PeerBundleAnswer:
    if peer >= len(readers):
        return PeerUnavailable('absent')
    current = readers[peer].current
    if current is None or current.version <= after_version:
        return PeerBundle(())
    return PeerBundle((readers[peer].whole_record(),))


def _ignore_event(kind: str, subject: str, detail: str = '') -> None:
    """Discard an event.

    :param kind: kind of the event.
    :param subject: object that it concerns.
    :param detail: details as text.
    """
