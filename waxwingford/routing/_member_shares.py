"""Fair shares of members in what is in progress."""

import dataclasses
import math
from collections.abc import Mapping

#: A member's peak of use falls by half in this time, in milliseconds.
PEAK_HALF_LIFE_MS = 10_000
#: Part of a share that stays free beyond what its member used lately.
RESERVED_FRACTION = 0.1
#: A member whose peak has fallen below this is idle.
IDLE_PEAK = 0.05


@dataclasses.dataclass(slots=True)
class _MemberUsage:
    weight: float
    in_progress: int = 0
    peak: float = 0
    peak_ms: int = 0

    def decayed_peak(self, now_ms: int) -> float:
        half_lives = max(0, now_ms - self.peak_ms) / PEAK_HALF_LIFE_MS
        return max(float(self.in_progress), self.peak * math.exp2(-half_lives))

    def record_demand(self, count: int, now_ms: int) -> None:
        self.peak = max(self.decayed_peak(now_ms), float(count))
        self.peak_ms = now_ms


class MemberShares:
    """Weighted shares; what a member leaves unused others may borrow.

    What is borrowed cannot be taken back before it ends, so a part of each
    share stays free, and a member that lately used more keeps more.
    """

    def __init__(self, *, reserves_for_idle: bool) -> None:
        """Start without members.

        :param reserves_for_idle: whether a part also stays free for members that
            used nothing lately.
        """
        self._reserves_for_idle = reserves_for_idle
        self._usage_by_member: dict[str, _MemberUsage] = {}

    def set_weights(self, weight_by_member: Mapping[str, float]) -> None:
        """Change the weights; what is in use stays counted.

        :param weight_by_member: positive weights; unknown members have 1.
        """
        for member, usage in self._usage_by_member.items():
            usage.weight = weight_by_member.get(member, 1.0)
        for member, weight in weight_by_member.items():
            self._usage_by_member.setdefault(member, _MemberUsage(weight))

    def member_limit(self, member: str, capacity: float, now_ms: int) -> float:
        """Compute how many requests the member may have in progress.

        :param member: who asks.
        :param capacity: requests in progress allowed for all.
        :param now_ms: monotonic time, in milliseconds.
        :returns: the most that it may have in use now.
        """
        own = self._usage_by_member.setdefault(member, _MemberUsage(1.0))
        own.record_demand(own.in_progress + 1, now_ms)
        weights = sum(usage.weight for usage in self._usage_by_member.values())
        reserved = sum(
            self._reserved(usage, capacity * usage.weight / weights, now_ms)
            for usage in self._usage_by_member.values()
            if usage is not own
        )
        return max(capacity - reserved, capacity * own.weight / weights)

    def in_progress(self, member: str) -> int:
        """Count what a member has in progress.

        :param member: which member.
        :returns: the count.
        """
        usage = self._usage_by_member.get(member)
        return usage.in_progress if usage else 0

    def acquire(self, member: str) -> None:
        """Count one more in progress.

        :param member: whose.
        """
        self._usage_by_member[member].in_progress += 1

    def release(self, member: str) -> None:
        """Count one less in progress.

        :param member: whose.
        """
        self._usage_by_member[member].in_progress -= 1

    def _reserved(self, usage: _MemberUsage, share: float, now_ms: int) -> int:
        peak = usage.decayed_peak(now_ms)
        if peak < IDLE_PEAK and not self._reserves_for_idle:
            return 0
        demand = peak + RESERVED_FRACTION * share
        # Whole requests only: half a slot kept free is one that nobody can use.
        return max(usage.in_progress, int(min(share, demand)))
