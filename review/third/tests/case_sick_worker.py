"""One worker of ten crashes whenever it has work, while the others are full.

It crashes 0.2 s after the first start of each life, and is back 0.9 s later.
No run of any submission ends ``failed``, so none may be shown as ``failed``.
"""

import asyncio

from deployment import BROKEN, HELD, Deployment, has_trouble, main
from worker_standin import Run, WorkerStandin

WORKERS = 10
#: Time in which the worker crashes, in seconds. The site file allows 0.14 of the
#: workers to be down, for 4.5 s at a time.
CRASHES_FOR_S = 6.5
WORKS_FOR_S = 0.2
DOWN_FOR_S = 0.9
LONG_JOB = '00000000000000f0'
LONG_RUN_S = 12.0
SHORT_RUN_S = 2.0
SHORT_JOBS = tuple(f'00000000000000{number:02x}' for number in range(1, 9))
SUBMIT_GAP_S = 0.1
ASK_FOR_S = 45.0
FINAL = frozenset(('completed', 'failed', 'cancelled'))


def submission(count: int, cpu: int, estimate_s: float) -> dict[str, object]:
    """Make a submission with one step."""
    step = {
        'count': count,
        'cpu': cpu,
        'mem-mb': 256,
        'estimate-ms': int(estimate_s * 1000),
    }
    return {'spec': 'text', 'steps': [step]}


class CrashLoop:
    """Lets a worker crash and start again in place.

    :ivar task: task of the latest crash, ``None`` before the first.
    """

    def __init__(self, worker: WorkerStandin, deployment: Deployment) -> None:
        self.task: asyncio.Task[None] | None = None
        self._worker = worker
        self._now_s = deployment.record.now_s
        self._until_s = self._now_s() + CRASHES_FOR_S
        worker.on_start = self._on_start

    def _on_start(self, run: Run) -> None:
        idle = self.task is None or self.task.done()
        if idle and self._now_s() < self._until_s:
            self.task = asyncio.create_task(self._crash())

    async def _crash(self) -> None:
        await asyncio.sleep(WORKS_FOR_S)
        self._worker.crash()
        await asyncio.sleep(DOWN_FOR_S)
        await self._worker.restart()


async def submit_all(deployment: Deployment) -> list[str]:
    """Hand the short submissions in, and return the accepted ones."""
    accepted = []
    for number, job_id in enumerate(SHORT_JOBS):
        daemon = deployment.daemons[number % len(deployment.daemons)]
        content = submission(1, 2000, SHORT_RUN_S)
        answer = await deployment.send(daemon, 'POST', job_id, content)
        if answer.status == 200:
            accepted.append(job_id)
        await asyncio.sleep(SUBMIT_GAP_S)
    return accepted


async def ask(deployment: Deployment, job_ids: list[str]) -> dict[str, str]:
    """Ask for submissions until all of them are over."""
    state_by_job = dict.fromkeys(job_ids, 'unknown')
    until_s = deployment.record.now_s() + ASK_FOR_S
    while deployment.record.now_s() < until_s:
        for job_id in job_ids:
            if state_by_job[job_id] not in FINAL:
                answer = await deployment.send(
                    deployment.daemons[0], 'GET', job_id
                )
                if answer.status == 200:
                    state_by_job[job_id] = answer.content['state']
        if FINAL.issuperset(state_by_job.values()):
            break
        await asyncio.sleep(1)
    return state_by_job


async def play(deployment: Deployment) -> int:
    """Play the case."""
    await deployment.start(daemons=2, workers=WORKERS)
    for worker in deployment.workers:
        worker.run_s = SHORT_RUN_S
        worker.run_s_by_job[LONG_JOB] = LONG_RUN_S
    content = submission(WORKERS - 1, 32_000, LONG_RUN_S)
    await deployment.send(deployment.daemons[0], 'POST', LONG_JOB, content)
    await asyncio.sleep(1)
    idle = [one for one in deployment.workers if not one.run_by_task]
    crashes = CrashLoop(idle[0], deployment) if has_trouble() else None
    accepted = await submit_all(deployment)
    states = await ask(deployment, accepted)
    record = deployment.record
    failed = [one for one in accepted if states[one] == 'failed']
    ends = [one for one in deployment.workers if one.failed_ends]
    crashed = crashes is not None and crashes.task is not None
    record.write('accepted', jobs=len(accepted), states=states, crashed=crashed)
    record.write('shown as failed', jobs=failed, failed_ends=ends)
    return BROKEN if failed and not ends else HELD


if __name__ == '__main__':
    main(play)
