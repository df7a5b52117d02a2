"""Registry of sub-commands and the exit codes that all of them share."""

import enum
from argparse import ArgumentParser, Namespace
from collections.abc import Callable
from typing import NamedTuple

from waxwingford.kernel import Registry


class ExitCode(enum.IntEnum):
    """What a command ends with; documented in ``docs/bundles.md``."""

    ok = 0
    findings = 1
    usage = 2
    unreachable = 3
    unknown = 4


class Command(NamedTuple):
    """A sub-command.

    :ivar about: one line for ``--help``.
    :ivar add_arguments: declares its arguments.
    :ivar run: does the work and says how it ended.
    """

    about: str
    add_arguments: Callable[[ArgumentParser], None]
    run: Callable[[Namespace], ExitCode]


#: By words as typed, for example ``bundle publish``.
commands: Registry[Command] = Registry('command')
