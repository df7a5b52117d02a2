"""An entry that no worker wrote stops the whole scheduler."""

import asyncio
import json
import pathlib

from outcome import run_case
from still import stands_still
from worker_standin import registration
from world import REGISTRATION_S, World, note_logs, running_world

#: No address: its second octet is empty.
ADDRESS = '127..0.1:8080'
STEP = {'count': 4, 'cpu': 1000, 'mem-mb': 500, 'estimate-ms': 500}
AFTER_ENTRY_S = 2


async def _write_entry(world: World) -> None:
    """Write the entry as often as workers write theirs."""
    entry = json.loads(registration(world.workers[0], 1))
    entry['address'] = ADDRESS
    world.note(f'entry of another writer, address {ADDRESS}')
    while True:
        await world.store.put('servers', 'i-other', json.dumps(entry).encode())
        await asyncio.sleep(REGISTRATION_S)


async def _submit(world: World, job: str) -> None:
    status = await world.submit(job, '500', [STEP])
    if status != 200:
        raise RuntimeError(f'a submission got status {status}')


async def play(record: pathlib.Path, troubled: bool) -> bool:
    async with running_world(4, 3) as world:
        await _submit(world, f'{1:016x}')
        await asyncio.sleep(AFTER_ENTRY_S)
        if await world.state(f'{1:016x}') != 'completed':
            raise RuntimeError('the first submission is not completed')
        if troubled:
            world.spawn(_write_entry(world))
        await asyncio.sleep(AFTER_ENTRY_S)
        await _submit(world, f'{2:016x}')
        broken = await stands_still(world, f'{2:016x}', STEP['count'])
        note_logs(world)
        world.write_record(record)
    return broken


if __name__ == '__main__':
    run_case(play)
