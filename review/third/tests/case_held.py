"""The only free worker crashes four times; later all workers are free.

Each time it has run the task of one submission for 0.2 s, and comes back as a new
worker. Once the other workers are free, and nothing crashes any more, the
submission may not have nothing running for 3 s.
"""

import asyncio

from deployment import BROKEN, HELD, Deployment, has_trouble, main
from worker_standin import HEARTBEAT_S, Run, WorkerStandin

WORKERS = 10
#: Dose of the site file: a tenth of the workers, for 0.9 s a time.
CRASHES = 4
WORKS_FOR_S = 0.2
DOWN_FOR_S = 0.9
LONG_JOB = '00000000000000f0'
LONG_RUN_S = 25.0
JOB = '00000000000000a1'
RUN_S = 2.0
#: Time by which the other workers are free, after the last crash.
FREE_S = 25.0
FINISH_S = 14.0
STILL_S = 3.0


def submission(count: int, cpu: int) -> dict[str, object]:
    """Make a submission with one step."""
    step = {'count': count, 'cpu': cpu, 'mem-mb': 256, 'estimate-ms': 2000}
    return {'spec': 'text', 'steps': [step]}


class Crashes:
    """Lets a worker crash, and a new one come in its place.

    :ivar left: crashes that are still to come.
    """

    def __init__(self, worker: WorkerStandin, deployment: Deployment) -> None:
        self._deployment = deployment
        self.left = CRASHES if has_trouble() else 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._watch(worker)

    def _watch(self, worker: WorkerStandin) -> None:
        worker.run_s = RUN_S

        def on_start(run: Run) -> None:
            if self.left:
                self.left -= 1
                self._tasks.add(asyncio.create_task(self._crash(worker)))

        worker.on_start = on_start

    async def _crash(self, worker: WorkerStandin) -> None:
        await asyncio.sleep(WORKS_FOR_S)
        worker.crash()
        await asyncio.sleep(DOWN_FOR_S)
        self._watch(await self._deployment.add_worker())
        # The platform removes an entry after three heartbeats of silence.
        await asyncio.sleep(3 * HEARTBEAT_S - DOWN_FOR_S)
        self._deployment.store.write('servers', worker.worker_id, None)


async def play(deployment: Deployment) -> int:
    """Play the case."""
    await deployment.start(daemons=2, workers=WORKERS)
    for worker in deployment.workers:
        worker.run_s = RUN_S
        worker.run_s_by_job[LONG_JOB] = LONG_RUN_S
    front = deployment.daemons[0]
    content = submission(WORKERS - 1, 32_000)
    await deployment.send(front, 'POST', LONG_JOB, content)
    await asyncio.sleep(1)
    idle = [one for one in deployment.workers if not one.run_by_task]
    crashes = Crashes(idle[0], deployment)
    await deployment.send(front, 'POST', JOB, submission(1, 2000))
    record = deployment.record
    record.write('end of the traffic')
    await asyncio.sleep(FREE_S + FINISH_S)
    before = deployment.runs_of(JOB)
    record.write('looked at from now on', left=crashes.left, runs=before)
    await asyncio.sleep(STILL_S)
    await deployment.send(front, 'GET', JOB)
    still = before == deployment.runs_of(JOB) and not (
        deployment.is_running(JOB) or deployment.is_done(JOB, steps=1)
    )
    record.write('nothing running for 3 s', still=still)
    return BROKEN if still else HELD


if __name__ == '__main__':
    main(play)
