"""Command ``timeline``: events of all daemons in causal order."""

from argparse import ArgumentParser, Namespace

import msgspec

from waxwingford.commands._command import Command, ExitCode, commands
from waxwingford.commands._fleet import add_fleet, fleet_of, wanted
from waxwingford.commands._http import HttpAnswer, HttpOutcome, ask_all
from waxwingford.commands._output import add_json, complain, progress, show
from waxwingford.commands._signed import OK
from waxwingford.timeline import (
    Event,
    filter_events,
    merge_events,
    render_picture,
    render_text,
)

_SUBJECTS = ('task', 'request', 'server', 'bundle')
_decoder = msgspec.json.Decoder(list[Event])


def _add(parser: ArgumentParser) -> None:
    for subject in _SUBJECTS:
        parser.add_argument(
            f'--{subject}',
            action='append',
            default=[],
            help=f'only this {subject}, and faults; may be repeated',
        )
    parser.add_argument('--picture', metavar='FILE', help='draw it, too')
    add_fleet(parser)
    add_json(parser)


def _run(args: Namespace) -> ExitCode:
    fleet = fleet_of(args)
    if isinstance(fleet, ExitCode):
        return fleet
    if not wanted(fleet, 'daemons'):
        return ExitCode.usage
    with progress(f'asking {len(fleet.daemons)} daemons'):
        outcomes = ask_all(fleet, fleet.daemons, '/v1/timeline')
    silent = [
        address
        for address, outcome in outcomes.items()
        if not _answered(outcome)
    ]
    if silent:
        complain(f'not in this time line: {", ".join(silent)}')
    events = [
        event
        for outcome in outcomes.values()
        if _answered(outcome)
        for event in _decoder.decode(outcome.body)
    ]
    merged = filter_events(merge_events(events), _subjects(args))
    show(args, merged, render_text(merged))
    if args.picture:
        with progress('drawing'):
            render_picture(merged, args.picture)
    return ExitCode.unreachable if silent else ExitCode.ok


def _answered(outcome: HttpOutcome) -> bool:
    return isinstance(outcome, HttpAnswer) and outcome.status == OK


def _subjects(args: Namespace) -> frozenset[str]:
    return frozenset(
        f'{subject}:{name}'
        for subject in _SUBJECTS
        for name in getattr(args, subject)
    )


commands.register('timeline')(
    Command('merge the time lines of all daemons', _add, _run)
)
