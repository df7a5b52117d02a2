"""Heartbeats of an owner, and the proof of ownership that they give."""

import asyncio
from collections.abc import Callable

import logbook
import msgspec

from waxwingford.shard._journal import (
    OWNER_KEY,
    Deposed,
    EpochWriter,
    OwnerRecord,
    encode_owner,
)
from waxwingford.shard._lease_bounds import PROOF_MS, LeaseLedger
from waxwingford.shard._log_port import Appended, KeyedRecord, SharedLog

OWNERS_TOPIC = 'owners'
#: Time between two heartbeats, in seconds.
BEAT_EVERY_S = 0.4
#: Longest wait for a resignation to be stored, in seconds: two appends of a
#: slow store, and well within the time that a planned stop may take.
RESIGN_WAIT_S = 1.5

_log = logbook.Logger('shard')


class Beats:
    """Sends the heartbeats of one epoch."""

    def __init__(
        self,
        log: SharedLog,
        record: OwnerRecord,
        since_boot_ms: Callable[[], int],
        ledger: LeaseLedger,
    ) -> None:
        """Send none yet.

        :param log: the store.
        :param record: the owner.
        :param since_boot_ms: clock that counts suspension too.
        :param ledger: of leases that are and that are not extended.
        """
        self._since_boot_ms = since_boot_ms
        self._ledger = ledger
        self._writer = EpochWriter(log, OWNERS_TOPIC, record.epoch)
        self._record = record
        self._proof_ms: int | None = None
        self._proved = asyncio.Event()
        self._beat = 0

    @property
    def proven(self) -> bool:
        """Tell whether leases may be extended.

        Only heartbeats are proofs: a successor follows them, and knows by the
        newest one how long the leases of this owner may last. Of appends to the
        journal it would have to assume one just before its claim.

        :returns: whether the newest heartbeat that is stored is recent.
        """
        if self._proof_ms is None:
            return False
        return self._since_boot_ms() - self._proof_ms <= PROOF_MS

    async def until_proven(self) -> None:
        """Wait until leases may be extended."""
        while not self.proven:
            self._proved.clear()
            await self._proved.wait()

    async def keep(self) -> None:
        """Send heartbeats until another owner has sent some."""
        while await self._send(self._record):
            if self._proof_ms is None:
                # The one under which leases are extended goes out at once.
                await self._until_acting()
            else:
                await asyncio.sleep(BEAT_EVERY_S)

    async def resign(self, cut_off: bool = False) -> None:
        """Tell the others that they need not wait for a silence.

        :param cut_off: whether others may reach what can't be reached from here.
        """
        resigned = msgspec.structs.replace(
            self._record, resigned=True, cut_off=cut_off
        )
        try:
            await asyncio.wait_for(self._send(resigned), RESIGN_WAIT_S)
        except TimeoutError:
            about = {'epoch': resigned.epoch}
            _log.warning('resignation not stored', extra=about)

    async def _until_acting(self) -> None:
        try:
            await asyncio.wait_for(self._ledger.acting.wait(), BEAT_EVERY_S)
        except TimeoutError:
            # Reading takes longer: the others must not miss heartbeats.
            return

    async def _send(self, record: OwnerRecord) -> bool:
        sent_ms = self._since_boot_ms()
        self._beat += 1
        news = self._ledger.tell()
        record = msgspec.structs.replace(
            record, beat=self._beat, **news._asdict()
        )
        row = KeyedRecord(OWNER_KEY, encode_owner(record))
        match await self._writer.append((row,)):
            case Deposed():
                return False
            case Appended(end):
                self._ledger.stored(news, end)
                if news.rest_ms is None:
                    self._proof_ms = sent_ms
                    self._proved.set()
        return True
