"""End-to-end cases of control: bundle publication and daemon starts."""

import asyncio
import itertools
import signal

from waxwingford.bundles import (
    Bundle,
    Published,
    bundle_body,
    canonical_bytes,
    compute_digest,
)
from waxwingford_bench.whole_path.fleet import OK, Fleet
from waxwingford_bench.whole_path.rows import (
    MeasurementFailed,
    Row,
    now_ms,
    wait_until,
)
from waxwingford_standins.layout import DaemonPlace

_PUBLICATIONS = 20
_IN_FORCE_TIMEOUT_S = 30
_STARTS = 12
_READY_TIMEOUT_S = 30


async def bundle(fleet: Fleet) -> list[Row]:
    """Publish bundles while all daemons can reach the log.

    :param fleet: settled fleet.
    :returns: rows of the table.
    """
    return await _measure_publications(fleet, 'bundle')


async def bundle_from_peer(fleet: Fleet) -> list[Row]:
    """Publish bundles while only one failure domain can reach the log.

    :param fleet: settled fleet.
    :returns: rows of the table.
    """
    await fleet.run.switches.cut_log_off(*fleet.domain_names()[1:])
    return await _measure_publications(
        fleet, 'bundle, 6 of 8 daemons without the log'
    )


async def empty_start(fleet: Fleet) -> list[Row]:
    """Restart daemons with empty state.

    :param fleet: settled fleet.
    :returns: rows of the table.
    """
    daemons = itertools.islice(itertools.cycle(fleet.daemons), _STARTS)
    times = [await _measure_start(fleet, daemon) for daemon in daemons]
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


async def _measure_publications(fleet: Fleet, case: str) -> list[Row]:
    current = fleet.bundle
    since_call_ms, since_return_ms = [], []
    for _ in range(_PUBLICATIONS):
        current = _next_version(current)
        called_ms = now_ms()
        in_force = asyncio.gather(
            *(
                _in_force(fleet, daemon, current.version)
                for daemon in fleet.daemons
            )
        )
        outcome = await fleet.run.publish(current)
        returned_ms = now_ms()
        if not isinstance(outcome, Published):
            in_force.cancel()
            raise MeasurementFailed(str(outcome))
        latest_ms = max(await in_force)
        since_call_ms.append(latest_ms - called_ms)
        since_return_ms.append(max(latest_ms - returned_ms, 0))
    return [
        Row(
            case,
            fleet.leases,
            'publish acknowledged to in force in all 8, ms',
            since_return_ms,
        ),
        Row(
            case,
            fleet.leases,
            'publish called to in force in all 8, ms',
            since_call_ms,
        ),
    ]


def _next_version(current: Bundle) -> Bundle:
    digest = compute_digest(canonical_bytes(bundle_body(current)))
    predecessor = digest if isinstance(digest, str) else digest.hex()
    return current.model_copy(
        update={'version': current.version + 1, 'predecessor': predecessor}
    )


async def _in_force(fleet: Fleet, daemon: DaemonPlace, version: int) -> float:
    async def _has() -> bool:
        status = await fleet.status(daemon)
        return bool(status) and status['bundle']['version'] >= version

    await wait_until(_has, _IN_FORCE_TIMEOUT_S)
    return now_ms()


async def _measure_start(
    fleet: Fleet, daemon: DaemonPlace
) -> tuple[float, float]:
    process = fleet.run.processes.process_by_name[daemon.daemon_id]
    fleet.run.processes.send(daemon.daemon_id, signal.SIGTERM)
    await process.wait()
    started_ms = now_ms()
    await fleet.run.start_daemon(daemon.daemon_id)

    async def _ready() -> bool:
        code, _ = await fleet.run.switches.get(f'{daemon.url}/readyz')
        return code == OK

    await wait_until(_ready, _READY_TIMEOUT_S)
    ready_ms = now_ms() - started_ms
    listens_ms = next(
        event.monotonic_ms - started_ms
        for event in await fleet.events([daemon])
        if event.kind == 'daemon.started'
    )
    await fleet.wait_until_settled()
    return ready_ms, listens_ms
