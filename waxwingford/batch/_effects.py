"""Effects that the batch controller asks for, and replies to members."""

import dataclasses

from waxwingford.ports import ControlRequest
from waxwingford.records import RecordGroup


@dataclasses.dataclass(frozen=True, slots=True)
class JobAcceptedOutcome:
    """The failure domain answers for the job.

    :ivar job_id: id of the job.
    """

    job_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class JobCancelledOutcome:
    """The cancellation stands in the log.

    :ivar job_id: id of the job.
    """

    job_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class JobRefused:
    """Certainly not accepted; final at once.

    :ivar reason: human-readable reason.
    :ivar retry_after_ms: when to come back, in milliseconds.
    """

    reason: str
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class JobUnknown:
    """It may be accepted yet; submitting the same job id again is harmless.

    :ivar reason: human-readable reason.
    :ivar retry_after_ms: when asking again may find more, in milliseconds.
    """

    reason: str
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class JobRejected:
    """The job or the question itself is wrong.

    :ivar reason: human-readable reason.
    """

    reason: str


SubmissionOutcome = (
    JobAcceptedOutcome
    | JobCancelledOutcome
    | JobRefused
    | JobUnknown
    | JobRejected
)


@dataclasses.dataclass(frozen=True, slots=True)
class Append:
    """Append a group to the domain's stream.

    :ivar group: the group; its sequence comes back in the result.
    """

    group: RecordGroup


@dataclasses.dataclass(frozen=True, slots=True)
class Control:
    """Carry out a control exchange.

    :ivar server_id: with whom.
    :ivar host: IP number.
    :ivar port: TCP port.
    :ivar request: the exchange.
    :ivar exchange: number that comes back in the result.
    :ivar valid_until_ms: monotonic time from which it must not be sent: the
        process may have been frozen since it was decided.
    """

    server_id: str
    host: str
    port: int
    request: ControlRequest
    exchange: int
    valid_until_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReplySubmission:
    """Answer a submission or a cancellation.

    :ivar submission_id: which one.
    :ivar outcome: the answer.
    """

    submission_id: int
    outcome: SubmissionOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class Note:
    """Add an event to the time line.

    :ivar kind: what happened.
    :ivar subject: what it is about.
    :ivar detail: human-readable detail.
    """

    kind: str
    subject: str
    detail: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class WriteSnapshot:
    """Write a snapshot of the present state.

    :ivar covers_offset: first offset that it does not cover.
    """

    covers_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Drained:
    """All leases are given up and nothing waits for the log."""


Effect = Append | Control | ReplySubmission | Note | WriteSnapshot | Drained
