"""Commands ``bundle check``, ``bundle sign`` and ``bundle diff``."""

import pathlib
from argparse import ArgumentParser, Namespace

import msgspec

from waxwingford.bundles import bundle_body, make_merge_patch, sign_digest
from waxwingford.commands._bundle_files import (
    add_source_argument,
    load_source,
    load_source_file,
    source_digest,
)
from waxwingford.commands._command import Command, ExitCode, commands
from waxwingford.commands._keys import read_key
from waxwingford.commands._output import (
    add_json_option,
    print_answer,
    print_error,
)
from waxwingford.commands._signatures import (
    SignOff,
    read_sign_off,
    write_sign_off,
)


def _add_check(parser: ArgumentParser) -> None:
    add_source_argument(parser)
    add_json_option(parser)


def _check(args: Namespace) -> ExitCode:
    bundle = load_source(args)
    if bundle is None:
        return ExitCode.findings
    digest = source_digest(bundle)
    answer = {'version': bundle.version, 'digest': digest}
    print_answer(args, answer, f'version {bundle.version}, digest {digest}')
    return ExitCode.ok


def _add_sign(parser: ArgumentParser) -> None:
    add_source_argument(parser)
    parser.add_argument('--member', required=True, help='member that signs')
    parser.add_argument(
        '--key', required=True, help="file of the member's private key"
    )
    parser.add_argument(
        '--signatures', required=True, help='file that collects signatures'
    )
    parser.add_argument(
        '--fresh',
        action='store_true',
        help='discard existing signatures over other content',
    )


def _sign(args: Namespace) -> ExitCode:
    bundle = load_source(args)
    if bundle is None:
        return ExitCode.findings
    key = read_key(args.key)
    if isinstance(key, str):
        print_error(key)
        return ExitCode.usage
    digest = source_digest(bundle)
    existing = _existing_signatures(args, digest)
    if isinstance(existing, str):
        print_error(existing)
        return ExitCode.findings
    signature_by_member = {**existing, args.member: sign_digest(key, digest)}
    write_sign_off(
        args.signatures, SignOff(bundle.version, digest, signature_by_member)
    )
    print(f'version {bundle.version}, digest {digest}')
    print(f'signed by {", ".join(sorted(signature_by_member))}')
    return ExitCode.ok


def _existing_signatures(
    args: Namespace, digest: str
) -> dict[str, bytes] | str:
    if args.fresh or not pathlib.Path(args.signatures).exists():
        return {}
    sign_off = read_sign_off(args.signatures)
    if isinstance(sign_off, str):
        return sign_off
    if sign_off.digest == digest:
        return sign_off.signature_by_member
    return (
        f'{args.signatures}: signatures are for digest {sign_off.digest}, the '
        f'source has digest {digest}: source changed after it was signed; '
        'review the change, then use --fresh'
    )


def _add_diff(parser: ArgumentParser) -> None:
    parser.add_argument('before', metavar='A.toml')
    parser.add_argument('after', metavar='B.toml')
    add_json_option(parser)


def _diff(args: Namespace) -> ExitCode:
    before = load_source_file(args.before)
    after = load_source_file(args.after)
    if before is None or after is None:
        return ExitCode.usage
    patch = make_merge_patch(bundle_body(before), bundle_body(after))
    print_answer(
        args, patch, msgspec.json.format(msgspec.json.encode(patch)).decode()
    )
    return ExitCode.findings if patch else ExitCode.ok


commands.register('bundle check')(
    Command('check a bundle source', _add_check, _check)
)
commands.register('bundle sign')(
    Command('sign a bundle source as a member', _add_sign, _sign)
)
commands.register('bundle diff')(
    Command('show the changes as a JSON merge patch', _add_diff, _diff)
)
