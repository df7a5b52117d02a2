"""Entry point of the scheduler daemon, ``waxwingford-schedulerd``."""

import argparse
import asyncio
import contextlib
import gc
import sys

import msgspec
import uvloop

from waxwingford.build_info import add_version_option
from waxwingford.scheduler._daemon import SchedulerDaemon
from waxwingford.scheduler._logs import make_log_handler
from waxwingford.settings import (
    SchedulerSettings,
    SettingsInvalid,
    load_scheduler_settings,
)

EXIT_BAD_SETTINGS = 2
#: Allocations between collections of the youngest generation. The daemon
#: creates few reference cycles, and each read of the store exceeds the default.
GC_THRESHOLD = 20_000


def main(argv: list[str] | None = None) -> int:
    """Load the settings, then run the daemon until it is stopped.

    :param argv: command-line arguments, those of the process by default.
    :returns: exit status: 0 after the daemon has stopped, 2 for invalid
        settings.
    """
    options = _parser().parse_args(argv)
    loaded = load_scheduler_settings(options.settings)
    if isinstance(loaded, SettingsInvalid):
        for problem in loaded.problems:
            sys.stderr.write(f'{problem}\n')
        return EXIT_BAD_SETTINGS
    _configure_gc()
    handler = make_log_handler(
        loaded.logging, loaded.identity.daemon_id, sys.stdout.fileno()
    )
    with contextlib.closing(handler), handler.applicationbound():
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(_run(_with_options(loaded, options)))
    return 0


def _configure_gc() -> None:
    # Exclude imported objects from full collections: they are never freed, and
    # scanning them pauses the daemon for milliseconds.
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)


def _with_options(
    settings: SchedulerSettings, options: argparse.Namespace
) -> SchedulerSettings:
    vm = msgspec.structs.replace(
        settings.vm,
        memory_mb=options.memory_mb or settings.vm.memory_mb,
        max_fds=options.max_fds or settings.vm.max_fds,
    )
    return msgspec.structs.replace(settings, vm=vm)


async def _run(settings: SchedulerSettings) -> None:
    await SchedulerDaemon(settings).run()


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='waxwingford-schedulerd',
        description='Scheduler daemon: accepts and schedules jobs.',
    )
    add_version_option(parser)
    parser.add_argument(
        '--settings',
        required=True,
        metavar='FILE',
        help='settings of this daemon in TOML format',
    )
    parser.add_argument(
        '--memory-mb',
        type=int,
        default=0,
        metavar='MB',
        help='memory of the process, instead of vm.memory_mb',
    )
    parser.add_argument(
        '--max-fds',
        type=int,
        default=0,
        metavar='COUNT',
        help='descriptors of the process, instead of vm.max_fds',
    )
    return parser


def run_and_exit() -> None:
    """Run the daemon and exit with its status."""
    sys.exit(main())


if __name__ == '__main__':
    run_and_exit()
