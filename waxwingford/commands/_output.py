"""What commands print: text or JSON to stdout, progress to stderr."""

import contextlib
import sys
import threading
from argparse import ArgumentParser, Namespace
from collections.abc import Iterator, Sequence
from typing import Any

import msgspec

_PATIENCE_S = 1


def add_json(parser: ArgumentParser) -> None:
    """Declare ``--json``.

    :param parser: of a command that reads.
    """
    parser.add_argument(
        '--json', action='store_true', help='print JSON instead of text'
    )


def show(args: Namespace, answer: Any, text: str) -> None:
    """Print an answer in the form asked for.

    :param args: with ``json``.
    :param answer: for programs.
    :param text: for people.
    """
    if args.json:
        text = msgspec.json.format(msgspec.json.encode(answer)).decode()
    print(text.rstrip('\n'))


def complain(text: str) -> None:
    """Print a finding or an error.

    :param text: one or more lines.
    """
    print(text, file=sys.stderr)


def table(head: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Lay out rows in columns.

    :param head: names of the columns.
    :param rows: their cells.
    :returns: aligned text.
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
    """Say on stderr what goes on, if it takes over a second.

    :param doing: for example ``asking 8 daemons``.
    :yields: while it goes on.
    """
    timer = threading.Timer(_PATIENCE_S, complain, (f'{doing} ...',))
    timer.daemon = True
    timer.start()
    try:
        yield
    finally:
        timer.cancel()
