"""Entry point of the scheduler daemon, ``waxwingford-schedulerd``."""

import argparse
import asyncio
import sys

from waxwingford.scheduler._daemon import SchedulerDaemon
from waxwingford.scheduler._logs import log_lines
from waxwingford.settings import (
    SchedulerSettings,
    SettingsInvalid,
    load_scheduler_settings,
)

EXIT_BAD_SETTINGS = 2


def main(argv: list[str] | None = None) -> int:
    """Check the settings, then run until stopped.

    :param argv: arguments, those of the process by default.
    :returns: 0 after a planned stop, 2 for bad settings.
    """
    options = _parser().parse_args(argv)
    loaded = load_scheduler_settings(options.settings)
    if isinstance(loaded, SettingsInvalid):
        for problem in loaded.problems:
            sys.stderr.write(f'{problem}\n')
        return EXIT_BAD_SETTINGS
    with log_lines(
        loaded.logging, loaded.identity.daemon_id, sys.stdout.fileno()
    ).applicationbound():
        asyncio.run(_run(loaded))
    return 0


async def _run(settings: SchedulerSettings) -> None:
    await SchedulerDaemon(settings).run()


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='waxwingford-schedulerd',
        description='Scheduler daemon: takes jobs, owns shards, stands by.',
    )
    parser.add_argument(
        '--settings',
        required=True,
        metavar='FILE',
        help='settings of this daemon, TOML',
    )
    return parser


if __name__ == '__main__':
    sys.exit(main())
