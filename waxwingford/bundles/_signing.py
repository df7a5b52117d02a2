"""Ed25519 keys of members and their signatures over bundles."""

import base64
import functools
from collections.abc import Mapping

from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import (
    Ed25519PrivateKey,
    Ed25519PublicKey,
)

#: Prevents reuse of a bundle's signature in another context.
_DOMAIN_SEPARATOR = b'waxwingford bundle v1\x00'
_KEY_CACHE_SIZE = 256


@functools.lru_cache(_KEY_CACHE_SIZE)
def decode_public_key(encoded_key: str) -> Ed25519PublicKey:
    """Decode a public key.

    :param encoded_key: base64 of 32 bytes.
    :raises ValueError: if the text is not a valid key.
    """
    return Ed25519PublicKey.from_public_bytes(base64.b64decode(encoded_key))


def encode_public_key(key: Ed25519PrivateKey) -> str:
    """Encode the public key of a private key as in the settings.

    :returns: public key, base64.
    """
    return base64.b64encode(key.public_key().public_bytes_raw()).decode()


def sign_digest(key: Ed25519PrivateKey, digest: str) -> bytes:
    """Sign a bundle.

    :param key: private key of the member.
    :param digest: hex digest of the bundle's canonical body.
    :returns: signature, 64 bytes.
    """
    return key.sign(_DOMAIN_SEPARATOR + bytes.fromhex(digest))


def is_valid_signature(encoded_key: str, digest: str, signature: bytes) -> bool:
    """Verify one signature.

    :param encoded_key: public key, base64.
    :param digest: hex digest that was signed.
    """
    try:
        decode_public_key(encoded_key).verify(
            signature, _DOMAIN_SEPARATOR + bytes.fromhex(digest)
        )
    except (InvalidSignature, ValueError):
        return False
    return True


def signature_fault(
    key_by_member: Mapping[str, str],
    digest: str,
    signature_by_member: Mapping[str, bytes],
) -> str:
    """Verify that every member has signed a bundle.

    :param key_by_member: pinned public keys, base64, of all members.
    :param digest: hex digest that was signed.
    :returns: the fault, empty if all signatures are valid.
    """
    unknown = sorted(signature_by_member.keys() - key_by_member.keys())
    if unknown:
        return f'signed by unknown members {unknown}: no key is pinned'
    missing = sorted(key_by_member.keys() - signature_by_member.keys())
    if missing:
        return f'signatures of {missing} are missing'
    wrong = [
        member
        for member, encoded_key in sorted(key_by_member.items())
        if not is_valid_signature(
            encoded_key, digest, signature_by_member[member]
        )
    ]
    return f'signatures of {wrong} are not by the pinned keys' if wrong else ''
