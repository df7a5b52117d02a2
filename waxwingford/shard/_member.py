"""A daemon's part of a shard: stands by, owns it, answers for it."""

import asyncio
import dataclasses
import random
from collections.abc import Callable

import logbook

from waxwingford.scheduling import (
    ENDED_PREFIX,
    JobPhase,
    JobSpec,
    Terms,
    decode_end,
    decode_spec,
)
from waxwingford.shard._beats import OWNERS_TOPIC
from waxwingford.shard._intake import (
    CANCEL_PREFIX,
    INTAKE_TOPIC,
    JOB_PREFIX,
    Intake,
    IntakeOutcome,
    Stored,
)
from waxwingford.shard._journal import (
    JOURNAL_TOPIC,
    OWNER_KEY,
    OwnerRecord,
    decode_owner,
)
from waxwingford.shard._log_port import SharedLog
from waxwingford.shard._mirror import CaughtUp, Mirror
from waxwingford.shard._owner import Owner
from waxwingford.shard._peers import (
    JobAnswer,
    JobKnown,
    JobNotKnown,
    NotAnswered,
    OwnerLink,
)
from waxwingford.shard._times import MS_IN_S, steady_ms

#: The owner is taken for lost when the store has shown no heartbeat of it for
#: this long, in ms: three times the interval, and some for a slow store.
SUSPECT_MS = 1300
#: Random part of the wait before a claim, in ms, so that daemons that stand
#: by seldom claim together; the store lets one of them through.
CLAIM_JITTER_MS = 250
#: The same after a resignation or when there was never an owner.
FREE_JITTER_MS = 60
#: Longest wait of a read of the owner's heartbeats, in ms.
BEAT_WAIT_MS = 1000
#: Pause after a read or a claim that failed, in seconds.
FAILED_PAUSE_S = 0.15

_FINAL = frozenset((JobPhase.completed, JobPhase.failed, JobPhase.cancelled))
_log = logbook.Logger('shard')


@dataclasses.dataclass(frozen=True, slots=True)
class CancelNotKnown:
    """There is no such job to cancel."""


class ShardMember:
    """Stands by for a shard and answers callers about it."""

    def __init__(
        self,
        log: SharedLog,
        make_owner: Callable[[Terms], Owner],
        link: OwnerLink,
    ) -> None:
        """Prepare.

        :param log: the store.
        :param make_owner: makes an owner that hasn't claimed yet.
        :param link: way to the owner in another daemon.
        """
        self.terms = Terms(0, {})
        self.owner: Owner | None = None
        self._log = log
        self._make_owner = make_owner
        self._intake = Intake(log)
        self._owners = Mirror(log, OWNERS_TOPIC)
        self._link = link
        self._record: OwnerRecord | None = None
        self._changed_ms = 0
        self._suspect_ms = SUSPECT_MS
        self._view = _StoreView(log)
        self._resigning = False
        self._final_by_job: dict[str, JobPhase] = {}

    @property
    def knows_owner(self) -> bool:
        """Tell whether some daemon owns the shard, as far as is known.

        :returns: whether there is an owner.
        """
        return self._record is not None and not self._record.resigned

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
            read = await self._owners.catch_up(self._wait_ms())
            if not isinstance(read, CaughtUp):
                # Without the store nobody can tell whether the owner lives.
                self._changed_ms = steady_ms()
                await asyncio.sleep(FAILED_PAUSE_S)
                continue
            self._see(decode_owner(self._owners.payload_by_key.get(OWNER_KEY)))
            if self.owner is None and self._free() and not self._resigning:
                await self._claim()

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
        return await self._intake.submit(spec, until_s)

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
                return await self._intake.cancel(job_id, until_s)
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
        if isinstance(answer, NotAnswered) and self._record is not None:
            answer = await self._link.phase(self._record.endpoint, job_id)
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
        if count is None and self._record is not None:
            count = await self._link.pending(self._record.endpoint, queue)
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

    def _wait_ms(self) -> int:
        left_ms = self._changed_ms + self._suspect_ms - steady_ms()
        return max(1, min(BEAT_WAIT_MS, left_ms))

    def _see(self, record: OwnerRecord | None) -> None:
        if record != self._record:
            self._record = record
            self._changed_ms = steady_ms()
            jitter_ms = random.randint(0, CLAIM_JITTER_MS)
            self._suspect_ms = SUSPECT_MS + jitter_ms

    def _free(self) -> bool:
        if self._record is None or self._record.resigned:
            return True
        return steady_ms() - self._changed_ms >= self._suspect_ms

    async def _claim(self) -> None:
        former = self._record
        if former is None or former.resigned:
            await asyncio.sleep(random.randint(0, FREE_JITTER_MS) / MS_IN_S)
            read = await self._owners.catch_up()
            if not isinstance(read, CaughtUp):
                return
            self._see(decode_owner(self._owners.payload_by_key.get(OWNER_KEY)))
            if self._record != former:
                return
        else:
            _log.info('owner lost', extra={'owner': former.daemon_id})
        former_epoch = 0 if former is None else former.epoch
        self.owner = self._make_owner(self.terms)
        if not await self.owner.claim(former_epoch):
            self.owner = None
            self._changed_ms = steady_ms()
            await asyncio.sleep(FAILED_PAUSE_S)


class _StoreView:
    """Answers from the store itself while no owner can be asked."""

    def __init__(self, log: SharedLog) -> None:
        self._intake = Mirror(log, INTAKE_TOPIC)
        self._journal = Mirror(log, JOURNAL_TOPIC)
        self._lock = asyncio.Lock()

    async def phase(self, job_id: str) -> JobAnswer:
        if not await self._catch_up():
            return NotAnswered('neither the owner nor the store can be asked')
        rows = self._journal.payload_by_key
        ended = rows.get(ENDED_PREFIX + job_id)
        if ended is not None:
            return JobKnown(decode_end(ended))
        stored = self._intake.payload_by_key
        if JOB_PREFIX + job_id not in stored:
            return JobNotKnown()
        if CANCEL_PREFIX + job_id in stored:
            return JobKnown(JobPhase.cancelled)
        begun = any(key.startswith(f'{job_id}.') for key in rows)
        phase = JobPhase.running if begun else JobPhase.queued
        return JobKnown(phase)

    async def pending(self, queue: str) -> int | None:
        if not await self._catch_up():
            return None
        stored = self._intake.payload_by_key
        begun = (
            key.partition('.')[0].removeprefix(ENDED_PREFIX)
            for key in self._journal.payload_by_key
        )
        cancelled = (
            key.removeprefix(CANCEL_PREFIX)
            for key in stored
            if key.startswith(CANCEL_PREFIX)
        )
        settled = {*begun, *cancelled}
        waiting = (
            raw
            for key, raw in stored.items()
            if key.startswith(JOB_PREFIX)
            and key.removeprefix(JOB_PREFIX) not in settled
        )
        return sum(decode_spec(raw).queue == queue for raw in waiting)

    async def _catch_up(self) -> bool:
        async with self._lock:
            # The intake last: a job that the journal names is in it then.
            for mirror in (self._journal, self._intake):
                if not isinstance(await mirror.catch_up(), CaughtUp):
                    return False
        return True
