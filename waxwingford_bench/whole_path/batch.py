"""Cases of batch work on the whole path: urgent starts, lost daemons."""

import asyncio
import itertools
import signal
from typing import NamedTuple

from waxwingford.ports import Resources
from waxwingford_bench.whole_path.fleet import Fleet
from waxwingford_bench.whole_path.rows import NotReached, Row, now_ms, until
from waxwingford_standins.layout import DaemonPlace
from waxwingford_standins.server_tasks import Work

_URGENT = 100
_URGENT_WORK = Work(200)
_REPETITIONS = 12
_STARTED_S = 30
#: Runs for the whole measurement.
_LONG = Work(3_600_000)
_SHORT = Work(3000)
_WIDE = Resources(4000, 8000)
_FILL_S = 8
_BESIDE_TASKS = 120
_DEATHS = 10
_TAKEN_OVER_S = 60


class Steps(NamedTuple):
    """Times of one urgent start since it was sent, in milliseconds."""

    accepted: float
    claimed: float
    server_started: float
    noted: float


async def urgent_idle(fleet: Fleet) -> list[Row]:
    """Start urgent tasks on an idle fleet.

    :param fleet: idle.
    :returns: rows.
    """
    return await _urgent(fleet, 'urgent start, idle')


async def urgent_shared(fleet: Fleet) -> list[Row]:
    """Start urgent tasks once every daemon holds servers.

    A task waits for its first daemon even while that one holds none; against
    the case before, this shows what that costs.

    :param fleet: idle.
    :returns: rows.
    """
    await fleet.share()
    return await _urgent(fleet, 'urgent start, idle, all daemons hold servers')


async def urgent_beside(fleet: Fleet) -> list[Row]:
    """Start urgent tasks while short batch runs and waits.

    :param fleet: idle.
    :returns: rows.
    """
    return await _urgent_with(fleet, 'urgent start, short batch beside', _SHORT)


async def urgent_long(fleet: Fleet) -> list[Row]:
    """Start urgent tasks while long batch runs and waits.

    :param fleet: idle.
    :returns: rows.
    """
    return await _urgent_with(fleet, 'urgent start, long batch beside', _LONG)


async def death(fleet: Fleet) -> list[Row]:
    """Kill daemons.

    :param fleet: idle.
    :returns: rows.
    """
    return await _losses(fleet, 'daemon killed', signal.SIGKILL)


async def planned_stop(fleet: Fleet) -> list[Row]:
    """Stop daemons as planned.

    :param fleet: idle.
    :returns: rows.
    """
    return await _losses(fleet, 'planned stop', signal.SIGTERM)


async def _urgent_with(fleet: Fleet, case: str, work: Work) -> list[Row]:
    before = await _fill(fleet, work)
    rows = await _urgent(fleet, case)
    after = await _beside(fleet)
    what = 'attempts running beside in a failure domain, before and after'
    return [Row(case, fleet.leases, what, before + after), *rows]


async def _fill(fleet: Fleet, work: Work) -> list[float]:
    """Submit more batch to every failure domain than may run at once.

    :param fleet: idle.
    :param work: of each task.
    :returns: attempts running in each failure domain after a while.
    """
    for domain in fleet.domains():
        await fleet.submit(
            fleet.beside(domain)[0],
            f'fill-{domain}',
            work,
            task_count=_BESIDE_TASKS,
            resources=_WIDE,
            priority=10,
        )
    # The policy and quotas, not the servers' size, bound what runs beside.
    await asyncio.sleep(_FILL_S)
    return await _beside(fleet)


async def _beside(fleet: Fleet) -> list[float]:
    running = [run for run in await fleet.attempts() if run.phase == 'running']
    return [
        sum(run.server_id.startswith(domain) for run in running)
        for domain in fleet.domains()
    ]


async def _urgent(fleet: Fleet, case: str) -> list[Row]:
    steps = [
        await _urgent_one(
            fleet, fleet.daemons[number % len(fleet.daemons)], number
        )
        for number in range(_REPETITIONS)
    ]
    columns = {
        'sent to attempt running on the server, ms': [
            step.server_started for step in steps
        ],
        '- sent to accepted (append), ms': [step.accepted for step in steps],
        '- accepted to claim read back, ms': [
            step.claimed - step.accepted for step in steps
        ],
        '- claim to attempt running, ms': [
            step.server_started - step.claimed for step in steps
        ],
        '- running to task.started at the holder, ms': [
            step.noted - step.server_started for step in steps
        ],
    }
    return [
        Row(case, fleet.leases, what, samples)
        for what, samples in columns.items()
    ]


