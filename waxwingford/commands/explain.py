"""Command ``explain``: prints the history of a job from log files."""

from argparse import ArgumentParser, Namespace

from waxwingford.commands._command import Command, ExitCode, commands
from waxwingford.commands._output import (
    add_json_option,
    add_log_files,
    print_answer,
    print_error,
    read_log_lines,
)
from waxwingford.timeline import (
    concerns,
    merge_events,
    parse_log_events,
    render_text,
    select_job_events,
)


def _add_arguments(parser: ArgumentParser) -> None:
    parser.add_argument('id', metavar='ID', help='job id or task id')
    add_log_files(parser)
    add_json_option(parser)


def _run(args: Namespace) -> ExitCode:
    try:
        lines = read_log_lines(args.files)
    except OSError as error:
        print_error(f'{error.filename}: {error.strerror}, expected a log file')
        return ExitCode.usage
    merged = select_job_events(merge_events(parse_log_events(lines)), args.id)
    if not any(concerns(event, args.id) for event in merged):
        print_error(f'{args.id}: not found in the log files')
        return ExitCode.findings
    print_answer(args, merged, render_text(merged))
    return ExitCode.ok


commands.register('explain')(
    Command('print the history of a job from log files', _add_arguments, _run)
)
