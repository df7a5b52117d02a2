"""Whose turn it is: the order in which tasks that wait are placed."""

from typing import NamedTuple

from waxwingford.scheduling._specs import QueueTerms
from waxwingford.scheduling._state import Job, Step, Task

#: A job is worth nothing any more after so many times its objective, as the
#: consortium counts it.
WORTHLESS_FACTOR = 3
#: A lasting task that has waited for so long, in ms, goes before everything else:
#: it must be at work again within 6 s, and short tasks that keep it out end
#: within some 4 s.
OVERDUE_MS = 2000
#: Comes before every priority.
_OVERDUE_RANK = -1


class Waiting(NamedTuple):
    """A task that waits, with what decides its turn.

    :ivar order: lower comes first.
    :ivar task: the task.
    :ivar step: its step.
    :ivar queue: terms of its queue.
    :ivar overdue: whether it is a lasting task that has waited too long.
    """

    order: tuple[int, int, int, int, int]
    task: Task
    step: Step
    queue: QueueTerms
    overdue: bool = False


def work_left(steps: list[Step]) -> int:
    """Estimate what is left of one repetition of a job.

    :param steps: of the repetition.
    :returns: thousandths of a core times milliseconds.
    """
    return sum(
        step.left * step.spec.estimate_ms * step.spec.needs.processors_milli
        for step in steps
    )


def waiting(
    task: Task, step: Step, queue: QueueTerms, left: int, now_ms: int
) -> Waiting:
    """Work out the turn of a task.

    Of the fills, those of jobs that can still be in time come first, and the
    smaller jobs among them: when there is more work than room, to go by age
    makes every job late. Short tasks go before lasting ones, which would leave
    them no room; but there is always more short work, so a lasting task waits
    for a bounded time only.

    :param task: the task.
    :param step: its step.
    :param queue: terms of its queue.
    :param left: work that is left of its repetition.
    :param now_ms: steady time.
    :returns: the task with its turn.
    """
    job = step.job
    lasts = step.spec.lasting
    if lasts and now_ms - task.waiting_ms >= OVERDUE_MS:
        order = _OVERDUE_RANK, 0, 0, task.waiting_ms, task.key.index
        return Waiting(order, task, step, queue, overdue=True)
    order = (
        queue.priority,
        2 if step.spec.fills else int(lasts),
        0 if lasts else _lateness(job, queue, now_ms),
        job.known_ms if lasts else left,
        task.key.index,
    )
    return Waiting(order, task, step, queue)


def _lateness(job: Job, queue: QueueTerms, now_ms: int) -> int:
    objective_ms = queue.stretch * job.chain_ms + queue.target_ms
    age_ms = now_ms - job.known_ms
    if age_ms <= objective_ms:
        return 0
    return 1 if age_ms <= WORTHLESS_FACTOR * objective_ms else 2
