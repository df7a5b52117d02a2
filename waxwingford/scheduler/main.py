"""Entry point of the scheduler daemon, ``waxwingford-schedulerd``."""

import argparse
import asyncio
import gc
import sys

import uvloop

from waxwingford.scheduler._daemon import SchedulerDaemon
from waxwingford.scheduler._logs import log_lines
from waxwingford.settings import (
    SchedulerSettings,
    SettingsInvalid,
    load_scheduler_settings,
)

EXIT_BAD_SETTINGS = 2
#: Objects made before the garbage collector looks for cycles: few are made
#: here, and the default of 700 is reached with each read of the store.
COLLECT_EVERY = 20_000


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
    _spare_collector()
    with log_lines(
        loaded.logging, loaded.identity.daemon_id, sys.stdout.fileno()
    ).applicationbound():
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(_run(loaded))
    return 0


def _spare_collector() -> None:
    """Take what was imported out of the garbage collector's rounds.

    It never becomes garbage, and each full round over it stops the daemon for
    some ms of a small VM's processor.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(COLLECT_EVERY)


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


def run_and_exit() -> None:
    """Run the daemon and exit with its code."""
    sys.exit(main())


if __name__ == '__main__':
    run_and_exit()