async def _urgent_one(fleet: Fleet, daemon: DaemonPlace, number: int) -> Steps:
    task_id = f'qadri.urgent-{number}/0'
    sent_ms = now_ms()
    await fleet.submit(
        daemon,
        f'urgent-{number}',
        _URGENT_WORK,
        priority=_URGENT,
        team='deposits',
        kind='checkout_comparison',
    )
    accepted_ms = now_ms()

    async def _first_run() -> float | None:
        runs = await fleet.attempts()
        starts = (run.started_ms for run in runs if run.task_id == task_id)
        return min(starts, default=None)

    server_ms = await until(_first_run, _STARTED_S, 0.05)
    beside = fleet.beside(daemon.failure_domain)

    async def _noted() -> dict[str, float]:
        time_by_kind = {
            event.kind: event.monotonic_ms
            for event in reversed(await fleet.events(beside))
            if event.subject == f'task:{task_id}'
        }
        complete = {'task.claimed', 'task.started'} <= time_by_kind.keys()
        return time_by_kind if complete else {}

    noted = await until(_noted, _STARTED_S, 0.1)
    return Steps(
        accepted_ms - sent_ms,
        noted['task.claimed'] - sent_ms,
        server_ms - sent_ms,
        noted['task.started'] - sent_ms,
    )


async def _losses(fleet: Fleet, case: str, number: signal.Signals) -> list[Row]:
    for domain in fleet.domains():
        await fleet.submit(
            fleet.beside(domain)[0], f'long-{domain}', _LONG, task_count=12
        )
    wanted = 12 * len(fleet.domains())

    async def _all_run() -> bool:
        return len(await fleet.attempts()) == wanted

    await until(_all_run, _STARTED_S, 0.2)
    domains = itertools.islice(itertools.cycle(fleet.domains()), _DEATHS)
    lost = [await _lose(fleet, domain, number) for domain in domains]
    extra = len(await fleet.attempts()) - wanted
    running = sum(run.phase == 'running' for run in await fleet.attempts())
    figures = {
        'signal to all its servers commanded by others, ms': [
            taken_ms for taken_ms, _ in lost
        ],
        '- longest time one server had no holder, ms': [
            gap_ms for _, gap_ms in lost
        ],
        f'attempts started anew, of {wanted}': [extra],
        f'attempts not running at the end, of {wanted}': [wanted - running],
    }
    return [
        Row(case, fleet.leases, what, samples)
        for what, samples in figures.items()
    ]


async def _lose(
    fleet: Fleet, domain: str, number: signal.Signals
) -> tuple[float, float]:
    """Signal the daemon of a domain that holds the most, and bring it back.

    :param fleet: settled.
    :param domain: which failure domain.
    :param number: signal.
    :returns: time until others command all, longest gap; milliseconds.
    """
    held_by_daemon = {
        daemon: await fleet.held(daemon) for daemon in fleet.beside(domain)
    }
    victim = max(held_by_daemon, key=lambda daemon: len(held_by_daemon[daemon]))
    others = [daemon for daemon in held_by_daemon if daemon != victim]
    wanted = held_by_daemon[victim]
    if not wanted:
        raise NotReached(f'nobody holds servers of {domain}')
    sent_ms = now_ms()
    fleet.run.processes.send(victim.daemon_id, number)
    gap = _Gap(wanted)

    async def _taken_over() -> bool:
        taken = await fleet.held_by(others)
        gap.saw(taken | await fleet.held(victim), now_ms())
        return wanted <= taken

    await until(_taken_over, _TAKEN_OVER_S)
    taken_ms = now_ms() - sent_ms
    await fleet.run.processes.process_by_name[victim.daemon_id].wait()
    await fleet.run.start_daemon(victim.daemon_id)
    await fleet.settle()
    return taken_ms, gap.longest_ms


class _Gap:
    """Longest time in which one server had no holder, as polled."""

    def __init__(self, servers: set[str]) -> None:
        self.longest_ms: float = 0
        self._servers = servers
        self._since_ms_by_server: dict[str, float] = {}

    def saw(self, held: set[str], at_ms: float) -> None:
        for server in self._servers - held:
            self._since_ms_by_server.setdefault(server, at_ms)
        for server, since_ms in self._since_ms_by_server.items():
            self.longest_ms = max(self.longest_ms, at_ms - since_ms)
        for server in held & self._since_ms_by_server.keys():
            self._since_ms_by_server.pop(server)
