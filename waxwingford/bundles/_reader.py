"""Task that keeps a daemon's bundle up to date."""

from waxwingford.bundles._baseline import (
    RecoveredChain,
    is_signed_off,
    recover_chain,
)
from waxwingford.bundles._chain import BundleChain
from waxwingford.bundles._peers import (
    bootstrap_fault,
    offered_payloads,
)
from waxwingford.bundles._record import CONFIG_STREAM, RejectedBundle
from waxwingford.bundles._restate import RestatementSchedule
from waxwingford.bundles._setup import NotReady, ReaderDependencies, Ready
from waxwingford.bundles._verdicts import (
    BundleInForce,
    FromBaseline,
    FromLog,
    FromPeer,
    InForce,
    Source,
    Verdict,
)
from waxwingford.ports import LogRead, LogUnavailable

_READ_LIMIT = 256
_MS_IN_S = 1000
_MAX_DOUBLINGS = 16


class BundleReader:
    """Follows stream ``config``; queries peers while the log is unavailable."""

    def __init__(self, setup: ReaderDependencies) -> None:
        self._setup = setup
        self._chain = BundleChain(setup.key_by_member)
        self._restatement_schedule = RestatementSchedule(setup.rng)
        self._next_offset: int | None = None
        self._notified_version = 0
        self._rechecked_version = 0
        self._failures = 0
        self._not_ready_reason = 'the log has not been read yet'

    @property
    def current(self) -> BundleInForce | None:
        """Bundle in force on this daemon, or None."""
        return self._chain.current if self._notified_version else None

    def readiness(self) -> Ready | NotReady:
        """Report whether a bundle is in force on this daemon."""
        return Ready() if self.current else NotReady(self._not_ready_reason)

    def whole_record(self) -> bytes:
        """Encode the bundle in force for peers.

        :returns: encoded record with its whole body, empty without a bundle.
        """
        return self._chain.whole_record() if self.current else b''

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        while True:
            pause_ms = await self.step(self._setup.times.long_poll_ms)
            if pause_ms:
                await self._setup.sleep(pause_ms / _MS_IN_S)

    async def step(self, wait_ms: int = 0) -> int:
        """Read from the log once and process the result.

        :param wait_ms: maximum long-poll time of the read, in milliseconds.
        :returns: pause before the next step, in milliseconds.
        """
        started_ms = self._setup.clock.monotonic_ms()
        if self._next_offset is None:
            outcome = await self._find_position()
        else:
            outcome = await self._follow(self._next_offset, wait_ms)
        if isinstance(outcome, LogUnavailable):
            self._failures += 1
            await self._query_peers(f'the log is away ({outcome.reason})')
            return self._backoff_ms()
        self._failures = 0
        if self._next_offset is None and isinstance(outcome, RecoveredChain):
            await self._query_peers('the log retains no proof of what governs')
            return self._setup.times.backoff_max_ms
        return self._idle_pause_ms(outcome, started_ms, wait_ms)

    def _idle_pause_ms(
        self, outcome: LogRead | RecoveredChain, started_ms: int, wait_ms: int
    ) -> int:
        """Pause if the log returned no entries without a long poll.

        Prevents a busy loop.

        :param started_ms: monotonic time when the step began, in milliseconds.
        :param wait_ms: requested long-poll time, in milliseconds.
        """
        if isinstance(outcome, RecoveredChain) or outcome.entries:
            return 0
        elapsed_ms = self._setup.clock.monotonic_ms() - started_ms
        return 0 if elapsed_ms * 2 >= wait_ms else self._setup.times.backoff_ms

    async def _find_position(self) -> RecoveredChain | LogUnavailable:
        recovered = await recover_chain(
            self._setup.log, self._setup.key_by_member
        )
        if isinstance(recovered, LogUnavailable):
            return recovered
        found = recovered.chain
        if found.version > self._chain.version:
            source = FromBaseline(recovered.as_of)
            self._offer(found.whole_record(), source)
        if found.current is None and self._chain.current is None:
            self._not_ready_reason = 'no bundle has been published'
        if self._is_consistent_with(recovered):
            self._next_offset = recovered.next_offset
            self._restatement_schedule.reset(
                recovered.as_of, recovered.next_offset
            )
        self._notify()
        return recovered

    def _is_consistent_with(self, recovered: RecoveredChain) -> bool:
        """Check that the log proves the bundle in force on this daemon.

        Without proof the reader must not follow from the head: version 1
        appended again would be taken as the first version, and a restatement
        would cover entries that were never read.

        :returns: whether to follow the stream from the head.
        """
        found, own = recovered.chain.current, self._chain.current
        if found is None or own is None:
            return recovered.from_start and own is None
        if found.digest == own.digest:
            return True
        if found.version == own.version:
            self._setup.counters.count('bundle_conflict_total')
            self._setup.note(
                'bundle.conflict',
                f'bundle:{own.version}',
                f'log has {found.digest}, keeping {own.digest}',
            )
        return False

    async def _follow(
        self, start: int, wait_ms: int
    ) -> LogRead | RecoveredChain:
        block = await self._setup.log.read(
            CONFIG_STREAM, start, _READ_LIMIT, wait_ms
        )
        if isinstance(block, LogUnavailable):
            return block
        if block.oldest_offset > start:
            # Entries were dropped before they were read.  Patches after the
            # gap can't be applied, so find the chain at the head again.
            self._setup.note(
                'bundle.gap', 'bundle:', f'entries dropped unread from {start}'
            )
            self._next_offset = None
            return await self._find_position()
        for entry in block.entries:
            self._next_offset = entry.offset + 1
            self._process_entry(entry.payload, entry.offset)
            if self._next_offset is None:
                break
        self._notify()
        if self._next_offset == block.next_offset:
            await self._restate(block.next_offset, block.oldest_offset)
        return block

    def _process_entry(self, payload: bytes, offset: int) -> None:
        verdict = self._offer(payload, FromLog(offset))
        self._restatement_schedule.observe_entry(payload, offset, verdict)
        if not isinstance(verdict, RejectedBundle):
            return
        if verdict.version <= max(self._chain.version, self._rechecked_version):
            return
        if is_signed_off(payload, self._setup.key_by_member):
            # Either a version was published out of order, or this reader
            # follows a chain that lost, and would reject all later versions.
            # Find the chain at the head again, once per version.
            self._rechecked_version = verdict.version
            self._next_offset = None

    def _offer(self, payload: bytes, source: Source) -> Verdict:
        verdict = self._chain.offer_payload(payload, source)
        if isinstance(verdict, RejectedBundle):
            self._setup.counters.count('bundle_rejected_total')
            self._setup.note(
                'bundle.rejected',
                f'bundle:{verdict.version}',
                f'{verdict.reason} ({source})',
            )
        return verdict

    def _notify(self) -> None:
        current = self._chain.current
        if current is None or current.version == self._notified_version:
            return
        self._notified_version = current.version
        self._setup.counters.gauge('bundle_version', current.version)
        self._setup.note(
            'bundle.in_force', f'bundle:{current.version}', current.digest
        )
        self._setup.on_bundle_change(current)

    async def _query_peers(self, trigger: str) -> None:
        answers = await self._setup.peers.fetch(self._chain.version)
        if self._chain.current is None:
            fault = bootstrap_fault(answers, self._setup.domain_peers)
            self._not_ready_reason = f'{trigger}; {fault}'
            if fault:
                return
        for daemon_id, payload in offered_payloads(answers).items():
            verdict = self._offer(payload, FromPeer(daemon_id))
            if isinstance(verdict, InForce):
                # The bundle is ahead of the position in the stream.  Entries
                # before its own record lost or were out of order, but would
                # now be taken as its successors.
                self._next_offset = None
        self._notify()

    async def _restate(self, next_offset: int, oldest_offset: int) -> None:
        now_ms = self._setup.clock.monotonic_ms()
        if self.current is None:
            return
        if self._restatement_schedule.is_due(now_ms, oldest_offset):
            await self._setup.log.append(
                CONFIG_STREAM, self._chain.whole_record(next_offset)
            )

    def _backoff_ms(self) -> int:
        times = self._setup.times
        max_pause_ms = min(
            times.backoff_ms << min(self._failures, _MAX_DOUBLINGS),
            times.backoff_max_ms,
        )
        return self._setup.rng.randint(max_pause_ms // 2, max_pause_ms)
