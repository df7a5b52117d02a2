"""Views of emulated servers and attempts that are passed to a policy."""

from waxwingford.placement import RunningTask, ServerView, free_resources
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
    """Build the view of a server that its holder passes to a policy.

    :param deployment: emulated deployment.
    :param world: emulated servers.
    :param server: index of the server.
    :param is_quarantined: whether the server is in quarantine.
    :param now_s: virtual time, in seconds.
    :returns: view for the policy.
    """
    return ServerView(
        f'w{server}',
        world.racks[server],
        deployment.service,
        VM_TOTAL,
        VM_RESERVED,
        tuple(
            view_attempt(attempt, now_s)
            for attempt in world.attempts[server].values()
        ),
        quarantined=is_quarantined,
        busy_share=float(world.busy_share()[server]),
    )


def view_attempt(attempt: Attempt, now_s: int) -> RunningTask:
    """Build the view of a running attempt.

    :param attempt: running attempt.
    :param now_s: virtual time, in seconds.
    :returns: view for the policy.
    """
    task = attempt.task
    remaining_s = task.declared_run_s - task.progress_s - max(attempt.ran_s, 0)
    remaining_ms = int(max(remaining_s, 0) * _MS_IN_S)
    return RunningTask(
        attempt.key,
        task.member,
        task.team,
        task.kind,
        attempt.allocated,
        int(max(attempt.ran_s, 0) * _MS_IN_S),
        attempt.percent < _FULL_PERCENT,
        slack_ms(task, remaining_ms, now_s),
    )


def has_room(views: list[ServerView]) -> bool:
    """Check whether some server has processors free for the smallest task.

    :param views: views of the servers.
    :returns: whether placement can succeed.
    """
    return any(
        free.processors_milli >= _SMALLEST_MILLI
        for free in map(free_resources, views)
    )


def slack_ms(task: Task, run_ms: int, now_s: int) -> int | None:
    """Compute the slack of a task.

    :param task: pending or running task.
    :param run_ms: remaining run time, in milliseconds.
    :param now_s: virtual time, in seconds.
    :returns: time to the deadline minus the remaining run time, in
        milliseconds; None without a deadline.
    """
    if task.deadline_s is None:
        return None
    return int((task.deadline_s - now_s) * _MS_IN_S) - run_ms
