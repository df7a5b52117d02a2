"""Signs and verifies operators' HTTP requests."""

import base64
import binascii
import collections
import dataclasses
import hashlib
import secrets
from collections.abc import Mapping

from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from waxwingford.bundles._signing import decode_public_key

MEMBER_HEADER = 'X-Waxwingford-Member'
TIME_HEADER = 'X-Waxwingford-Time-Ms'
NONCE_HEADER = 'X-Waxwingford-Nonce'
SIGNATURE_HEADER = 'X-Waxwingford-Signature'

#: Maximum difference between a request's time and the local time, in ms.
MAX_CLOCK_SKEW_MS = 60_000

_DOMAIN_SEPARATOR = b'waxwingford request v1\x00'
_NONCE_BYTES = 16
_MAX_HEADER_LENGTH = 128
_NONCE_CAPACITY = 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class Verified:
    """The request carries a valid signature.

    :ivar member: member that signed it.
    """

    member: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unverified:
    """The request could not be verified."""

    reason: str


class NonceCache:
    """Nonces of recent requests, for replay protection.

    A full cache rejects new requests: evicting a nonce that has not expired
    would allow a replay of its request.
    """

    def __init__(self, capacity: int = _NONCE_CAPACITY) -> None:
        self._capacity = capacity
        self._expiry_ms_by_nonce: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def fault(self, nonce: str, now_wall_ms: int) -> str:
        """Add a nonce if it was not used before.

        :param nonce: nonce of a request with a valid signature.
        :param now_wall_ms: current time, in milliseconds since the epoch.
        :returns: why the nonce was rejected, empty if it was added.
        """
        expiries = self._expiry_ms_by_nonce
        while expiries and next(iter(expiries.values())) < now_wall_ms:
            expiries.popitem(last=False)
        if nonce in expiries:
            return 'replayed: this nonce was used before'
        if len(expiries) >= self._capacity:
            return 'too many signed requests at once, try again in a minute'
        # A request is valid from MAX_CLOCK_SKEW_MS before its time to
        # MAX_CLOCK_SKEW_MS after.
        expiries[nonce] = now_wall_ms + 2 * MAX_CLOCK_SKEW_MS
        return ''


def sign_request(
    key: Ed25519PrivateKey,
    member: str,
    method: str,
    path: str,
    body: bytes,
    wall_ms: int,
) -> dict[str, str]:
    """Sign a request.

    :param key: private key of the member.
    :param path: path with query.
    :param wall_ms: current time, in milliseconds since the epoch.
    :returns: headers to add to the request.
    """
    nonce = secrets.token_hex(_NONCE_BYTES)
    message = _signed_message(member, method, path, body, str(wall_ms), nonce)
    return {
        MEMBER_HEADER: member,
        TIME_HEADER: str(wall_ms),
        NONCE_HEADER: nonce,
        SIGNATURE_HEADER: base64.b64encode(key.sign(message)).decode(),
    }


def verify_request(
    public_key_by_member: Mapping[str, str],
    headers: Mapping[str, str],
    method: str,
    path: str,
    body: bytes,
    now_wall_ms: int,
    nonces: NonceCache,
) -> Verified | Unverified:
    """Verify time, signature and nonce of a request.

    :param public_key_by_member: pinned keys, base64 (``settings.trust``).
    :param headers: request headers; names are case-insensitive.
    :param path: path with query.
    :param now_wall_ms: current time, in milliseconds since the epoch.
    :param nonces: nonces of requests that were accepted before.
    :returns: the member that signed, or why verification failed.
    """
    header_by_name = {
        name.lower(): text[:_MAX_HEADER_LENGTH]
        for name, text in headers.items()
    }
    member, wall_ms, nonce, signature = (
        header_by_name.get(name.lower(), '')
        for name in (MEMBER_HEADER, TIME_HEADER, NONCE_HEADER, SIGNATURE_HEADER)
    )
    if member not in public_key_by_member:
        return Unverified(f'no pinned key of member {member!r}')
    if not (wall_ms.isascii() and wall_ms.isdecimal() and nonce):
        return Unverified(f'expected headers {TIME_HEADER}, {NONCE_HEADER}')
    if abs(int(wall_ms) - now_wall_ms) > MAX_CLOCK_SKEW_MS:
        return Unverified(
            f'time is {int(wall_ms) - now_wall_ms} ms off, '
            f'expected at most {MAX_CLOCK_SKEW_MS} ms'
        )
    message = _signed_message(member, method, path, body, wall_ms, nonce)
    if not _is_signed_by(public_key_by_member[member], message, signature):
        return Unverified(f'signature is not by the key of {member!r}')
    fault = nonces.fault(nonce, now_wall_ms)
    return Unverified(fault) if fault else Verified(member)


def _signed_message(
    member: str, method: str, path: str, body: bytes, wall_ms: str, nonce: str
) -> bytes:
    digest = hashlib.sha256(body).hexdigest()
    lines = (member, method.upper(), path, wall_ms, nonce, digest)
    return _DOMAIN_SEPARATOR + '\n'.join(lines).encode()


def _is_signed_by(encoded_key: str, message: bytes, signature: str) -> bool:
    try:
        decode_public_key(encoded_key).verify(
            base64.b64decode(signature, validate=True), message
        )
    except (InvalidSignature, ValueError, binascii.Error):
        return False
    return True
