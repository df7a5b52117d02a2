"""Lower bounds of what preemption costs, without a look at single runs."""

import math
from collections.abc import Iterator

from waxwingford.scheduling._preemption_costs import lowest_cost
from waxwingford.scheduling._shard_state import ShardState
from waxwingford.scheduling._state import Job, Step

#: Time for which the costs are kept, in ms, as they are taken from all jobs.
LOWEST_COSTS_MS = 300


class LowestCosts:
    """Lowest costs of runs by service and priority."""

    def __init__(self, state: ShardState) -> None:
        self._state = state
        self._updated_ms = -LOWEST_COSTS_MS
        self._cost_by_rank: dict[tuple[str, int], float] = {}

    def below(self, service: str, priority: int, now_ms: int) -> float:
        """Return a lower bound of the cost of any run that may be preempted.

        It may be ``LOWEST_COSTS_MS`` old.

        :param priority: priority of the task that preempts.
        :param now_ms: current monotonic time, in ms.
        """
        if now_ms - self._updated_ms >= LOWEST_COSTS_MS:
            self._updated_ms = now_ms
            self._update()
        return min(
            (
                cost
                for rank, cost in self._cost_by_rank.items()
                if rank[0] == service and rank[1] > priority
            ),
            default=math.inf,
        )

    def _update(self) -> None:
        costs: dict[tuple[str, int], float] = {}
        for job in self._state.job_by_id.values():
            queue = self._state.queue_of(job)
            rank = queue.service, queue.priority
            for step in _preemptible_steps(job):
                cost = lowest_cost(step)
                costs[rank] = min(cost, costs.get(rank, cost))
        self._cost_by_rank = costs


def _preemptible_steps(job: Job) -> Iterator[Step]:
    if job.ended is None:
        for steps in job.steps_by_occurrence.values():
            for step in steps:
                if step.unfinished and not step.spec.gang:
                    yield step
