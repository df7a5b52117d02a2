"""The journal of a shard: appended to by its owner alone.

Whoever has appended under an epoch is the owner until somebody appends under
a higher one; from then on the store refuses the former owner, so a record
that the store acknowledged is a decision that no other owner has taken.
"""

import asyncio
import dataclasses
import functools
import random

import logbook
import msgspec

from waxwingford.shard._log_port import (
    Appended,
    AppendElsewhere,
    AppendFenced,
    AppendOutcome,
    AppendOutOfOrder,
    Fence,
    KeyedRecord,
    SharedLog,
    StoreRefused,
    StoreUnknown,
)

JOURNAL_TOPIC = 'journal'
#: Key of the journal's record that names its owner.
OWNER_KEY = 'owner'
#: Low bits of an epoch are random, so that two daemons that claim the shard
#: at once never use the same one: the store takes any epoch that isn't lower.
EPOCH_RANDOM_BITS = 20
#: Sequence number of the first append of an epoch.
CLAIM_SEQUENCE = 0
#: Pause before an append is repeated, in seconds; grows to the longest.
FIRST_PAUSE_S = 0.02
LONGEST_PAUSE_S = 0.25


class OwnerRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """Who owns a shard.

    :ivar daemon_id: its daemon.
    :ivar epoch: under which it appends; also its fencing token at servers.
    :ivar endpoint: where its daemon answers others, IP number and port.
    :ivar beat: rises with each heartbeat.
    :ivar resigned: whether it has stopped and a successor may follow at once.
    :ivar failure_domain: where its daemon is.
    :ivar cut_off: whether it resigned as it can't reach most servers, or can't
        read the intake.
    :ivar silent: servers that don't answer it, with how long something may still
        run there, in ms; it doesn't extend their leases until a heartbeat is
        stored that doesn't name them. ``None`` in heartbeats of daemons of an
        older version, which don't say.
    :ivar rest_ms: how long something may still run on servers that are not named,
        in ms, if the owner has extended no lease yet and won't before its next
        heartbeat; ``None`` if it may have.
    :ivar cores: processor of its VM, in ordinary cores; 0 if it doesn't say.
    :ivar read_to: offset up to which it had read heartbeats of former owners when
        it worked ``rest_ms`` out; ``None`` if none can have come after those.
    """

    daemon_id: str
    epoch: int
    endpoint: str
    beat: int = 0
    resigned: bool = False
    failure_domain: str = ''
    cut_off: bool = False
    silent: dict[str, int] | None = None
    rest_ms: int | None = None
    read_to: int | None = None
    cores: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Deposed:
    """Another daemon has claimed the shard."""


@dataclasses.dataclass(frozen=True, slots=True)
class Claimed:
    """The shard belongs to this daemon."""


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimFailed:
    """The shard does not belong to this daemon, as far as is known.

    :ivar reason: why.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimOvertaken:
    """Another daemon has claimed the shard since the claim was decided.

    :ivar epoch: of that daemon.
    """

    epoch: int


ClaimOutcome = Claimed | ClaimFailed | ClaimOvertaken

#: Stands for a record that can't be read. It says nothing of leases, so that all
#: are waited out.
UNKNOWN_OWNER = OwnerRecord('', 0, '')
MOST_OWNERS_KEPT = 4

_log = logbook.Logger('shard')
_owner_decoder = msgspec.msgpack.Decoder(OwnerRecord)
_encoder = msgspec.msgpack.Encoder()


def encode_owner(record: OwnerRecord) -> bytes:
    """Write an owner's record.

    :param record: the record.
    :returns: its bytes.
    """
    return _encoder.encode(record)


def decode_owner(raw: bytes | None) -> OwnerRecord | None:
    """Read an owner's record.

    :param raw: as ``encode_owner`` wrote it, ``None`` if there is none.
    :returns: the record, ``None`` if there is none; one that can't be read is that
        of an owner of which nothing is known.
    """
    return None if raw is None else _decode_owner(raw)


@functools.lru_cache(maxsize=MOST_OWNERS_KEPT)
def _decode_owner(raw: bytes) -> OwnerRecord:
    # Kept, as the newest one is read again until there is another.
    try:
        return _owner_decoder.decode(raw)
    except msgspec.MsgspecError as error:
        _log.error('owner not read', extra={'reason': str(error)})
        return UNKNOWN_OWNER


def next_epoch(former: int) -> int:
    """Choose an epoch for a claim.

    :param former: highest one that was seen.
    :returns: a higher one that no other daemon chooses.
    """
    count = (former >> EPOCH_RANDOM_BITS) + 1
    return (count << EPOCH_RANDOM_BITS) | random.getrandbits(EPOCH_RANDOM_BITS)


class EpochWriter:
    """Appends to one topic under an epoch, one append at a time."""

    def __init__(self, log: SharedLog, topic: str, epoch: int) -> None:
        """Write under an epoch.

        :param log: the store.
        :param topic: where.
        :param epoch: of the owner.
        """
        self._log = log
        self._topic = topic
        self._epoch = epoch
        self._sequence = CLAIM_SEQUENCE
        self._open = False

    async def claim(self, end: int, record: OwnerRecord) -> AppendOutcome:
        """Append the first record of an epoch, if nothing came before it.

        Each call is a try of the same append: at most one of them is stored.

        :param end: where the topic ended when its content was read.
        :param record: the new owner.
        :returns: what is known of this try.
        """
        rows = (KeyedRecord(OWNER_KEY, encode_owner(record)),)
        fence = Fence(self._epoch, CLAIM_SEQUENCE, end)
        return await self._log.append(self._topic, rows, fence)

    def begin(self) -> None:
        """Go on after the claim, which is known to be stored.

        Tries of it that are carried out from now on are repeats.
        """
        self._sequence = CLAIM_SEQUENCE + 1

    async def append(self, rows: tuple[KeyedRecord, ...]) -> Appended | Deposed:
        """Append, and repeat until it is known that the append counts.

        :param rows: what.
        :returns: whether it counts, or this owner was deposed.
        """
        # An append that was cancelled under way may have been done: under its
        # sequence number the store would answer for it, and drop this one.
        after_open = self._open
        self._sequence += int(after_open)
        self._open = True
        pause_s = FIRST_PAUSE_S
        while True:
            fence = Fence(self._epoch, self._sequence)
            outcome = await self._log.append(self._topic, rows, fence)
            match outcome:
                case Appended():
                    self._settle()
                    return outcome
                case AppendOutOfOrder(expected) if expected > self._sequence:
                    # An earlier try was carried out after all.
                    self._settle()
                    return Appended(0)
                case AppendOutOfOrder(expected) if after_open:
                    after_open = False
                    self._sequence = expected
                case AppendFenced() | AppendElsewhere() | AppendOutOfOrder():
                    return Deposed()
                case StoreRefused() | StoreUnknown():
                    await asyncio.sleep(pause_s)
                    pause_s = min(2 * pause_s, LONGEST_PAUSE_S)

    def _settle(self) -> None:
        self._sequence += 1
        self._open = False
