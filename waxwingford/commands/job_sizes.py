"""Command ``sizes``: tells from log files what became of jobs by their size."""

from argparse import ArgumentParser, Namespace

from waxwingford.commands._command import Command, ExitCode, commands
from waxwingford.commands._output import (
    add_json_option,
    add_log_files,
    format_table,
    print_answer,
    print_error,
    read_log_lines,
)
from waxwingford.timeline import SizeGroup, group_by_size, read_outcomes


def _add_arguments(parser: ArgumentParser) -> None:
    add_log_files(parser)
    add_json_option(parser)


def _run(args: Namespace) -> ExitCode:
    try:
        lines = read_log_lines(args.files)
    except OSError as error:
        print_error(f'{error.filename}: {error.strerror}, expected a log file')
        return ExitCode.usage
    groups = list(group_by_size(read_outcomes(lines)))
    if not groups:
        print_error('no ended or late job in the log files')
        return ExitCode.findings
    rows = [
        [f'{cell:.2f}' if isinstance(cell, float) else cell for cell in group]
        for group in groups
    ]
    print_answer(args, groups, format_table(SizeGroup._fields, rows))
    return ExitCode.ok


commands.register('sizes')(
    Command(
        'tell from log files what became of jobs by their size',
        _add_arguments,
        _run,
    )
)
