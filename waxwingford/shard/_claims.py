"""Claim of a shard, whose outcome is resolved even if its answer is lost.

A claim that got no answer may have been stored. It then fences the previous
owner, and other daemons wait for heartbeats of the claimer, which therefore
must not give up before it knows the outcome.
"""

import asyncio

from waxwingford.shard._journal import (
    OWNER_KEY,
    Claimed,
    ClaimFailed,
    ClaimOutcome,
    ClaimOvertaken,
    EpochWriter,
    OwnerRecord,
    decode_owner,
)
from waxwingford.shard._log_port import (
    Appended,
    AppendEndMismatch,
    AppendFenced,
    AppendOutcome,
    StoreOutcomeUnknown,
)
from waxwingford.shard._mirror import CaughtUp, Mirror

#: Number of retries of a claim that got no answer. With a third of all answers
#: lost, one claim in eighty stays unknown. If the store doesn't answer at all,
#: standbys have by then waited for longer than they ever do for an owner.
MAX_CLAIM_RETRIES = 3
#: Delay before the journal is read to resolve a claim, in seconds.
RESOLVE_DELAY_S = 0.05


class Claim:
    """A claim under one epoch.

    Retries use the same epoch, sequence number and end of the journal, so that
    the store appends at most one attempt, even if it applies some of them late.
    The platform does not specify whether it checks for duplicates or for the
    end of the topic first. So the answer to a retry can only prove that a
    higher epoch was seen; otherwise the newest claim in the journal decides.
    """

    def __init__(
        self, writer: EpochWriter, journal: Mirror, record: OwnerRecord
    ) -> None:
        """Create a claim that is valid at the current end of the journal.

        :param writer: writer of the journal under the epoch of the claim.
        :param journal: complete copy from which the claim was decided.
        """
        self._writer = writer
        self._journal = journal
        self._record = record
        self._expected_end = journal.next_offset

    async def store(self, stopped: asyncio.Event) -> ClaimOutcome:
        """Append the claim, if the journal has not grown since it was read.

        :param stopped: set when the owner is stopped, which ends retries.
        :returns: whether the shard is claimed. The store may still apply a
            failed claim that got no answer.
        """
        outcome = await self._send()
        if isinstance(outcome, StoreOutcomeUnknown):
            return await self._resolve(stopped)
        if isinstance(outcome, Appended):
            return self._confirm()
        return ClaimFailed(_failure_reason(outcome))

    async def _resolve(self, stopped: asyncio.Event) -> ClaimOutcome:
        for _ in range(MAX_CLAIM_RETRIES):
            resolved = await self._read_outcome()
            if resolved is not None:
                return resolved
            if stopped.is_set():
                return ClaimFailed(
                    'owner stopped before the claim was answered'
                )
            if isinstance(await self._send(), AppendFenced):
                return ClaimFailed('fenced by a higher epoch')
        resolved = await self._read_outcome()
        return resolved or ClaimFailed('store did not answer the claim')

    async def _read_outcome(self) -> ClaimOutcome | None:
        """Read the newest claim in the journal.

        :returns: outcome of this claim, ``None`` while it is unknown.
        """
        await asyncio.sleep(RESOLVE_DELAY_S)
        if not isinstance(await self._journal.catch_up(), CaughtUp):
            return None
        raw = self._journal.payload_by_key.get(OWNER_KEY)
        owner = decode_owner(raw)
        if owner is not None and owner.epoch > self._record.epoch:
            return ClaimOvertaken(owner.epoch)
        if owner is not None and owner.epoch == self._record.epoch:
            return self._confirm()
        if self._journal.next_offset > self._expected_end:
            # The store can no longer apply any attempt.
            return ClaimFailed('journal has grown since it was read')
        return None

    async def _send(self) -> AppendOutcome:
        return await self._writer.claim(self._expected_end, self._record)

    def _confirm(self) -> Claimed:
        self._writer.confirm_claim()
        return Claimed()


def _failure_reason(outcome: AppendOutcome) -> str:
    match outcome:
        case AppendEndMismatch():
            return 'journal has grown since it was read'
        case AppendFenced():
            return 'fenced by a higher epoch'
        case _:
            return str(outcome)
