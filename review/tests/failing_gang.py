"""Gangs that are started on workers that fail all that they start."""

import asyncio
import json
import pathlib
import sys
import time
from http import HTTPStatus

from review.tests.scene import (
    MAX_ATTEMPTS,
    Scene,
    give_up,
    job_body,
    new_id,
    play,
    route,
    trouble,
)

DAEMONS = 3
WORKERS = 36
FAILING = 3
SERVICE = 'desk-a'
PREFIX = '/lohu930/'
GANGS = 3
MEMBERS = 3
GANG_MS = 1500
FINISH_S = 14
CONTACT_S = 3
_FINAL_STATES = ('completed', 'failed')


class FailingGang:
    """Submits gangs, and compares their state with the runs that failed."""

    def __init__(self, scene: Scene) -> None:
        self._scene = scene
        self.violations: list[str] = []

    async def run(self) -> None:
        """Play the case."""
        scene = self._scene
        for number in range(WORKERS):
            await scene.fleet.add(SERVICE, ['a', f'r1-{number // 6}'])
        scene.configure([route('r-3hwrr6x', PREFIX, SERVICE)])
        await scene.start_daemons()
        await asyncio.sleep(CONTACT_S)
        for worker in scene.fleet.workers[:FAILING]:
            worker.fails = trouble()
            scene.record(
                event='worker', worker=worker.id, fails_all=worker.fails
            )
        for number in range(GANGS):
            await self._judge_gang(number)

    async def _judge_gang(self, number: int) -> None:
        scene = self._scene
        daemon = scene.daemons[number % DAEMONS]
        job_id = new_id()
        body = job_body(
            GANG_MS, {'count': MEMBERS, 'gang': True, 'anti-affinity': 1}
        )
        answer = await scene.call(daemon, 'POST', PREFIX + job_id, body)
        if answer is None or answer.status != HTTPStatus.OK:
            give_up(f'submission not accepted: {answer}')
        state = await self._await_end(daemon, job_id)
        failed_runs = {
            end.number
            for end in scene.fleet.ends
            if end.task.startswith(job_id) and end.how == 'failed'
        }
        scene.record(
            event='judged',
            job=job_id,
            state=state,
            failed_runs=len(failed_runs),
            max_attempts=MAX_ATTEMPTS,
        )
        if state == 'failed' and len(failed_runs) < MAX_ATTEMPTS:
            self.violations.append(
                f'{job_id} is shown as failed after {len(failed_runs)} failed'
                f' run(s) of its gang, of {MAX_ATTEMPTS} attempts'
            )

    async def _await_end(self, daemon, job_id: str) -> str:
        until_s = time.monotonic() + FINISH_S
        state = ''
        while state not in _FINAL_STATES:
            if time.monotonic() > until_s:
                give_up(f'{job_id} has not ended: {state}')
            await asyncio.sleep(0.5)
            answer = await self._scene.call(daemon, 'GET', PREFIX + job_id)
            if answer is not None and answer.status == HTTPStatus.OK:
                state = json.loads(answer.body)['state']
        return state


async def main(record_file: str) -> int:
    """Play the case.

    :returns: exit status.
    """
    scene = Scene(pathlib.Path(record_file), DAEMONS)
    async with scene.open():
        case = FailingGang(scene)
        await case.run()
    for violation in case.violations:
        sys.stdout.write(f'LOST: {violation}\n')
    return int(bool(case.violations))


if __name__ == '__main__':
    play(main)
