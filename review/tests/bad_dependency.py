"""Observation beside the cases: a submission with a step that waits for itself.

The users' pages say that `depends-on` lists earlier steps, so no client of theirs
sends it; this is no case. Run with ``python3 -m review.tests.bad_dependency FILE``.
"""

import asyncio
import pathlib
import sys

from review.tests.scene import Scene, job_body, new_id, play, route

DAEMONS = 4
WORKERS = 6
SERVICE = 'desk-a'
PREFIX = '/lohu930/'
#: Time for which the daemons are watched, in seconds; those that exit are started
#: again.
WATCHED_S = 20
SETTLE_S = 2


async def main(record_file: str) -> int:
    """Submit it, and count how often daemons exit.

    :returns: 1 if one did, else 0.
    """
    scene = Scene(pathlib.Path(record_file), DAEMONS)
    async with scene.open():
        for number in range(WORKERS):
            await scene.fleet.add(SERVICE, ['a', f'r1-{number}'])
        scene.configure([route('r-3hwrr6x', PREFIX, SERVICE)])
        await scene.start_daemons()
        await asyncio.sleep(SETTLE_S)
        await scene.call(
            scene.daemons[0],
            'POST',
            PREFIX + new_id(),
            job_body(500, {'depends-on': [0]}),
        )
        exits = await _count_exits(scene)
    sys.stdout.write(f'{exits} exits of {DAEMONS} daemons in {WATCHED_S} s\n')
    return int(bool(exits))


async def _count_exits(scene: Scene) -> int:
    exits = 0
    for _ in range(WATCHED_S):
        await asyncio.sleep(1)
        for daemon in scene.daemons:
            if daemon.has_ended():
                exits += 1
                scene.record(event='daemon has exited', daemon=daemon.name)
                daemon.start()
    return exits


if __name__ == '__main__':
    play(main)
