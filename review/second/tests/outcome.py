"""Runs a case and tells its outcome by the exit status of the program."""

import asyncio
import os
import pathlib
import sys
from collections.abc import Awaitable, Callable

HELD = 0
BROKEN = 3


def is_troubled() -> bool:
    """Whether the case is to be run with its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


def run_case(play: Callable[[pathlib.Path, bool], Awaitable[bool]]) -> None:
    """Run a case and exit.

    :param play: plays the case, given the file for the record and whether the
        disruption comes; returns whether the rule was broken.
    """
    broken = asyncio.run(play(pathlib.Path(sys.argv[1]), is_troubled()))
    sys.stdout.write('the rule was broken\n' if broken else 'the rule held\n')
    sys.exit(BROKEN if broken else HELD)
