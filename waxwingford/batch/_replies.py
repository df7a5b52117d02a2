"""Callers that wait for the outcome of a submission or cancellation."""

import asyncio
import itertools
from typing import NamedTuple

from waxwingford.batch._effects import JobUnknown, SubmissionOutcome


class PendingReply(NamedTuple):
    """A caller's wait.

    :ivar submission_id: names it.
    :ivar outcome: set once it is known.
    """

    submission_id: int
    outcome: asyncio.Future[SubmissionOutcome]


class PendingReplies:
    """Waits by submission id; how many is bounded by the outbox."""

    def __init__(self) -> None:
        """Start without waits."""
        self._reply_by_id: dict[int, PendingReply] = {}
        self._ids = itertools.count(1)

    def create(self) -> PendingReply:
        """Begin a wait.

        :returns: the wait, under a new id.
        """
        outcome = asyncio.get_running_loop().create_future()
        reply = PendingReply(next(self._ids), outcome)
        self._reply_by_id[reply.submission_id] = reply
        return reply

    async def wait(self, reply: PendingReply) -> SubmissionOutcome:
        """Wait for the outcome.

        :param reply: the wait.
        :returns: the outcome.
        """
        try:
            return await reply.outcome
        finally:
            self._reply_by_id.pop(reply.submission_id, None)

    def resolve(self, submission_id: int, outcome: SubmissionOutcome) -> None:
        """Give a caller its outcome; one that went away is passed over.

        :param submission_id: names the wait.
        :param outcome: the outcome.
        """
        reply = self._reply_by_id.pop(submission_id, None)
        if reply is not None and not reply.outcome.done():
            reply.outcome.set_result(outcome)

    def resolve_all_unknown(self, reason: str, retry_after_ms: int) -> None:
        """Answer all callers that what they asked for may still happen.

        :param reason: human-readable reason.
        :param retry_after_ms: when to come back, in milliseconds.
        """
        for submission_id in list(self._reply_by_id):
            self.resolve(submission_id, JobUnknown(reason, retry_after_ms))
