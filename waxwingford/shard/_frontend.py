"""Serves callers on any daemon of a shard, whether or not it is the owner."""

import asyncio
import contextlib
import enum
from typing import NamedTuple

import msgspec

from waxwingford.scheduling import (
    JobPhase,
    JobSpec,
    decode_spec,
    encode_spec,
    find_fault,
)
from waxwingford.shard._clocks import monotonic_ms
from waxwingford.shard._intake import (
    CancelRow,
    Intake,
    IntakeOutcome,
    IntakeRow,
    JobInvalid,
    JobRow,
    MayBeStored,
    NotStored,
    RefusedByOwner,
    RowRejected,
    Stored,
    job_record,
)
from waxwingford.shard._job_answers import (
    JobAnswer,
    JobKnown,
    JobNotKnown,
    NotAnswered,
)
from waxwingford.shard._load_report import JobMemory, Refusal, RefusalCause
from waxwingford.shard._log_port import SharedLog
from waxwingford.shard._member import IntakeRoute, ShardMember
from waxwingford.shard._observer import Observer
from waxwingford.shard._open_attempts import OpenAttempts
from waxwingford.shard._owner_link import OwnerLink
from waxwingford.shard._store_view import StoreView

#: Share of the caller's remaining time that the owner is given to store a row.
OWNER_TIMEOUT_SHARE = 0.4
#: The same for the question to the store whether a refused job is stored; the rest is
#: kept for storing the job.
QUESTION_TIMEOUT_SHARE = 0.4
#: Entries in the cache of final phases, which callers poll for a while after
#: the end of a job.
MAX_CACHED_PHASES = 20_000
_FINAL_PHASES = frozenset(
    (JobPhase.completed, JobPhase.failed, JobPhase.cancelled)
)


class _Source(enum.Enum):
    # Who has told the phase of a job.
    owner = 'owner'
    link = 'owner link'
    store = 'store'


class _PhaseFound(NamedTuple):
    # Phase of a job, and the owner that told it, or is known at present.
    answer: JobAnswer
    source: _Source
    owner: str = ''
    epoch: int = 0


class CancelNotKnown(msgspec.Struct, frozen=True):
    """The job to cancel does not exist; it is cancelled if it is stored later."""


