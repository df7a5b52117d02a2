"""Private keys of members, in files that only operators hold."""

import os
import pathlib

from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

_OWNER_ONLY = 0o600


def write_private(path: pathlib.Path, content: bytes) -> bool:
    """Write a secret that others can't read; never overwrite one.

    :param path: new file.
    :param content: what to write.
    :returns: whether it was written; not if the file is there.
    """
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    try:
        descriptor = os.open(path, flags, _OWNER_ONLY)
    except FileExistsError:
        return False
    with open(descriptor, 'wb') as secret:
        secret.write(content)
    return True


def private_pem(key) -> bytes:
    """Write a private key as PEM.

    :param key: Ed25519 or elliptic curve key.
    :returns: PEM.
    """
    return key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )


def read_key(path: str) -> Ed25519PrivateKey | str:
    """Read a member's private key.

    :param path: PEM file.
    :returns: the key, or what is wrong with the file.
    """
    try:
        key = serialization.load_pem_private_key(
            pathlib.Path(path).read_bytes(), None
        )
    except OSError as error:
        return f'{path}: {error.strerror}'
    except (TypeError, ValueError):
        return f'{path}: expected a PEM file of a private key'
    if isinstance(key, Ed25519PrivateKey):
        return key
    return f'{path}: expected an Ed25519 key'
