"""A claim of a shard: stored once, and settled also when its answer is lost.

A claim without an answer may be stored: then it fences the former owner, and the
other daemons wait for heartbeats of its sender. So its sender finds out, instead of
giving up a shard that is its own.
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
    AppendElsewhere,
    AppendFenced,
    AppendOutcome,
    StoreUnknown,
)
from waxwingford.shard._mirror import CaughtUp, Mirror

#: How often a claim without an answer is repeated. With a third of all answers
#: lost one claim in eighty stays unknown; where the store doesn't answer at all,
#: the others have waited longer for the owner by then than they ever do.
CLAIM_REPEATS = 3
#: Pause before the journal is read to settle a claim, in seconds.
SETTLE_PAUSE_S = 0.05


class Claim:
    """One claim under one epoch.

    A repeat goes out under the same epoch, sequence number and end of the journal,
    so that the store appends at most one of them, also those that it carries out
    seconds later. The platform's pages leave open whether the store looks first
    whether an append is a repeat or at where the topic has to end. So the answer to
    a repeat proves nothing here but that a higher epoch was seen; the journal does:
    whose claim is the newest there is the owner.
    """

    def __init__(
        self, writer: EpochWriter, journal: Mirror, record: OwnerRecord
    ) -> None:
        """Claim what was read.

        :param writer: of the journal, under the epoch of the claim.
        :param journal: all of it, as new as the decision to claim.
        :param record: the new owner.
        """
        self._writer = writer
        self._journal = journal
        self._record = record
        self._end = journal.next_offset

    async def store(self, over: asyncio.Event) -> ClaimOutcome:
        """Append the claim, if nothing has come after what was read.

        :param over: set when the daemon is told to stop: nothing is repeated then.
        :returns: whether the shard is claimed. A claim that failed may still be
            carried out, if the store gave no answer.
        """
        outcome = await self._send()
        if isinstance(outcome, StoreUnknown):
            return await self._settle(over)
        if isinstance(outcome, Appended):
            return self._count()
        return ClaimFailed(_reason(outcome))

    async def _settle(self, over: asyncio.Event) -> ClaimOutcome:
        for _ in range(CLAIM_REPEATS):
            standing = await self._look()
            if standing is not None:
                return standing
            if over.is_set():
                return ClaimFailed('stopped before the claim was answered')
            if isinstance(await self._send(), AppendFenced):
                return ClaimFailed('a higher epoch was seen')
        standing = await self._look()
        return standing or ClaimFailed('the claim was never answered')

    async def _look(self) -> ClaimOutcome | None:
        """Read whose claim is the newest.

        :returns: what became of the claim, ``None`` while that is open.
        """
        await asyncio.sleep(SETTLE_PAUSE_S)
        if not isinstance(await self._journal.catch_up(), CaughtUp):
            return None
        raw = self._journal.payload_by_key.get(OWNER_KEY)
        owner = decode_owner(raw)
        if owner is not None and owner.epoch > self._record.epoch:
            return ClaimOvertaken(owner.epoch)
        if owner is not None and owner.epoch == self._record.epoch:
            return self._count()
        if self._journal.next_offset > self._end:
            # No try can be carried out any more.
            return ClaimFailed('somebody else has appended')
        return None

    async def _send(self) -> AppendOutcome:
        return await self._writer.claim(self._end, self._record)

    def _count(self) -> Claimed:
        self._writer.begin()
        return Claimed()


def _reason(outcome: AppendOutcome) -> str:
    match outcome:
        case AppendElsewhere():
            return 'somebody else has appended'
        case AppendFenced():
            return 'a higher epoch was seen'
        case _:
            return str(outcome)
