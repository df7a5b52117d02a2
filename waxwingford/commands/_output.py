"""Output of commands: results on stdout, errors and progress on stderr."""

import contextlib
import sys
import threading
from argparse import ArgumentParser, Namespace
from collections.abc import Iterator, Sequence
from typing import Any

import msgspec

_PROGRESS_DELAY_S = 1
_STANDARD_INPUT = '-'


def add_json_option(parser: ArgumentParser) -> None:
    """Add the option ``--json``."""
    parser.add_argument(
        '--json', action='store_true', help='print JSON instead of text'
    )


def add_log_files(parser: ArgumentParser) -> None:
    """Add the positional arguments that name log files."""
    parser.add_argument(
        'files',
        metavar='FILE',
        nargs='*',
        default=[_STANDARD_INPUT],
        help='log files of scheduler daemons, - for standard input (default)',
    )


def read_log_lines(names: Sequence[str]) -> list[str]:
    """Read the lines of log files.

    :param names: paths, or ``-`` for standard input.
    :raises OSError: if a file can't be read.
    """
    return [line for name in names for line in _lines(name)]


def _lines(name: str) -> Iterator[str]:
    if name == _STANDARD_INPUT:
        yield from sys.stdin
        return
    with open(name, encoding='utf-8', errors='replace') as log:
        yield from log


def print_answer(args: Namespace, answer: Any, text: str) -> None:
    """Print a result as text or, with ``--json``, as JSON.

    :param args: parsed arguments with the ``--json`` option.
    :param answer: result to encode as JSON.
    :param text: the same result as text.
    """
    if args.json:
        text = msgspec.json.format(msgspec.json.encode(answer)).decode()
    print(text.rstrip('\n'))


def print_error(text: str) -> None:
    """Print an error message on stderr.

    :param text: one or more lines.
    """
    print(text, file=sys.stderr)


def format_table(head: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Format rows as a table with aligned columns.

    :returns: the table, one line per row.
    """
    lines = [tuple(head), *(tuple(map(str, row)) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return '\n'.join(
        '  '.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


@contextlib.contextmanager
def progress(doing: str) -> Iterator[None]:
    """Print a progress message on stderr if the block takes over a second.

    :param doing: message, for example ``querying 8 daemons``.
    :yields: once, to run the block.
    """
    timer = threading.Timer(_PROGRESS_DELAY_S, print_error, (f'{doing} ...',))
    timer.daemon = True
    timer.start()
    try:
        yield
    finally:
        timer.cancel()
