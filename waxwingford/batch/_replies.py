"""Pending replies to submissions and cancellations."""

import asyncio
import itertools
from typing import NamedTuple

from waxwingford.batch._effects import JobOutcomeUnknown, SubmissionOutcome


class PendingReply(NamedTuple):
    """A reply that a caller waits for."""

    submission_id: int
    outcome: asyncio.Future[SubmissionOutcome]


class PendingReplies:
    """Pending replies by submission id; the outbox bounds their number."""

    def __init__(self) -> None:
        self._reply_by_id: dict[int, PendingReply] = {}
        self._ids = itertools.count(1)

    def create(self) -> PendingReply:
        """Create a pending reply.

        :returns: the pending reply, with a new id.
        """
        outcome = asyncio.get_running_loop().create_future()
        reply = PendingReply(next(self._ids), outcome)
        self._reply_by_id[reply.submission_id] = reply
        return reply

    async def wait(self, reply: PendingReply) -> SubmissionOutcome:
        """Wait for the outcome of a reply."""
        try:
            return await reply.outcome
        finally:
            self._reply_by_id.pop(reply.submission_id, None)

    def resolve(self, submission_id: int, outcome: SubmissionOutcome) -> None:
        """Set the outcome of a reply; ignored if no caller waits for it."""
        reply = self._reply_by_id.pop(submission_id, None)
        if reply is not None and not reply.outcome.done():
            reply.outcome.set_result(outcome)

    def resolve_all_unknown(self, reason: str, retry_after_ms: int) -> None:
        """Resolve all pending replies with an unknown outcome.

        :param reason: human-readable reason.
        :param retry_after_ms: time before a retry, in milliseconds.
        """
        for submission_id in list(self._reply_by_id):
            self.resolve(
                submission_id, JobOutcomeUnknown(reason, retry_after_ms)
            )
