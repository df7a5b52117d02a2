"""Another writer leaves one entry with missing fields under a worker's id.

The worker goes on as before, and what it runs goes on. No task may be started a
second time while its first run is at work there.
"""

import asyncio
import functools
import json
import time

from deployment import BROKEN, HELD, Deployment, has_trouble, main
from worker_standin import Run

WORKERS = 4
JOB = '00000000000000a1'
TASKS = 8
RUN_S = 5.0
ODD_AFTER_S = 0.5
POLL_S = 0.05
WATCH_S = 9.0
MS_PER_S = 1000
#: What the entry lacks of the fields that PROTOCOL.md names.
MISSING = frozenset(('slots', 'seq', 'version'))


class Starts:
    """Notes the starts of tasks that are at work elsewhere."""

    def __init__(self, deployment: Deployment) -> None:
        self.doubled: list[str] = []
        self._deployment = deployment
        for worker in deployment.workers:
            worker.run_s = RUN_S
            worker.on_start = functools.partial(self._note, worker.worker_id)

    def _note(self, worker_id: str, run: Run) -> None:
        others = [
            other.worker_id
            for other in self._deployment.workers
            if run.task in other.run_by_task and other.worker_id != worker_id
        ]
        if others:
            self.doubled.append(run.task)
            self._deployment.record.write(
                'second run at the same time', task=run.task, first_on=others
            )


async def leave_odd_entry(deployment: Deployment) -> None:
    """Write an entry without some fields under the id of a busy worker.

    It is written after one of the worker's own, so that it stands until the next.
    """
    worker = max(deployment.workers, key=lambda one: len(one.run_by_task))
    former = deployment.store.newest('servers')[worker.worker_id]
    raw = former
    while raw == former:
        await asyncio.sleep(POLL_S)
        raw = deployment.store.newest('servers')[worker.worker_id]
    entry = {
        name: text
        for name, text in json.loads(raw).items()
        if name not in MISSING
    }
    entry['born'] = int(time.time() * MS_PER_S)
    deployment.store.write('servers', worker.worker_id, entry)
    deployment.record.write(
        'another writer leaves', worker=worker.worker_id, entry=entry
    )


async def play(deployment: Deployment) -> int:
    """Play the case."""
    await deployment.start(daemons=2, workers=WORKERS)
    starts = Starts(deployment)
    step = {'count': TASKS, 'cpu': 2000, 'mem-mb': 256, 'estimate-ms': 5000}
    content = {'spec': 'text', 'steps': [step]}
    front = deployment.daemons[0]
    await deployment.send(front, 'POST', JOB, content)
    await asyncio.sleep(ODD_AFTER_S)
    if has_trouble():
        await leave_odd_entry(deployment)
    await asyncio.sleep(WATCH_S)
    await deployment.send(front, 'GET', JOB)
    deployment.record.write('started a second time', tasks=starts.doubled)
    return BROKEN if starts.doubled else HELD


if __name__ == '__main__':
    main(play)
