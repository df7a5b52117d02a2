"""File that collects the members' signatures over a bundle."""

import pathlib

import msgspec


class SignOff(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Signatures over a bundle.

    :ivar digest: hexadecimal digest of the bundle.
    :ivar signature_by_member: signature over the digest by member.
    """

    version: int
    digest: str
    signature_by_member: dict[str, bytes]


def read_sign_off(path: str) -> SignOff | str:
    """Read a signature file.

    :param path: JSON file.
    :returns: the signatures, or an error message.
    """
    try:
        return msgspec.json.decode(
            pathlib.Path(path).read_bytes(), type=SignOff
        )
    except OSError as error:
        return f'{path}: {error.strerror}'
    except msgspec.DecodeError as error:
        return f'{path}: expected a signature file: {error}'


def write_sign_off(path: str, sign_off: SignOff) -> None:
    """Write a signature file, replacing an existing one.

    :param path: JSON file.
    """
    text = msgspec.json.format(msgspec.json.encode(sign_off)).decode()
    pathlib.Path(path).write_text(f'{text}\n')
