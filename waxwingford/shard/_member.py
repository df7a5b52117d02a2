"""A daemon's part of a shard: stands by, owns it, answers for it."""

import asyncio
import dataclasses
import random
from collections.abc import Callable

import logbook

from waxwingford.scheduling import JobPhase, JobSpec, Terms, encode_spec
from waxwingford.shard._intake import (
    CancelRow,
    Intake,
    IntakeOutcome,
    IntakeRow,
    JobRow,
    NotStored,
    Stored,
)
from waxwingford.shard._journal import Claimed, ClaimFailed, ClaimOvertaken
from waxwingford.shard._log_port import SharedLog
from waxwingford.shard._owner import Owner
from waxwingford.shard._peers import (
    JobAnswer,
    JobKnown,
    JobNotKnown,
    NotAnswered,
    OwnerLink,
)
from waxwingford.shard._store_view import StoreView
from waxwingford.shard._times import MS_IN_S
from waxwingford.shard._watch import OwnerWatch

#: Random wait before a claim after a resignation, or when there was never an
#: owner, in ms.
FREE_JITTER_MS = 60
#: Pause after a read or a claim that failed, in seconds.
FAILED_PAUSE_S = 0.15

_FINAL = frozenset((JobPhase.completed, JobPhase.failed, JobPhase.cancelled))
_log = logbook.Logger('shard')


@dataclasses.dataclass(frozen=True, slots=True)
class CancelNotKnown:
    """There is no such job to cancel."""


