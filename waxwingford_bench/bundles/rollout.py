"""Benchmark of bundle rollout in one process, with an in-process log.

``python -m waxwingford_bench.bundles.rollout`` prints one JSON line for each
measurement.  All readers share one event loop, so that latencies are upper
bounds.
"""

import argparse
import asyncio
import itertools
import statistics
import sys
import time
from collections.abc import Sequence

import msgspec

from waxwingford.bundles import (
    CONFIG_STREAM,
    MAX_CHANGES_BETWEEN_RESTATEMENTS,
    Body,
    BundleChain,
    FromLog,
    bundle_body,
    canonical_bytes,
)
from waxwingford_bench.bundles.fleet import Fleet, LongPollLog
from waxwingford_bench.bundles.rows import Cost, Figures, StartCost
from waxwingford_bench.bundles.versions import (
    TRUST,
    make_first,
    make_next,
    make_payload,
)

_MS_IN_S = 1000
_CHANGES_PER_DAY = 6900
_DAY_MS = 86_400_000
_TEAM_COUNTS = (10, 100, 680)
_READER_COUNTS = (8, 144)
#: Changes in the stream just after a whole record and just before the next.
_STREAM_CHANGE_COUNTS = (322, 382)
#: Pauses between changes; the one for peers lets their polling interval reach
#: its maximum.
_LOG_PAUSE_S = 0.05
_PEER_PAUSE_S = 10


async def measure_rollout(count: int, teams: int, changes: int) -> Figures:
    """Measure the time from append to in force, with all readers on the log.

    :param count: number of readers.
    :param teams: number of teams in the bundle.
    :param changes: number of consecutive changes.
    :returns: latency figures.
    """
    latencies_ms = await _measure_latencies(
        Fleet(count), teams, changes, _LOG_PAUSE_S
    )
    return _figures('append to in force', count, teams, changes, latencies_ms)


async def measure_from_peer(count: int, teams: int, changes: int) -> Figures:
    """Measure the rollout from one reader to its peers during a log outage.

    :param count: number of readers.
    :param teams: number of teams in the bundle.
    :param changes: number of consecutive changes.
    :returns: latency figures.
    """
    fleet = Fleet(count)
    latencies_ms = await _measure_latencies(
        fleet, teams, changes, _PEER_PAUSE_S, fleet.log_ports[1:]
    )
    return _figures('one peer to all', count, teams, changes, latencies_ms)


async def _measure_latencies(
    fleet: Fleet,
    teams: int,
    changes: int,
    pause_s: float,
    unavailable: Sequence[LongPollLog] = (),
) -> list[float]:
    """Measure the time until each change is in force in each reader.

    :param fleet: bundle readers.
    :param teams: number of teams in the bundle.
    :param changes: number of consecutive changes.
    :param pause_s: pause before each change, in seconds.
    :param unavailable: log ports that fail once the first bundle is in force.
    :returns: latency of each change in each reader, in milliseconds.
    """
    bundle = make_first(teams)
    await fleet.log_ports[0].append(CONFIG_STREAM, make_payload(bundle, {}))
    latencies_ms: list[float] = []
    async with asyncio.TaskGroup() as group:
        tasks = [group.create_task(one.run()) for one in fleet.readers]
        await fleet.wait_for_version(1)
        for log in unavailable:
            log.unavailable = True
        for _ in range(changes):
            before, bundle = bundle, make_next(bundle)
            payload = make_payload(bundle, bundle_body(before))
            await asyncio.sleep(pause_s)
            started = time.perf_counter()
            await fleet.log_ports[0].append(CONFIG_STREAM, payload)
            times = await fleet.wait_for_version(bundle.version)
            latencies_ms += [(at - started) * _MS_IN_S for at in times]
        _cancel_all(tasks)
    return latencies_ms


def measure_cost(teams: int, changes: int) -> Cost:
    """Measure processor time and size of a change in one daemon.

    :param teams: number of teams in the bundle.
    :param changes: number of changes to average over.
    :returns: mean processor time and sizes.
    :raises ValueError: if a change did not come into force.
    """
    bundle = make_first(teams)
    chain = BundleChain(TRUST)
    chain.offer_payload(make_payload(bundle, {}), FromLog(0))
    payloads = []
    for _ in range(changes):
        before, bundle = bundle, make_next(bundle)
        payloads.append(make_payload(bundle, bundle_body(before)))
    started = time.process_time()
    for offset, payload in enumerate(payloads, 1):
        chain.offer_payload(payload, FromLog(offset))
    processor_ms = (time.process_time() - started) * _MS_IN_S / changes
    if chain.version != changes + 1:
        raise ValueError(f'version {chain.version} is in force, not the newest')
    return Cost(
        'change',
        teams,
        len(canonical_bytes(bundle_body(bundle))),
        len(payloads[-1]),
        len(chain.whole_record(changes)),
        round(processor_ms, 3),
        round(processor_ms * _CHANGES_PER_DAY / _DAY_MS, 7),
    )


async def measure_start(teams: int, changes: int) -> StartCost:
    """Measure bytes read and processor time of a reader's first bundle.

    :param teams: number of teams in the bundle.
    :param changes: number of changes in the stream, with a whole record after
        every ``MAX_CHANGES_BETWEEN_RESTATEMENTS``.
    :returns: bytes read and processor time.
    :raises ValueError: if the newest version did not come into force.
    """
    fleet = Fleet(1)
    bundle = make_first(teams)
    chain = BundleChain(TRUST)
    before: Body = {}
    offsets = itertools.count()
    for _ in range(changes):
        offset = next(offsets)
        payload = make_payload(bundle, before)
        chain.offer_payload(payload, FromLog(offset))
        fleet.core.append(CONFIG_STREAM, payload, offset * _MS_IN_S)
        if not bundle.version % MAX_CHANGES_BETWEEN_RESTATEMENTS:
            offset = next(offsets)
            payload = chain.whole_record(offset)
            fleet.core.append(CONFIG_STREAM, payload, offset * _MS_IN_S)
        before, bundle = bundle_body(bundle), make_next(bundle)
    started = time.process_time()
    await fleet.readers[0].step()
    processor_ms = (time.process_time() - started) * _MS_IN_S
    if changes not in fleet.times_by_version:
        raise ValueError(
            f'versions {list(fleet.times_by_version)} came into force, '
            'not the newest'
        )
    read_bytes = fleet.log_ports[0].read_bytes
    return StartCost(
        'start', teams, changes, read_bytes, round(processor_ms, 1)
    )


def _cancel_all(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()


def _figures(
    name: str, count: int, teams: int, changes: int, latencies_ms: list[float]
) -> Figures:
    return Figures(
        name,
        count,
        teams,
        changes,
        round(statistics.median(latencies_ms), 1),
        round(max(latencies_ms), 1),
    )


def main() -> None:
    """Run all measurements and print one JSON line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--changes', type=int, default=20)
    parser.add_argument('--outages', type=int, default=3)
    options = parser.parse_args()
    for teams in _TEAM_COUNTS:
        _print_row(measure_cost(teams, options.changes * 10))
    for changes in _STREAM_CHANGE_COUNTS:
        _print_row(asyncio.run(measure_start(_TEAM_COUNTS[-1], changes)))
    for count in _READER_COUNTS:
        _print_row(asyncio.run(measure_rollout(count, 680, options.changes)))
    for count in _READER_COUNTS:
        _print_row(asyncio.run(measure_from_peer(count, 680, options.outages)))


def _print_row(figures: Figures | Cost | StartCost) -> None:
    line = msgspec.json.encode(figures._asdict()).decode()
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    main()
