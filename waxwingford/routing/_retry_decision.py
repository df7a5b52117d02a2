"""Decision whether a retry may run, from the key lookups at all daemons."""

from collections.abc import Mapping
from http import HTTPStatus

from waxwingford.routing._key_messages import MayRun
from waxwingford.routing._messages import (
    Answered,
    KeyLookupAnswer,
    KeyLookupState,
    Rejected,
    Request,
    Unknown,
)

#: Retry delay while another attempt is in progress, in milliseconds.
IN_PROGRESS_RETRY_MS = 200
#: Retry delay after a daemon was unreachable, in milliseconds.
UNREACHABLE_RETRY_MS = 2000
#: Outcome of a request whose key was used for a different request.
BODY_MISMATCH = Rejected(
    'key was used with another body',
    HTTPStatus.UNPROCESSABLE_ENTITY,
)


def first_attempt_age_ms(
    request: Request, key_memory_ms: int, max_transit_ms: int
) -> int:
    """Compute an upper bound of the age of the first attempt.

    :param request: current attempt.
    :param key_memory_ms: retention period of keys, in milliseconds.
    :param max_transit_ms: maximum time since the caller sent the current
        attempt, in milliseconds.
    :returns: maximum age of the first attempt, in milliseconds.
    """
    if request.age_ms >= 0:
        return request.age_ms + max_transit_ms
    if request.attempt == 1:
        return max_transit_ms
    # Callers send retries without an age within half the retention period.
    return max(key_memory_ms, key_memory_ms // 2 + max_transit_ms)


def decide_retry(
    answer_by_daemon: Mapping[str, KeyLookupAnswer], age_ms: int
) -> MayRun | Answered | Unknown | Rejected:
    """Decide whether a retry may run.

    The outcome is unknown if a daemon is unreachable or may have started after
    the first attempt was sent, because that daemon or its predecessor may have
    executed the attempt.

    :param answer_by_daemon: lookup answers of all daemons, this one included.
    :param age_ms: maximum age of the first attempt, in milliseconds.
    """
    answers = answer_by_daemon.values()
    states = {answer.state for answer in answers}
    for answer in answers:
        if answer.outcome is not None:
            return answer.outcome
    if KeyLookupState.other_body in states:
        return BODY_MISMATCH
    if states & {KeyLookupState.answered, KeyLookupState.unknown}:
        return Unknown(
            'an earlier attempt may have been executed', UNREACHABLE_RETRY_MS
        )
    if KeyLookupState.running in states:
        return Unknown('an attempt is in progress', IN_PROGRESS_RETRY_MS)
    if KeyLookupState.unreachable in states:
        return Unknown('not all daemons could be asked', UNREACHABLE_RETRY_MS)
    youngest_ms = min(answer.up_ms for answer in answers)
    if youngest_ms < age_ms:
        return Unknown(
            'a daemon may have started after the first attempt',
            age_ms - youngest_ms,
        )
    return MayRun()
