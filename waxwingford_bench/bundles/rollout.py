"""Measures the rollout of bundles in one process, over an in-process log.

``python -m waxwingford_bench.bundles.rollout`` prints one JSON line for each
measurement: time from append to in force by reader count, the same from one
peer while the log is away, and processor time and bytes of a change by the
size of the bundle.  All readers share one process and one event loop, so the
times are those of many daemons on one core, an upper bound for one.
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
    RESTATE_CHANGES,
    Body,
    BundleChain,
    FromLog,
    body_of,
    canonical_bytes,
)
from waxwingford_bench.bundles.fleet import Fleet, HeldLog
from waxwingford_bench.bundles.rows import Cost, Figures, StartCost
from waxwingford_bench.bundles.versions import (
    TRUST,
    make_first,
    make_next,
    make_payload,
)

_MS_IN_S = 1000
_CHANGES_A_DAY = 6900
_DAY_MS = 86_400_000
_TEAMS = (10, 100, 680)
_READERS = (8, 144)
#: Just after a restatement, and just before the next is due.
_STREAM_CHANGES = (322, 382)
#: Pauses between changes, in seconds; beside peers long enough for the pauses
#: between their questions to be longest.
_LOG_PAUSE_S = 0.05
_PEER_PAUSE_S = 10


async def measure_rollout(count: int, teams: int, changes: int) -> Figures:
    """Time from append to in force, all readers reading the log.

    :param count: readers.
    :param teams: teams in the bundle.
    :param changes: changes to make, one after the other.
    :returns: figures.
    """
    waits = await _wait_for_all(Fleet(count), teams, changes, _LOG_PAUSE_S)
    return _figures('append to in force', count, teams, changes, waits)


async def measure_from_peer(count: int, teams: int, changes: int) -> Figures:
    """Time until all have what one peer has, with the log away for the rest.

    :param count: readers.
    :param teams: teams in the bundle.
    :param changes: changes to make, one after the other.
    :returns: figures.
    """
    fleet = Fleet(count)
    waits = await _wait_for_all(
        fleet, teams, changes, _PEER_PAUSE_S, fleet.logs[1:]
    )
    return _figures('one peer to all', count, teams, changes, waits)


async def _wait_for_all(
    fleet: Fleet,
    teams: int,
    changes: int,
    pause_s: float,
    away: Sequence[HeldLog] = (),
) -> list[float]:
    """Make changes and time until each reader has them in force.

    :param fleet: readers, each with its way to the log.
    :param teams: teams in the bundle.
    :param changes: changes to make, one after the other.
    :param pause_s: before each change, in seconds.
    :param away: ways to the log that are cut once the first bundle is known.
    :returns: milliseconds of each reader and change.
    """
    bundle = make_first(teams)
    await fleet.logs[0].append(CONFIG_STREAM, make_payload(bundle, {}))
    waits: list[float] = []
    async with asyncio.TaskGroup() as group:
        tasks = [group.create_task(one.run()) for one in fleet.readers]
        await fleet.until(1)
        for log in away:
            log.away = True
        for _ in range(changes):
            before, bundle = bundle, make_next(bundle)
            payload = make_payload(bundle, body_of(before))
            await asyncio.sleep(pause_s)
            started = time.perf_counter()
            await fleet.logs[0].append(CONFIG_STREAM, payload)
            times = await fleet.until(bundle.version)
            waits += [(at - started) * _MS_IN_S for at in times]
        _cancel(tasks)
    return waits


def measure_cost(teams: int, changes: int) -> Cost:
    """Processor time and bytes of a change in one daemon.

    :param teams: teams in the bundle.
    :param changes: changes to take the mean of.
    :returns: figures.
    """
    bundle = make_first(teams)
    chain = BundleChain(TRUST)
    chain.offer_payload(make_payload(bundle, {}), FromLog(0))
    payloads = []
    for _ in range(changes):
        before, bundle = bundle, make_next(bundle)
        payloads.append(make_payload(bundle, body_of(before)))
    started = time.process_time()
    for offset, payload in enumerate(payloads, 1):
        chain.offer_payload(payload, FromLog(offset))
    spent_ms = (time.process_time() - started) * _MS_IN_S / changes
    if chain.version != changes + 1:
        raise ValueError(f'only version {chain.version} took force')
    return Cost(
        'change',
        teams,
        len(canonical_bytes(body_of(bundle))),
        len(payloads[-1]),
        len(chain.whole_record(changes)),
        round(spent_ms, 3),
        round(spent_ms * _CHANGES_A_DAY / _DAY_MS, 7),
    )


async def measure_start(teams: int, changes: int) -> StartCost:
    """Bytes and processor time until an empty VM has its bundle.

    :param teams: teams in the bundle.
    :param changes: changes in the stream, restated as daemons do.
    :returns: figures.
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
        if not bundle.version % RESTATE_CHANGES:
            offset = next(offsets)
            payload = chain.whole_record(offset)
            fleet.core.append(CONFIG_STREAM, payload, offset * _MS_IN_S)
        before, bundle = body_of(bundle), make_next(bundle)
    started = time.process_time()
    await fleet.readers[0].step()
    spent_ms = (time.process_time() - started) * _MS_IN_S
    if changes not in fleet.at_by_version:
        raise ValueError(f'only {list(fleet.at_by_version)} took force')
    read_bytes = fleet.logs[0].read_bytes
    return StartCost('start', teams, changes, read_bytes, round(spent_ms, 1))


def _cancel(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()


def _figures(
    name: str, count: int, teams: int, changes: int, waits: list[float]
) -> Figures:
    return Figures(
        name,
        count,
        teams,
        changes,
        round(statistics.median(waits), 1),
        round(max(waits), 1),
    )


def main() -> None:
    """Run all measurements."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--changes', type=int, default=20)
    parser.add_argument('--outages', type=int, default=3)
    options = parser.parse_args()
    for teams in _TEAMS:
        _print(measure_cost(teams, options.changes * 10))
    for changes in _STREAM_CHANGES:
        _print(asyncio.run(measure_start(_TEAMS[-1], changes)))
    for count in _READERS:
        _print(asyncio.run(measure_rollout(count, 680, options.changes)))
    for count in _READERS:
        _print(asyncio.run(measure_from_peer(count, 680, options.outages)))


def _print(figures: Figures | Cost | StartCost) -> None:
    line = msgspec.json.encode(figures._asdict()).decode()
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    main()