class ShardFrontend:
    """Accepts jobs and cancellations, and reports the phases of jobs."""

    def __init__(
        self,
        log: SharedLog,
        member: ShardMember,
        link: OwnerLink,
        observer: Observer,
    ) -> None:
        self._member = member
        self._intake = Intake(log)
        self._attempts = OpenAttempts()
        self._link = link
        self._observer = observer
        self._view = StoreView(log)
        self._final_phase_by_job: dict[str, JobPhase] = {}
        self._memory = JobMemory(member)

    async def submit(
        self, spec: JobSpec, deadline_s: float
    ) -> IntakeOutcome | JobInvalid:
        """Store a job.

        :param deadline_s: loop time at which the caller's request times out.
        :returns: whether it is stored, or why it can't be scheduled.
        """
        started_ms = monotonic_ms()
        fault = find_fault(spec)
        outcome: IntakeOutcome | JobInvalid
        if fault is None:
            outcome = await self._submit(spec, deadline_s)
        else:
            outcome = JobInvalid(fault)
        _record_request(
            self._observer,
            self._member,
            'request.submit',
            spec.job_id,
            outcome,
            started_ms,
        )
        return outcome

    async def cancel(
        self, job_id: str, deadline_s: float
    ) -> IntakeOutcome | CancelNotKnown | NotAnswered:
        """Store the cancellation of a job, whether or not it exists.

        :param deadline_s: loop time at which the caller's request times out.
        :returns: whether the cancellation is stored, for a job that exists or for one
            that doesn't, or that this could not be determined.
        """
        started_ms = monotonic_ms()
        outcome = await self._cancel(job_id, deadline_s)
        _record_request(
            self._observer,
            self._member,
            'request.cancel',
            job_id,
            outcome,
            started_ms,
        )
        return outcome

    async def phase(self, job_id: str) -> JobAnswer:
        """Look up the phase of a job.

        :returns: answer of the owner, or of the store if the owner gives none.
        """
        final = self._final_phase_by_job.get(job_id)
        if final is not None:
            return JobKnown(final)
        found = await self._find_phase(job_id)
        match found.answer:
            case JobKnown(phase) if phase in _FINAL_PHASES:
                self._keep_final_phase(job_id, phase, found)
            case JobNotKnown() | NotAnswered():
                _record_state(self._observer, job_id, found)
        return found.answer

    async def pending(self, queue: str) -> int | None:
        """Count the jobs of a queue that have not begun.

        :returns: number of jobs, ``None`` if neither owner nor store answers.
        """
        counts = self._member.load_report.pending_by_queue
        if counts is not None:
            return counts.get(queue, 0)
        count = None
        record = self._member.owner_record
        if record is not None:
            count = await self._link.pending(record.endpoint, queue)
        if count is None:
            count = await self._view.pending(queue)
        return count

    async def local_phase(self, job_id: str) -> JobAnswer:
        """Look up the phase of a job if this daemon owns the shard."""
        owner = self._member.owner
        if owner is None or not owner.ready:
            return NotAnswered('this daemon does not own the shard')
        return await owner.phase(job_id)

    def local_pending(self, queue: str) -> int | None:
        """Count the jobs that have not begun if this daemon owns the shard.

        :returns: number of jobs, ``None`` if another daemon is the owner.
        """
        owner = self._member.owner
        counts = None if owner is None else owner.load_report().pending_by_queue
        return None if counts is None else counts.get(queue, 0)

    async def store_directly(
        self, row: IntakeRow, deadline_s: float
    ) -> IntakeOutcome:
        """Append a job or a cancellation to the intake from this daemon.

        :param deadline_s: loop time at which the caller's request times out.
        """
        spec = _decode_job(row)
        if spec is None:
            return await self._store_directly(row, deadline_s)
        refusal = self._memory.refusal_of_owner(spec)
        open_before = self._attempts.may_be_stored(spec.job_id)
        if refusal is not None and not open_before:
            known = await self.local_phase(spec.job_id)
            if isinstance(known, JobNotKnown):
                return RefusedByOwner('the owner has no memory for more jobs')
        with self._memory.reserve(spec):
            stored = self._store_directly(row, deadline_s)
            return await self._attempts.track(spec.job_id, stored)

    async def _store_directly(
        self, row: IntakeRow, deadline_s: float
    ) -> IntakeOutcome:
        owner = self._member.owner
        room = contextlib.nullcontext(enter_result=True)
        if owner is not None and isinstance(row, CancelRow):
            room = owner.early_cancels.reserve(row.job_id)
        with room as has_room:
            if not has_room:
                return RefusedByOwner('no memory for more cancellations')
            outcome = await self._intake.store(row, deadline_s)
            owner = self._member.owner
            if (
                isinstance(outcome, Stored)
                and owner is not None
                and owner.ready
            ):
                owner.apply_stored(row)
        return outcome

    async def _submit(self, spec: JobSpec, deadline_s: float) -> IntakeOutcome:
        row = JobRow(encode_spec(spec))
        rejection = self._intake.check_size(job_record(spec.job_id, row.raw))
        if rejection is not None:
            return rejection
        queue = self._member.terms.queue_by_name.get(spec.queue, spec.terms)
        report = self._memory.load_report
        refusal = report.refusal(spec, queue)
        if refusal is None:
            with self._memory.reserve(spec):
                outcome = await self._attempts.track(
                    spec.job_id, self._store(row, deadline_s)
                )
            if not isinstance(outcome, RefusedByOwner):
                return outcome
            refusal = Refusal(
                RefusalCause.memory, outcome.reason, outcome.retry_after_s
            )
        return await self._refuse(spec, row, refusal, deadline_s)

    async def _refuse(
        self, spec: JobSpec, row: JobRow, refusal: Refusal, deadline_s: float
    ) -> IntakeOutcome:
        """Refuse a job, unless an earlier attempt has or may have stored it."""
        queue = self._member.terms.queue_by_name.get(spec.queue, spec.terms)
        # If an earlier attempt has stored the job, a refusal would be untrue. The
        # store is asked, as the owner has no time for more questions.
        now_s = asyncio.get_running_loop().time()
        until_s = now_s + QUESTION_TIMEOUT_SHARE * (deadline_s - now_s)
        stored = await self._view.is_stored(spec.job_id, until_s)
        if stored:
            return Stored()
        if stored is None or self._attempts.may_be_stored(spec.job_id):
            outcome = await self._attempts.track(
                spec.job_id, self._store(row, deadline_s)
            )
            if isinstance(outcome, NotStored):
                return MayBeStored('an earlier attempt may have stored the job')
            return outcome
        self._observer.metrics.count(
            'jobs_refused_total',
            service=queue.service,
            cause=refusal.cause.value,
        )
        report = self._memory.load_report
        if refusal.cause is RefusalCause.memory and report.never_fits(spec):
            return RowRejected(
                f'{spec.kept_bytes} bytes of memory, '
                f'expected at most {report.max_large_bytes}'
            )
        return NotStored(refusal.reason, refusal.retry_after_s)

    async def _cancel(
        self, job_id: str, deadline_s: float
    ) -> IntakeOutcome | CancelNotKnown | NotAnswered:
        found = await self.phase(job_id)
        match found:
            case JobKnown(phase) if phase in _FINAL_PHASES:
                return Stored()
            case NotAnswered() as unanswered:
                return unanswered
        # Also for a job that isn't known: an attempt to store it may be applied later,
        # or be repeated by its caller.
        outcome = await self._store(CancelRow(job_id), deadline_s)
        if isinstance(found, JobNotKnown) and isinstance(outcome, Stored):
            return CancelNotKnown()
        return outcome

    async def _store(self, row: IntakeRow, deadline_s: float) -> IntakeOutcome:
        """Store through the owner, or directly if that fails.

        The owner batches the rows of all daemons into one append and need not
        read them back. A row that is stored both ways counts once, as rows are
        keyed by job.
        """
        match self._member.intake_route:
            case IntakeRoute.none:
                # Fail fast: the caller may retry once there is an owner.
                return NotStored('the store is slow and the shard has no owner')
            case IntakeRoute.owner_only:
                return await self._store_via_owner(row, deadline_s, 1)
            case _:
                # The rest of the time is kept for the direct append.
                owner_outcome = await self._store_via_owner(
                    row, deadline_s, OWNER_TIMEOUT_SHARE
                )
        if isinstance(owner_outcome, Stored | RefusedByOwner):
            return owner_outcome
        direct_outcome = await self._store_directly(row, deadline_s)
        owner_may_store = isinstance(owner_outcome, MayBeStored)
        if owner_may_store and isinstance(direct_outcome, NotStored):
            return owner_outcome
        return direct_outcome

    async def _store_via_owner(
        self, row: IntakeRow, deadline_s: float, share: float
    ) -> IntakeOutcome:
        record = self._member.owner_record
        if record is None or record.resigned or self._member.owner is not None:
            return NotStored('no other daemon owns the shard')
        left_s = deadline_s - asyncio.get_running_loop().time()
        return await self._link.store(record.endpoint, row, left_s * share)

    async def _find_phase(self, job_id: str) -> _PhaseFound:
        owner = self._member.owner
        answer = await self.local_phase(job_id)
        if owner is not None and not isinstance(answer, NotAnswered):
            daemon_id = self._member.daemon_id
            return _PhaseFound(answer, _Source.owner, daemon_id, owner.epoch)
        record = self._member.owner_record
        if record is None:
            return _PhaseFound(await self._view.phase(job_id), _Source.store)
        source = _Source.link
        answer = await self._link.phase(record.endpoint, job_id)
        if isinstance(answer, NotAnswered):
            source = _Source.store
            answer = await self._view.phase(job_id)
        return _PhaseFound(answer, source, record.daemon_id, record.epoch)

    def _keep_final_phase(
        self, job_id: str, phase: JobPhase, found: _PhaseFound
    ) -> None:
        """Keep a final phase, and tell of a failed job, once per job."""
        if phase is JobPhase.failed and job_id not in self._final_phase_by_job:
            _record_state(self._observer, job_id, found)
            self._observer.metrics.count(
                'jobs_shown_failed_total', source=found.source.value
            )
        by_owner = found.source is not _Source.store
        if not (by_owner or self._view.has_end(job_id)):
            # What else the view concludes, the owner may decide otherwise.
            return
        self._final_phase_by_job[job_id] = phase
        if len(self._final_phase_by_job) > MAX_CACHED_PHASES:
            del self._final_phase_by_job[next(iter(self._final_phase_by_job))]


def _record_request(
    observer: Observer,
    member: ShardMember,
    event: str,
    job_id: str,
    outcome: object,
    started_ms: int,
) -> None:
    took_ms = monotonic_ms() - started_ms
    record = member.owner_record
    observer.record_event(
        event,
        subject=job_id,
        outcome=str(outcome),
        owner='' if record is None else record.daemon_id,
        terms=member.terms.version,
        took_ms=took_ms,
    )
    observer.metrics.latency(
        'request', took_ms, kind=event, outcome=type(outcome).__name__
    )


def _record_state(observer: Observer, job_id: str, found: _PhaseFound) -> None:
    observer.record_event(
        'request.state',
        subject=job_id,
        outcome=str(found.answer),
        source=found.source.value,
        owner=found.owner,
        epoch=found.epoch,
    )


def _decode_job(row: IntakeRow) -> JobSpec | None:
    """Decode the job that a row stores.

    :returns: the job, ``None`` for a cancellation or an unreadable row.
    """
    if isinstance(row, CancelRow):
        return None
    try:
        return decode_spec(row.raw)
    except ValueError:
        return None
