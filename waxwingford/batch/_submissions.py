"""Admission of submissions and cancellations, and replies to them."""

import dataclasses

import msgspec

from waxwingford.batch._effects import (
    JobAcceptedOutcome,
    JobCancelledOutcome,
    JobRefused,
    JobRejected,
    SubmissionOutcome,
)
from waxwingford.batch._fleet import Fleet
from waxwingford.batch._views import oversize_reason
from waxwingford.kernel import Invariant, check_invariant
from waxwingford.records import (
    DomainState,
    JobAccepted,
    JobCancelled,
    JobSpec,
    Valid,
    Verdict,
    validate_job,
)

#: Retry delay for members after a refusal.
RETRY_AFTER_MS = 2000
#: Longest payload of a job; keeps a record group below the log's 1 MiB.
PAYLOAD_CHARACTERS = 16_384


@dataclasses.dataclass(frozen=True, slots=True)
class RecordToAppend:
    """A submission or cancellation to append to the log."""

    record: JobAccepted | JobCancelled


@dataclasses.dataclass(frozen=True, slots=True)
class ImmediateReply:
    """A submission or cancellation that is answered without the log.

    :ivar outcome: outcome for the member.
    """

    outcome: SubmissionOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """State that admission depends on.

    :ivar state: state replayed from the domain's stream.
    :ivar refusal: reason why nothing can be appended now; empty if it can.
    """

    state: DomainState
    fleet: Fleet
    refusal: str


def admit_submission(
    admission: Admission, spec: JobSpec, wall_ms: int
) -> RecordToAppend | ImmediateReply:
    """Check a submission.

    :param wall_ms: Unix time of the submission, in milliseconds.
    """
    reason = _validate_spec(spec) or oversize_reason(spec, admission.fleet)
    if reason:
        return ImmediateReply(JobRejected(reason))
    state = admission.state
    if spec.job_id in state.jobs_by_id or spec.job_id in state.finished:
        return ImmediateReply(_answer_duplicate(state, spec))
    if admission.refusal:
        return ImmediateReply(JobRefused(admission.refusal, RETRY_AFTER_MS))
    stamped = msgspec.structs.replace(spec, submitted_wall_ms=wall_ms)
    return RecordToAppend(JobAccepted(stamped))


def admit_cancellation(
    admission: Admission, job_id: str, member: str
) -> RecordToAppend | ImmediateReply:
    """Check a cancellation.

    :param member: member that makes the request.
    """
    job = admission.state.jobs_by_id.get(job_id)
    # A job of another member is answered like one that does not exist, so that
    # members do not learn of each other's jobs.
    if job is None or job.spec.member != member:
        return ImmediateReply(
            JobRejected(f'no open job {job_id!r} for this member')
        )
    if job.cancelled:
        return ImmediateReply(JobCancelledOutcome(job_id))
    if admission.refusal:
        return ImmediateReply(JobRefused(admission.refusal, RETRY_AFTER_MS))
    check_invariant(
        job.spec.member == member,
        Invariant.member_isolation,
        f'{member} cancels {job_id}',
    )
    return RecordToAppend(JobCancelled(job_id, member))


def reply_for(verdict: Verdict, state: DomainState) -> SubmissionOutcome:
    """Build the reply to a submission or cancellation read from the log.

    :param verdict: verdict on its record.
    :param state: state replayed from the domain's stream.
    """
    reason = '' if isinstance(verdict, Valid) else verdict.reason
    match verdict.record:
        case JobAccepted(job=spec) if not reason:
            return JobAcceptedOutcome(spec.job_id)
        case JobAccepted(job=spec) if reason == 'duplicate':
            return _answer_duplicate(state, spec)
        case JobCancelled(job_id=job_id) if reason in _CANCELLED:
            return JobCancelledOutcome(job_id)
    return JobRejected(reason)


_CANCELLED = frozenset(('', 'already cancelled'))


def _validate_spec(spec: JobSpec) -> str:
    if len(spec.payload) > PAYLOAD_CHARACTERS:
        return f'payload must have at most {PAYLOAD_CHARACTERS} characters'
    return validate_job(spec)


def _answer_duplicate(state: DomainState, spec: JobSpec) -> SubmissionOutcome:
    job = state.jobs_by_id.get(spec.job_id)
    if job is None:
        return JobAcceptedOutcome(spec.job_id)
    same = msgspec.structs.replace(
        spec, submitted_wall_ms=job.spec.submitted_wall_ms
    )
    if same == job.spec:
        return JobAcceptedOutcome(spec.job_id)
    return JobRejected(f'job {spec.job_id!r} exists with other content')
