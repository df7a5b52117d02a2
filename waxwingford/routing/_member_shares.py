"""Weighted fair shares of members in the requests in progress."""

import dataclasses
import math
from collections.abc import Mapping

#: Half-life of the recorded peak usage of a member, in milliseconds.
PEAK_HALF_LIFE_MS = 10_000
#: Fraction of a share reserved in addition to the recent peak usage.
RESERVED_FRACTION = 0.1
#: Peak usage, in requests, below which a member is idle.
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
    """Weighted shares whose unused capacity other members may borrow.

    Requests in progress are not preempted, so a part of each share stays
    reserved in proportion to the recent usage of its member.
    """

    def __init__(self, *, reserves_for_idle: bool) -> None:
        """Create shares without members.

        :param reserves_for_idle: whether capacity is also reserved for idle
            members.
        """
        self._reserves_for_idle = reserves_for_idle
        self._usage_by_member: dict[str, _MemberUsage] = {}

    def set_weights(self, weight_by_member: Mapping[str, float]) -> None:
        """Replace the weights; requests in progress stay counted.

        :param weight_by_member: positive weights; members without an entry
            have weight 1.
        """
        for member, usage in self._usage_by_member.items():
            usage.weight = weight_by_member.get(member, 1.0)
        for member, weight in weight_by_member.items():
            self._usage_by_member.setdefault(member, _MemberUsage(weight))

    def member_limit(self, member: str, capacity: float, now_ms: int) -> float:
        """Compute the current concurrency limit of a member.

        :param capacity: requests in progress allowed over all members.
        :param now_ms: monotonic time, in milliseconds.
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
        """Count the requests in progress of a member."""
        usage = self._usage_by_member.get(member)
        return usage.in_progress if usage else 0

    def acquire(self, member: str) -> None:
        """Count the start of a request.

        :param member: member that sent the request.
        """
        self._usage_by_member[member].in_progress += 1

    def release(self, member: str) -> None:
        """Count the end of a request.

        :param member: member that sent the request.
        """
        self._usage_by_member[member].in_progress -= 1

    def _reserved(self, usage: _MemberUsage, share: float, now_ms: int) -> int:
        peak = usage.decayed_peak(now_ms)
        if peak < IDLE_PEAK and not self._reserves_for_idle:
            return 0
        demand = peak + RESERVED_FRACTION * share
        # Round down: a reserved fraction of a slot would block a whole slot.
        return max(usage.in_progress, int(min(share, demand)))
