"""Entry point of the daemon, ``waxwingfordd``."""

import argparse
import asyncio
import sys

from waxwingford.daemon._assembly import make_parts
from waxwingford.daemon._daemon import Daemon
from waxwingford.daemon._logging import log_handler
from waxwingford.settings import Settings, SettingsInvalid, load_settings

EXIT_BAD_SETTINGS = 2


def main(argv: list[str] | None = None) -> int:
    """Check the settings, then run until stopped.

    :param argv: arguments, those of the process by default.
    :returns: 0 after a planned stop, 2 for bad settings, 70 after a fault.
    """
    options = _parser().parse_args(argv)
    loaded = load_settings(options.settings)
    if isinstance(loaded, SettingsInvalid):
        for problem in loaded.problems:
            sys.stderr.write(f'{problem}\n')
        return EXIT_BAD_SETTINGS
    if options.check:
        sys.stdout.write(f'{options.settings}: settings are right\n')
        return 0
    return asyncio.run(_run(loaded.settings))


async def _run(settings: Settings) -> int:
    parts = make_parts(settings)
    handler = log_handler(
        settings.logging, settings.identity.daemon_id, parts.incarnation
    )
    with handler.applicationbound():
        return await Daemon(parts).run()


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='waxwingfordd',
        description='Entry daemon: routes requests, schedules batch work.',
    )
    parser.add_argument(
        '--settings',
        required=True,
        metavar='FILE',
        help='settings of this daemon, TOML',
    )
    parser.add_argument(
        '--check',
        action='store_true',
        help='check the settings and stop',
    )
    return parser


if __name__ == '__main__':
    sys.exit(main())
