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
from waxwingford.shard._log_port import KeyedRecord, SharedLog

OWNERS_TOPIC = 'owners'
#: Time between two heartbeats, in seconds.
BEAT_EVERY_S = 0.4
#: Longest wait for a resignation to be stored, in seconds: two appends of a
#: slow store, and well within the time that a planned stop may take.
RESIGN_WAIT_S = 1.5
#: Leases are extended while the newest proof of ownership is no older, in ms.
#: With the lease it is longer than most outages of the store; but a successor
#: waits both out for servers that it can't reach, and a lasting task that was on
#: one of them must be at work again within 10 s of the end of the fault.
PROOF_MS = 2600

_log = logbook.Logger('shard')


class Beats:
    """Sends the heartbeats of one epoch.

    :ivar since_boot_ms: clock that counts suspension too.
    """

    def __init__(
        self,
        log: SharedLog,
        record: OwnerRecord,
        since_boot_ms: Callable[[], int],
    ) -> None:
        """Send none yet.

        :param log: the store.
        :param record: the owner.
        :param since_boot_ms: clock that counts suspension too.
        """
        self.since_boot_ms = since_boot_ms
        self._writer = EpochWriter(log, OWNERS_TOPIC, record.epoch)
        self._record = record
        self._proof_ms = 0
        self._beat = 0

    @property
    def proven(self) -> bool:
        """Tell whether nobody else can have been the owner for long.

        :returns: whether the newest proof is recent.
        """
        return self.since_boot_ms() - self._proof_ms <= PROOF_MS

    def prove(self, sent_ms: int) -> None:
        """Note that the store has acknowledged an append of this epoch.

        :param sent_ms: when it was sent, by the clock that counts suspension.
        """
        self._proof_ms = max(self._proof_ms, sent_ms)

    async def keep(self) -> None:
        """Send heartbeats until another owner has sent some."""
        while await self._send(self._record):
            await asyncio.sleep(BEAT_EVERY_S)

    async def resign(self, cut_off: bool = False) -> None:
        """Tell the others that they need not wait for a silence.

        :param cut_off: whether most servers can't be reached from here.
        """
        resigned = msgspec.structs.replace(
            self._record, resigned=True, cut_off=cut_off
        )
        try:
            await asyncio.wait_for(self._send(resigned), RESIGN_WAIT_S)
        except TimeoutError:
            about = {'epoch': resigned.epoch}
            _log.warning('resignation not stored', extra=about)

    async def _send(self, record: OwnerRecord) -> bool:
        sent_ms = self.since_boot_ms()
        self._beat += 1
        record = msgspec.structs.replace(record, beat=self._beat)
        row = KeyedRecord(OWNER_KEY, encode_owner(record))
        if isinstance(await self._writer.append((row,)), Deposed):
            return False
        self.prove(sent_ms)
        return True
