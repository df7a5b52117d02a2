"""Commands ``settings check`` and ``settings table``."""

from argparse import ArgumentParser, Namespace

from waxwingford.commands._command import Command, ExitCode, commands
from waxwingford.commands._output import add_json_option, print_answer
from waxwingford.settings import (
    SettingsInvalid,
    is_scheduler_settings,
    load_scheduler_settings,
    load_settings,
    render_settings_page,
)


def _add_check(parser: ArgumentParser) -> None:
    parser.add_argument('file', metavar='FILE', help='settings file, TOML')
    add_json_option(parser)


def _check(args: Namespace) -> ExitCode:
    if is_scheduler_settings(args.file):
        loaded = load_scheduler_settings(args.file)
    else:
        loaded = load_settings(args.file)
    if isinstance(loaded, SettingsInvalid):
        problems = [problem._asdict() for problem in loaded.problems]
        text = '\n'.join(map(str, loaded.problems))
        print_answer(args, {'problems': problems}, text)
        return ExitCode.findings
    print_answer(args, {'problems': []}, f'{args.file}: no problems')
    return ExitCode.ok


def _add_table(parser: ArgumentParser) -> None:
    """Add no arguments.

    :param parser: unused.
    """


def _table(args: Namespace) -> ExitCode:
    print(render_settings_page(), end='')
    return ExitCode.ok


commands.register('settings check')(
    Command("check a daemon's settings file", _add_check, _check)
)
commands.register('settings table')(
    Command('print the reference page of all settings', _add_table, _table)
)
