"""Cost of the request path, with its baselines in the same run.

* Processor time of a routing decision at several numbers of servers, against
  a full scan for the least loaded one and against a random choice.
* Processor time and latency of a request through a daemon's HTTP entry, and
  through a peer, against going to the backend server directly.  All ends are
  in this process, so that differences are what the daemon adds.

Run it with nothing else running::

    python -m waxwingford_bench.routing.cost
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
from waxwingford.routing import HeldServer, SlotTable
from waxwingford_bench.routing.site import Address, BenchSite

_SERVERS = (24, 720, 13_000)
_SLOTS = 8
_BUSY_SHARE = 0.5
_DECISIONS = 20_000
_SCANS = 2_000_000
_US_IN_S = 1_000_000
_LEASE_MS = 1_000_000_000
_PAST_SLOW_START_MS = 10_000
_SEED = 11
_BODY = bytes(200)


class Cost(NamedTuple):
    """What one request costs.

    :ivar processor_us: processor time of all ends, in microseconds.
    :ivar p50_us: median latency, in microseconds.
    :ivar p99_us: 99th percentile of latency, in microseconds.
    """

    processor_us: float
    p50_us: int
    p99_us: int


def held_servers(count: int) -> Iterator[HeldServer]:
    """Make servers of one service.

    :param count: how many.
    :yields: servers with long leases.
    """
    for number in range(count):
        yield HeldServer(
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
    """Make a table whose slots are half in use.

    :param count: servers.
    :param rng: source of chance.
    :returns: the table.
    """
    table = SlotTable(rng)
    table.set_servers(held_servers(count), 0)
    for _ in range(int(count * _SLOTS * _BUSY_SHARE)):
        server_id = table.choose('dispatcher', _PAST_SLOW_START_MS)
        if server_id is not None:
            table.take(server_id, _PAST_SLOW_START_MS)
    return table


def choose_of_two(table: SlotTable, rng: random.Random) -> str | None:
    """Choose as the daemon does.

    :param table: slots.
    :param rng: unused here.
    :returns: server id.
    """
    return table.choose('dispatcher', _PAST_SLOW_START_MS)


def choose_by_scan(table: SlotTable, rng: random.Random) -> str | None:
    """Choose the least loaded server of all: the first baseline.

    :param table: slots.
    :param rng: unused here.
    :returns: server id.
    """
    best = min(
        (
            state
            for state in table.state_by_server.values()
            if state.choosable(_PAST_SLOW_START_MS)
        ),
        key=lambda state: state.expected_ms(),
        default=None,
    )
    return best.held.server_id if best else None


def random_chooser(
    table: SlotTable,
) -> Callable[[SlotTable, random.Random], str | None]:
    """Make a random choice among all servers: the second baseline.

    :param table: slots.
    :returns: chooser that draws until it finds room.
    """
    names = list(table.state_by_server)

    def _choose(slots: SlotTable, rng: random.Random) -> str | None:
        while True:
            name = names[int(rng.random() * len(names))]
            if slots.state_by_server[name].choosable(_PAST_SLOW_START_MS):
                return name

    return _choose


def decision_us(
    table: SlotTable,
    choose: Callable[[SlotTable, random.Random], str | None],
    rounds: int,
) -> float:
    """Measure choice, taking and giving back of a slot.

    :param table: slots.
    :param choose: how a server is chosen.
    :param rounds: how often.
    :returns: processor time of one, in microseconds.
    """
    rng = random.Random(_SEED)
    began_s = time.process_time()
    for _ in range(rounds):
        server_id = choose(table, rng)
        slot = server_id and table.take(server_id, _PAST_SLOW_START_MS)
        if slot:
            table.answered(slot, _PAST_SLOW_START_MS + 10)
    return (time.process_time() - began_s) / rounds * _US_IN_S


def decision_lines() -> Iterator[str]:
    """Measure decisions at all sizes.

    :yields: lines of the table.
    """
    yield 'servers  two_us  scan_us  random_us  scan/two  two/random'
    for count in _SERVERS:
        table = half_busy_table(count, random.Random(_SEED))
        two_us = decision_us(table, choose_of_two, _DECISIONS)
        scans = max(20, _SCANS // (10 * count))
        scan_us = decision_us(table, choose_by_scan, scans)
        random_us = decision_us(table, random_chooser(table), _DECISIONS)
        yield (
            f'{count:7d} {two_us:7.2f} {scan_us:8.1f} {random_us:10.2f}'
            f' {scan_us / two_us:9.1f} {two_us / random_us:11.2f}'
        )


async def request_cost(
    address: Address, requests: int, concurrency: int
) -> Cost:
    """Measure requests to an address.

    :param address: URL and headers.
    :param requests: how many in all.
    :param concurrency: how many at once.
    :returns: cost of one.
    """
    histogram = HdrHistogram(1, 60 * _US_IN_S, 3)
    connector = TCPConnector(limit=concurrency)
    async with ClientSession(connector=connector) as session:
        ask = _asker(session, address, histogram)
        await _repeat(ask, 20 * concurrency, concurrency)
        histogram.reset()
        began_s = time.process_time()
        await _repeat(ask, requests, concurrency)
        used_s = time.process_time() - began_s
    return Cost(
        used_s / requests * _US_IN_S,
        histogram.get_value_at_percentile(50),
        histogram.get_value_at_percentile(99),
    )


def _asker(
    session: ClientSession, address: Address, histogram: HdrHistogram
) -> Callable[[], Awaitable[None]]:
    async def _ask() -> None:
        began_ns = time.monotonic_ns()
        async with session.post(
            address.url, data=_BODY, headers=address.headers
        ) as response:
            body = await response.read()
        if response.status != 200 or body != _BODY:
            raise RuntimeError(f'{response.status}: {body[:200]!r}')
        histogram.record_value((time.monotonic_ns() - began_ns) // 1000)

    return _ask


async def _repeat(
    ask: Callable[[], Awaitable[None]], requests: int, concurrency: int
) -> None:
    async def _ask_in_turn() -> None:
        for _ in range(requests // concurrency):
            await ask()

    await asyncio.gather(*(_ask_in_turn() for _ in range(concurrency)))


async def request_lines(requests: int) -> list[str]:
    """Measure requests on all ways.

    :param requests: how many on each way.
    :returns: lines of the table.
    """
    lines = ['way      at_once  processor_us  p50_us  p99_us  added_us  ratio']
    site = BenchSite(SystemClock())
    await site.start()
    for concurrency in (1, 16):
        base_us: float = 0
        for way, address in site.addresses().items():
            cost = await request_cost(address, requests, concurrency)
            base_us = base_us or cost.processor_us
            lines.append(
                f'{way:8s} {concurrency:7d} {cost.processor_us:13.0f}'
                f' {cost.p50_us:7d} {cost.p99_us:7d}'
                f' {cost.processor_us - base_us:9.0f}'
                f' {cost.processor_us / base_us:6.2f}'
            )
    await site.stop()
    return lines


def main(argv: Sequence[str] | None = None) -> None:
    """Measure and print.

    :param argv: arguments, those of the process by default.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--requests', type=int, default=4000)
    options = parser.parse_args(argv)
    lines = [*decision_lines(), *asyncio.run(request_lines(options.requests))]
    sys.stdout.write(''.join(f'{line}\n' for line in lines))


if __name__ == '__main__':
    main()
