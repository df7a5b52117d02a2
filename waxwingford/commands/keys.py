"""Commands ``keys make`` and ``keys sign``."""

import base64
import datetime
import pathlib
import sys
from argparse import ArgumentParser, Namespace

from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from waxwingford.bundles import encode_public_key
from waxwingford.commands._certificates import issue_certificate
from waxwingford.commands._command import Command, ExitCode, commands
from waxwingford.commands._keys import (
    create_private_file,
    private_pem,
    read_key,
)
from waxwingford.commands._output import print_error

#: Domain separation from the signatures of bundles and requests.
_SIGNATURE_PREFIX = b'waxwingford statement v1\x00'


def _add_make(parser: ArgumentParser) -> None:
    owner = parser.add_mutually_exclusive_group(required=True)
    owner.add_argument('--member', help='make the signing key of a member')
    owner.add_argument(
        '--tls',
        metavar='DAEMON',
        help="make a daemon's certificate, and the authority if there is none",
    )
    parser.add_argument(
        '--host', metavar='IP', default='', help='IP address of the daemon'
    )
    parser.add_argument('--directory', required=True, help='output directory')


def _make(args: Namespace) -> ExitCode:
    directory = pathlib.Path(args.directory)
    if args.tls:
        return _make_certificate(directory, args.tls, args.host)
    directory.mkdir(parents=True, exist_ok=True)
    key = Ed25519PrivateKey.generate()
    path = directory / f'{args.member}.pem'
    if not create_private_file(path, private_pem(key)):
        print_error(f'{path}: already exists; keys are never overwritten')
        return ExitCode.findings
    (directory / f'{args.member}.pub').write_text(f'{encode_public_key(key)}\n')
    print('[trust.public_key_by_member]')
    print(f'{args.member} = "{encode_public_key(key)}"')
    return ExitCode.ok


def _make_certificate(
    directory: pathlib.Path, name: str, host: str
) -> ExitCode:
    now = datetime.datetime.now(datetime.UTC)
    error = issue_certificate(directory, name, host, now)
    if error:
        print_error(error)
        return ExitCode.findings
    print('[tls]')
    print(f'certificate_file = "{name}.crt"')
    print(f'key_file = "{name}.key"')
    print('authority_file = "authority.crt"')
    return ExitCode.ok


def _add_sign(parser: ArgumentParser) -> None:
    parser.add_argument('--key', required=True, help='private key file')
    parser.add_argument(
        'file', metavar='FILE', help='statement to sign; - for stdin'
    )


def _sign(args: Namespace) -> ExitCode:
    key = read_key(args.key)
    if isinstance(key, str):
        print_error(key)
        return ExitCode.usage
    statement = (
        sys.stdin.buffer.read()
        if args.file == '-'
        else pathlib.Path(args.file).read_bytes()
    )
    print(base64.b64encode(key.sign(_SIGNATURE_PREFIX + statement)).decode())
    return ExitCode.ok


commands.register('keys make')(
    Command("make a member's key or a daemon's certificate", _add_make, _make)
)
commands.register('keys sign')(
    Command("sign a statement with a member's key", _add_sign, _sign)
)
