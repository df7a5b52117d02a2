"""File in which members collect their signatures over one bundle."""

import pathlib

import msgspec


class SignOff(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Signatures so far.

    :ivar version: of the bundle.
    :ivar digest: of the bundle.
    :ivar signature_by_member: over the digest.
    """

    version: int
    digest: str
    signature_by_member: dict[str, bytes]


def read_sign_off(path: str) -> SignOff | str:
    """Read the file.

    :param path: JSON file.
    :returns: the signatures, or what is wrong with the file.
    """
    try:
        return msgspec.json.decode(
            pathlib.Path(path).read_bytes(), type=SignOff
        )
    except OSError as error:
        return f'{path}: {error.strerror}'
    except msgspec.DecodeError as error:
        return f'{path}: expected a file of signatures: {error}'


def write_sign_off(path: str, sign_off: SignOff) -> None:
    """Write the file anew.

    :param path: JSON file.
    :param sign_off: its content.
    """
    text = msgspec.json.format(msgspec.json.encode(sign_off)).decode()
    pathlib.Path(path).write_text(f'{text}\n')
