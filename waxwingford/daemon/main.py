"""Entry point of the daemon, ``waxwingfordd``."""

import argparse
import asyncio
import sys

from waxwingford.build_info import add_version_option
from waxwingford.daemon._assembly import make_components
from waxwingford.daemon._daemon import Daemon
from waxwingford.daemon._logging import log_handler
from waxwingford.settings import Settings, SettingsInvalid, load_settings

EXIT_BAD_SETTINGS = 2


def main(argv: list[str] | None = None) -> int:
    """Load the settings and run the daemon until it is stopped.

    :param argv: command-line arguments, by default those of the process.
    :returns: exit code: 0 after a planned stop, 2 for invalid settings, 70
        after an internal error.
    """
    options = _parser().parse_args(argv)
    loaded = load_settings(options.settings)
    if isinstance(loaded, SettingsInvalid):
        for problem in loaded.problems:
            sys.stderr.write(f'{problem}\n')
        return EXIT_BAD_SETTINGS
    if options.check:
        sys.stdout.write(f'{options.settings}: settings are valid\n')
        return 0
    return asyncio.run(_run(loaded.settings))


async def _run(settings: Settings) -> int:
    components = make_components(settings)
    handler = log_handler(
        settings.logging, settings.identity.daemon_id, components.incarnation
    )
    with handler.applicationbound():
        return await Daemon(components).run()


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='waxwingfordd',
        description='Entry daemon: routes requests, schedules batch work.',
    )
    add_version_option(parser)
    parser.add_argument(
        '--settings',
        required=True,
        metavar='FILE',
        help='settings file, TOML',
    )
    parser.add_argument(
        '--check',
        action='store_true',
        help='check the settings and exit',
    )
    return parser


if __name__ == '__main__':
    sys.exit(main())
