"""Starts a whole deployment on this machine, loads it and reports.

Stops everything that it started, by process id, also after Ctrl-C, SIGTERM
or an error.
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
from waxwingford_standins.trial import Trial, write_results

_DEPLOYMENTS = pathlib.Path(__file__).resolve().parent.parent / 'deployments'
_DEFAULT_SECONDS = 25
_FINDINGS = 1
_NOT_STARTED = 3
_INTERRUPTED = 130


def main() -> None:
    """Run the launcher."""
    options = _arguments()
    source = options.deployments / options.deployment
    deployment = load_deployment(source / 'deployment.toml')
    if isinstance(deployment, tuple):
        sys.exit('\n'.join(str(problem) for problem in deployment))
    bundle = open_bundle(source / 'bundle.toml')
    if isinstance(bundle, str):
        sys.exit(bundle)
    say = _progress()
    local_run = LocalRun(deployment, bundle, options.output, say)
    sys.exit(asyncio.run(_run(local_run, options, say)))


async def _run(
    local_run: LocalRun,
    options: argparse.Namespace,
    say: Callable[[str], None],
) -> int:
    """Run until the end or a signal, and stop everything in any case.

    :param local_run: what to start.
    :param options: command line.
    :param say: takes progress lines.
    :returns: exit code.
    """
    work = asyncio.ensure_future(_start_and_load(local_run, options, say))
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, work.cancel)
    try:
        return await work
    except asyncio.CancelledError:
        say('interrupted')
        return _INTERRUPTED
    finally:
        killed = await local_run.stop()
        say(f'stopped; killed after the cap: {", ".join(killed) or "none"}')


async def _start_and_load(
    local_run: LocalRun,
    options: argparse.Namespace,
    say: Callable[[str], None],
) -> int:
    started = await local_run.start()
    if isinstance(started, StartFailed):
        say(f'not started: {started.reason}')
        return _NOT_STARTED
    say(f'all ready; load of {options.seconds} s begins')
    trial = Trial(local_run)
    await trial.load(options.seconds)
    say(f'load ended after {len(trial.callers.calls)} requests')
    report = await trial.report(options.seconds)
    sys.stdout.write(await write_results(local_run, report, options.output))
    if options.keep:
        for daemon in local_run.layout.daemons:
            say(f'{daemon.daemon_id} serves at {daemon.url}')
        say('running until Ctrl-C')
        await asyncio.Event().wait()
    return _FINDINGS if report.findings else 0


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
        default=_DEFAULT_SECONDS,
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


def _progress() -> Callable[[str], None]:
    start_s = time.monotonic()

    def _say(line: str) -> None:
        elapsed_s = time.monotonic() - start_s
        sys.stderr.write(f'[{elapsed_s:5.1f} s] {line}\n')

    return _say


if __name__ == '__main__':
    main()
