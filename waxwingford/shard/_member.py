"""Member of a shard: a standby that claims the shard when it has no owner."""

import asyncio
import enum
import random
from collections.abc import Callable
from typing import TYPE_CHECKING

from waxwingford.scheduling import Terms
from waxwingford.shard._clocks import MS_PER_S, monotonic_ms
from waxwingford.shard._journal import (
    Claimed,
    ClaimFailed,
    ClaimOvertaken,
    OwnerRecord,
    Predecessor,
)
from waxwingford.shard._load_report import LoadReport
from waxwingford.shard._log_port import SharedLog
from waxwingford.shard._observer import Observer
from waxwingford.shard._watch import OwnerWatch

if TYPE_CHECKING:
    from waxwingford.shard._owner import Owner

#: Greatest random delay of a claim, in ms, if the owner resigned or there never
#: was one.
UNOWNED_JITTER_MS = 60
#: Uptime of a daemon, in ms, above which its claim of a shard without owner is
#: delayed by the time below, in ms. In a rolling restart the shard then moves
#: to a restarted daemon at once instead of with each stop.
LONG_UPTIME_MS = 30_000
LONG_UPTIME_DELAY_MS = 80
#: Time in ms for which an owner that resigned because it was cut off makes no
#: claim, and delay in ms of claims in its failure domain: daemons elsewhere are
#: more likely to reach the servers and the store.
CUT_OFF_COOLDOWN_MS = 6000
CUT_OFF_DOMAIN_DELAY_MS = 1500
#: Ratio of the previous owner's cores to this daemon's above which a claim is
#: delayed by the time below, in ms, so that a daemon on a stronger VM claims
#: first: a VM that is too weak for the shard would serve it late.
WEAKER_VM_RATIO = 1.25
WEAKER_VM_DELAY_MS = 400
#: Greatest age of a heartbeat, in ms, whose report of the load is used.
MAX_REPORT_AGE_MS = 1000
#: Delay after a failed read or claim, in seconds.
RETRY_DELAY_S = 0.15


class IntakeRoute(enum.Enum):
    """Which daemon may append a submitted job to the intake."""

    #: The owner, or this daemon if the owner fails to.
    either = 'either'
    #: Only the owner: on a slow store appends of several daemons queue up for
    #: seconds and delay those of the owner.
    owner_only = 'owner only'
    #: None, because the store is slow and there is no live owner.
    none = 'none'


