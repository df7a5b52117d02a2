"""Evidence that a request did not run: the only way to build a refusal."""

import dataclasses

from waxwingford.kernel import Invariant, require
from waxwingford.routing._messages import Refused, Request, Unknown


@dataclasses.dataclass(frozen=True, slots=True)
class NeverSent:
    """Nothing of the request left this daemon.

    :ivar reason: why not, for people.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedNotExecuted:
    """Every receiver of the request said that it did not run there.

    :ivar receiver: backend server or peer that said so last.
    :ivar reason: what it said.
    """

    receiver: str
    reason: str


NotExecutedEvidence = NeverSent | ReportedNotExecuted


def refuse(evidence: NotExecutedEvidence, retry_after_ms: int) -> Refused:
    """Build a refusal from evidence.

    A refusal without evidence would tell a caller to send a reservation again
    that has run; one would notice a gift reserved twice.

    :param evidence: why the request certainly did not run.
    :param retry_after_ms: when to come back, in milliseconds.
    :returns: the refusal.
    :raises BrokenInvariant: if there is no evidence.
    """
    require(
        isinstance(evidence, NotExecutedEvidence),
        Invariant.true_refusal,
        f'refusal without evidence: {evidence!r}',
    )
    match evidence:
        case NeverSent(reason=reason):
            return Refused(reason, retry_after_ms)
        case ReportedNotExecuted(receiver=receiver, reason=reason):
            return Refused(f'{receiver}: {reason}', retry_after_ms)


def turn_away(
    request: Request, reason: str, retry_after_ms: int
) -> Refused | Unknown:
    """Give an attempt up before anything was done about it.

    This attempt did not run, but where it may be a retry of a non-idempotent
    request an earlier one may have: to say "not run" would be untrue.

    :param request: the request.
    :param reason: for people.
    :param retry_after_ms: when to come back, in milliseconds.
    :returns: refused, or unknown for what may be a retry.
    """
    may_be_retry = request.attempt != 1 and not request.hops
    if request.key and not request.idempotent and may_be_retry:
        return Unknown(reason, retry_after_ms)
    return refuse(NeverSent(reason), retry_after_ms)
