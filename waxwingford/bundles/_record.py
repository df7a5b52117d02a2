"""Entries of stream ``config``: a signed bundle or a signed change."""

import dataclasses
from typing import Any

import msgspec

from waxwingford.bundles._model import MAX_BUNDLE_BYTES

#: Stream that carries bundles.
CONFIG_STREAM = 'config'

#: A payload also holds signatures and names besides a body.
_OVERHEAD_BYTES = 10_000
_MAX_PAYLOAD_BYTES = MAX_BUNDLE_BYTES + _OVERHEAD_BYTES


class BundleRecord(
    msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True
):
    """One entry of the stream.

    :ivar version: of the bundle.
    :ivar predecessor: hex digest of the version before, empty for the first.
    :ivar digest: hex digest of the whole body.
    :ivar signature_by_member: over the digest, by member.
    :ivar body: the whole body, or
    :ivar patch: merge patch against the predecessor's body.
    :ivar as_of: set when a daemon says again what is in force: every entry
        below this offset is covered.  A reader may start there only if all
        entries from this offset on are still retained, else a newer version
        could hide among those that are gone.
    """

    version: int
    predecessor: str
    digest: str
    signature_by_member: dict[str, bytes]
    body: dict[str, Any] | None = None
    patch: dict[str, Any] | None = None
    as_of: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RejectedBundle:
    """A record that changes nothing.

    :ivar reason: why, for operators.
    :ivar version: that it claims, 0 if unreadable.
    :ivar digest: that it claims, empty if unreadable.
    """

    reason: str
    version: int = 0
    digest: str = ''


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(BundleRecord)


def encode_record(record: BundleRecord) -> bytes:
    """Serialize a record.

    :param record: what to write.
    :returns: payload of one log entry.
    """
    return _encoder.encode(record)


def decode_record(payload: bytes) -> BundleRecord | RejectedBundle:
    """Read a record back; anyone may have written it.

    :param payload: payload of a log entry, or from a peer.
    :returns: the record, or why it is none.
    """
    if len(payload) > _MAX_PAYLOAD_BYTES:
        return RejectedBundle(
            f'record of {len(payload)} bytes, '
            f'expected at most {_MAX_PAYLOAD_BYTES}'
        )
    try:
        record = _decoder.decode(payload)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return RejectedBundle(f'not a bundle record: {error}')
    if (record.body is None) == (record.patch is None):
        return RejectedBundle(
            'expected either a body or a patch', record.version, record.digest
        )
    return record
