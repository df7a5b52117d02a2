"""Task that keeps a daemon's bundle current."""

from waxwingford.bundles._baseline import Located, is_signed_off, locate
from waxwingford.bundles._chain import BundleChain
from waxwingford.bundles._peers import (
    missing_for_start,
    offered_payloads,
)
from waxwingford.bundles._record import CONFIG_STREAM, RejectedBundle
from waxwingford.bundles._restate import Restatement
from waxwingford.bundles._setup import NotReady, ReaderSetup, Ready
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
    """Follows stream ``config``; asks peers while the log is away."""

    def __init__(self, setup: ReaderSetup) -> None:
        """Start without a bundle and without a place in the stream.

        :param setup: what to work with.
        """
        self._setup = setup
        self._chain = BundleChain(setup.key_by_member)
        self._restatement = Restatement(setup.rng)
        self._next_offset: int | None = None
        self._told_version = 0
        self._doubted_version = 0
        self._failures = 0
        self._why_not = 'the log was not read yet'

    @property
    def current(self) -> BundleInForce | None:
        """What governs here.

        :returns: the bundle in force, or None.
        """
        return self._chain.current if self._told_version else None

    def readiness(self) -> Ready | NotReady:
        """Say whether a bundle is in force here.

        :returns: ready, or what is missing.
        """
        return Ready() if self.current else NotReady(self._why_not)

    def whole_record(self) -> bytes:
        """Write what is in force here, for peers.

        :returns: payload of a whole record, empty without a bundle.
        """
        return self._chain.whole_record() if self.current else b''

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        while True:
            pause_ms = await self.step(self._setup.times.long_poll_ms)
            if pause_ms:
                await self._setup.sleep(pause_ms / _MS_IN_S)

    async def step(self, wait_ms: int = 0) -> int:
        """Read once, then do what follows from it.

        :param wait_ms: the log may hold the read for so long.
        :returns: pause before the next step, in milliseconds.
        """
        started_ms = self._setup.clock.monotonic_ms()
        if self._next_offset is None:
            outcome = await self._find_place()
        else:
            outcome = await self._follow(self._next_offset, wait_ms)
        if isinstance(outcome, LogUnavailable):
            self._failures += 1
            await self._ask_peers(f'the log is away ({outcome.reason})')
            return self._backoff_ms()
        self._failures = 0
        if self._next_offset is None and isinstance(outcome, Located):
            await self._ask_peers('the log retains no proof of what governs')
            return self._setup.times.backoff_max_ms
        return self._idle_ms(outcome, started_ms, wait_ms)

    def _idle_ms(
        self, outcome: LogRead | Located, started_ms: int, wait_ms: int
    ) -> int:
        """Pause where the log gave nothing and did not hold the call.

        Such a log would turn the reader into a busy loop.

        :param outcome: of the step.
        :param started_ms: when it began, in milliseconds.
        :param wait_ms: how long the log might have held it.
        :returns: pause, in milliseconds.
        """
        if isinstance(outcome, Located) or outcome.entries:
            return 0
        took_ms = self._setup.clock.monotonic_ms() - started_ms
        return 0 if took_ms * 2 >= wait_ms else self._setup.times.backoff_ms

    async def _find_place(self) -> Located | LogUnavailable:
        located = await locate(self._setup.log, self._setup.key_by_member)
        if isinstance(located, LogUnavailable):
            return located
        found = located.chain
        if found.version > self._chain.version:
            source = FromBaseline(located.as_of)
            self._offer(found.whole_record(), source)
        if found.current is None and self._chain.current is None:
            self._why_not = 'no bundle has been published'
        if self._agrees_with(located):
            self._next_offset = located.next_offset
            self._restatement.start(located.as_of, located.next_offset)
        self._tell()
        return located

    def _agrees_with(self, located: Located) -> bool:
        """Check that the stream's end proves what is in force here.

        Without proof the reader must not go on from there: an old first
        version that is appended again would look like the first one ever,
        and a restatement would vouch for entries that were never read.

        :param located: what the end of the stream shows.
        :returns: whether to follow from there.
        """
        found, own = located.chain.current, self._chain.current
        if found is None or own is None:
            return located.from_start and own is None
        if found.digest == own.digest:
            return True
        if found.version == own.version:
            self._setup.counters.count('bundle_conflict_total')
            self._setup.note(
                'bundle.conflict',
                f'bundle:{own.version}',
                f'the log shows {found.digest}, kept {own.digest}',
            )
        return False

    async def _follow(self, start: int, wait_ms: int) -> LogRead | Located:
        block = await self._setup.log.read(
            CONFIG_STREAM, start, _READ_LIMIT, wait_ms
        )
        if isinstance(block, LogUnavailable):
            return block
        if block.oldest_offset > start:
            # Entries went unread (a long pause here, a short retention):
            # patches after the gap would all be refused, for ever.
            self._setup.note('bundle.gap', 'bundle:', f'unread from {start}')
            self._next_offset = None
            return await self._find_place()
        for entry in block.entries:
            self._next_offset = entry.offset + 1
            self._take_entry(entry.payload, entry.offset)
            if self._next_offset is None:
                break
        self._tell()
        if self._next_offset == block.next_offset:
            await self._restate(block.next_offset, block.oldest_offset)
        return block

    def _take_entry(self, payload: bytes, offset: int) -> None:
        verdict = self._offer(payload, FromLog(offset))
        self._restatement.saw(payload, offset, verdict)
        if not isinstance(verdict, RejectedBundle):
            return
        if verdict.version <= max(self._chain.version, self._doubted_version):
            return
        if is_signed_off(payload, self._setup.key_by_member):
            # Either someone published out of turn, or this reader follows a
            # chain that others do not; without a look back it would refuse
            # all that follows.  Once for each version.
            self._doubted_version = verdict.version
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

    def _tell(self) -> None:
        current = self._chain.current
        if current is None or current.version == self._told_version:
            return
        self._told_version = current.version
        self._setup.counters.gauge('bundle_version', current.version)
        self._setup.note(
            'bundle.in_force', f'bundle:{current.version}', current.digest
        )
        self._setup.on_in_force(current)

    async def _ask_peers(self, why: str) -> None:
        answers = await self._setup.peers.fetch(self._chain.version)
        if self._chain.current is None:
            missing = missing_for_start(answers, self._setup.domain_daemons)
            self._why_not = f'{why}; {missing}'
            if missing:
                return
        for daemon_id, payload in offered_payloads(answers).items():
            verdict = self._offer(payload, FromPeer(daemon_id))
            if isinstance(verdict, InForce):
                # The bundle is ahead of the place in the stream.  Entries
                # between that stand before its own record lost, or came too
                # early, although they now look like its successors.
                self._next_offset = None
        self._tell()

    async def _restate(self, next_offset: int, oldest_offset: int) -> None:
        now_ms = self._setup.clock.monotonic_ms()
        if self.current is None:
            return
        if self._restatement.due(now_ms, oldest_offset):
            await self._setup.log.append(
                CONFIG_STREAM, self._chain.whole_record(next_offset)
            )

    def _backoff_ms(self) -> int:
        times = self._setup.times
        longest_ms = min(
            times.backoff_ms << min(self._failures, _MAX_DOUBLINGS),
            times.backoff_max_ms,
        )
        return self._setup.rng.randint(longest_ms // 2, longest_ms)
