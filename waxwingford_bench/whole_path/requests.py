"""Case of the whole path of a request: latency and processor time."""

import asyncio
import itertools
import time
from collections.abc import Awaitable, Callable, Iterator

from waxwingford.adapters import encode_json
from waxwingford_bench.process_cost import read_process
from waxwingford_bench.whole_path.fleet import OK, Fleet
from waxwingford_bench.whole_path.rows import NotReached, Row, now_ms
from waxwingford_standins.layout import DaemonPlace
from waxwingford_standins.server_service import ServiceEcho

_Call = Callable[[], Awaitable[float]]
_PAIRS = 300
_CALLS = 2000
_AT_ONCE = 8
_IDLE_S = 5
_DEADLINE_MS = 5000
_TRIES = 50
_REFUSED = 503
_REFUSED_S = 0.2
_BACKENDS = 'backends'


async def request_cost(fleet: Fleet) -> list[Row]:
    """Compare requests through a daemon with requests to its servers.

    :param fleet: idle, with a fixed time of the service.
    :returns: rows.
    """
    # One without servers hands every request to a peer: another path.
    await fleet.share()
    daemon = fleet.daemons[0]
    tokens = map(str, itertools.count(1))
    direct = _direct(fleet, daemon, tokens)
    through = _through(fleet, daemon, tokens)
    figures = await _latencies(direct, through)
    figures[f'refused and tried again, of {2 * _PAIRS}'] = [fleet.refused]
    fleet.refused = 0
    figures |= await _processor_figures(fleet, direct, through)
    figures[f'refused and tried again, of {2 * _CALLS}'] = [fleet.refused]
    return [
        Row('request', fleet.leases, what, samples)
        for what, samples in figures.items()
    ]


async def _latencies(direct: _Call, through: _Call) -> dict[str, list[float]]:
    """Call in turn, one at a time, and compare the sorted latencies.

    :param direct: makes one call past the daemons.
    :param through: makes one call through a daemon.
    :returns: samples by what they measure.
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


async def _processor_figures(
    fleet: Fleet, direct: _Call, through: _Call
) -> dict[str, list[float]]:
    idle = await _processor_ms(fleet, asyncio.sleep(_IDLE_S))
    idle_ms_per_s = {name: used / _IDLE_S for name, used in idle.items()}
    _, alone_ms = await _burst(fleet, direct, idle_ms_per_s)
    daemons_ms, servers_ms = await _burst(fleet, through, idle_ms_per_s)
    ratio = (daemons_ms + servers_ms) / alone_ms
    return {
        'processor of all daemons a request, ms': [daemons_ms],
        'processor of backend servers a routed request, ms': [servers_ms],
        'processor of backend servers a direct request, ms': [alone_ms],
        'processor, daemons and servers to servers alone': [ratio],
    }


def _direct(fleet: Fleet, daemon: DaemonPlace, tokens: Iterator[str]) -> _Call:
    """Prepare calls to the backend servers of a daemon's failure domain.

    :param fleet: settled.
    :param daemon: whose domain.
    :param tokens: unique texts.
    :returns: makes one call, and gives its latency in milliseconds.
    """
    service = fleet.run.deployment.service.name
    urls = itertools.cycle(
        f'http://{vm.host}:{vm.port}/services/{service}/check-in'
        for vm in fleet.run.layout.vms
        if vm.failure_domain == daemon.failure_domain
    )

    async def _one() -> float:
        token = next(tokens)
        headers = {
            'Waxwingford-Request-Id': token,
            'Waxwingford-Deadline-Ms': str(_DEADLINE_MS),
        }
        return await _timed(fleet, next(urls), token, headers)

    return _one


def _through(fleet: Fleet, daemon: DaemonPlace, tokens: Iterator[str]) -> _Call:
    """Prepare calls through a daemon.

    :param fleet: settled.
    :param daemon: which.
    :param tokens: unique texts.
    :returns: makes one call, and gives its latency in milliseconds.
    """
    service = fleet.run.deployment.service.name
    headers = {
        'Waxwingford-Member': 'qadri',
        'Waxwingford-Deadline-Ms': str(_DEADLINE_MS),
        'Waxwingford-Urgency': 'urgent',
        'Waxwingford-Idempotent': 'true',
    }

    async def _one() -> float:
        url = f'{daemon.url}/v1/services/{service}/check-in'
        return await _timed(fleet, url, next(tokens), headers)

    return _one


async def _timed(
    fleet: Fleet, url: str, token: str, headers: dict[str, str]
) -> float:
    """Make one call, again after each refusal, and time its last try.

    :param fleet: settled; its refusals are counted.
    :param url: where to.
    :param token: body.
    :param headers: of the call.
    :returns: latency of the try that was answered, in milliseconds.
    :raises NotReached: for another answer, or after many refusals.
    """
    body = encode_json(ServiceEcho(token=token, key=''))
    for _ in range(_TRIES):
        began_ms = now_ms()
        async with fleet.run.switches.client.post(
            url, data=body, headers=headers
        ) as answer:
            text = await answer.read()
        if answer.status == OK:
            return now_ms() - began_ms
        if answer.status != _REFUSED:
            break
        fleet.refused += 1
        await asyncio.sleep(_REFUSED_S)
    raise NotReached(f'{url}: {answer.status} {text[:200]!r}')


async def _burst(
    fleet: Fleet,
    call: _Call,
    idle_ms_per_s: dict[str, float],
) -> tuple[float, float]:
    """Make many calls, some at once, and read the processor time.

    :param fleet: settled.
    :param call: makes one call.
    :param idle_ms_per_s: of each process without calls.
    :returns: of all daemons and of the backend servers, ms a request.
    """

    async def _share() -> None:
        for _ in range(_CALLS // _AT_ONCE):
            await call()

    began_s = time.monotonic()
    used = await _processor_ms(
        fleet, asyncio.gather(*(_share() for _ in range(_AT_ONCE)))
    )
    elapsed_s = time.monotonic() - began_s
    extra = {
        name: used_ms - idle_ms_per_s[name] * elapsed_s
        for name, used_ms in used.items()
    }
    servers_ms = extra.pop(_BACKENDS)
    return sum(extra.values()) / _CALLS, servers_ms / _CALLS


async def _processor_ms(
    fleet: Fleet, work: Awaitable[object]
) -> dict[str, float]:
    names = [_BACKENDS, *(daemon.daemon_id for daemon in fleet.daemons)]
    before = {name: _used_ms(fleet, name) for name in names}
    await work
    return {name: _used_ms(fleet, name) - before[name] for name in names}


def _used_ms(fleet: Fleet, name: str) -> float:
    process = fleet.run.processes.process_by_name[name]
    return read_process(process.pid).processor_ms
