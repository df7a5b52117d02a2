"""A submission without an answer is cancelled, and runs all the same.

For a while the store carries out the writes of one submission late, without an
answer. Its client is told 504, gives it up and cancels it: 410. Then the writes
are carried out.
"""

import asyncio

from deployment import (
    BROKEN,
    HELD,
    NOT_RUN,
    Daemon,
    Deployment,
    has_trouble,
    main,
)
from http_io import Request
from worker_standin import Run

JOB = '00000000000000c1'
STEPS = 8
RUN_S = 2.0
#: Dose of the site file: 0.35 of the writes for 4.5 s. A late one is done 1 s to
#: 6 s later.
LOSE_FOR_S = 4.5
LATE_S = 5.0
MOST_LOST = 0.35
CONTACT_S = 3.0
CANCEL_S = 3.0
WATCH_S = 16.0
MAX_CANCELS = 5
RETRY_S = 0.2
ACKNOWLEDGED = frozenset((200, 410))


class LostWrites:
    """Loses the writes to the intake, and counts all writes.

    :ivar ended_s: time at which the last write was carried out, in seconds.
    """

    def __init__(self, deployment: Deployment) -> None:
        self.ended_s: float = 0
        self._record = deployment.record
        self._until_s = self._record.now_s() + LOSE_FOR_S
        self._writes = 0
        self._lost = 0

    @property
    def share(self) -> float:
        """Share of the writes that were lost."""
        return self._lost / max(1, self._writes)

    def __call__(self, daemon: str, request: Request) -> float | None:
        """Choose what becomes of a call."""
        now_s = self._record.now_s()
        if request.path != '/api/log-append' or now_s > self._until_s:
            return None
        self._writes += 1
        if request.query['topic'] != 'keyed.intake':
            return None
        self._lost += 1
        self.ended_s = now_s + LATE_S
        self._record.write(
            'store carries out late', daemon=daemon, at_s=round(self.ended_s, 3)
        )
        return LATE_S


def submission() -> dict[str, object]:
    """Make a submission whose steps run one after the other."""
    step = {'count': 1, 'cpu': 500, 'mem-mb': 256, 'estimate-ms': 2000}
    later = [{**step, 'depends-on': [one]} for one in range(STEPS - 1)]
    return {'spec': 'text', 'steps': [step, *later]}


async def cancel(deployment: Deployment, daemon: Daemon) -> bool:
    """Cancel the submission, and repeat that until it is acknowledged."""
    for _ in range(MAX_CANCELS):
        answer = await deployment.send(daemon, 'DELETE', JOB)
        if answer.status in ACKNOWLEDGED:
            return True
        await asyncio.sleep(RETRY_S)
    return False


async def play(deployment: Deployment) -> int:
    """Play the case."""
    await deployment.start(daemons=2)
    record = deployment.record
    starts_s: list[float] = []

    def note_start(run: Run) -> None:
        starts_s.append(record.now_s())

    for worker in deployment.workers:
        worker.run_s = RUN_S
        worker.on_start = note_start
    lost = LostWrites(deployment)
    if has_trouble():
        deployment.store.fault = lost
    front, other = deployment.daemons
    await deployment.send(front, 'POST', JOB, submission())
    if not await cancel(deployment, other):
        return NOT_RUN
    acknowledged_s = record.now_s()
    await asyncio.sleep(WATCH_S)
    await deployment.send(other, 'GET', JOB)
    record.write('writes', lost_share=round(lost.share, 2))
    from_s = max(acknowledged_s + CANCEL_S, lost.ended_s + CONTACT_S)
    late = [round(one, 3) for one in starts_s if one > from_s]
    record.write('starts', counted_from_s=round(from_s, 3), too_late=late)
    if lost.share > MOST_LOST:
        return NOT_RUN
    return BROKEN if late else HELD


if __name__ == '__main__':
    main(play)
