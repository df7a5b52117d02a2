"""Ed25519 keys and signatures of members over bundles."""

import base64
import functools
from collections.abc import Mapping

from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import (
    Ed25519PrivateKey,
    Ed25519PublicKey,
)

#: Keeps a signature of a bundle from passing as one of anything else.
_DOMAIN = b'waxwingford bundle v1\x00'
_KEYS_CACHED = 256


@functools.lru_cache(_KEYS_CACHED)
def public_key(text: str) -> Ed25519PublicKey:
    """Read a pinned public key.

    :param text: base64 of 32 bytes, checked by the settings.
    :returns: the key.
    :raises ValueError: if it is not a key.
    """
    return Ed25519PublicKey.from_public_bytes(base64.b64decode(text))


def public_text(key: Ed25519PrivateKey) -> str:
    """Write the public half of a key as settings want it.

    :param key: private key.
    :returns: base64.
    """
    return base64.b64encode(key.public_key().public_bytes_raw()).decode()


def sign_digest(key: Ed25519PrivateKey, digest: str) -> bytes:
    """Sign a bundle.

    :param key: the member's private key.
    :param digest: hex digest of the bundle's canonical body.
    :returns: signature.
    """
    return key.sign(_DOMAIN + bytes.fromhex(digest))


def is_signed(text: str, digest: str, signature: bytes) -> bool:
    """Check one signature.

    :param text: public key, base64.
    :param digest: hex digest that was signed.
    :param signature: what to check.
    :returns: whether the key made it.
    """
    try:
        public_key(text).verify(signature, _DOMAIN + bytes.fromhex(digest))
    except (InvalidSignature, ValueError):
        return False
    return True


def signature_fault(
    key_by_member: Mapping[str, str],
    digest: str,
    signature_by_member: Mapping[str, bytes],
) -> str:
    """Say what is wrong with the sign-off of a bundle.

    :param key_by_member: pinned public keys, base64; all of them must sign.
    :param digest: hex digest that they signed.
    :param signature_by_member: what they gave.
    :returns: the fault, empty if every member signed.
    """
    unknown = sorted(signature_by_member.keys() - key_by_member.keys())
    if unknown:
        return f'signed by unknown members {unknown}: no key is pinned'
    missing = sorted(key_by_member.keys() - signature_by_member.keys())
    if missing:
        return f'signatures of {missing} are missing'
    wrong = [
        member
        for member, text in sorted(key_by_member.items())
        if not is_signed(text, digest, signature_by_member[member])
    ]
    return f'signatures of {wrong} are not by the pinned keys' if wrong else ''
