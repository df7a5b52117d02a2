"""Publishing a signed bundle: append, then read what became of it."""

import copy
import dataclasses
from collections.abc import Mapping

from waxwingford.bundles._baseline import Located, locate
from waxwingford.bundles._canonical import (
    Body,
    canonical_bytes,
    digest_of,
    make_patch,
    short_digest,
)
from waxwingford.bundles._model import Bundle
from waxwingford.bundles._record import (
    CONFIG_STREAM,
    BundleRecord,
    RejectedBundle,
    encode_record,
)
from waxwingford.bundles._toml import body_of
from waxwingford.bundles._verdicts import (
    BundleInForce,
    FromBaseline,
    FromLog,
    InForce,
    Source,
)
from waxwingford.ports import (
    Appended,
    AppendOutcome,
    AppendRefused,
    AppendUnknown,
    LogPort,
    LogUnavailable,
)

_READ_LIMIT = 256
_ALL_LOST = (
    'the log retains no proof of what governs; state the newest bundle again '
    '(bundle publish --restate)'
)
_NOT_LOST = 'the log proves what governs; publish a successor of it'


@dataclasses.dataclass(frozen=True, slots=True)
class Published:
    """The bundle is in force at the head of the stream.

    :ivar version: its version.
    :ivar digest: its digest.
    :ivar offset: where it stands; -1 if it stood there before.
    """

    version: int
    digest: str
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class PublishRefused:
    """The bundle is not in force and will not be; nothing changed.

    :ivar reason: why; after a lost race it names the winner.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class PublishUnavailable:
    """The log was away before anything was appended; try again later.

    :ivar reason: for people.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class PublishUnknown:
    """The append may or may not show up; publishing again is harmless.

    :ivar reason: for people.
    """

    reason: str


PublishOutcome = (
    Published | PublishRefused | PublishUnavailable | PublishUnknown
)


def make_record(
    bundle: Bundle,
    signature_by_member: Mapping[str, bytes],
    current_body: Body,
    as_of: int | None = None,
) -> BundleRecord:
    """Build the record of a change: a patch where that is smaller.

    :param bundle: what to publish.
    :param signature_by_member: over its digest.
    :param current_body: body that it succeeds, empty for none.
    :param as_of: offset that a restatement covers; None for a change.
    :returns: the record.
    """
    body = body_of(bundle)
    canonical = canonical_bytes(body)
    patch = make_patch(current_body, body)
    is_small = bool(current_body) and (
        len(canonical_bytes(patch)) < len(canonical)
    )
    return BundleRecord(
        version=bundle.version,
        predecessor=bundle.predecessor,
        digest=digest_of(canonical),
        signature_by_member=dict(signature_by_member),
        body=None if is_small else body,
        patch=patch if is_small else None,
        as_of=as_of,
    )


async def publish(
    log: LogPort,
    key_by_member: Mapping[str, str],
    bundle: Bundle,
    signature_by_member: Mapping[str, bytes],
    restate: bool = False,
) -> PublishOutcome:
    """Publish a bundle; a bad one is refused before it reaches the log.

    :param log: the platform's log.
    :param key_by_member: pinned public keys.
    :param bundle: what to publish.
    :param signature_by_member: signature of every member.
    :param restate: state it to be in force where the log has lost all proof
        of what is; daemons that have a newer one keep that.
    :returns: tagged outcome; safe to call again after any of them.
    """
    located = await locate(log, key_by_member)
    if isinstance(located, LogUnavailable):
        return PublishUnavailable(located.reason)
    body = located.chain.body
    as_of = located.next_offset if restate else None
    record = make_record(bundle, signature_by_member, body, as_of)
    if _is_current(located.chain.current, record):
        return Published(record.version, record.digest, -1)
    proved = located.chain.current is not None or located.from_start
    if proved == restate:
        return PublishRefused(_NOT_LOST if restate else _ALL_LOST)
    fault = _dry_run(located, record)
    if fault:
        return PublishRefused(fault)
    appended = await log.append(CONFIG_STREAM, encode_record(record))
    if isinstance(appended, AppendRefused):
        return PublishUnavailable(appended.reason)
    return await _resolve(log, located, record, appended)


def _is_current(current: BundleInForce | None, record: BundleRecord) -> bool:
    return current is not None and current.digest == record.digest


def _dry_run(located: Located, record: BundleRecord) -> str:
    # A copy: the chain itself goes on to judge what is read after the append.
    trial = copy.copy(located.chain)
    source = _source(record, located.next_offset)
    verdict = trial.offer_payload(encode_record(record), source)
    return verdict.reason if isinstance(verdict, RejectedBundle) else ''


async def _resolve(
    log: LogPort,
    located: Located,
    record: BundleRecord,
    appended: AppendOutcome,
) -> PublishOutcome:
    """Read forward until the record, or its winner, is seen.

    An acknowledgement can be lost after the append took effect: the stream,
    not the answer, says what happened.

    :param log: the platform's log.
    :param located: the chain before the append.
    :param record: what was appended.
    :param appended: the log's answer.
    :returns: tagged outcome.
    """
    position = located.next_offset
    while True:
        block = await log.read(CONFIG_STREAM, position, _READ_LIMIT)
        if isinstance(block, LogUnavailable):
            return PublishUnknown(block.reason)
        for entry in block.entries:
            position = entry.offset + 1
            verdict = located.chain.offer_payload(
                entry.payload, _source(record, entry.offset)
            )
            if isinstance(verdict, InForce):
                return _ruling(verdict.in_force, record, entry.offset)
        if position >= block.next_offset:
            return _unseen(appended)


def _source(record: BundleRecord, offset: int) -> Source:
    if record.as_of is None:
        return FromLog(offset)
    return FromBaseline(record.as_of)


def _ruling(
    winner: BundleInForce, record: BundleRecord, offset: int
) -> PublishOutcome:
    if winner.digest == record.digest:
        return Published(record.version, record.digest, offset)
    return PublishRefused(
        f'version {winner.version} was won by {short_digest(winner.digest)} at '
        f'offset {offset}; sign again on top of it'
    )


def _unseen(appended: AppendOutcome) -> PublishOutcome:
    match appended:
        case Appended(offset):
            return PublishUnknown(f'offset {offset} can not be read yet')
        case AppendRefused(reason) | AppendUnknown(reason):
            return PublishUnknown(reason)
