"""Cases of control on the whole path: bundles and starts."""

import asyncio
import itertools
import signal

from waxwingford.bundles import (
    Bundle,
    Published,
    body_of,
    canonical_bytes,
    digest_of,
)
from waxwingford_bench.whole_path.fleet import OK, Fleet
from waxwingford_bench.whole_path.rows import NotReached, Row, now_ms, until
from waxwingford_standins.layout import DaemonPlace

_VERSIONS = 20
_IN_FORCE_S = 30
_STARTS = 12
_READY_S = 30


async def bundle(fleet: Fleet) -> list[Row]:
    """Publish bundles while every daemon reaches the log.

    :param fleet: settled.
    :returns: rows.
    """
    return await _versions(fleet, 'bundle')


async def bundle_from_peer(fleet: Fleet) -> list[Row]:
    """Publish bundles while one failure domain reaches the log.

    :param fleet: settled.
    :returns: rows.
    """
    await fleet.run.switches.cut_log_off(*fleet.domains()[1:])
    return await _versions(fleet, 'bundle, 6 of 8 daemons without the log')


async def empty_start(fleet: Fleet) -> list[Row]:
    """Start daemons that know nothing.

    :param fleet: settled.
    :returns: rows.
    """
    daemons = itertools.islice(itertools.cycle(fleet.daemons), _STARTS)
    times = [await _start(fleet, daemon) for daemon in daemons]
    return [
        Row(
            'empty start',
            fleet.leases,
            'process started to ready, ms',
            [ready_ms for ready_ms, _ in times],
        ),
        Row(
            'empty start',
            fleet.leases,
            '- of it, until it listens (daemon.started), ms',
            [listens_ms for _, listens_ms in times],
        ),
    ]


async def _versions(fleet: Fleet, case: str) -> list[Row]:
    current = fleet.bundle
    from_call, from_return = [], []
    for _ in range(_VERSIONS):
        current = _next_version(current)
        called_ms = now_ms()
        seen = asyncio.gather(
            *(
                _in_force(fleet, daemon, current.version)
                for daemon in fleet.daemons
            )
        )
        outcome = await fleet.run.publish(current)
        returned_ms = now_ms()
        if not isinstance(outcome, Published):
            seen.cancel()
            raise NotReached(str(outcome))
        latest_ms = max(await seen)
        from_call.append(latest_ms - called_ms)
        from_return.append(max(latest_ms - returned_ms, 0))
    return [
        Row(
            case,
            fleet.leases,
            'publish acknowledged to in force in all 8, ms',
            from_return,
        ),
        Row(
            case,
            fleet.leases,
            'publish called to in force in all 8, ms',
            from_call,
        ),
    ]


def _next_version(current: Bundle) -> Bundle:
    digest = digest_of(canonical_bytes(body_of(current)))
    predecessor = digest if isinstance(digest, str) else digest.hex()
    return current.model_copy(
        update={'version': current.version + 1, 'predecessor': predecessor}
    )


async def _in_force(fleet: Fleet, daemon: DaemonPlace, version: int) -> float:
    async def _has() -> bool:
        status = await fleet.status(daemon)
        return bool(status) and status['bundle']['version'] >= version

    await until(_has, _IN_FORCE_S)
    return now_ms()


async def _start(fleet: Fleet, daemon: DaemonPlace) -> tuple[float, float]:
    process = fleet.run.processes.process_by_name[daemon.daemon_id]
    fleet.run.processes.send(daemon.daemon_id, signal.SIGTERM)
    await process.wait()
    began_ms = now_ms()
    await fleet.run.start_daemon(daemon.daemon_id)

    async def _ready() -> bool:
        code, _ = await fleet.run.switches.get(f'{daemon.url}/readyz')
        return code == OK

    await until(_ready, _READY_S)
    ready_ms = now_ms() - began_ms
    listens_ms = next(
        event.monotonic_ms - began_ms
        for event in await fleet.events([daemon])
        if event.kind == 'daemon.started'
    )
    await fleet.settle()
    return ready_ms, listens_ms
