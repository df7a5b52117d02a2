"""Commands ``status`` and ``drain``."""

from argparse import ArgumentParser, Namespace
from typing import Any

import msgspec

from waxwingford.commands._command import Command, ExitCode, commands
from waxwingford.commands._fleet import add_fleet, fleet_of, wanted
from waxwingford.commands._http import HttpAnswer, HttpOutcome, ask_all
from waxwingford.commands._output import add_json, progress, show, table
from waxwingford.commands._signed import OK, add_signer, send_signed

_HEAD = (
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
    add_fleet(parser)
    add_json(parser)


def _status(args: Namespace) -> ExitCode:
    fleet = fleet_of(args)
    if isinstance(fleet, ExitCode):
        return fleet
    if not wanted(fleet, 'daemons'):
        return ExitCode.usage
    with progress(f'asking {len(fleet.daemons)} daemons'):
        outcomes = ask_all(fleet, fleet.daemons, '/v1/status')
    status_by_address = {
        address: _status_in(outcome) for address, outcome in outcomes.items()
    }
    rows = [_row(*pair) for pair in status_by_address.items()]
    show(args, status_by_address, table(_HEAD, rows))
    if not all('daemon' in told for told in status_by_address.values()):
        return ExitCode.unreachable
    is_ready = all(told['ready'] for told in status_by_address.values())
    return ExitCode.ok if is_ready else ExitCode.findings


def _status_in(outcome: HttpOutcome) -> dict[str, Any]:
    if isinstance(outcome, HttpAnswer) and outcome.status == OK:
        return msgspec.json.decode(outcome.body)
    return {'error': getattr(outcome, 'reason', 'refused')}


def _row(address: str, status: dict[str, Any]) -> list[object]:
    cell_by_column = {'address': address, **_cells(status)}
    return [cell_by_column.get(column, '') for column in _HEAD]


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
    parser.add_argument('daemon', metavar='ADDRESS:PORT', help='which daemon')
    add_signer(parser)
    add_fleet(parser)


def _drain(args: Namespace) -> ExitCode:
    args.daemons = args.daemon
    return send_signed(args, '/v1/drain', b'')


commands.register('status')(
    Command('show all daemons of a fleet', _add_status, _status)
)
commands.register('drain')(
    Command('start the planned stop of a daemon', _add_drain, _drain)
)
