"""Evidence that a request was not executed, required for each refusal."""

import dataclasses

from waxwingford.kernel import Invariant, check_invariant
from waxwingford.routing._messages import Refused, Request, Unknown


@dataclasses.dataclass(frozen=True, slots=True)
class NeverSent:
    """This daemon did not send the request to any receiver.

    :ivar reason: human-readable reason.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedNotExecuted:
    """Each receiver of the request reported that it did not execute it.

    :ivar receiver: backend server or peer that reported last.
    :ivar reason: reason given by the receiver.
    """

    receiver: str
    reason: str


NotExecutedEvidence = NeverSent | ReportedNotExecuted


def refuse(evidence: NotExecutedEvidence, retry_after_ms: int) -> Refused:
    """Build a refusal from evidence that the request was not executed.

    Callers repeat refused requests, so a refusal without evidence could cause
    a request to be executed twice.

    :param retry_after_ms: delay before a retry, in milliseconds.
    :raises InvariantViolation: if there is no evidence.
    """
    check_invariant(
        isinstance(evidence, NotExecutedEvidence),
        Invariant.true_refusal,
        f'refusal without evidence: {evidence!r}',
    )
    match evidence:
        case NeverSent(reason=reason):
            return Refused(reason, retry_after_ms)
        case ReportedNotExecuted(receiver=receiver, reason=reason):
            return Refused(f'{receiver}: {reason}', retry_after_ms)


def refuse_or_unknown(
    request: Request, reason: str, retry_after_ms: int
) -> Refused | Unknown:
    """Decline an attempt before any processing.

    The outcome is unknown if the attempt may be a retry of a non-idempotent
    request, because an earlier attempt may have been executed.

    :param reason: human-readable reason.
    :param retry_after_ms: delay before a retry, in milliseconds.
    """
    may_be_retry = request.attempt != 1 and not request.hops
    if request.key and not request.idempotent and may_be_retry:
        return Unknown(reason, retry_after_ms)
    return refuse(NeverSent(reason), retry_after_ms)
