"""Benchmark of routing decisions and of requests through a daemon.

Run ``python -m waxwingford_bench.routing.cost`` on an otherwise idle machine.
"""

import argparse
import asyncio
import random
import sys
import time
from collections.abc import Awaitable, Callable, Iterator, Sequence
from typing import NamedTuple

from aiohttp import ClientSession, TCPConnector
from hdrh.histogram import HdrHistogram

from waxwingford.kernel import SystemClock
from waxwingford.routing import LeasedServer, SlotTable
from waxwingford_bench.routing.site import Address, BenchSite

_SERVERS = (24, 720, 13_000)
_SLOTS = 8
_BUSY_SHARE = 0.5
_DECISIONS = 20_000
_SCAN_WORK = 2_000_000
_US_IN_S = 1_000_000
_LEASE_MS = 1_000_000_000
_AFTER_SLOW_START_MS = 10_000
_SEED = 11
_BODY = bytes(200)


class Cost(NamedTuple):
    """Cost of one request.

    :ivar processor_us: processor time of client, daemons and backend server,
        in microseconds.
    :ivar p50_us: median latency, in microseconds.
    :ivar p99_us: 99th percentile of latency, in microseconds.
    """

    processor_us: float
    p50_us: int
    p99_us: int


def held_servers(count: int) -> Iterator[LeasedServer]:
    """Create servers of one service.

    :param count: number of servers.
    :yields: servers with unexpired leases.
    """
    for number in range(count):
        yield LeasedServer(
            server_id=f'server-{number}',
            rack=f'rack-{number // 6}',
            service='dispatcher',
            host='127.0.0.1',
            port=1,
            slots=_SLOTS,
            connections=64,
            predicted_ms=10.0 + number % 7,
            leaving=False,
            lease_until_ms=_LEASE_MS,
            boot_id='boot',
        )


def half_busy_table(count: int, rng: random.Random) -> SlotTable:
    """Create a slot table with half of its slots in use.

    :param count: number of servers.
    :param rng: random generator of the table.
    :returns: the table.
    """
    table = SlotTable(rng)
    table.set_servers(held_servers(count), 0)
    for _ in range(int(count * _SLOTS * _BUSY_SHARE)):
        server_id = table.choose('dispatcher', _AFTER_SLOW_START_MS)
        if server_id is not None:
            table.take(server_id, _AFTER_SLOW_START_MS)
    return table


def choose_power_of_two(table: SlotTable, rng: random.Random) -> str | None:
    """Choose a server by the power of two choices, as the daemon does.

    :param table: slot table.
    :param rng: unused.
    :returns: server id, or None if no server is available.
    """
    return table.choose('dispatcher', _AFTER_SLOW_START_MS)


def choose_by_scan(table: SlotTable, rng: random.Random) -> str | None:
    """Choose the least loaded server by a full scan, as a baseline.

    :param table: slot table.
    :param rng: unused.
    :returns: server id, or None if no server is available.
    """
    best = min(
        (
            state
            for state in table.state_by_server.values()
            if state.is_available(_AFTER_SLOW_START_MS)
        ),
        key=lambda state: state.expected_ms(),
        default=None,
    )
    return best.held.server_id if best else None


def random_chooser(
    table: SlotTable,
) -> Callable[[SlotTable, random.Random], str | None]:
    """Create a function that chooses a server at random, as a baseline.

    :param table: slot table.
    :returns: function that draws servers until one is available.
    """
    names = list(table.state_by_server)

    def _choose(slots: SlotTable, rng: random.Random) -> str | None:
        while True:
            name = names[int(rng.random() * len(names))]
            if slots.state_by_server[name].is_available(_AFTER_SLOW_START_MS):
                return name

    return _choose


def measure_decision(
    table: SlotTable,
    choose: Callable[[SlotTable, random.Random], str | None],
    rounds: int,
) -> float:
    """Measure choosing a server, taking a slot and releasing it.

    :param table: slot table.
    :param choose: function that chooses a server.
    :param rounds: number of repetitions.
    :returns: processor time per repetition, in microseconds.
    """
    rng = random.Random(_SEED)
    began_s = time.process_time()
    for _ in range(rounds):
        server_id = choose(table, rng)
        slot = server_id and table.take(server_id, _AFTER_SLOW_START_MS)
        if slot:
            table.answered(slot, _AFTER_SLOW_START_MS + 10)
    return (time.process_time() - began_s) / rounds * _US_IN_S


