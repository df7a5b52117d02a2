"""Decision of a retry: may it run, given what all daemons know of its key."""

from collections.abc import Mapping
from http import HTTPStatus

from waxwingford.routing._key_messages import MayRun
from waxwingford.routing._messages import (
    Answered,
    RecallAnswer,
    RecallState,
    Rejected,
    Request,
    Unknown,
)

#: When to ask again about an attempt that is in progress, in milliseconds.
IN_PROGRESS_RETRY_MS = 200
#: When to ask again after a daemon could not be asked, in milliseconds.
UNREACHABLE_RETRY_MS = 2000
#: Outcome of a key that was used with another body.
BODY_MISMATCH = Rejected(
    'key was used with another body', HTTPStatus.UNPROCESSABLE_ENTITY
)


def first_attempt_age_ms(
    request: Request, key_memory_ms: int, under_way_ms: int
) -> int:
    """Bound how long ago the first attempt can have been sent.

    :param request: the attempt at hand.
    :param key_memory_ms: how long keys are remembered, in milliseconds.
    :param under_way_ms: longest time since the caller sent this attempt, in
        milliseconds.
    :returns: milliseconds.
    """
    if request.age_ms >= 0:
        return request.age_ms + under_way_ms
    if request.attempt == 1:
        return under_way_ms
    # Retries without an age are to be sent within half of the memory's time.
    return max(key_memory_ms, key_memory_ms // 2 + under_way_ms)


def decide_retry(
    answer_by_daemon: Mapping[str, RecallAnswer], age_ms: int
) -> MayRun | Answered | Unknown | Rejected:
    """Decide whether a retry may run.

    A daemon that is unreachable, or that started after the first attempt may
    have been sent, may have run it (or its predecessor may): to run it again
    would double a reservation, so the outcome is unknown.

    :param answer_by_daemon: answers of all daemons, this one included.
    :param age_ms: how long ago the first attempt can have been sent, in
        milliseconds.
    :returns: permission to run, or the outcome.
    """
    answers = answer_by_daemon.values()
    states = {answer.state for answer in answers}
    for answer in answers:
        if answer.outcome is not None:
            return answer.outcome
    if RecallState.other_body in states:
        return BODY_MISMATCH
    if states & {RecallState.answered, RecallState.unknown}:
        return Unknown('an attempt ran or may have', UNREACHABLE_RETRY_MS)
    if RecallState.running in states:
        return Unknown('an attempt is in progress', IN_PROGRESS_RETRY_MS)
    if RecallState.unreachable in states:
        return Unknown('not all daemons could be asked', UNREACHABLE_RETRY_MS)
    youngest_ms = min(answer.up_ms for answer in answers)
    if youngest_ms < age_ms:
        return Unknown('a daemon has just started', age_ms - youngest_ms)
    return MayRun()
