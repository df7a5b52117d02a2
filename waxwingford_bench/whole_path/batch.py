"""End-to-end cases of batch work: urgent starts and lost daemons."""

import asyncio
import itertools
import signal
from typing import NamedTuple

from waxwingford.ports import Resources
from waxwingford_bench.whole_path.fleet import Fleet
from waxwingford_bench.whole_path.rows import (
    MeasurementFailed,
    Row,
    now_ms,
    wait_until,
)
from waxwingford_standins.layout import DaemonPlace
from waxwingford_standins.server_tasks import Work

_URGENT_PRIORITY = 100
_URGENT_WORK = Work(200)
_REPETITIONS = 12
_START_TIMEOUT_S = 30
#: Outlasts the measurement.
_LONG_WORK = Work(3_600_000)
_SHORT_WORK = Work(3000)
_LARGE_TASK = Resources(4000, 8000)
_FILL_WAIT_S = 8
_BACKGROUND_TASKS = 120
_DAEMON_LOSSES = 10
_TAKEOVER_TIMEOUT_S = 60


class StartLatencies(NamedTuple):
    """Latencies of one urgent start since submission, in milliseconds.

    :ivar accepted: until the daemon accepted the job.
    :ivar claimed: until the claim was read back from the log.
    :ivar server_started: until the attempt ran on the backend server.
    :ivar recorded: until the holder recorded the start.
    """

    accepted: float
    claimed: float
    server_started: float
    recorded: float


async def urgent_idle(fleet: Fleet) -> list[Row]:
    """Start urgent tasks on an idle fleet.

    :param fleet: idle fleet.
    :returns: rows of the table.
    """
    return await _measure_urgent_starts(fleet, 'urgent start, idle')


async def urgent_shared(fleet: Fleet) -> list[Row]:
    """Start urgent tasks once every daemon holds servers.

    A task waits for its first daemon even while that one holds no servers; the
    difference to the idle case is the cost of this wait.

    :param fleet: idle fleet.
    :returns: rows of the table.
    """
    await fleet.wait_until_shared()
    return await _measure_urgent_starts(
        fleet, 'urgent start, idle, all daemons hold servers'
    )


async def urgent_with_short_batch(fleet: Fleet) -> list[Row]:
    """Start urgent tasks while short batch tasks run and wait.

    :param fleet: idle fleet.
    :returns: rows of the table.
    """
    return await _urgent_with_background(
        fleet, 'urgent start, short batch beside', _SHORT_WORK
    )


async def urgent_with_long_batch(fleet: Fleet) -> list[Row]:
    """Start urgent tasks while long batch tasks run and wait.

    :param fleet: idle fleet.
    :returns: rows of the table.
    """
    return await _urgent_with_background(
        fleet, 'urgent start, long batch beside', _LONG_WORK
    )


async def daemon_crash(fleet: Fleet) -> list[Row]:
    """Kill daemons and measure the takeover of their servers.

    :param fleet: idle fleet.
    :returns: rows of the table.
    """
    return await _measure_daemon_losses(fleet, 'daemon killed', signal.SIGKILL)


async def planned_stop(fleet: Fleet) -> list[Row]:
    """Stop daemons gracefully and measure the takeover of their servers.

    :param fleet: idle fleet.
    :returns: rows of the table.
    """
    return await _measure_daemon_losses(fleet, 'planned stop', signal.SIGTERM)


async def _urgent_with_background(
    fleet: Fleet, case: str, work: Work
) -> list[Row]:
    before = await _fill(fleet, work)
    rows = await _measure_urgent_starts(fleet, case)
    after = await _count_background(fleet)
    what = 'attempts running beside in a failure domain, before and after'
    return [Row(case, fleet.leases, what, before + after), *rows]


async def _fill(fleet: Fleet, work: Work) -> list[float]:
    """Submit more batch work to each failure domain than may run at once.

    :param fleet: idle fleet.
    :param work: work of each task.
    :returns: attempts running in each failure domain after a fixed wait.
    """
    for domain in fleet.domain_names():
        await fleet.submit(
            fleet.daemons_in_domain(domain)[0],
            f'fill-{domain}',
            work,
            task_count=_BACKGROUND_TASKS,
            resources=_LARGE_TASK,
            priority=10,
        )
    # The policy and the quotas, not the capacity of the servers, limit how
    # many background tasks run.
    await asyncio.sleep(_FILL_WAIT_S)
    return await _count_background(fleet)


async def _count_background(fleet: Fleet) -> list[float]:
    running = [run for run in await fleet.attempts() if run.phase == 'running']
    return [
        sum(run.server_id.startswith(domain) for run in running)
        for domain in fleet.domain_names()
    ]


