"""Command ``explain``: prints the history of a job from log files."""

import sys
from argparse import ArgumentParser, Namespace
from collections.abc import Iterator

from waxwingford.commands._command import Command, ExitCode, commands
from waxwingford.commands._output import (
    add_json_option,
    print_answer,
    print_error,
)
from waxwingford.timeline import (
    concerns,
    merge_events,
    parse_log_events,
    render_text,
    select_job_events,
)

_STANDARD_INPUT = '-'


def _add_arguments(parser: ArgumentParser) -> None:
    parser.add_argument('id', metavar='ID', help='job id or task id')
    parser.add_argument(
        'files',
        metavar='FILE',
        nargs='*',
        default=[_STANDARD_INPUT],
        help='log files of scheduler daemons, - for standard input (default)',
    )
    add_json_option(parser)


def _run(args: Namespace) -> ExitCode:
    try:
        lines = [line for name in args.files for line in _lines(name)]
    except OSError as error:
        print_error(f'{error.filename}: {error.strerror}, expected a log file')
        return ExitCode.usage
    merged = select_job_events(merge_events(parse_log_events(lines)), args.id)
    if not any(concerns(event, args.id) for event in merged):
        print_error(f'{args.id}: not found in the log files')
        return ExitCode.findings
    print_answer(args, merged, render_text(merged))
    return ExitCode.ok


def _lines(name: str) -> Iterator[str]:
    if name == _STANDARD_INPUT:
        yield from sys.stdin
        return
    with open(name, encoding='utf-8', errors='replace') as log:
        yield from log


commands.register('explain')(
    Command('print the history of a job from log files', _add_arguments, _run)
)
