"""Records in stream ``config``: a signed bundle, as whole body or patch."""

import dataclasses
from typing import Any

import msgspec

from waxwingford.bundles._model import MAX_BUNDLE_BYTES

#: Stream that carries bundles.
CONFIG_STREAM = 'config'

#: Allowance for signatures and names besides the body, in bytes.
_OVERHEAD_BYTES = 10_000
_MAX_PAYLOAD_BYTES = MAX_BUNDLE_BYTES + _OVERHEAD_BYTES


class BundleRecord(
    msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True
):
    """Payload of one entry of the stream.

    :ivar predecessor: hex digest of the predecessor, empty for version 1.
    :ivar digest: hex digest of the whole body.
    :ivar signature_by_member: signatures over the digest, by member.
    :ivar body: whole body; None if ``patch`` is set.
    :ivar patch: merge patch against the predecessor's body; None if ``body``
        is set.
    :ivar as_of: set in a restatement of the bundle in force: the restatement
        covers every entry below this offset.  A reader may start from it only
        if all entries from this offset on are still retained; otherwise a
        newer version could be among the dropped ones.
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
    """A record was rejected; the bundle in force is unchanged.

    :ivar reason: error message for operators.
    :ivar version: version that the record claims, 0 if it can't be decoded.
    :ivar digest: digest that the record claims, empty if it can't be decoded.
    """

    reason: str
    version: int = 0
    digest: str = ''


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(BundleRecord)


def encode_record(record: BundleRecord) -> bytes:
    """Serialize a record.

    :returns: JSON, the payload of one log entry.
    """
    return _encoder.encode(record)


def decode_record(payload: bytes) -> BundleRecord | RejectedBundle:
    """Deserialize an untrusted record.

    :param payload: payload of a log entry or of a peer's answer.
    :returns: the record, or why it is invalid.
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
