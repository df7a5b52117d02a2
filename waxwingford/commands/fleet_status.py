"""Commands ``status`` and ``drain``."""

from argparse import ArgumentParser, Namespace
from typing import Any

import msgspec

from waxwingford.commands._command import Command, ExitCode, commands
from waxwingford.commands._fleet import (
    add_fleet_options,
    load_fleet,
    require_fields,
)
from waxwingford.commands._http import HttpOutcome, HttpResponse, get_from_all
from waxwingford.commands._output import (
    add_json_option,
    format_table,
    print_answer,
    progress,
)
from waxwingford.commands._signed import (
    HTTP_OK,
    add_signer_options,
    post_signed,
)

_COLUMNS = (
    'address',
    'daemon',
    'domain',
    'ready',
    'bundle',
    'servers',
    'pending',
    'running',
    'missing',
)


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
        address: _decode_status(outcome)
        for address, outcome in outcomes.items()
    }
    rows = [_row(*pair) for pair in status_by_address.items()]
    print_answer(args, status_by_address, format_table(_COLUMNS, rows))
    if not all('daemon' in status for status in status_by_address.values()):
        return ExitCode.unreachable
    is_ready = all(status['ready'] for status in status_by_address.values())
    return ExitCode.ok if is_ready else ExitCode.findings


def _decode_status(outcome: HttpOutcome) -> dict[str, Any]:
    if isinstance(outcome, HttpResponse) and outcome.status == HTTP_OK:
        return msgspec.json.decode(outcome.body)
    return {'error': getattr(outcome, 'reason', 'refused')}


def _row(address: str, status: dict[str, Any]) -> list[object]:
    cell_by_column = {'address': address, **_cells(status)}
    return [cell_by_column.get(column, '') for column in _COLUMNS]


def _cells(status: dict[str, Any]) -> dict[str, object]:
    if 'daemon' not in status:
        return {'missing': status['error']}
    return {
        'daemon': status['daemon'],
        'domain': status['failure_domain'],
        'ready': 'yes' if status['ready'] else 'no',
        'bundle': status['bundle']['version'],
        'servers': len(status['servers']),
        'pending': status['jobs']['pending'],
        'running': status['jobs']['running'],
        'missing': '; '.join(status['missing']),
    }


def _add_drain(parser: ArgumentParser) -> None:
    parser.add_argument(
        'daemon', metavar='ADDRESS:PORT', help='daemon to drain'
    )
    add_signer_options(parser)
    add_fleet_options(parser)


def _drain(args: Namespace) -> ExitCode:
    args.daemons = args.daemon
    return post_signed(args, '/v1/drain', b'')


commands.register('status')(
    Command('show the status of all daemons of a fleet', _add_status, _status)
)
commands.register('drain')(
    Command('drain a daemon and stop it', _add_drain, _drain)
)
