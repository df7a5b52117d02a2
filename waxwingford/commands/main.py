"""Entry point of the command-line tool ``waxwingford``."""

import sys
from argparse import ArgumentParser, Namespace
from collections.abc import Sequence
from typing import Any

from waxwingford.build_info import add_version_option
from waxwingford.commands._command import Command, ExitCode, commands
from waxwingford.kernel import load_plugins

_MODULES = (
    'bundle_files',
    'bundle_rollout',
    'explain',
    'fleet_status',
    'job_sizes',
    'jobs',
    'keys',
    'settings_files',
    'timeline',
    'where',
)
_EPILOG = (
    'exit codes: 0 done, 1 findings or refused, 2 usage, 3 unreachable, '
    '4 outcome unknown'
)


def build_parser() -> ArgumentParser:
    """Build the parser of all registered commands."""
    load_plugins(f'waxwingford.commands.{name}' for name in _MODULES)
    parser = ArgumentParser(prog='waxwingford', epilog=_EPILOG)
    add_version_option(parser)
    top = parser.add_subparsers(required=True, metavar='COMMAND')
    groups: dict[str, Any] = {}
    for full_name in commands.names():
        group, _, name = full_name.partition(' ')
        if name and group not in groups:
            inner = top.add_parser(group, help=f'{group} commands')
            groups[group] = inner.add_subparsers(
                required=True, metavar='COMMAND'
            )
        _add_command(groups[group] if name else top, name or group, full_name)
    return parser


def _add_command(parsers: Any, name: str, full_name: str) -> None:
    command = commands.get(full_name)
    parser = parsers.add_parser(
        name, help=command.about, description=command.about, epilog=_EPILOG
    )
    command.add_arguments(parser)
    parser.set_defaults(command=command)


def run(arguments: Sequence[str]) -> ExitCode:
    """Parse a command line and run its command.

    :param arguments: command line without the program name.
    """
    args: Namespace = build_parser().parse_args(arguments)
    command: Command = args.command
    try:
        return command.run(args)
    except KeyboardInterrupt:
        # The command may have been interrupted after its request was sent.
        return ExitCode.unknown


def main() -> None:
    """Run the command given in ``sys.argv`` and exit with its code."""
    sys.exit(run(sys.argv[1:]))
