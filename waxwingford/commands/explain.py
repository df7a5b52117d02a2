"""Command ``explain``: the history of a job from log files."""

import sys
from argparse import ArgumentParser, Namespace
from collections.abc import Iterator

from waxwingford.commands._command import Command, ExitCode, commands
from waxwingford.commands._output import add_json, complain, show
from waxwingford.timeline import (
    about,
    events_of_lines,
    merge_events,
    render_text,
)

_STANDARD_INPUT = '-'


def _add(parser: ArgumentParser) -> None:
    parser.add_argument('id', metavar='ID', help='job, or a task of it')
    parser.add_argument(
        'files',
        metavar='FILE',
        nargs='*',
        default=[_STANDARD_INPUT],
        help='log files of scheduler daemons, - for standard input (default)',
    )
    add_json(parser)


def _run(args: Namespace) -> ExitCode:
    try:
        lines = [line for name in args.files for line in _lines(name)]
    except OSError as error:
        complain(f'{error.filename}: {error.strerror}, expected a log file')
        return ExitCode.usage
    merged = about(merge_events(events_of_lines(lines)), args.id)
    if not any(event.subject.startswith(args.id) for event in merged):
        complain(f'{args.id}: no line is about it')
        return ExitCode.findings
    show(args, merged, render_text(merged))
    return ExitCode.ok


def _lines(name: str) -> Iterator[str]:
    if name == _STANDARD_INPUT:
        yield from sys.stdin
        return
    with open(name, encoding='utf-8', errors='replace') as log:
        yield from log


commands.register('explain')(
    Command('print the history of a job from log files', _add, _run)
)
