"""Check of the rule LOST: a submission that stands still after the traffic."""

import asyncio
import time

from worker_standin import WorkerStandin
from world import World

#: ``finish_s`` of the site, and how long a submission may stand still after it.
FINISH_S = 14
STILL_S = 3.2
CHECK_S = 0.2
#: "under half of the service's capacity is in use"
MAX_USED_SHARE = 0.5
#: "capacity for it twice over"
ROOM_FACTOR = 2
_ENDED = frozenset(('completed', 'failed', 'cancelled'))


async def stands_still(world: World, job: str, tasks: int) -> bool:
    """Tell whether an accepted submission of one step stands still.

    :param tasks: tasks of its step, whose turn has come with the submission.
    :returns: whether, after the time to finish, nothing of it runs for over 3 s
        although there is room; the bounds hold in each look.
    """
    await asyncio.sleep(FINISH_S)
    from_s = time.monotonic()
    while time.monotonic() - from_s < STILL_S:
        if not _has_room(world, job, tasks) or _has_run(world, job, from_s):
            return False
        if await world.state(job) in _ENDED:
            return False
        await asyncio.sleep(CHECK_S)
    return not _has_run(world, job, from_s)


def used_share(world: World) -> float:
    """Share of the capacity of all workers that is in use."""
    used = sum(worker.used[0] for worker in world.workers)
    return used / sum(worker.settings.cpu for worker in world.workers)


def _has_room(world: World, job: str, tasks: int) -> bool:
    needs = world.needs_of[f'{job}.0.0']
    room = sum(_room_for(needs, worker) for worker in world.workers)
    return room >= ROOM_FACTOR * tasks and used_share(world) < MAX_USED_SHARE


def _room_for(needs: dict, worker: WorkerStandin) -> int:
    used_cpu, used_mem_mb = worker.used
    return min(
        (worker.settings.cpu - used_cpu) // needs['cpu'],
        (worker.settings.mem_mb - used_mem_mb) // needs['mem-mb'],
    )


def _has_run(world: World, job: str, from_s: float) -> bool:
    """Whether a task of a job runs, or has begun or ended since a moment."""
    prefix = f'{job}.'
    return any(
        task.startswith(prefix)
        for worker in world.workers
        for task in worker.run_by_task
    ) or any(
        event.task.startswith(prefix) and event.at_s >= from_s
        for event in world.events
    )
