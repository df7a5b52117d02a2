"""A sound job whose workers crash as its starts arrive, before they begin it."""

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
from review.tests.workers import Worker

DAEMONS = 3
WORKERS = 12
#: Crashes of single workers, and the time for which each is down, in seconds.
CRASHES = 2
DOWN_S = 0.7
EXPIRY_S = 4.5
SERVICE = 'desk-a'
PREFIX = '/lohu930/'
FINISH_S = 14
CONTACT_S = 3
_FINAL_STATES = ('completed', 'failed')


class LostStarts:
    """Crashes the workers that are about to start a job."""

    def __init__(self, scene: Scene) -> None:
        self._scene = scene
        self._crashes_left = 0
        self._restarts: set[asyncio.Task[None]] = set()
        self.violations: list[str] = []

    async def run(self) -> None:
        """Play the case."""
        scene = self._scene
        for number in range(WORKERS):
            worker = await scene.fleet.add(SERVICE, ['a', f'r1-{number}'])
            worker.start_arrives = self._start_arrives
        scene.configure([route('r-3hwrr6x', PREFIX, SERVICE)])
        await scene.start_daemons()
        await asyncio.sleep(CONTACT_S)
        self._crashes_left = CRASHES if trouble() else 0
        job_id = new_id()
        answer = await scene.call(
            scene.daemons[0], 'POST', PREFIX + job_id, job_body(500)
        )
        if answer is None or answer.status != HTTPStatus.OK:
            give_up(f'submission not accepted: {answer}')
        self._judge(job_id, await self._await_end(job_id))

    def _start_arrives(self, worker: Worker) -> bool:
        """Crash a worker that has received a start.

        :returns: whether it has crashed, and so doesn't begin it.
        """
        if not self._crashes_left:
            return False
        self._crashes_left -= 1
        restart = asyncio.create_task(self._restart(worker, worker.id))
        self._restarts.add(restart)
        worker.crash()
        return True

    async def _restart(self, worker: Worker, former_id: str) -> None:
        await asyncio.sleep(DOWN_S)
        await worker.start()
        self._scene.record(event='worker is up', worker=worker.id)
        await asyncio.sleep(EXPIRY_S)
        self._scene.store.put('servers', former_id, b'')

    async def _await_end(self, job_id: str) -> str:
        until_s = time.monotonic() + FINISH_S
        state = ''
        while state not in _FINAL_STATES and time.monotonic() < until_s:
            await asyncio.sleep(0.5)
            answer = await self._scene.call(
                self._scene.daemons[0], 'GET', PREFIX + job_id
            )
            if answer is not None and answer.status == HTTPStatus.OK:
                state = json.loads(answer.body)['state']
        return state

    def _judge(self, job_id: str, state: str) -> None:
        begun = [
            start
            for start in self._scene.fleet.starts
            if start.task.startswith(job_id)
        ]
        self._scene.record(
            event='judged', job=job_id, state=state, runs_begun=len(begun)
        )
        if state == 'failed':
            self.violations.append(
                f'{job_id} is shown as failed; workers have begun {len(begun)}'
                ' runs of it, and none has failed'
            )


async def main(record_file: str) -> int:
    """Play the case.

    :returns: exit status.
    """
    scene = Scene(pathlib.Path(record_file), DAEMONS)
    async with scene.open():
        case = LostStarts(scene)
        await case.run()
    for violation in case.violations:
        sys.stdout.write(f'LOST: {violation}\n')
    return int(bool(case.violations))


if __name__ == '__main__':
    play(main)
