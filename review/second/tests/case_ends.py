"""An owner is killed while a worker lists more than 500 ends."""

import asyncio
import collections
import pathlib
import time

from outcome import run_case
from world import World, note_logs, running_world

TASKS = 1300
#: Time until the tasks end, all within 0.2 s, in seconds.
ENDS_AFTER_S = 12
SPREAD_S = 0.2
#: The owner is killed so long before, in seconds.
KILLED_BEFORE_S = 0.1
WORK_AGAIN_MS = 1000
OBSERVED_S = 15
GROUPS = 10


async def _submit_all(world: World, ends_s: float) -> None:
    for group in range(GROUPS):
        until_s = ends_s + group * SPREAD_S / GROUPS
        step = {
            'count': TASKS // GROUPS,
            'cpu': 40,
            'mem-mb': 64,
            'estimate-ms': ENDS_AFTER_S * 1000,
        }
        spec = f'{int(until_s * 1000)} {WORK_AGAIN_MS}'
        status = await world.submit(f'{group:016x}', spec, [step])
        if status != 200:
            raise RuntimeError(f'a submission got status {status}')


def _count_repeated(world: World) -> int:
    """Count the tasks that were started after an end that was taken note of."""
    noted_by_task = {}
    repeated = set()
    for event in world.events:
        lapsed = event.lapsed_s is not None and (
            event.acked_s is None or event.lapsed_s < event.acked_s
        )
        if event.how == 'done' and event.acked_s is not None and not lapsed:
            noted_by_task.setdefault(event.task, event.at_s)
    for event in world.events:
        noted_s = noted_by_task.get(event.task)
        late = noted_s is not None and event.at_s > noted_s
        if event.how == 'start' and late:
            repeated.add(event.task)
    return len(repeated)


async def play(record: pathlib.Path, troubled: bool) -> bool:
    async with running_world(2, 3) as world:
        ends_s = time.monotonic() + ENDS_AFTER_S
        await _submit_all(world, ends_s)
        await asyncio.sleep(ends_s - KILLED_BEFORE_S - time.monotonic())
        counts = collections.Counter(event.how for event in world.events)
        if counts != {'start': TASKS}:
            raise RuntimeError(f'not all tasks run, and only once: {counts}')
        if troubled:
            owner = world.owner()
            world.note(f'killing {owner.name}, the owner')
            owner.end()
        await asyncio.sleep(OBSERVED_S)
        repeated = _count_repeated(world)
        world.note(f'tasks that ran again after they were done: {repeated}')
        note_logs(world)
        world.write_record(record)
    return repeated > 0


if __name__ == '__main__':
    run_case(play)
