"""Submissions whose images differ stop the whole scheduler."""

import asyncio
import collections
import hashlib
import pathlib

from outcome import run_case
from still import stands_still, used_share
from world import World, note_logs, running_world

SUBMISSIONS = 50
#: Images of a calm deployment, as many as the site file names.
SERVING_IMAGES = 5
FILLING_IMAGES = 9
LASTS = '1000000000'
BEFORE_LAST_S = 3
#: Keeps the submissions below the 6.6 a second of the users' sheet.
INTERVAL_S = 0.16


def _image(kind: str, number: int) -> str:
    digest = hashlib.sha256(f'{kind} {number}'.encode()).hexdigest()
    return f'sha256:{digest}'


async def _submit(world: World, number: int, spec: str, step: dict) -> None:
    status = await world.submit(f'{number:016x}', spec, [step])
    if status != 200:
        raise RuntimeError(f'submission {number} got status {status}')
    await asyncio.sleep(INTERVAL_S)


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
        await _submit(world, number, LASTS, serving)
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
        await _submit(world, SUBMISSIONS + number, '2000', filling)


async def play(record: pathlib.Path, troubled: bool) -> bool:
    async with running_world(8, 3) as world:
        await _submit_all(world, troubled)
        await asyncio.sleep(BEFORE_LAST_S)
        number = 2 * SUBMISSIONS
        job = f'{number:016x}'
        step = {'count': 4, 'cpu': 1000, 'mem-mb': 500, 'estimate-ms': 500}
        await _submit(world, number, '500', step)
        broken = await stands_still(world, job, step['count'])
        world.note(
            f'refused appends: {collections.Counter(world.store.refused)}'
        )
        world.note(f'share of capacity in use: {used_share(world):.2f}')
        note_logs(world)
        world.write_record(record)
    return broken


if __name__ == '__main__':
    run_case(play)
