"""Journal of a shard, to which only the shard's owner appends.

The daemon that has appended under the highest epoch is the owner. From then on
the store refuses appends under lower epochs, so that an acknowledged record
cannot conflict with decisions of another owner.
"""

import asyncio
import collections
import functools
import random
from typing import Annotated, NamedTuple

import logbook
import msgspec

from waxwingford.shard._log_port import (
    Appended,
    AppendEndMismatch,
    AppendFenced,
    AppendOutcome,
    AppendOutOfOrder,
    AppendRejected,
    Fence,
    KeyedRecord,
    LogLimits,
    SharedLog,
    StoreOutcomeUnknown,
    StoreRefused,
)

JOURNAL_TOPIC = 'journal'
OWNERS_TOPIC = 'owners'
#: Key of the record that names the owner, in the journal and in heartbeats.
OWNER_KEY = 'owner'
#: Low bits of an epoch that are random, so that daemons that claim at the same
#: time use different epochs: the store accepts an epoch that it has seen.
EPOCH_RANDOM_BITS = 20
#: Sequence number of the first append of an epoch.
CLAIM_SEQUENCE = 0
#: Delay before an append is retried, in seconds; doubles up to the maximum.
MIN_RETRY_DELAY_S = 0.02
MAX_RETRY_DELAY_S = 0.25
#: Appends that have to be accepted in succession, each between two rejections of the
#: same records, before these count as at fault.
REJECTION_CONFIRMATIONS = 4
#: Deletes a key that no row has: tells whether the store accepts appends at all.
CONTROL_RECORD = KeyedRecord('control', None)


#: Largest epoch in a record of an owner that is taken for one. From a larger one no
#: higher epoch could be claimed: stores count in 64 bits.
MAX_EPOCH = 4_611_686_018_427_387_904
#: Longest time in such a record, in ms.
MAX_TIME_MS = 9_007_199_254_740_992

_Epoch = Annotated[int, msgspec.Meta(ge=0, le=MAX_EPOCH)]
_TimeMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_TIME_MS)]


class OwnerRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """Owner of a shard, as stored in the journal and sent as heartbeat.

    :ivar epoch: epoch of its appends; also its fencing token at servers.
    :ivar endpoint: IP address and port at which it answers other daemons.
    :ivar beat: number of the heartbeat within the epoch.
    :ivar resigned: whether it has stopped, so that a successor need not wait.
    :ivar cut_off: whether it resigned because it could not reach most servers
        or could not read the intake.
    :ivar silent: unresponsive servers, with the time in ms for which tasks may
        still run there. Their leases are not extended until a heartbeat that
        omits them is stored. ``None`` in heartbeats of older versions.
    :ivar rest_ms: time in ms for which tasks may still run on all other
        servers, while the owner has extended no lease and extends none before
        its next heartbeat; ``None`` once it may extend leases.
    :ivar cores: processor of its VM, in reference cores; 0 if unknown.
    :ivar pending_by_queue: jobs that have not begun; ``None`` if unknown.
    :ivar urgent_retry_s: time in seconds for which jobs without best-effort tasks
        are refused, 0 if they are accepted.
    :ivar best_effort_retry_s: the same for jobs with best-effort tasks.
    :ivar room_retry_s: times in seconds after which best-effort jobs may be submitted
        again, by service without room for them; ``None`` if all are accepted, and in
        heartbeats of older versions.
    :ivar kept_job_bytes: memory of the owner that jobs may take, in bytes.
    :ivar max_job_bytes: memory that it has for jobs, in bytes; 0 for no bound, and in
        heartbeats of older versions.
    :ivar relay_endpoint: IP address and port at which it accepts relays, empty if
        it accepts none.
    :ivar metrics_endpoint: IP address and port at which it explains placements, empty
        if it serves no metrics.
    :ivar read_to: offset up to which it had read heartbeats of previous owners
        when it computed ``rest_ms``; ``None`` if no later one is possible.
    """

    daemon_id: str
    epoch: _Epoch
    endpoint: str
    beat: int = 0
    resigned: bool = False
    failure_domain: str = ''
    cut_off: bool = False
    silent: dict[str, _TimeMs] | None = None
    rest_ms: _TimeMs | None = None
    read_to: int | None = None
    cores: float = 0
    pending_by_queue: dict[str, int] | None = None
    urgent_retry_s: int = 0
    best_effort_retry_s: int = 0
    room_retry_s: dict[str, int] | None = None
    kept_job_bytes: int = 0
    max_job_bytes: int = 0
    relay_endpoint: str = ''
    metrics_endpoint: str = ''


class Predecessor(NamedTuple):
    """Newest heartbeat that a daemon had read when it claimed.

    :ivar record: the heartbeat, ``None`` if there never was one.
    :ivar read_ms: monotonic time at which it was read, in ms.
    :ivar end: offset after the last heartbeat that was read.
    :ivar offset: offset of the newest heartbeat, -1 if there never was one.
    """

    record: OwnerRecord | None
    read_ms: int
    end: int
    offset: int


class Deposed(msgspec.Struct, frozen=True):
    """The store refused an append because another daemon owns the shard."""


class Claimed(msgspec.Struct, frozen=True):
    """The shard belongs to this daemon."""


class ClaimFailed(msgspec.Struct, frozen=True):
    """The claim was rejected, or its outcome is unknown."""

    reason: str


class ClaimOvertaken(msgspec.Struct, frozen=True):
    """Another daemon has claimed the shard since the claim was decided."""

    epoch: int


ClaimOutcome = Claimed | ClaimFailed | ClaimOvertaken

#: Replaces a record that cannot be decoded. It has no information on leases, so
#: that a successor waits for the longest possible lease.
UNKNOWN_OWNER = OwnerRecord('', 0, '')
OWNER_CACHE_SIZE = 4

