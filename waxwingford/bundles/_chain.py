"""Chain of bundles: decides which record is in force, without I/O."""

from collections.abc import Mapping
from typing import NamedTuple

from pydantic import ValidationError

from waxwingford.bundles._canonical import (
    Body,
    PatchTooDeep,
    canonical_bytes,
    compute_digest,
    merge_patch,
    short_digest,
)
from waxwingford.bundles._model import MAX_BUNDLE_BYTES, Bundle
from waxwingford.bundles._record import (
    BundleRecord,
    RejectedBundle,
    decode_record,
    encode_record,
)
from waxwingford.bundles._signing import signature_fault
from waxwingford.bundles._verdicts import (
    AlreadyInForce,
    BundleInForce,
    FromBaseline,
    FromLog,
    FromPeer,
    InForce,
    Source,
    Verdict,
)
from waxwingford.kernel import Invariant, check_invariant


class _Accepted(NamedTuple):
    in_force: BundleInForce
    body: Body
    record: BundleRecord
    source: Source


class BundleChain:
    """The bundle in force, and the rules by which a successor replaces it.

    Compare-and-set by offset order: a record from the log takes force only
    as the direct successor of the bundle in force.  Of two competing
    successors, every reader therefore takes the one with the lower offset.
    """

    def __init__(self, key_by_member: Mapping[str, str]) -> None:
        """Create a chain without a bundle.

        :param key_by_member: pinned public keys, base64.
        """
        self._key_by_member = dict(key_by_member)
        self._accepted: _Accepted | None = None

    @property
    def current(self) -> BundleInForce | None:
        """Bundle in force, or None if there is none yet."""
        return self._accepted.in_force if self._accepted else None

    @property
    def version(self) -> int:
        """Version of the bundle in force, 0 without a bundle."""
        return self._accepted.in_force.version if self._accepted else 0

    @property
    def body(self) -> Body:
        """Body of the bundle in force, to which the next patch applies.

        :returns: the body, empty without a bundle; must not be modified.
        """
        return self._accepted.body if self._accepted else {}

    def offer_payload(self, payload: bytes, source: Source) -> Verdict:
        """Decode a record and offer it to the chain.

        :param source: where the record was read.
        :returns: whether the record took force, or why it was rejected.
        """
        record = decode_record(payload)
        if isinstance(record, RejectedBundle):
            return record
        return self.offer(record, source)

    def offer(self, record: BundleRecord, source: Source) -> Verdict:
        """Offer a record; an invalid one leaves the chain unchanged.

        :param source: where the record was read.
        :returns: whether the record took force, or why it was rejected.
        """
        if self._is_current(record):
            return AlreadyInForce(self.version)
        reason = self._sequence_fault(record, source) or signature_fault(
            self._key_by_member, record.digest, record.signature_by_member
        )
        if reason:
            return RejectedBundle(reason, record.version, record.digest)
        return self._check_body(record, source)

    def whole_record(self, as_of: int | None = None) -> bytes:
        """Encode the bundle in force as a record with its whole body.

        :param as_of: for a restatement in the log, the offset up to which
            all entries have been read; else None.
        :returns: encoded record, empty without a bundle.
        """
        if self._accepted is None:
            return b''
        _, body, record, _ = self._accepted
        return encode_record(
            BundleRecord(
                version=record.version,
                predecessor=record.predecessor,
                digest=record.digest,
                signature_by_member=record.signature_by_member,
                body=body,
                as_of=as_of,
            )
        )

    def _is_current(self, record: BundleRecord) -> bool:
        current = self.current
        return current is not None and record.digest == current.digest

    def _sequence_fault(self, record: BundleRecord, source: Source) -> str:
        if self._accepted is None:
            return _initial_fault(record, source)
        _, version, digest = self._accepted.in_force
        if record.version < version:
            return (
                f'version {record.version} is older than version {version} '
                'in force'
            )
        if record.version == version:
            return (
                f'version {version} was won by {short_digest(digest)} '
                f'({_describe_source(self._accepted.source)})'
            )
        if record.body is not None and not isinstance(source, FromLog):
            return ''
        if record.version != version + 1:
            return f'expected version {version + 1}, got {record.version}'
        if record.predecessor != digest:
            return (
                f'predecessor is {short_digest(record.predecessor)}, expected '
                f'{short_digest(digest)} (version {version} in force)'
            )
        return ''

    def _check_body(self, record: BundleRecord, source: Source) -> Verdict:
        body = self._resulting_body(record)
        if body is None:
            return RejectedBundle(
                'patch is nested too deep', record.version, record.digest
            )
        canonical = canonical_bytes(body)
        reason = _content_fault(record, canonical)
        if reason:
            return RejectedBundle(reason, record.version, record.digest)
        try:
            bundle = Bundle.model_validate_json(canonical)
        except ValidationError as error:
            return RejectedBundle(
                _summarize_errors(error), record.version, record.digest
            )
        reason = self._header_fault(record, bundle)
        if reason:
            return RejectedBundle(reason, record.version, record.digest)
        return self._accept(bundle, body, record, source)

    def _resulting_body(self, record: BundleRecord) -> Body | None:
        if record.patch is None:
            return record.body
        try:
            return merge_patch(self.body, record.patch)
        except PatchTooDeep:
            return None

    def _header_fault(self, record: BundleRecord, bundle: Bundle) -> str:
        claimed = (record.version, record.predecessor)
        if (bundle.version, bundle.predecessor) != claimed:
            return 'body and record differ in version or predecessor'
        unpinned = sorted(bundle.members.keys() - self._key_by_member.keys())
        if unpinned:
            return f'members {unpinned} have no pinned key'
        return ''

    def _accept(
        self,
        bundle: Bundle,
        body: Body,
        record: BundleRecord,
        source: Source,
    ) -> InForce:
        check_invariant(
            bundle.version > self.version,
            Invariant.bundle_monotonic,
            f'version {bundle.version} after version {self.version}',
        )
        in_force = BundleInForce(bundle, bundle.version, record.digest)
        self._accepted = _Accepted(in_force, body, record, source)
        return InForce(in_force)


def _initial_fault(record: BundleRecord, source: Source) -> str:
    if record.body is None:
        return 'got a patch without a bundle to apply it to'
    if isinstance(source, FromLog) and record.version != 1:
        return f'expected version 1 first, got {record.version}'
    return ''


def _content_fault(record: BundleRecord, canonical: bytes) -> str:
    if len(canonical) > MAX_BUNDLE_BYTES:
        return (
            f'body of {len(canonical)} bytes, '
            f'expected at most {MAX_BUNDLE_BYTES}'
        )
    digest = compute_digest(canonical)
    if digest != record.digest:
        return f'body has digest {short_digest(digest)}, record claims {short_digest(record.digest)}'
    return ''


def _summarize_errors(error: ValidationError) -> str:
    return '; '.join(
        f'{".".join(map(str, fault["loc"]))}: {fault["msg"]}'.lstrip(': ')
        for fault in error.errors(include_url=False)[:3]
    )


def _describe_source(source: Source) -> str:
    match source:
        case FromLog(offset):
            return f'offset {offset}'
        case FromBaseline(as_of):
            return f'in force at offset {as_of}'
        case FromPeer(daemon_id):
            return f'in force at {daemon_id}'
