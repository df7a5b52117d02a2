"""Counters of a run."""

import dataclasses

from waxwingford_bench.colocation._attempts import Attempt


@dataclasses.dataclass(slots=True)
class Counts:
    """What the report counts.

    :ivar evictions: attempts evicted by the policy.
    :ivar stops: attempts stopped by the policy without a checkpoint.
    :ivar throttles: throttle commands, lifts included.
    :ivar refused: tasks that can never run or were given up as bad.
    :ivar done_core_s: work of tasks that came to their end.
    :ivar lost_core_s: work done and not kept.
    :ivar done: tasks done.
    :ivar done_by_member: work done by member, core seconds.
    """

    evictions: int = 0
    stops: int = 0
    throttles: int = 0
    refused: int = 0
    done_core_s: float = 0
    lost_core_s: float = 0
    done: int = 0
    done_by_member: dict[str, float] = dataclasses.field(default_factory=dict)

    def lose(self, attempt: Attempt) -> None:
        """Count what an attempt did and nobody kept.

        :param attempt: which one.
        """
        self.lost_core_s += max(attempt.ran_s, 0) * attempt.task.cores
