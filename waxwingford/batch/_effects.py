"""Effects that the batch controller requests, and replies to members."""

import dataclasses

from waxwingford.ports import ControlRequest
from waxwingford.records import RecordGroup


@dataclasses.dataclass(frozen=True, slots=True)
class JobAcceptedOutcome:
    """The job is accepted and recorded in the log."""

    job_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class JobCancelledOutcome:
    """The cancellation is recorded in the log."""

    job_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class JobRefused:
    """The request was not accepted; it may be retried.

    :ivar reason: human-readable reason.
    :ivar retry_after_ms: time before a retry, in milliseconds.
    """

    reason: str
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class JobOutcomeUnknown:
    """The outcome is unknown; a retry with the same job id is idempotent.

    :ivar reason: human-readable reason.
    :ivar retry_after_ms: time before a retry, in milliseconds.
    """

    reason: str
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class JobRejected:
    """The request is invalid.

    :ivar reason: human-readable reason.
    """

    reason: str


SubmissionOutcome = (
    JobAcceptedOutcome
    | JobCancelledOutcome
    | JobRefused
    | JobOutcomeUnknown
    | JobRejected
)


@dataclasses.dataclass(frozen=True, slots=True)
class Append:
    """Append a group to the domain's stream.

    :ivar group: the group; the result names its sequence number.
    """

    group: RecordGroup


@dataclasses.dataclass(frozen=True, slots=True)
class Control:
    """Send a control request to a backend server.

    :ivar host: IP address of the server.
    :ivar exchange: number of the exchange, which the result names.
    :ivar valid_until_ms: monotonic time from which it must not be sent, in
        milliseconds; the process may be suspended before it is sent.
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

    :ivar outcome: outcome for the member.
    """

    submission_id: int
    outcome: SubmissionOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class EmitEvent:
    """Add an event to the timeline.

    :ivar subject: what the event concerns, such as ``server:<id>``.
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
    """All leases are released and the outbox is empty."""


Effect = (
    Append | Control | ReplySubmission | EmitEvent | WriteSnapshot | Drained
)
