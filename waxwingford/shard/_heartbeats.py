"""Heartbeats of an owner, which also prove its ownership."""

import asyncio
from collections.abc import Callable

import logbook
import msgspec

from waxwingford.shard._journal import (
    OWNER_KEY,
    OWNERS_TOPIC,
    Deposed,
    EpochWriter,
    OwnerRecord,
    encode_owner,
)
from waxwingford.shard._lease_bounds import MAX_PROOF_AGE_MS, LeaseLedger
from waxwingford.shard._load_report import LoadReport
from waxwingford.shard._log_port import (
    Appended,
    AppendRejected,
    KeyedRecord,
    SharedLog,
)

HEARTBEAT_INTERVAL_S = 0.4
#: Longest wait for a resignation to be stored, in seconds. Long enough for two
#: appends to a slow store, and shorter than the grace period of a planned stop.
RESIGN_TIMEOUT_S = 1.5

_log = logbook.Logger('shard')


class Heartbeats:
    """Sends the heartbeats of one epoch."""

    def __init__(
        self,
        log: SharedLog,
        record: OwnerRecord,
        since_boot_ms: Callable[[], int],
        ledger: LeaseLedger,
        report_load: Callable[[], LoadReport],
    ) -> None:
        """Create a sender; ``run`` sends the heartbeats.

        :param record: record of the owner, completed in each heartbeat.
        :param since_boot_ms: clock in ms that includes time in suspension.
        """
        self._report_load = report_load
        self._since_boot_ms = since_boot_ms
        self._ledger = ledger
        self._writer = EpochWriter(log, OWNERS_TOPIC, record.epoch)
        self._record = record
        self._proof_sent_ms: int | None = None
        self._proof_renewed = asyncio.Event()
        self._heartbeat_count = 0

    @property
    def ownership_proven(self) -> bool:
        """Whether leases may be extended.

        Only heartbeats count as proof, because a successor bounds the leases of
        this owner by its newest heartbeat. If appends to the journal counted,
        it would have to assume one immediately before its claim.

        :returns: whether the newest stored heartbeat is recent enough.
        """
        if self._proof_sent_ms is None:
            return False
        return self._since_boot_ms() - self._proof_sent_ms <= MAX_PROOF_AGE_MS

    async def wait_ownership_proven(self) -> None:
        """Wait until leases may be extended."""
        while not self.ownership_proven:
            self._proof_renewed.clear()
            await self._proof_renewed.wait()

    async def run(self) -> None:
        """Send heartbeats until another owner has sent some."""
        while await self._send(self._record):
            if self._proof_sent_ms is None:
                # Send the first heartbeat that permits leases without delay.
                await self._wait_extending()
            else:
                await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def resign(self, cut_off: bool = False) -> None:
        """Send a last heartbeat that lets a successor claim at once.

        :param cut_off: whether the owner resigns because it cannot reach most
            servers or the intake.
        """
        resigned = msgspec.structs.replace(
            self._record, resigned=True, cut_off=cut_off
        )
        try:
            await asyncio.wait_for(self._send(resigned), RESIGN_TIMEOUT_S)
        except TimeoutError:
            details = {'epoch': resigned.epoch}
            _log.warning('resignation not stored', extra=details)

    async def _wait_extending(self) -> None:
        try:
            await asyncio.wait_for(
                self._ledger.extending.wait(), HEARTBEAT_INTERVAL_S
            )
        except TimeoutError:
            # The takeover takes longer; standbys must not miss heartbeats.
            return

    async def _send(self, record: OwnerRecord) -> bool:
        sent_ms = self._since_boot_ms()
        self._heartbeat_count += 1
        report = self._ledger.next_report()
        record = msgspec.structs.replace(
            record,
            beat=self._heartbeat_count,
            **self._report_load().bounded()._asdict(),
            **report._asdict(),
        )
        row = KeyedRecord(OWNER_KEY, encode_owner(record))
        match await self._writer.append((row,)):
            case Deposed():
                return False
            case AppendRejected(reason):
                _log.error(
                    'heartbeat rejected',
                    extra={'epoch': record.epoch, 'reason': reason},
                )
                await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            case Appended(end):
                self._ledger.heartbeat_stored(report, end)
                if report.rest_ms is None:
                    self._proof_sent_ms = sent_ms
                    self._proof_renewed.set()
        return True
