"""Bundle readers of many daemons in one process, over an in-process log."""

import asyncio
import random
import time

from waxwingford.bundles import (
    BundleInForce,
    BundleReader,
    PeerBundle,
    PeerBundleAnswer,
    PeerSilent,
    ReaderSetup,
)
from waxwingford.kernel import SystemClock
from waxwingford.metrics import Metrics
from waxwingford.ports import AppendOutcome, LogUnavailable, ReadOutcome
from waxwingford_bench.bundles.versions import TRUST
from waxwingford_standins.platform_log import FakeLog, LogCore

_MS_IN_S = 1000
_DOMAIN_DAEMONS = 8


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
                    key_by_member=TRUST,
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