class ShardMember:
    """Stands by for a shard and answers callers about it.

    :ivar terms: configuration in force.
    :ivar owner: set while the shard is owned here.
    """

    def __init__(
        self,
        daemon_id: str,
        log: SharedLog,
        make_owner: Callable[[Terms], Owner],
        link: OwnerLink,
    ) -> None:
        """Prepare.

        :param daemon_id: of this daemon.
        :param log: the store.
        :param make_owner: makes an owner that hasn't claimed yet.
        :param link: way to the owner in another daemon.
        """
        self.terms = Terms(0, {})
        self.owner: Owner | None = None
        self._daemon_id = daemon_id
        self._make_owner = make_owner
        self._intake = Intake(log)
        self._watch = OwnerWatch(log)
        self._link = link
        self._view = StoreView(log)
        self._resigning = False
        self._overtaken_epoch = 0
        self._final_by_job: dict[str, JobPhase] = {}

    @property
    def knows_owner(self) -> bool:
        """Tell whether some daemon owns the shard, as far as is known.

        :returns: whether there is an owner.
        """
        return not self._watch.unowned

    def configure(self, terms: Terms) -> None:
        """Put a configuration in force.

        :param terms: the configuration.
        """
        self.terms = terms
        if self.owner is not None:
            self.owner.configure(terms)

    async def stand_by(self) -> None:
        """Watch the owner, and claim the shard when it has none."""
        while not self._resigning:
            if self.owner is not None and self.owner.over.is_set():
                self.owner = None
            if not await self._watch.read():
                await asyncio.sleep(FAILED_PAUSE_S)
                continue
            free = self._watch.free_for(self._daemon_id)
            if free and self.owner is None and not self._resigning:
                await self._try_claim()

    async def resign(self) -> None:
        """Hand the shard over, if it is owned here."""
        self._resigning = True
        if self.owner is not None:
            await self.owner.resign()

    def close(self) -> None:
        """Close connections to other daemons."""
        self._link.close()
        if self.owner is not None:
            self.owner.stop('the daemon stops')

    async def submit(self, spec: JobSpec, until_s: float) -> IntakeOutcome:
        """Store a job.

        :param spec: as submitted.
        :param until_s: loop time at which the caller gives up.
        :returns: whether it is stored.
        """
        return await self._store(JobRow(encode_spec(spec)), until_s)

    async def cancel(
        self, job_id: str, until_s: float
    ) -> IntakeOutcome | CancelNotKnown | NotAnswered:
        """Store the cancelling of a job that exists.

        :param job_id: which.
        :param until_s: loop time at which the caller gives up.
        :returns: whether it is stored, or that there is no such job.
        """
        match await self.phase(job_id):
            case JobKnown(phase):
                if phase in _FINAL:
                    return Stored()
                return await self._store(CancelRow(job_id), until_s)
            case JobNotKnown():
                return CancelNotKnown()
            case NotAnswered() as lost:
                return lost

    async def phase(self, job_id: str) -> JobAnswer:
        """Say how far a job is.

        :param job_id: which.
        :returns: the answer.
        """
        final = self._final_by_job.get(job_id)
        if final is not None:
            return JobKnown(final)
        answer = await self.own_phase(job_id)
        record = self._watch.record
        if isinstance(answer, NotAnswered) and record is not None:
            answer = await self._link.phase(record.endpoint, job_id)
        if isinstance(answer, NotAnswered):
            answer = await self._view.phase(job_id)
        if isinstance(answer, JobKnown) and answer.phase in _FINAL:
            self._final_by_job[job_id] = answer.phase
        return answer

    async def pending(self, queue: str) -> int | None:
        """Count the jobs of a queue that have not begun.

        :param queue: which.
        :returns: the count, ``None`` if nobody can say.
        """
        count = self.own_pending(queue)
        record = self._watch.record
        if count is None and record is not None:
            count = await self._link.pending(record.endpoint, queue)
        if count is None:
            count = await self._view.pending(queue)
        return count

    async def own_phase(self, job_id: str) -> JobAnswer:
        """Say how far a job is, if the shard is owned here.

        :param job_id: which.
        :returns: the answer.
        """
        if self.owner is None or not self.owner.ready:
            return NotAnswered('not the owner')
        return await self.owner.phase(job_id)

    def own_pending(self, queue: str) -> int | None:
        """Count waiting jobs, if the shard is owned here.

        :param queue: which.
        :returns: the count, ``None`` if it isn't.
        """
        if self.owner is None or not self.owner.ready:
            return None
        return self.owner.pending(queue)

    async def store_for(self, row: IntakeRow, until_s: float) -> IntakeOutcome:
        """Store a job or a cancelling for another daemon.

        :param row: what to store.
        :param until_s: loop time at which its caller gives up.
        :returns: whether it is stored.
        """
        return await self._intake.store(row, until_s)

    async def _store(self, row: IntakeRow, until_s: float) -> IntakeOutcome:
        outcome = await self._intake.store(row, until_s)
        record = self._watch.record
        if not isinstance(outcome, NotStored) or record is None:
            return outcome
        # The store may turn this daemon away and serve the owner.
        left_s = until_s - asyncio.get_running_loop().time()
        if left_s <= 0 or self.owner is not None:
            return outcome
        return await self._link.store(record.endpoint, row, left_s)

    async def _try_claim(self) -> None:
        watch = self._watch
        former = watch.record
        if watch.unowned:
            await asyncio.sleep(random.randint(0, FREE_JITTER_MS) / MS_IN_S)
            if not await watch.read(wait=False) or watch.record != former:
                return
        else:
            _log.info('owner lost', extra={'owner': former.daemon_id})
        former_epoch = 0 if former is None else former.epoch
        await self._claim(max(former_epoch, self._overtaken_epoch))

    async def _claim(self, former_epoch: int) -> None:
        self.owner = self._make_owner(self.terms)
        match await self.owner.claim(former_epoch):
            case Claimed():
                return
            case ClaimOvertaken(epoch):
                # That daemon sends heartbeats soon; if it doesn't, the next
                # claim goes past it.
                self._overtaken_epoch = epoch
            case ClaimFailed(reason):
                _log.info('claim failed', extra={'reason': reason})
        self.owner = None
        self._watch.restart()
        await asyncio.sleep(FAILED_PAUSE_S)
