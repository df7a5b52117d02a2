"""Commands that need only files: bundle check, sign and diff."""

import pathlib
from argparse import ArgumentParser, Namespace

import msgspec

from waxwingford.bundles import body_of, make_patch, sign_digest
from waxwingford.commands._bundle_files import (
    add_file,
    checked_bundle,
    source_digest,
    source_of,
)
from waxwingford.commands._command import Command, ExitCode, commands
from waxwingford.commands._keys import read_key
from waxwingford.commands._output import add_json, complain, show
from waxwingford.commands._signatures import (
    SignOff,
    read_sign_off,
    write_sign_off,
)


def _add_check(parser: ArgumentParser) -> None:
    add_file(parser)
    add_json(parser)


def _check(args: Namespace) -> ExitCode:
    bundle = source_of(args)
    if bundle is None:
        return ExitCode.findings
    digest = source_digest(bundle)
    answer = {'version': bundle.version, 'digest': digest}
    show(args, answer, f'version {bundle.version}, digest {digest}')
    return ExitCode.ok


def _add_sign(parser: ArgumentParser) -> None:
    add_file(parser)
    parser.add_argument('--member', required=True, help='who signs')
    parser.add_argument('--key', required=True, help="the member's key file")
    parser.add_argument(
        '--signatures', required=True, help='file that collects signatures'
    )
    parser.add_argument(
        '--fresh',
        action='store_true',
        help='drop signatures over other content that the file holds',
    )


def _sign(args: Namespace) -> ExitCode:
    bundle = source_of(args)
    if bundle is None:
        return ExitCode.findings
    key = read_key(args.key)
    if isinstance(key, str):
        complain(key)
        return ExitCode.usage
    digest = source_digest(bundle)
    before = _before(args, digest)
    if isinstance(before, str):
        complain(before)
        return ExitCode.findings
    signature_by_member = {**before, args.member: sign_digest(key, digest)}
    write_sign_off(
        args.signatures, SignOff(bundle.version, digest, signature_by_member)
    )
    print(f'version {bundle.version}, digest {digest}')
    print(f'signed by {", ".join(sorted(signature_by_member))}')
    return ExitCode.ok


def _before(args: Namespace, digest: str) -> dict[str, bytes] | str:
    if args.fresh or not pathlib.Path(args.signatures).exists():
        return {}
    known = read_sign_off(args.signatures)
    if isinstance(known, str):
        return known
    if known.digest == digest:
        return known.signature_by_member
    return (
        f'{args.signatures}: holds signatures over {known.digest}, the file '
        f'is {digest}: someone changed it since; compare, then use --fresh'
    )


def _add_diff(parser: ArgumentParser) -> None:
    parser.add_argument('before', metavar='A.toml')
    parser.add_argument('after', metavar='B.toml')
    add_json(parser)


def _diff(args: Namespace) -> ExitCode:
    before = checked_bundle(args.before)
    after = checked_bundle(args.after)
    if before is None or after is None:
        return ExitCode.usage
    patch = make_patch(body_of(before), body_of(after))
    show(args, patch, msgspec.json.format(msgspec.json.encode(patch)).decode())
    return ExitCode.findings if patch else ExitCode.ok


commands.register('bundle check')(
    Command('check a bundle source', _add_check, _check)
)
commands.register('bundle sign')(
    Command('sign a bundle source off for a member', _add_sign, _sign)
)
commands.register('bundle diff')(
    Command('show what differs as a merge patch', _add_diff, _diff)
)
