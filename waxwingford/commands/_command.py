"""Registry of subcommands and their common exit codes."""

import enum
from argparse import ArgumentParser, Namespace
from collections.abc import Callable
from typing import NamedTuple

from waxwingford.kernel import Registry


class ExitCode(enum.IntEnum):
    """Exit code of a command; documented in ``docs/bundles.md``.

    :ivar ok: success.
    :ivar findings: problems were found, or the request was refused.
    :ivar usage: wrong arguments or input files.
    :ivar unreachable: no response from the daemons or the log.
    :ivar unknown: the request may have taken effect.
    """

    ok = 0
    findings = 1
    usage = 2
    unreachable = 3
    unknown = 4


class Command(NamedTuple):
    """A subcommand.

    :ivar about: one-line description for ``--help``.
    :ivar add_arguments: adds its arguments to a parser.
    :ivar run: runs the command and returns its exit code.
    """

    about: str
    add_arguments: Callable[[ArgumentParser], None]
    run: Callable[[Namespace], ExitCode]


#: Commands by full name, for example ``bundle publish``.
commands: Registry[Command] = Registry('command')
