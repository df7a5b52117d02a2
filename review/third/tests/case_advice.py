"""A queue with advice: one call on 30 workers takes 2.5 s, a ticket lasts 3 s.

The service answers as the configuration says. All workers are eligible and free,
so the accepted submission may not have nothing running for 3 s.
"""

import asyncio
import itertools
import time

from deployment import BROKEN, HELD, Deployment, has_trouble, main
from http_io import HttpService, Reply, Request, json_reply
from worker_standin import WorkerStandin

WORKERS = 30
DECISION_MS = 100
PER_WORKER_MS = 80
QUICK_PER_WORKER_MS = 5
VALIDITY_MS = 3000
JOB = '00000000000000a1'
TASKS = 3
FINISH_S = 14.0
STILL_S = 3.0
MS_PER_S = 1000


class AdviceStandin:
    """The advice service: one call at a time, every worker is eligible."""

    def __init__(self, deployment: Deployment, per_worker_ms: int) -> None:
        self._record = deployment.record
        self._per_worker_ms = per_worker_ms
        self._turn = asyncio.Lock()
        self._numbers = itertools.count(1)
        self._until_s_by_ticket: dict[tuple[str, str, str], float] = {}
        self.http = HttpService(self._advise)

    def watch(self, worker: WorkerStandin) -> None:
        """Let a worker check tickets."""

        def accepts(content: dict[str, object]) -> bool:
            step = content['task'].rpartition('.')[0]
            key = (worker.worker_id, step, content.get('ticket', ''))
            return time.monotonic() < self._until_s_by_ticket.get(key, 0)

        worker.accepts_ticket = accepts

    async def _advise(self, request: Request) -> Reply:
        content = request.content()
        workers = content['workers']
        took_ms = DECISION_MS + self._per_worker_ms * len(workers)
        async with self._turn:
            await asyncio.sleep(took_ms / MS_PER_S)
        until_s = time.monotonic() + VALIDITY_MS / MS_PER_S
        rows = [[worker, f'ticket-{next(self._numbers)}'] for worker in workers]
        for worker, ticket in rows:
            key = (worker, content['step'], ticket)
            self._until_s_by_ticket[key] = until_s
        self._record.write('advice', workers=len(workers), took_ms=took_ms)
        return json_reply(200, eligible=rows, validity_ms=VALIDITY_MS)


async def play(deployment: Deployment) -> int:
    """Play the case."""
    per_worker_ms = PER_WORKER_MS if has_trouble() else QUICK_PER_WORKER_MS
    service = AdviceStandin(deployment, per_worker_ms)
    await service.http.start()
    deployment.advice_address = service.http.address
    advice = {
        'decision-ms': DECISION_MS,
        'per-worker-ms': per_worker_ms,
        'validity-ms': VALIDITY_MS,
    }
    await deployment.start(daemons=2, workers=WORKERS, advice=advice)
    for worker in deployment.workers:
        service.watch(worker)
    step = {'count': TASKS, 'cpu': 500, 'mem-mb': 256, 'estimate-ms': 500}
    front = deployment.daemons[0]
    content = {'spec': 'text', 'steps': [step]}
    answer = await deployment.send(front, 'POST', JOB, content)
    record = deployment.record
    record.write('end of the traffic', accepted=answer.status)
    await asyncio.sleep(FINISH_S)
    before = deployment.runs_of(JOB)
    record.write('looked at from now on', runs=before)
    await asyncio.sleep(STILL_S)
    await deployment.send(front, 'GET', JOB)
    still = before == deployment.runs_of(JOB) and before < TASKS
    record.write('nothing running for 3 s', still=still)
    return BROKEN if still else HELD


if __name__ == '__main__':
    main(play)
