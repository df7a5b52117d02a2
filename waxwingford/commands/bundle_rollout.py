"""Commands ``bundle head``, ``bundle publish`` and ``bundle status``."""

import asyncio
from argparse import ArgumentParser, Namespace

import msgspec

from waxwingford.adapters import platform_adapters
from waxwingford.bundles import (
    Bundle,
    Published,
    PublishOutcome,
    PublishRefused,
    PublishUnavailable,
    PublishUnknown,
    RecoveredChain,
    publish,
    recover_chain,
)
from waxwingford.commands._bundle_files import (
    add_source_argument,
    load_source,
    source_digest,
)
from waxwingford.commands._command import Command, ExitCode, commands
from waxwingford.commands._fleet import (
    Fleet,
    add_fleet_options,
    load_fleet,
    require_fields,
)
from waxwingford.commands._http import HttpResponse, get_from_all
from waxwingford.commands._output import (
    add_json_option,
    format_table,
    print_answer,
    print_error,
    progress,
)
from waxwingford.commands._signatures import SignOff, read_sign_off
from waxwingford.ports import LogUnavailable

_LOG_TIMEOUT_MS = 5000
_HTTP_OK = 200


def _add_head(parser: ArgumentParser) -> None:
    add_fleet_options(parser)
    add_json_option(parser)


def _show_head(args: Namespace) -> ExitCode:
    fleet = load_fleet(args)
    if isinstance(fleet, ExitCode):
        return fleet
    if not require_fields(fleet, 'log_url', 'trust'):
        return ExitCode.usage
    with progress('reading the log'):
        recovered = asyncio.run(_locate(fleet))
    if isinstance(recovered, LogUnavailable):
        print_error(f'log: {recovered.reason}')
        return ExitCode.unreachable
    current = recovered.chain.current
    answer = {
        'version': current.version if current else 0,
        'digest': current.digest if current else '',
        'next_offset': recovered.next_offset,
    }
    print_answer(
        args, answer, '\n'.join(f'{key} {answer[key]}' for key in answer)
    )
    return ExitCode.ok if current else ExitCode.findings


async def _locate(fleet: Fleet) -> RecoveredChain | LogUnavailable:
    log = _open_log(fleet)
    try:
        return await recover_chain(log, fleet.trust.public_key_by_member)
    finally:
        await log.close()


def _open_log(fleet: Fleet):
    url = fleet.log_url or ''
    adapter = platform_adapters.get(url.partition(':')[0])
    return adapter.open_log(url, _LOG_TIMEOUT_MS)


def _add_publish(parser: ArgumentParser) -> None:
    add_source_argument(parser)
    parser.add_argument(
        '--signatures', required=True, help="file of all members' signatures"
    )
    parser.add_argument(
        '--restate',
        action='store_true',
        help='publish the newest bundle again after the log lost it',
    )
    add_fleet_options(parser)
    add_json_option(parser)


def _publish(args: Namespace) -> ExitCode:
    fleet = load_fleet(args)
    if isinstance(fleet, ExitCode):
        return fleet
    if not require_fields(fleet, 'log_url', 'trust'):
        return ExitCode.usage
    bundle = load_source(args)
    if bundle is None:
        return ExitCode.findings
    sign_off = read_sign_off(args.signatures)
    if isinstance(sign_off, str):
        print_error(sign_off)
        return ExitCode.usage
    if sign_off.digest != source_digest(bundle):
        print_error(f'{args.signatures}: signatures do not match {args.file}')
        return ExitCode.findings
    with progress('publishing'):
        outcome = asyncio.run(
            _publish_to_log(fleet, bundle, sign_off, args.restate)
        )
    return _report_outcome(args, outcome)


async def _publish_to_log(
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


def _report_outcome(args: Namespace, outcome: PublishOutcome) -> ExitCode:
    match outcome:
        case Published(version, digest, offset):
            answer = {'version': version, 'digest': digest, 'offset': offset}
            place = f'offset {offset}' if offset >= 0 else 'before this call'
            print_answer(
                args, answer, f'version {version} in force since {place}'
            )
            return ExitCode.ok
        case PublishRefused(reason):
            print_error(f'refused, nothing changed: {reason}')
            return ExitCode.findings
        case PublishUnavailable(reason):
            print_error(f'not published, try again: {reason}')
            return ExitCode.unreachable
        case PublishUnknown(reason):
            print_error(f'outcome unknown, safe to publish again: {reason}')
            return ExitCode.unknown


def _add_status(parser: ArgumentParser) -> None:
    add_fleet_options(parser)
    add_json_option(parser)


def _status(args: Namespace) -> ExitCode:
    fleet = load_fleet(args)
    if isinstance(fleet, ExitCode):
        return fleet
    if not require_fields(fleet, 'daemons'):
        return ExitCode.usage
    with progress(f'querying {len(fleet.daemons)} daemons'):
        outcomes = get_from_all(fleet, fleet.daemons, '/v1/status')
    status_by_address = {
        address: _bundle_status(outcome)
        for address, outcome in outcomes.items()
    }
    rows = [
        (address, row['version'], row['digest'], row['missing'])
        for address, row in status_by_address.items()
    ]
    print_answer(
        args,
        status_by_address,
        format_table(('daemon', 'version', 'digest', 'missing'), rows),
    )
    if any(row['version'] is None for row in status_by_address.values()):
        return ExitCode.unreachable
    digests = {row['digest'] for row in status_by_address.values()}
    return ExitCode.ok if len(digests) == 1 else ExitCode.findings


def _bundle_status(outcome) -> dict[str, object]:
    if not (isinstance(outcome, HttpResponse) and outcome.status == _HTTP_OK):
        reason = getattr(outcome, 'reason', 'refused')
        return {'version': None, 'digest': '', 'missing': reason}
    status = msgspec.json.decode(outcome.body)
    return {
        'version': status['bundle']['version'],
        'digest': status['bundle']['digest'],
        'missing': '; '.join(status['missing']),
    }


commands.register('bundle head')(
    Command(
        'show the bundle in force according to the log', _add_head, _show_head
    )
)
commands.register('bundle publish')(
    Command('publish a signed bundle', _add_publish, _publish)
)
commands.register('bundle status')(
    Command('show the bundle in force at each daemon', _add_status, _status)
)
