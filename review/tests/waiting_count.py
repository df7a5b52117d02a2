"""A queue's count of waiting jobs while a worker refuses their starts."""

import asyncio
import json
import pathlib
import sys
import time
from http import HTTPStatus

from review.tests.scene import (
    Scene,
    give_up,
    job_body,
    new_id,
    play,
    route,
    trouble,
)

DAEMONS = 3
OTHER_WORKERS = 11
SERVICE = 'desk-a'
LABEL = 'b'
PREFIX = '/lohu930/'
JOBS = 6
#: Time for which the only worker with the label refuses starts, in seconds.
REFUSED_S = 6.5
#: Bounds of the pages, in seconds.
VISIBLE_S = 3
COUNT_AGE_S = 2
CONTACT_S = 3


class WaitingCount:
    """Asks each daemon how many jobs wait, and counts those that do."""

    def __init__(self, scene: Scene) -> None:
        self._scene = scene
        self._accepted_s_by_job: dict[str, float] = {}
        self.violations: list[str] = []

    async def run(self) -> None:
        scene = self._scene
        for number in range(OTHER_WORKERS):
            await scene.fleet.add(SERVICE, ['a', f'r1-{number}'])
        only = await scene.fleet.add(SERVICE, [LABEL, 'r1-9'])
        scene.configure([route('r-3hwrr6x', PREFIX, SERVICE)])
        await scene.start_daemons()
        await asyncio.sleep(CONTACT_S)
        if trouble():
            only.refuses_with = HTTPStatus.SERVICE_UNAVAILABLE
            scene.record(event='worker refuses starts', worker=only.id)
        for number in range(JOBS):
            await self._submit(number)
        await self._watch(REFUSED_S)
        only.refuses_with = 0
        scene.record(event='worker accepts starts', worker=only.id)
        await asyncio.sleep(CONTACT_S)

    async def _submit(self, number: int) -> None:
        scene = self._scene
        job_id = new_id()
        body = job_body(500, {'required-label': LABEL})
        daemon = scene.daemons[number % DAEMONS]
        answer = await scene.call(daemon, 'POST', PREFIX + job_id, body)
        if answer is None or answer.status != HTTPStatus.OK:
            give_up(f'submission not accepted: {answer}')
        self._accepted_s_by_job[job_id] = time.monotonic()

    async def _watch(self, for_s: float) -> None:
        until_s = time.monotonic() + for_s
        while time.monotonic() < until_s:
            for daemon in self._scene.daemons:
                await self._judge(daemon)
            await asyncio.sleep(0.3)

    async def _judge(self, daemon) -> None:
        scene = self._scene
        asked_s = time.monotonic()
        old = {
            job_id
            for job_id, accepted_s in self._accepted_s_by_job.items()
            if asked_s - accepted_s > VISIBLE_S + COUNT_AGE_S
        }
        answer = await scene.call(daemon, 'GET', PREFIX)
        if answer is None or answer.status != HTTPStatus.OK:
            return
        begun = {start.task.partition('.')[0] for start in scene.fleet.starts}
        waiting = len(old - begun)
        pending = json.loads(answer.body)['pending']
        if 2 * pending < waiting:
            text = (
                f'{daemon.name} gives {pending} as pending, {waiting} accepted'
                f' over {VISIBLE_S + COUNT_AGE_S} s before have not begun'
            )
            scene.record(event='broken', rule='MIXED', text=text)
            self.violations.append(text)


async def main(record_file: str) -> int:
    """Play the case.

    :returns: exit status.
    """
    scene = Scene(pathlib.Path(record_file), DAEMONS)
    async with scene.open():
        case = WaitingCount(scene)
        await case.run()
    for violation in case.violations[:5]:
        sys.stdout.write(f'MIXED: {violation}\n')
    return int(bool(case.violations))


if __name__ == '__main__':
    play(main)
