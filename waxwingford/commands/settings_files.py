"""Commands ``settings check`` and ``settings table``."""

from argparse import ArgumentParser, Namespace

from waxwingford.commands._command import Command, ExitCode, commands
from waxwingford.commands._output import add_json, show
from waxwingford.settings import (
    SettingsInvalid,
    is_for_scheduler,
    load_scheduler_settings,
    load_settings,
    settings_page,
)


def _add_check(parser: ArgumentParser) -> None:
    parser.add_argument('file', metavar='FILE', help='settings of a daemon')
    add_json(parser)


def _check(args: Namespace) -> ExitCode:
    if is_for_scheduler(args.file):
        loaded = load_scheduler_settings(args.file)
    else:
        loaded = load_settings(args.file)
    if isinstance(loaded, SettingsInvalid):
        problems = [problem._asdict() for problem in loaded.problems]
        text = '\n'.join(map(str, loaded.problems))
        show(args, {'problems': problems}, text)
        return ExitCode.findings
    show(args, {'problems': []}, f'{args.file}: no problems')
    return ExitCode.ok


def _add_table(parser: ArgumentParser) -> None:
    """Take no arguments.

    :param parser: unused.
    """


def _table(args: Namespace) -> ExitCode:
    print(settings_page(), end='')
    return ExitCode.ok


commands.register('settings check')(
    Command("check a daemon's settings file", _add_check, _check)
)
commands.register('settings table')(
    Command('print the page of all settings', _add_table, _table)
)