def measure_decisions() -> Iterator[str]:
    """Measure routing decisions for each number of servers.

    :yields: lines of the output table.
    """
    yield 'servers  two_us  scan_us  random_us  scan/two  two/random'
    for count in _SERVERS:
        table = half_busy_table(count, random.Random(_SEED))
        two_us = measure_decision(table, choose_power_of_two, _DECISIONS)
        scan_rounds = max(20, _SCAN_WORK // (10 * count))
        scan_us = measure_decision(table, choose_by_scan, scan_rounds)
        random_us = measure_decision(table, random_chooser(table), _DECISIONS)
        yield (
            f'{count:7d} {two_us:7.2f} {scan_us:8.1f} {random_us:10.2f}'
            f' {scan_us / two_us:9.1f} {two_us / random_us:11.2f}'
        )


async def measure_requests(
    address: Address, requests: int, concurrency: int
) -> Cost:
    """Measure requests to an address.

    :param address: URL and headers.
    :param requests: total number of requests.
    :param concurrency: number of concurrent requests.
    :returns: cost of one request.
    :raises RuntimeError: if a response is not the expected one.
    """
    histogram = HdrHistogram(1, 60 * _US_IN_S, 3)
    connector = TCPConnector(limit=concurrency)
    async with ClientSession(connector=connector) as session:
        send_request = _make_sender(session, address, histogram)
        await _repeat(send_request, 20 * concurrency, concurrency)
        histogram.reset()
        began_s = time.process_time()
        await _repeat(send_request, requests, concurrency)
        used_s = time.process_time() - began_s
    return Cost(
        used_s / requests * _US_IN_S,
        histogram.get_value_at_percentile(50),
        histogram.get_value_at_percentile(99),
    )


def _make_sender(
    session: ClientSession, address: Address, histogram: HdrHistogram
) -> Callable[[], Awaitable[None]]:
    async def _send_request() -> None:
        began_ns = time.monotonic_ns()
        async with session.post(
            address.url, data=_BODY, headers=address.headers
        ) as response:
            body = await response.read()
        if response.status != 200 or body != _BODY:
            raise RuntimeError(f'{response.status}: {body[:200]!r}')
        histogram.record_value((time.monotonic_ns() - began_ns) // 1000)

    return _send_request


async def _repeat(
    send_request: Callable[[], Awaitable[None]], requests: int, concurrency: int
) -> None:
    async def _send_in_sequence() -> None:
        for _ in range(requests // concurrency):
            await send_request()

    await asyncio.gather(*(_send_in_sequence() for _ in range(concurrency)))


async def measure_routes(requests: int) -> list[str]:
    """Measure requests on all routes.

    :param requests: number of requests on each route.
    :returns: lines of the output table.
    """
    lines = ['way      at_once  processor_us  p50_us  p99_us  added_us  ratio']
    site = BenchSite(SystemClock())
    await site.start()
    for concurrency in (1, 16):
        base_us: float = 0
        for route, address in site.addresses().items():
            cost = await measure_requests(address, requests, concurrency)
            base_us = base_us or cost.processor_us
            lines.append(
                f'{route:8s} {concurrency:7d} {cost.processor_us:13.0f}'
                f' {cost.p50_us:7d} {cost.p99_us:7d}'
                f' {cost.processor_us - base_us:9.0f}'
                f' {cost.processor_us / base_us:6.2f}'
            )
    await site.stop()
    return lines


def main(argv: Sequence[str] | None = None) -> None:
    """Run the benchmark and print its tables.

    :param argv: command-line arguments; those of the process by default.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--requests', type=int, default=4000)
    options = parser.parse_args(argv)
    lines = [
        *measure_decisions(),
        *asyncio.run(measure_routes(options.requests)),
    ]
    sys.stdout.write(''.join(f'{line}\n' for line in lines))


if __name__ == '__main__':
    main()