class ShardMember:
    """Standby of a shard, which claims it when the owner is lost.

    :ivar daemon_id: identifier of this daemon.
    :ivar terms: configuration in force.
    :ivar owner: the owner while this daemon claims or owns the shard.
    """

    def __init__(
        self,
        daemon_id: str,
        failure_domain: str,
        log: SharedLog,
        make_owner: Callable[[Terms], 'Owner'],
        observer: Observer,
        cores: float,
        can_own: asyncio.Event | None = None,
    ) -> None:
        """Create a member; ``stand_by`` starts it.

        :param make_owner: creates an owner that has not claimed yet.
        :param cores: processor of this daemon's VM, in reference cores.
        :param can_own: set once an owner can be created; by default it can be.
        """
        self._cores = cores
        self._can_own = can_own
        self.terms = Terms(0, {})
        self.owner: Owner | None = None
        self.daemon_id = daemon_id
        self._failure_domain = failure_domain
        self._cooldown_until_ms = 0
        self._make_owner = make_owner
        self._watch = OwnerWatch(log)
        self._observer = observer
        self._resigning = False
        self._other_claim_epoch = 0
        self._claimed_epoch = 0
        self._started_ms = 0

    @property
    def owner_record(self) -> OwnerRecord | None:
        """Last known owner of the shard.

        :returns: newest heartbeat, ``None`` if there never was one.
        """
        return self._watch.record

    @property
    def load_report(self) -> LoadReport:
        """Jobs that wait and classes that are refused, as the owner reports.

        :returns: report, empty if there is no recent one.
        """
        if self.owner is not None:
            return self.owner.load_report()
        record = self._watch.record
        if record is None or self._watch.silent_ms > MAX_REPORT_AGE_MS:
            return LoadReport()
        return LoadReport(
            record.pending_by_queue,
            record.urgent_retry_s,
            record.best_effort_retry_s,
            record.room_retry_s,
            record.kept_job_bytes,
            record.max_job_bytes,
        )

    @property
    def knows_owner(self) -> bool:
        """Whether the shard had an owner that has not resigned."""
        return not self._watch.unowned

    @property
    def intake_route(self) -> IntakeRoute:
        """Which daemon may append a submitted job to the intake."""
        if self.owner is not None or not self._watch.store_slow:
            return IntakeRoute.either
        return (
            IntakeRoute.owner_only
            if self._watch.has_live_owner
            else IntakeRoute.none
        )

    def configure(self, terms: Terms) -> None:
        """Apply a configuration."""
        self.terms = terms
        if self.owner is not None:
            self.owner.configure(terms)

    async def stand_by(self) -> None:
        """Watch the owner and claim the shard when it has none."""
        self._started_ms = monotonic_ms()
        while not self._resigning:
            self._release_stopped_owner()
            if not await self._watch.read():
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            claimable = self._watch.claimable_by(
                self.daemon_id, self._other_claim_epoch
            )
            if claimable and self._may_claim():
                await self._try_claim()

    async def resign(self) -> None:
        """Stop claiming, and resign if this daemon owns the shard."""
        self._resigning = True
        if self.owner is not None:
            await self.owner.resign()

    def close(self) -> None:
        """Stop the owner, if any, without resigning."""
        if self.owner is not None:
            self.owner.stop('daemon is stopping')

    def _release_stopped_owner(self) -> None:
        if self.owner is not None and self.owner.stopped.is_set():
            self._release_owner(self.owner)

    def _release_owner(self, owner: 'Owner') -> None:
        if owner.cut_off:
            self._cooldown_until_ms = monotonic_ms() + CUT_OFF_COOLDOWN_MS
        self.owner = None

    def _may_claim(self) -> bool:
        cooling_down = monotonic_ms() < self._cooldown_until_ms
        return self.owner is None and not (cooling_down or self._resigning)

    async def _try_claim(self) -> None:
        watch = self._watch
        previous = watch.record
        delay_ms = self._claim_delay_ms()
        starting = self._can_own is not None and not self._can_own.is_set()
        if starting:
            await self._can_own.wait()
        if delay_ms or starting:
            await asyncio.sleep(delay_ms / MS_PER_S)
            if not await watch.read(wait=False) or watch.record != previous:
                return
            if not self._may_claim():
                return
        if not watch.unowned:
            self._observer.record_event(
                'owner.lost',
                owner=previous.daemon_id,
                epoch=previous.epoch,
                beat=previous.beat,
                silent_ms=watch.silent_ms,
            )
        await self._claim(watch.predecessor)

    def _claim_delay_ms(self) -> int:
        delay_ms = self._unowned_delay_ms() if self._watch.unowned else 0
        record = self._watch.record
        owner_cores = 0 if record is None else record.cores
        weaker = owner_cores > self._cores * WEAKER_VM_RATIO
        return delay_ms + WEAKER_VM_DELAY_MS * weaker

    def _unowned_delay_ms(self) -> int:
        long_running = monotonic_ms() - self._started_ms > LONG_UPTIME_MS
        record = self._watch.record
        same_domain = (
            record is not None
            and record.cut_off
            and record.failure_domain == self._failure_domain
        )
        jitter_ms = random.randint(0, UNOWNED_JITTER_MS)
        return (
            jitter_ms
            + LONG_UPTIME_DELAY_MS * long_running
            + CUT_OFF_DOMAIN_DELAY_MS * same_domain
        )

    async def _claim(self, predecessor: Predecessor) -> None:
        heartbeat_epoch = (
            0 if predecessor.record is None else predecessor.record.epoch
        )
        epoch = max(
            heartbeat_epoch, self._other_claim_epoch, self._claimed_epoch
        )
        owner = self._make_owner(self.terms)
        self.owner = owner
        outcome = await owner.claim(predecessor, epoch)
        # The store may apply a failed claim late. The next claim uses a higher
        # epoch instead of waiting for heartbeats that no owner sends.
        self._claimed_epoch = max(self._claimed_epoch, owner.epoch)
        match outcome:
            case Claimed():
                return
            case ClaimOvertaken(epoch):
                # That daemon sends heartbeats soon; if it does not, the next
                # claim uses a higher epoch.
                self._other_claim_epoch = epoch
                self._observer.record_event('claim.overtaken', by_epoch=epoch)
            case ClaimFailed(reason):
                self._observer.record_event('claim.failed', reason=reason)
        self._release_owner(owner)
        self._watch.restart_timeout()
        await asyncio.sleep(RETRY_DELAY_S)
