"""Runs a deployment on this machine under load and writes a report.

All processes are stopped at exit, including after Ctrl-C, SIGTERM or an
error.
"""

import argparse
import asyncio
import pathlib
import signal
import sys
import time
from collections.abc import Callable

from waxwingford_standins.deployment import load_deployment
from waxwingford_standins.local_run import LocalRun, StartFailed, open_bundle
from waxwingford_standins.trial import LoadTest, write_results

_DEPLOYMENTS = pathlib.Path(__file__).resolve().parent.parent / 'deployments'
_DEFAULT_LOAD_S = 25
_EXIT_FINDINGS = 1
_EXIT_NOT_STARTED = 3
_EXIT_INTERRUPTED = 130


def main() -> None:
    """Run the launcher from the command line."""
    options = _arguments()
    source = options.deployments / options.deployment
    deployment = load_deployment(source / 'deployment.toml')
    if isinstance(deployment, tuple):
        sys.exit('\n'.join(str(problem) for problem in deployment))
    bundle = open_bundle(source / 'bundle.toml')
    if isinstance(bundle, str):
        sys.exit(bundle)
    log_progress = _progress_logger()
    local_run = LocalRun(deployment, bundle, options.output, log_progress)
    sys.exit(asyncio.run(_run(local_run, options, log_progress)))


async def _run(
    local_run: LocalRun,
    options: argparse.Namespace,
    log_progress: Callable[[str], None],
) -> int:
    """Run the deployment until it completes or a signal arrives.

    :param local_run: run to start; always stopped on return.
    :returns: exit code.
    """
    load_task = asyncio.ensure_future(
        _start_and_load(local_run, options, log_progress)
    )
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, load_task.cancel)
    try:
        return await load_task
    except asyncio.CancelledError:
        log_progress('interrupted')
        return _EXIT_INTERRUPTED
    finally:
        killed = await local_run.stop()
        log_progress(
            f'stopped; killed after the stop timeout: {", ".join(killed) or "none"}'
        )


async def _start_and_load(
    local_run: LocalRun,
    options: argparse.Namespace,
    log_progress: Callable[[str], None],
) -> int:
    started = await local_run.start()
    if isinstance(started, StartFailed):
        log_progress(f'deployment failed to start: {started.reason}')
        return _EXIT_NOT_STARTED
    log_progress(f'all ready; starting load for {options.seconds} s')
    trial = LoadTest(local_run)
    await trial.load(options.seconds)
    log_progress(f'load finished after {len(trial.callers.calls)} requests')
    report = await trial.report(options.seconds)
    sys.stdout.write(await write_results(local_run, report, options.output))
    if options.keep:
        for daemon in local_run.layout.daemons:
            log_progress(f'{daemon.daemon_id} serves at {daemon.url}')
        log_progress('running until Ctrl-C')
        await asyncio.Event().wait()
    return _EXIT_FINDINGS if report.findings else 0


def _arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--deployment', default='qadri', help='for example qadri or svatbena'
    )
    parser.add_argument(
        '--deployments',
        type=pathlib.Path,
        default=_DEPLOYMENTS,
        help='directory with a subdirectory for each deployment',
    )
    parser.add_argument(
        '--seconds',
        type=int,
        default=_DEFAULT_LOAD_S,
        help='length of the load, in seconds',
    )
    parser.add_argument(
        '--output',
        type=pathlib.Path,
        default=pathlib.Path('local-run'),
        help='directory for the report, configuration and logs',
    )
    parser.add_argument(
        '--keep', action='store_true', help='leave running until Ctrl-C'
    )
    return parser.parse_args()


def _progress_logger() -> Callable[[str], None]:
    start_s = time.monotonic()

    def _log_progress(line: str) -> None:
        elapsed_s = time.monotonic() - start_s
        sys.stderr.write(f'[{elapsed_s:5.1f} s] {line}\n')

    return _log_progress


if __name__ == '__main__':
    main()
