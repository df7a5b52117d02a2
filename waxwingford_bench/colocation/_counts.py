"""Counters of a benchmark run."""

import dataclasses

from waxwingford_bench.colocation._attempts import Attempt


@dataclasses.dataclass(slots=True)
class Counts:
    """Counters behind the figures of the report.

    :ivar evictions: attempts evicted by the policy.
    :ivar stops: attempts stopped by the policy without a checkpoint.
    :ivar throttles: throttle commands, including those that lift a throttle.
    :ivar refused: tasks that fit on no server or were stopped after failures.
    :ivar done_core_s: work of completed tasks, in core seconds.
    :ivar lost_core_s: work discarded or repeated, in core seconds.
    :ivar done: completed tasks.
    :ivar done_by_member: work of completed tasks by member, in core seconds.
    """

    evictions: int = 0
    stops: int = 0
    throttles: int = 0
    refused: int = 0
    done_core_s: float = 0
    lost_core_s: float = 0
    done: int = 0
    done_by_member: dict[str, float] = dataclasses.field(default_factory=dict)

    def add_lost_work(self, attempt: Attempt) -> None:
        """Count the work of an attempt that ended without keeping it.

        :param attempt: failed, stopped or lost attempt.
        """
        self.lost_core_s += max(attempt.ran_s, 0) * attempt.task.cores
