"""What the daemons of the emulator show to a policy."""

from waxwingford.placement import RunningTask, ServerView, free_on
from waxwingford_bench.colocation._attempts import Attempt
from waxwingford_bench.colocation._deployments import (
    VM_RESERVED,
    VM_TOTAL,
    Deployment,
)
from waxwingford_bench.colocation._workload import Task
from waxwingford_bench.colocation._world import World

_MS_IN_S = 1000
_FULL_PERCENT = 100
_SMALLEST_MILLI = 2000


def view_server(
    deployment: Deployment,
    world: World,
    server: int,
    is_quarantined: bool,
    now_s: int,
) -> ServerView:
    """View a server as its holder sees it.

    :param deployment: whose machines.
    :param world: servers.
    :param server: index of the server.
    :param is_quarantined: whether it gets only probation work.
    :param now_s: time of the run, in seconds.
    :returns: the view.
    """
    return ServerView(
        f'w{server}',
        world.racks[server],
        deployment.service,
        VM_TOTAL,
        VM_RESERVED,
        tuple(
            running(attempt, now_s)
            for attempt in world.attempts[server].values()
        ),
        quarantined=is_quarantined,
        busy_share=float(world.busy_share()[server]),
    )


def running(attempt: Attempt, now_s: int) -> RunningTask:
    """View an attempt.

    :param attempt: which one.
    :param now_s: time of the run, in seconds.
    :returns: the view.
    """
    task = attempt.task
    left_s = task.declared_run_s - task.progress_s - max(attempt.ran_s, 0)
    left_ms = int(max(left_s, 0) * _MS_IN_S)
    return RunningTask(
        attempt.key,
        task.member,
        task.team,
        task.kind,
        attempt.given,
        int(max(attempt.ran_s, 0) * _MS_IN_S),
        attempt.percent < _FULL_PERCENT,
        slack_ms(task, left_ms, now_s),
    )


def has_room(views: list[ServerView]) -> bool:
    """Tell whether the smallest task would fit on a server.

    :param views: of the servers.
    :returns: whether placing is worth a try.
    """
    return any(
        free.processors_milli >= _SMALLEST_MILLI for free in map(free_on, views)
    )


def slack_ms(task: Task, run_ms: int, now_s: int) -> int | None:
    """Compute a task's slack.

    :param task: which one.
    :param run_ms: run time left, in milliseconds.
    :param now_s: time of the run, in seconds.
    :returns: time to its deadline less that, in milliseconds.
    """
    if task.deadline_s is None:
        return None
    return int((task.deadline_s - now_s) * _MS_IN_S) - run_ms
