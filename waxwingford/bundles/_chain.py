"""Chain of bundles: decides which record is in force. Pure."""

from collections.abc import Mapping
from typing import NamedTuple

from pydantic import ValidationError

from waxwingford.bundles._canonical import (
    Body,
    TooDeep,
    canonical_bytes,
    digest_of,
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
from waxwingford.kernel import Invariant, require


class _Link(NamedTuple):
    in_force: BundleInForce
    body: Body
    record: BundleRecord
    source: Source


class BundleChain:
    """The bundle in force, and the rule by which another takes its place.

    Compare-and-set by offset order: a record from the log takes force only
    as the direct successor of what is in force, so of two racers the one
    with the lower offset wins in every reader.
    """

    def __init__(self, key_by_member: Mapping[str, str]) -> None:
        """Start without a bundle.

        :param key_by_member: pinned public keys, base64.
        """
        self._key_by_member = dict(key_by_member)
        self._link: _Link | None = None

    @property
    def current(self) -> BundleInForce | None:
        """What governs.

        :returns: the bundle in force, or None at the start.
        """
        return self._link.in_force if self._link else None

    @property
    def version(self) -> int:
        """Version in force.

        :returns: the version, 0 without a bundle.
        """
        return self._link.in_force.version if self._link else 0

    @property
    def body(self) -> Body:
        """Body in force, as patches apply to it.

        :returns: the body, empty without a bundle; not to be changed.
        """
        return self._link.body if self._link else {}

    def offer_payload(self, payload: bytes, source: Source) -> Verdict:
        """Offer what was read.

        :param payload: bytes of a record.
        :param source: where it was read.
        :returns: verdict.
        """
        record = decode_record(payload)
        if isinstance(record, RejectedBundle):
            return record
        return self.offer(record, source)

    def offer(self, record: BundleRecord, source: Source) -> Verdict:
        """Offer a record; a bad one changes nothing.

        :param record: the record.
        :param source: where it was read.
        :returns: verdict.
        """
        if self._repeats(record):
            return AlreadyInForce(self.version)
        reason = self._order_fault(record, source) or signature_fault(
            self._key_by_member, record.digest, record.signature_by_member
        )
        if reason:
            return RejectedBundle(reason, record.version, record.digest)
        return self._check_body(record, source)

    def whole_record(self, as_of: int | None = None) -> bytes:
        """Write what is in force as a record that stands by itself.

        :param as_of: offset that it covers, for the log.
        :returns: payload, empty without a bundle.
        """
        if self._link is None:
            return b''
        _, body, record, _ = self._link
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

    def _repeats(self, record: BundleRecord) -> bool:
        current = self.current
        return current is not None and record.digest == current.digest

    def _order_fault(self, record: BundleRecord, source: Source) -> str:
        if self._link is None:
            return _first_fault(record, source)
        _, version, digest = self._link.in_force
        if record.version < version:
            return (
                f'version {record.version} is older than version {version} '
                'in force'
            )
        if record.version == version:
            return (
                f'version {version} was won by {short_digest(digest)} '
                f'({_place(self._link.source)})'
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
        body = self._result(record)
        if body is None:
            return RejectedBundle(
                'patch nests too deep', record.version, record.digest
            )
        canonical = canonical_bytes(body)
        reason = _content_fault(record, canonical)
        if reason:
            return RejectedBundle(reason, record.version, record.digest)
        try:
            bundle = Bundle.model_validate_json(canonical)
        except ValidationError as error:
            return RejectedBundle(
                _first_errors(error), record.version, record.digest
            )
        reason = self._head_fault(record, bundle)
        if reason:
            return RejectedBundle(reason, record.version, record.digest)
        return self._take(bundle, body, record, source)

    def _result(self, record: BundleRecord) -> Body | None:
        if record.patch is None:
            return record.body
        try:
            return merge_patch(self.body, record.patch)
        except TooDeep:
            return None

    def _head_fault(self, record: BundleRecord, bundle: Bundle) -> str:
        told = (record.version, record.predecessor)
        if (bundle.version, bundle.predecessor) != told:
            return 'body and record differ in version or predecessor'
        unpinned = sorted(bundle.members.keys() - self._key_by_member.keys())
        if unpinned:
            return f'members {unpinned} have no pinned key'
        return ''

    def _take(
        self,
        bundle: Bundle,
        body: Body,
        record: BundleRecord,
        source: Source,
    ) -> InForce:
        require(
            bundle.version > self.version,
            Invariant.bundle_monotonic,
            f'version {bundle.version} after version {self.version}',
        )
        in_force = BundleInForce(bundle, bundle.version, record.digest)
        self._link = _Link(in_force, body, record, source)
        return InForce(in_force)


def _first_fault(record: BundleRecord, source: Source) -> str:
    if record.body is None:
        return 'a patch without the bundle that it changes'
    if isinstance(source, FromLog) and record.version != 1:
        return f'expected version 1 first, got {record.version}'
    return ''


def _content_fault(record: BundleRecord, canonical: bytes) -> str:
    if len(canonical) > MAX_BUNDLE_BYTES:
        return (
            f'body of {len(canonical)} bytes, '
            f'expected at most {MAX_BUNDLE_BYTES}'
        )
    digest = digest_of(canonical)
    if digest != record.digest:
        return f'digest is {short_digest(digest)}, the record says {short_digest(record.digest)}'
    return ''


def _first_errors(error: ValidationError) -> str:
    return '; '.join(
        f'{".".join(map(str, fault["loc"]))}: {fault["msg"]}'.lstrip(': ')
        for fault in error.errors(include_url=False)[:3]
    )


def _place(source: Source) -> str:
    match source:
        case FromLog(offset):
            return f'offset {offset}'
        case FromBaseline(as_of):
            return f'in force at offset {as_of}'
        case FromPeer(daemon_id):
            return f'in force at {daemon_id}'
