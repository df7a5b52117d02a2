"""Command ``timeline``: prints events of all daemons in causal order."""

from argparse import ArgumentParser, Namespace

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
    print_answer,
    print_error,
    progress,
)
from waxwingford.commands._signed import HTTP_OK
from waxwingford.timeline import (
    Event,
    filter_events,
    merge_events,
    plot_timeline,
    render_text,
)

_SUBJECTS = ('task', 'request', 'server', 'bundle')
_decoder = msgspec.json.Decoder(list[Event])


def _add_arguments(parser: ArgumentParser) -> None:
    for subject in _SUBJECTS:
        parser.add_argument(
            f'--{subject}',
            action='append',
            default=[],
            help=f'only events of this {subject} and faults; repeatable',
        )
    parser.add_argument(
        '--picture', metavar='FILE', help='also draw it to FILE'
    )
    add_fleet_options(parser)
    add_json_option(parser)


def _run(args: Namespace) -> ExitCode:
    fleet = load_fleet(args)
    if isinstance(fleet, ExitCode):
        return fleet
    if not require_fields(fleet, 'daemons'):
        return ExitCode.usage
    with progress(f'querying {len(fleet.daemons)} daemons'):
        outcomes = get_from_all(fleet, fleet.daemons, '/v1/timeline')
    failed_addresses = [
        address
        for address, outcome in outcomes.items()
        if not _is_success(outcome)
    ]
    if failed_addresses:
        print_error(f'no timeline from: {", ".join(failed_addresses)}')
    events = [
        event
        for outcome in outcomes.values()
        if _is_success(outcome)
        for event in _decoder.decode(outcome.body)
    ]
    merged = filter_events(merge_events(events), _subjects(args))
    print_answer(args, merged, render_text(merged))
    if args.picture:
        with progress('drawing the timeline'):
            plot_timeline(merged, args.picture)
    return ExitCode.unreachable if failed_addresses else ExitCode.ok


def _is_success(outcome: HttpOutcome) -> bool:
    return isinstance(outcome, HttpResponse) and outcome.status == HTTP_OK


def _subjects(args: Namespace) -> frozenset[str]:
    return frozenset(
        f'{subject}:{name}'
        for subject in _SUBJECTS
        for name in getattr(args, subject)
    )


commands.register('timeline')(
    Command('merge the timelines of all daemons', _add_arguments, _run)
)
