"""End-to-end case of requests: latency and processor time."""

import asyncio
import itertools
import time
from collections.abc import Awaitable, Callable, Iterator

from waxwingford.adapters import encode_json
from waxwingford_bench.process_cost import read_process
from waxwingford_bench.whole_path.fleet import OK, Fleet
from waxwingford_bench.whole_path.rows import MeasurementFailed, Row, now_ms
from waxwingford_standins.layout import DaemonPlace
from waxwingford_standins.server_service import ServiceEcho

_Call = Callable[[], Awaitable[float]]
_PAIRS = 300
_CALLS = 2000
_CONCURRENCY = 8
_IDLE_S = 5
_DEADLINE_MS = 5000
_MAX_ATTEMPTS = 50
_SERVICE_UNAVAILABLE = 503
_RETRY_DELAY_S = 0.2
_BACKENDS = 'backends'


async def request_cost(fleet: Fleet) -> list[Row]:
    """Compare routed requests with direct requests to the backend servers.

    :param fleet: idle fleet with a fixed response time of the service.
    :returns: rows of the table.
    """
    # A daemon without servers would forward every request to a peer.
    await fleet.wait_until_shared()
    daemon = fleet.daemons[0]
    tokens = map(str, itertools.count(1))
    direct = _direct_call(fleet, daemon, tokens)
    through = _routed_call(fleet, daemon, tokens)
    figures = await _latencies(direct, through)
    figures[f'refused and tried again, of {2 * _PAIRS}'] = [fleet.refusals]
    fleet.refusals = 0
    figures |= await _measure_cpu(fleet, direct, through)
    figures[f'refused and tried again, of {2 * _CALLS}'] = [fleet.refusals]
    return [
        Row('request', fleet.leases, what, samples)
        for what, samples in figures.items()
    ]


async def _latencies(direct: _Call, through: _Call) -> dict[str, list[float]]:
    """Alternate direct and routed calls and compare the sorted latencies.

    :param direct: makes one call to a backend server.
    :param through: makes one call through a daemon.
    :returns: samples by name of the measurement.
    """
    pairs = [(await direct(), await through()) for _ in range(_PAIRS)]
    straight = sorted(pair[0] for pair in pairs)
    routed = sorted(pair[1] for pair in pairs)
    ranks = tuple(zip(straight, routed, strict=True))
    return {
        'direct, one at a time, ms': straight,
        'through a daemon, one at a time, ms': routed,
        'added, by rank, ms': [after - before for before, after in ranks],
        'ratio, by rank': [after / before for before, after in ranks],
    }


async def _measure_cpu(
    fleet: Fleet, direct: _Call, through: _Call
) -> dict[str, list[float]]:
    idle = await _cpu_ms_during(fleet, asyncio.sleep(_IDLE_S))
    idle_ms_per_s = {name: used / _IDLE_S for name, used in idle.items()}
    _, alone_ms = await _cpu_ms_per_request(fleet, direct, idle_ms_per_s)
    daemons_ms, servers_ms = await _cpu_ms_per_request(
        fleet, through, idle_ms_per_s
    )
    ratio = (daemons_ms + servers_ms) / alone_ms
    return {
        'processor of all daemons a request, ms': [daemons_ms],
        'processor of backend servers a routed request, ms': [servers_ms],
        'processor of backend servers a direct request, ms': [alone_ms],
        'processor, daemons and servers to servers alone': [ratio],
    }


def _direct_call(
    fleet: Fleet, daemon: DaemonPlace, tokens: Iterator[str]
) -> _Call:
    """Create a function that calls the backend servers of a domain in turn.

    :param fleet: settled fleet.
    :param daemon: daemon in the failure domain of the servers.
    :param tokens: unique request bodies.
    :returns: makes one call and returns its latency in milliseconds.
    """
    service = fleet.run.deployment.service.name
    urls = itertools.cycle(
        f'http://{vm.host}:{vm.port}/services/{service}/check-in'
        for vm in fleet.run.layout.vms
        if vm.failure_domain == daemon.failure_domain
    )

    async def _call() -> float:
        token = next(tokens)
        headers = {
            'Waxwingford-Request-Id': token,
            'Waxwingford-Deadline-Ms': str(_DEADLINE_MS),
        }
        return await _time_call(fleet, next(urls), token, headers)

    return _call


def _routed_call(
    fleet: Fleet, daemon: DaemonPlace, tokens: Iterator[str]
) -> _Call:
    """Create a function that calls the service through a daemon.

    :param fleet: settled fleet.
    :param daemon: daemon that routes the calls.
    :param tokens: unique request bodies.
    :returns: makes one call and returns its latency in milliseconds.
    """
    service = fleet.run.deployment.service.name
    headers = {
        'Waxwingford-Member': 'qadri',
        'Waxwingford-Deadline-Ms': str(_DEADLINE_MS),
        'Waxwingford-Urgency': 'urgent',
        'Waxwingford-Idempotent': 'true',
    }

    async def _call() -> float:
        url = f'{daemon.url}/v1/services/{service}/check-in'
        return await _time_call(fleet, url, next(tokens), headers)

    return _call


async def _time_call(
    fleet: Fleet, url: str, token: str, headers: dict[str, str]
) -> float:
    """Make one call, retried after each refusal, and time its last attempt.

    :param fleet: settled fleet; its refusals are counted.
    :param url: URL to call.
    :param token: token in the body.
    :param headers: headers of the call.
    :returns: latency of the successful attempt, in milliseconds.
    :raises MeasurementFailed: if the call fails or is refused too often.
    """
    body = encode_json(ServiceEcho(token=token, key=''))
    for _ in range(_MAX_ATTEMPTS):
        started_ms = now_ms()
        async with fleet.run.switches.client.post(
            url, data=body, headers=headers
        ) as answer:
            text = await answer.read()
        if answer.status == OK:
            return now_ms() - started_ms
        if answer.status != _SERVICE_UNAVAILABLE:
            break
        fleet.refusals += 1
        await asyncio.sleep(_RETRY_DELAY_S)
    raise MeasurementFailed(f'{url}: {answer.status} {text[:200]!r}')


async def _cpu_ms_per_request(
    fleet: Fleet,
    call: _Call,
    idle_ms_per_s: dict[str, float],
) -> tuple[float, float]:
    """Make concurrent calls and measure the processor time per call.

    :param fleet: settled fleet.
    :param call: makes one call.
    :param idle_ms_per_s: processor time of each process when idle.
    :returns: processor time of all daemons and of the backend servers, in
        milliseconds per request.
    """

    async def _worker() -> None:
        for _ in range(_CALLS // _CONCURRENCY):
            await call()

    started_s = time.monotonic()
    used = await _cpu_ms_during(
        fleet, asyncio.gather(*(_worker() for _ in range(_CONCURRENCY)))
    )
    elapsed_s = time.monotonic() - started_s
    extra = {
        name: used_ms - idle_ms_per_s[name] * elapsed_s
        for name, used_ms in used.items()
    }
    servers_ms = extra.pop(_BACKENDS)
    return sum(extra.values()) / _CALLS, servers_ms / _CALLS


async def _cpu_ms_during(
    fleet: Fleet, work: Awaitable[object]
) -> dict[str, float]:
    names = [_BACKENDS, *(daemon.daemon_id for daemon in fleet.daemons)]
    before = {name: _cpu_ms(fleet, name) for name in names}
    await work
    return {name: _cpu_ms(fleet, name) - before[name] for name in names}


def _cpu_ms(fleet: Fleet, name: str) -> float:
    process = fleet.run.processes.process_by_name[name]
    return read_process(process.pid).cpu_ms