_log = logbook.Logger('shard')
_owner_decoder = msgspec.msgpack.Decoder(OwnerRecord)
_encoder = msgspec.msgpack.Encoder()


def encode_owner(record: OwnerRecord) -> bytes:
    """Encode the record of an owner.

    :returns: its MessagePack encoding.
    """
    return _encoder.encode(record)


def decode_owner(raw: bytes | None) -> OwnerRecord | None:
    """Decode the record of an owner.

    :param raw: bytes from ``encode_owner``, ``None`` if there is no record.
    :returns: the record, ``None`` if there is none; ``UNKNOWN_OWNER`` if it
        cannot be decoded.
    """
    return None if raw is None else _decode_owner(raw)


@functools.lru_cache(maxsize=OWNER_CACHE_SIZE)
def _decode_owner(raw: bytes) -> OwnerRecord:
    # Cached because readers decode the newest record after every read.
    try:
        return _owner_decoder.decode(raw)
    except (msgspec.MsgspecError, RecursionError) as error:
        _log.error('owner not read', extra={'reason': str(error)})
        return UNKNOWN_OWNER


def next_epoch(highest_seen: int) -> int:
    """Choose an epoch for a claim.

    :returns: a higher epoch, which other daemons are unlikely to choose.
    """
    count = (highest_seen >> EPOCH_RANDOM_BITS) + 1
    return (count << EPOCH_RANDOM_BITS) | random.getrandbits(EPOCH_RANDOM_BITS)


class EpochWriter:
    """Appends to a topic under an epoch, one append at a time."""

    def __init__(self, log: SharedLog, topic: str, epoch: int) -> None:
        self._log = log
        self._topic = topic
        self._epoch = epoch
        self._sequence = CLAIM_SEQUENCE
        self._append_pending = False
        self._retries_by_reason: collections.Counter[str] = (
            collections.Counter()
        )

    async def claim(
        self, expected_end: int, record: OwnerRecord
    ) -> AppendOutcome:
        """Append the first record of the epoch, if the topic has not grown.

        Every call is an attempt of the same append: at most one is stored.

        :param expected_end: offset at which the topic ended when it was read.
        """
        rows = (KeyedRecord(OWNER_KEY, encode_owner(record)),)
        fence = Fence(self._epoch, CLAIM_SEQUENCE, expected_end)
        return await self._log.append(self._topic, rows, fence)

    def confirm_claim(self) -> None:
        """Continue after the claim, which is known to be stored.

        Attempts of the claim that the store applies later are duplicates.
        """
        self._sequence = CLAIM_SEQUENCE + 1

    @property
    def limits(self) -> LogLimits:
        """Sizes that the store accepts."""
        return self._log.limits

    async def append(
        self, rows: tuple[KeyedRecord, ...]
    ) -> Appended | AppendRejected | Deposed:
        """Append, and retry until the outcome is known.

        :returns: whether they are stored or were rejected, or this owner was
            deposed.
        """
        # An append that was cancelled in flight may have been applied. With the
        # same sequence number the store would take this one for a duplicate.
        after_pending = self._append_pending
        self._sequence += int(after_pending)
        self._append_pending = True
        delay_s = MIN_RETRY_DELAY_S
        may_be_applied = False
        while True:
            fence = Fence(self._epoch, self._sequence)
            outcome = await self._log.append(self._topic, rows, fence)
            match outcome:
                case Appended():
                    self._advance()
                    return outcome
                case AppendRejected():
                    # The number is unused unless an earlier attempt is applied.
                    self._append_pending = may_be_applied
                    return outcome
                case AppendOutOfOrder(expected) if expected > self._sequence:
                    # An earlier attempt was applied after all.
                    self._advance()
                    return Appended(0)
                case AppendOutOfOrder(expected) if after_pending:
                    after_pending = False
                    self._sequence = expected
                case AppendFenced() | AppendEndMismatch() | AppendOutOfOrder():
                    return Deposed()
                case StoreRefused(reason) | StoreOutcomeUnknown(reason):
                    may_be_applied |= isinstance(outcome, StoreOutcomeUnknown)
                    self._log_retry(reason)
                    await asyncio.sleep(delay_s)
                    delay_s = min(2 * delay_s, MAX_RETRY_DELAY_S)

    async def append_confirmed(
        self, rows: tuple[KeyedRecord, ...]
    ) -> Appended | AppendRejected | Deposed:
        """Append, and retry while the store rejects other appends as well.

        :returns: whether they are stored, or this owner was deposed, or they are at
            fault themselves: they are too large, or the store rejects them each time
            while it accepts other appends in between.
        """
        confirmations = 0
        delay_s = MIN_RETRY_DELAY_S
        while True:
            outcome = await self.append(rows)
            if not isinstance(outcome, AppendRejected):
                return outcome
            if outcome.final or confirmations == REJECTION_CONFIRMATIONS:
                return outcome
            match await self.append((CONTROL_RECORD,)):
                case Deposed():
                    return Deposed()
                case Appended():
                    confirmations += 1
                case AppendRejected(reason):
                    confirmations = 0
                    self._log_retry(reason)
            await asyncio.sleep(delay_s)
            delay_s = min(2 * delay_s, MAX_RETRY_DELAY_S)

    def _log_retry(self, reason: str) -> None:
        """Log retries for one reason whose number is a power of two."""
        self._retries_by_reason[reason] += 1
        times = self._retries_by_reason[reason]
        is_power_of_two = not times & (times - 1)
        if is_power_of_two:
            _log.warning(
                'append retried',
                extra={'topic': self._topic, 'reason': reason, 'times': times},
            )

    def _advance(self) -> None:
        self._sequence += 1
        self._append_pending = False
