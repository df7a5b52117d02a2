"""Signatures of operators' HTTP requests."""

import base64
import binascii
import collections
import dataclasses
import hashlib
import secrets
from collections.abc import Mapping

from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from waxwingford.bundles._signing import public_key

MEMBER_HEADER = 'X-Waxwingford-Member'
TIME_HEADER = 'X-Waxwingford-Time-Ms'
NONCE_HEADER = 'X-Waxwingford-Nonce'
SIGNATURE_HEADER = 'X-Waxwingford-Signature'

#: A request is refused when its time is further off than this, milliseconds.
FRESH_MS = 60_000

_DOMAIN = b'waxwingford request v1\x00'
_NONCE_BYTES = 16
_MAX_HEADER = 128
_NONCES_KEPT = 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class Verified:
    """The request is by this member.

    :ivar member: who signed.
    """

    member: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unverified:
    """Nobody can be held to the request.

    :ivar reason: why.
    """

    reason: str


class NonceCache:
    """Nonces of fresh requests, so that none is taken twice.

    A full cache refuses: to forget a nonce that is still fresh would let a
    captured request be replayed.
    """

    def __init__(self, capacity: int = _NONCES_KEPT) -> None:
        """Start empty.

        :param capacity: nonces kept at most.
        """
        self._capacity = capacity
        self._until_by_nonce: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def fault(self, nonce: str, now_wall_ms: int) -> str:
        """Take a nonce.

        :param nonce: of a request whose signature is right.
        :param now_wall_ms: present time, in milliseconds.
        :returns: why it can't be taken, empty if it was.
        """
        kept = self._until_by_nonce
        while kept and next(iter(kept.values())) < now_wall_ms:
            kept.popitem(last=False)
        if nonce in kept:
            return 'replayed: this nonce was used before'
        if len(kept) >= self._capacity:
            return 'too many signed requests at once, try again in a minute'
        # Fresh from FRESH_MS before its time to FRESH_MS after it.
        kept[nonce] = now_wall_ms + 2 * FRESH_MS
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

    :param key: the member's private key.
    :param member: who signs.
    :param method: HTTP method.
    :param path: path with query.
    :param body: whole body.
    :param wall_ms: present time, milliseconds since the epoch.
    :returns: headers to add.
    """
    nonce = secrets.token_hex(_NONCE_BYTES)
    message = _message(member, method, path, body, str(wall_ms), nonce)
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
    """Check who sent a request.

    :param public_key_by_member: pinned keys, base64 (``settings.trust``).
    :param headers: of the request, in any case.
    :param method: HTTP method.
    :param path: path with query.
    :param body: whole body.
    :param now_wall_ms: present time, milliseconds since the epoch.
    :param nonces: of requests taken before.
    :returns: the member, or why there is none.
    """
    header_by_name = {
        name.lower(): text[:_MAX_HEADER] for name, text in headers.items()
    }
    member, wall_ms, nonce, signature = (
        header_by_name.get(name.lower(), '')
        for name in (MEMBER_HEADER, TIME_HEADER, NONCE_HEADER, SIGNATURE_HEADER)
    )
    if member not in public_key_by_member:
        return Unverified(f'no pinned key of member {member!r}')
    if not (wall_ms.isascii() and wall_ms.isdecimal() and nonce):
        return Unverified(f'expected headers {TIME_HEADER}, {NONCE_HEADER}')
    if abs(int(wall_ms) - now_wall_ms) > FRESH_MS:
        return Unverified(
            f'time is {int(wall_ms) - now_wall_ms} ms off, '
            f'expected at most {FRESH_MS} ms'
        )
    message = _message(member, method, path, body, wall_ms, nonce)
    if not _signed(public_key_by_member[member], message, signature):
        return Unverified(f'signature is not by the key of {member!r}')
    fault = nonces.fault(nonce, now_wall_ms)
    return Unverified(fault) if fault else Verified(member)


def _message(
    member: str, method: str, path: str, body: bytes, wall_ms: str, nonce: str
) -> bytes:
    digest = hashlib.sha256(body).hexdigest()
    lines = (member, method.upper(), path, wall_ms, nonce, digest)
    return _DOMAIN + '\n'.join(lines).encode()


def _signed(key_text: str, message: bytes, signature: str) -> bool:
    try:
        public_key(key_text).verify(
            base64.b64decode(signature, validate=True), message
        )
    except (InvalidSignature, ValueError, binascii.Error):
        return False
    return True
