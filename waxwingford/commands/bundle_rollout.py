"""Commands that reach the log or daemons: bundle head, publish, status."""

import asyncio
from argparse import ArgumentParser, Namespace

import msgspec

from waxwingford.adapters import platform_adapters
from waxwingford.bundles import (
    Bundle,
    Located,
    Published,
    PublishOutcome,
    PublishRefused,
    PublishUnavailable,
    PublishUnknown,
    locate,
    publish,
)
from waxwingford.commands._bundle_files import (
    add_file,
    source_digest,
    source_of,
)
from waxwingford.commands._command import Command, ExitCode, commands
from waxwingford.commands._fleet import Fleet, add_fleet, fleet_of, wanted
from waxwingford.commands._http import HttpAnswer, ask_all
from waxwingford.commands._output import (
    add_json,
    complain,
    progress,
    show,
    table,
)
from waxwingford.commands._signatures import SignOff, read_sign_off
from waxwingford.ports import LogUnavailable

_LOG_TIMEOUT_MS = 5000
_OK = 200


def _add_head(parser: ArgumentParser) -> None:
    add_fleet(parser)
    add_json(parser)


def _head(args: Namespace) -> ExitCode:
    fleet = fleet_of(args)
    if isinstance(fleet, ExitCode):
        return fleet
    if not wanted(fleet, 'log_url', 'trust'):
        return ExitCode.usage
    with progress('reading the log'):
        located = asyncio.run(_locate(fleet))
    if isinstance(located, LogUnavailable):
        complain(f'log: {located.reason}')
        return ExitCode.unreachable
    current = located.chain.current
    answer = {
        'version': current.version if current else 0,
        'digest': current.digest if current else '',
        'next_offset': located.next_offset,
    }
    show(args, answer, '\n'.join(f'{key} {answer[key]}' for key in answer))
    return ExitCode.ok if current else ExitCode.findings


async def _locate(fleet: Fleet) -> Located | LogUnavailable:
    log = _open_log(fleet)
    try:
        return await locate(log, fleet.trust.public_key_by_member)
    finally:
        await log.close()


def _open_log(fleet: Fleet):
    url = fleet.log_url or ''
    adapter = platform_adapters.get(url.partition(':')[0])
    return adapter.open_log(url, _LOG_TIMEOUT_MS)


def _add_publish(parser: ArgumentParser) -> None:
    add_file(parser)
    parser.add_argument(
        '--signatures', required=True, help='signatures of every member'
    )
    parser.add_argument(
        '--restate',
        action='store_true',
        help='the log has lost all proof of what governs: state it again',
    )
    add_fleet(parser)
    add_json(parser)


def _publish(args: Namespace) -> ExitCode:
    fleet = fleet_of(args)
    if isinstance(fleet, ExitCode):
        return fleet
    if not wanted(fleet, 'log_url', 'trust'):
        return ExitCode.usage
    bundle = source_of(args)
    if bundle is None:
        return ExitCode.findings
    sign_off = read_sign_off(args.signatures)
    if isinstance(sign_off, str):
        complain(sign_off)
        return ExitCode.usage
    if sign_off.digest != source_digest(bundle):
        complain(f'{args.signatures}: signed other content than {args.file}')
        return ExitCode.findings
    with progress('publishing'):
        outcome = asyncio.run(_append(fleet, bundle, sign_off, args.restate))
    return _tell(args, outcome)


async def _append(
    fleet: Fleet, bundle: Bundle, sign_off: SignOff, restate: bool
) -> PublishOutcome:
    log = _open_log(fleet)
    try:
        return await publish(
            log,
            fleet.trust.public_key_by_member,
            bundle,
            sign_off.signature_by_member,
            restate,
        )
    finally:
        await log.close()


def _tell(args: Namespace, outcome: PublishOutcome) -> ExitCode:
    match outcome:
        case Published(version, digest, offset):
            answer = {'version': version, 'digest': digest, 'offset': offset}
            place = f'offset {offset}' if offset >= 0 else 'before this call'
            show(args, answer, f'version {version} in force since {place}')
            return ExitCode.ok
        case PublishRefused(reason):
            complain(f'refused, nothing changed: {reason}')
            return ExitCode.findings
        case PublishUnavailable(reason):
            complain(f'not published, try again: {reason}')
            return ExitCode.unreachable
        case PublishUnknown(reason):
            complain(f'unknown, publish again (harmless if it did): {reason}')
            return ExitCode.unknown


def _add_status(parser: ArgumentParser) -> None:
    add_fleet(parser)
    add_json(parser)


def _status(args: Namespace) -> ExitCode:
    fleet = fleet_of(args)
    if isinstance(fleet, ExitCode):
        return fleet
    if not wanted(fleet, 'daemons'):
        return ExitCode.usage
    with progress(f'asking {len(fleet.daemons)} daemons'):
        answers = ask_all(fleet, fleet.daemons, '/v1/status')
    told = {address: _bundle_in(answer) for address, answer in answers.items()}
    rows = [
        (address, row['version'], row['digest'], row['missing'])
        for address, row in told.items()
    ]
    show(args, told, table(('daemon', 'version', 'digest', 'missing'), rows))
    if any(row['version'] is None for row in told.values()):
        return ExitCode.unreachable
    digests = {row['digest'] for row in told.values()}
    return ExitCode.ok if len(digests) == 1 else ExitCode.findings


def _bundle_in(answer) -> dict[str, object]:
    if not (isinstance(answer, HttpAnswer) and answer.status == _OK):
        reason = getattr(answer, 'reason', 'refused')
        return {'version': None, 'digest': '', 'missing': reason}
    status = msgspec.json.decode(answer.body)
    return {
        'version': status['bundle']['version'],
        'digest': status['bundle']['digest'],
        'missing': '; '.join(status['missing']),
    }


commands.register('bundle head')(
    Command('show what the log says is in force', _add_head, _head)
)
commands.register('bundle publish')(
    Command('publish a signed bundle', _add_publish, _publish)
)
commands.register('bundle status')(
    Command('show the bundle in force by daemon', _add_status, _status)
)
