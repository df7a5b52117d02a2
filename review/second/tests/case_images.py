"""Submissions whose images differ stop the whole scheduler."""

import asyncio
import collections
import hashlib
import pathlib

from outcome import run_case
from world import World, note_logs, running_world

SUBMISSIONS = 50
#: Images of a calm deployment, as many as the site file names.
SERVING_IMAGES = 5
FILLING_IMAGES = 9
LASTS = '1000000000'
BEFORE_LAST_S = 5


def _image(kind: str, number: int) -> str:
    digest = hashlib.sha256(f'{kind} {number}'.encode()).hexdigest()
    return f'sha256:{digest}'


async def _submit_all(world: World, troubled: bool) -> None:
    for number in range(SUBMISSIONS):
        image = number if troubled else number % SERVING_IMAGES
        serving = {
            'count': 1,
            'cpu': 1000,
            'mem-mb': 500,
            'estimate-ms': 500,
            'perpetual': True,
            'image': _image('serving', image),
            'target-ms': 100,
        }
        await world.submit(f'{number:016x}', LASTS, [serving])
    for number in range(SUBMISSIONS):
        image = number if troubled else number % FILLING_IMAGES
        filling = {
            'count': 2,
            'cpu': 1000,
            'mem-mb': 500,
            'estimate-ms': 2000,
            'fills': True,
            'image': _image('filling', image),
        }
        await world.submit(f'{SUBMISSIONS + number:016x}', '2000', [filling])


async def play(record: pathlib.Path, troubled: bool) -> bool:
    async with running_world(8, 3) as world:
        await _submit_all(world, troubled)
        await asyncio.sleep(BEFORE_LAST_S)
        job = f'{2 * SUBMISSIONS:016x}'
        step = {'count': 4, 'cpu': 1000, 'mem-mb': 500, 'estimate-ms': 500}
        status = await world.submit(job, '500', [step])
        if status != 200:
            raise RuntimeError(f'the last submission got status {status}')
        broken = await world.stands_still(job)
        world.note(
            f'refused appends: {collections.Counter(world.store.refused)}'
        )
        world.note(f'share of capacity in use: {world.used_share():.2f}')
        note_logs(world)
        world.write_record(record)
    return broken


if __name__ == '__main__':
    run_case(play)
