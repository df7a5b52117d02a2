"""Entry point of the command-line tool ``waxwingford``."""

import sys
from argparse import ArgumentParser, Namespace
from collections.abc import Sequence
from typing import Any

from waxwingford.commands._command import Command, ExitCode, commands
from waxwingford.kernel import load_plugins

_MODULES = (
    'bundle_files',
    'bundle_rollout',
    'explain',
    'fleet_status',
    'jobs',
    'keys',
    'settings_files',
    'time_line',
)
_EPILOG = (
    'exit codes: 0 done, 1 findings or refused, 2 usage, 3 unreachable, '
    '4 outcome unknown'
)


def build_parser() -> ArgumentParser:
    """Build the parser from all commands that registered themselves.

    :returns: the parser.
    """
    load_plugins(f'waxwingford.commands.{name}' for name in _MODULES)
    parser = ArgumentParser(prog='waxwingford', epilog=_EPILOG)
    top = parser.add_subparsers(required=True, metavar='COMMAND')
    groups: dict[str, Any] = {}
    for words in commands.names():
        group, _, name = words.partition(' ')
        if name and group not in groups:
            inner = top.add_parser(group, help=f'{group} commands')
            groups[group] = inner.add_subparsers(
                required=True, metavar='COMMAND'
            )
        _add(groups[group] if name else top, name or group, words)
    return parser


def _add(parsers: Any, name: str, words: str) -> None:
    command = commands.get(words)
    parser = parsers.add_parser(
        name, help=command.about, description=command.about, epilog=_EPILOG
    )
    command.add_arguments(parser)
    parser.set_defaults(command=command)


def run(arguments: Sequence[str]) -> ExitCode:
    """Run one command.

    :param arguments: as typed, without the program's name.
    :returns: exit code.
    """
    args: Namespace = build_parser().parse_args(arguments)
    command: Command = args.command
    try:
        return command.run(args)
    except KeyboardInterrupt:
        # Nobody knows how far a change got.
        return ExitCode.unknown


def main() -> None:
    """Run the command that was typed and exit with its code."""
    sys.exit(run(sys.argv[1:]))
