"""Reading and writing of private key files."""

import os
import pathlib

from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

_OWNER_ONLY = 0o600


def create_private_file(path: pathlib.Path, content: bytes) -> bool:
    """Create a file that only its owner can read, unless it exists.

    :returns: False if the file exists; it is not overwritten.
    """
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    try:
        descriptor = os.open(path, flags, _OWNER_ONLY)
    except FileExistsError:
        return False
    with open(descriptor, 'wb') as key_file:
        key_file.write(content)
    return True


def private_pem(key) -> bytes:
    """Encode a private key as unencrypted PEM in PKCS #8 format.

    :param key: Ed25519 or elliptic curve private key.
    """
    return key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )


def read_key(path: str) -> Ed25519PrivateKey | str:
    """Read the private key of a member.

    :param path: PEM file.
    :returns: the key, or an error message.
    """
    try:
        key = serialization.load_pem_private_key(
            pathlib.Path(path).read_bytes(), None
        )
    except OSError as error:
        return f'{path}: {error.strerror}'
    except (TypeError, ValueError):
        return f'{path}: expected an unencrypted PEM private key'
    if isinstance(key, Ed25519PrivateKey):
        return key
    return f'{path}: expected an Ed25519 private key'