async def _measure_urgent_starts(fleet: Fleet, case: str) -> list[Row]:
    steps = [
        await _measure_urgent_start(
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
            step.recorded - step.server_started for step in steps
        ],
    }
    return [
        Row(case, fleet.leases, what, samples)
        for what, samples in columns.items()
    ]


async def _measure_urgent_start(
    fleet: Fleet, daemon: DaemonPlace, number: int
) -> StartLatencies:
    task_id = f'qadri.urgent-{number}/0'
    sent_ms = now_ms()
    await fleet.submit(
        daemon,
        f'urgent-{number}',
        _URGENT_WORK,
        priority=_URGENT_PRIORITY,
        team='deposits',
        kind='checkout_comparison',
    )
    accepted_ms = now_ms()

    async def _first_start_ms() -> float | None:
        runs = await fleet.attempts()
        starts = (run.started_ms for run in runs if run.task_id == task_id)
        return min(starts, default=None)

    server_started_ms = await wait_until(
        _first_start_ms, _START_TIMEOUT_S, 0.05
    )
    domain_daemons = fleet.daemons_in_domain(daemon.failure_domain)

    async def _recorded() -> dict[str, float]:
        time_by_kind = {
            event.kind: event.monotonic_ms
            for event in reversed(await fleet.events(domain_daemons))
            if event.subject == f'task:{task_id}'
        }
        complete = {'task.claimed', 'task.started'} <= time_by_kind.keys()
        return time_by_kind if complete else {}

    recorded = await wait_until(_recorded, _START_TIMEOUT_S, 0.1)
    return StartLatencies(
        accepted_ms - sent_ms,
        recorded['task.claimed'] - sent_ms,
        server_started_ms - sent_ms,
        recorded['task.started'] - sent_ms,
    )


async def _measure_daemon_losses(
    fleet: Fleet, case: str, number: signal.Signals
) -> list[Row]:
    for domain in fleet.domain_names():
        await fleet.submit(
            fleet.daemons_in_domain(domain)[0],
            f'long-{domain}',
            _LONG_WORK,
            task_count=12,
        )
    wanted = 12 * len(fleet.domain_names())

    async def _all_run() -> bool:
        return len(await fleet.attempts()) == wanted

    await wait_until(_all_run, _START_TIMEOUT_S, 0.2)
    domains = itertools.islice(
        itertools.cycle(fleet.domain_names()), _DAEMON_LOSSES
    )
    lost = [
        await _measure_daemon_loss(fleet, domain, number) for domain in domains
    ]
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


async def _measure_daemon_loss(
    fleet: Fleet, domain: str, number: signal.Signals
) -> tuple[float, float]:
    """Stop the daemon that holds the most servers of a domain; restart it.

    :param fleet: settled fleet.
    :param domain: name of the failure domain.
    :param number: signal to send.
    :returns: time until other daemons hold all its servers, and the longest
        time that one of them had no holder, in milliseconds.
    """
    held_by_daemon = {
        daemon: await fleet.leased_servers(daemon)
        for daemon in fleet.daemons_in_domain(domain)
    }
    victim = max(held_by_daemon, key=lambda daemon: len(held_by_daemon[daemon]))
    others = [daemon for daemon in held_by_daemon if daemon != victim]
    wanted = held_by_daemon[victim]
    if not wanted:
        raise MeasurementFailed(f'no daemon holds servers of {domain}')
    sent_ms = now_ms()
    fleet.run.processes.send(victim.daemon_id, number)
    gap = _LeaseGap(wanted)

    async def _taken_over() -> bool:
        taken = await fleet.servers_leased_by(others)
        gap.update(taken | await fleet.leased_servers(victim), now_ms())
        return wanted <= taken

    await wait_until(_taken_over, _TAKEOVER_TIMEOUT_S)
    taken_ms = now_ms() - sent_ms
    await fleet.run.processes.process_by_name[victim.daemon_id].wait()
    await fleet.run.start_daemon(victim.daemon_id)
    await fleet.wait_until_settled()
    return taken_ms, gap.longest_ms


class _LeaseGap:
    """Longest time that one server had no holder, by polling."""

    def __init__(self, servers: set[str]) -> None:
        self.longest_ms: float = 0
        self._servers = servers
        self._since_ms_by_server: dict[str, float] = {}

    def update(self, held: set[str], at_ms: float) -> None:
        for server in self._servers - held:
            self._since_ms_by_server.setdefault(server, at_ms)
        for server, since_ms in self._since_ms_by_server.items():
            self.longest_ms = max(self.longest_ms, at_ms - since_ms)
        for server in held & self._since_ms_by_server.keys():
            self._since_ms_by_server.pop(server)
