"""Publishes a signed bundle and reads back whether it took force."""

import copy
import dataclasses
from collections.abc import Mapping

from waxwingford.bundles._baseline import RecoveredChain, recover_chain
from waxwingford.bundles._canonical import (
    Body,
    canonical_bytes,
    compute_digest,
    make_merge_patch,
    short_digest,
)
from waxwingford.bundles._model import Bundle
from waxwingford.bundles._record import (
    CONFIG_STREAM,
    BundleRecord,
    RejectedBundle,
    encode_record,
)
from waxwingford.bundles._toml import bundle_body
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
    AppendOutcomeUnknown,
    AppendRefused,
    LogPort,
    LogUnavailable,
)

_READ_LIMIT = 256
_PROOF_LOST = (
    'the log retains no proof of what governs; state the newest bundle again '
    '(bundle publish --restate)'
)
_PROOF_RETAINED = 'the log proves what governs; publish a successor of it'


@dataclasses.dataclass(frozen=True, slots=True)
class Published:
    """The bundle is in force at the head of the stream.

    :ivar digest: hex digest of the bundle.
    :ivar offset: offset of its record; -1 if it was in force already.
    """

    version: int
    digest: str
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class PublishRefused:
    """The bundle was rejected and will not take force.

    :ivar reason: error message; names the winner if another operator's
        successor was appended first.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class PublishUnavailable:
    """The log was unavailable; nothing was appended, so retry later.

    :ivar reason: error message of the log.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class PublishUnknown:
    """The append may have taken effect; publishing again is safe."""

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
    """Build a record, with a merge patch if that is smaller than the body.

    :param signature_by_member: signatures over the bundle's digest.
    :param current_body: body of the predecessor, empty for none.
    :param as_of: for a restatement, the offset up to which all entries have
        been read; else None.
    """
    body = bundle_body(bundle)
    canonical = canonical_bytes(body)
    patch = make_merge_patch(current_body, body)
    use_patch = bool(current_body) and (
        len(canonical_bytes(patch)) < len(canonical)
    )
    return BundleRecord(
        version=bundle.version,
        predecessor=bundle.predecessor,
        digest=compute_digest(canonical),
        signature_by_member=dict(signature_by_member),
        body=None if use_patch else body,
        patch=patch if use_patch else None,
        as_of=as_of,
    )


async def publish(
    log: LogPort,
    key_by_member: Mapping[str, str],
    bundle: Bundle,
    signature_by_member: Mapping[str, bytes],
    restate: bool = False,
) -> PublishOutcome:
    """Publish a bundle; an invalid one is rejected before the append.

    :param key_by_member: pinned public keys, base64.
    :param signature_by_member: signature of every member.
    :param restate: publish a restatement instead of a successor; allowed only
        if the retained entries prove no bundle.  Daemons that have a newer
        bundle in force keep it.
    :returns: tagged outcome; calling again is safe after each of them.
    """
    recovered = await recover_chain(log, key_by_member)
    if isinstance(recovered, LogUnavailable):
        return PublishUnavailable(recovered.reason)
    body = recovered.chain.body
    as_of = recovered.next_offset if restate else None
    record = make_record(bundle, signature_by_member, body, as_of)
    if _is_current(recovered.chain.current, record):
        return Published(record.version, record.digest, -1)
    proved = recovered.chain.current is not None or recovered.from_start
    if proved == restate:
        return PublishRefused(_PROOF_RETAINED if restate else _PROOF_LOST)
    if restate and recovered.newest_signed > record.version:
        # New daemons would take the restated bundle for the newest one.
        return PublishRefused(
            f'version {record.version} is older than version'
            f' {recovered.newest_signed}, which the log retains: version'
            f' {recovered.newest_signed} is signed by every member'
        )
    fault = _dry_run(recovered, record)
    if fault:
        return PublishRefused(fault)
    appended = await log.append(CONFIG_STREAM, encode_record(record))
    if isinstance(appended, AppendRefused):
        return PublishUnavailable(appended.reason)
    return await _resolve_append(log, recovered, record, appended)


def _is_current(current: BundleInForce | None, record: BundleRecord) -> bool:
    return current is not None and current.digest == record.digest


def _dry_run(recovered: RecoveredChain, record: BundleRecord) -> str:
    # The original chain is still needed for the entries read after the append.
    trial = copy.copy(recovered.chain)
    source = _source(record, recovered.next_offset)
    verdict = trial.offer_payload(encode_record(record), source)
    return verdict.reason if isinstance(verdict, RejectedBundle) else ''


async def _resolve_append(
    log: LogPort,
    recovered: RecoveredChain,
    record: BundleRecord,
    appended: AppendOutcome,
) -> PublishOutcome:
    """Read forward until the record or a competing successor takes force.

    The stream decides rather than the outcome of the append, because an
    acknowledgement can be lost after the append took effect.

    :param log: the platform's log.
    :param recovered: chain before the append.
    """
    position = recovered.next_offset
    while True:
        block = await log.read(CONFIG_STREAM, position, _READ_LIMIT)
        if isinstance(block, LogUnavailable):
            return PublishUnknown(block.reason)
        for entry in block.entries:
            position = entry.offset + 1
            verdict = recovered.chain.offer_payload(
                entry.payload, _source(record, entry.offset)
            )
            if isinstance(verdict, InForce):
                return _race_outcome(verdict.in_force, record, entry.offset)
        if position >= block.next_offset:
            return _unseen_outcome(appended)


def _source(record: BundleRecord, offset: int) -> Source:
    if record.as_of is None:
        return FromLog(offset)
    return FromBaseline(record.as_of)


def _race_outcome(
    winner: BundleInForce, record: BundleRecord, offset: int
) -> PublishOutcome:
    if winner.digest == record.digest:
        return Published(record.version, record.digest, offset)
    return PublishRefused(
        f'version {winner.version} was won by {short_digest(winner.digest)} at '
        f'offset {offset}; rebase the change on it and sign again'
    )


def _unseen_outcome(appended: AppendOutcome) -> PublishOutcome:
    match appended:
        case Appended(offset):
            return PublishUnknown(
                f'entry at offset {offset} is not readable yet'
            )
        case AppendRefused(reason) | AppendOutcomeUnknown(reason):
            return PublishUnknown(reason)
