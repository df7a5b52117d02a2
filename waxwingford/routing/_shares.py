"""Fair shares of members in what is in progress."""

import dataclasses
import math
from collections.abc import Mapping

#: A member's peak of use falls by half in this time, in milliseconds.
HALF_LIFE_MS = 10_000
#: Part of a share that stays free beyond what its member used lately.
KEPT_SHARE = 0.1
#: A member whose peak has fallen below this is idle.
IDLE_PEAK = 0.05


@dataclasses.dataclass(slots=True)
class _MemberUse:
    weight: float
    in_use: int = 0
    peak: float = 0
    peak_ms: int = 0

    def peak_now(self, now_ms: int) -> float:
        halves = max(0, now_ms - self.peak_ms) / HALF_LIFE_MS
        return max(float(self.in_use), self.peak * math.exp2(-halves))

    def wanted(self, count: int, now_ms: int) -> None:
        self.peak = max(self.peak_now(now_ms), float(count))
        self.peak_ms = now_ms


class MemberShares:
    """Weighted shares; what a member leaves unused others may borrow.

    What is borrowed cannot be taken back before it ends, so a part of each
    share stays free, and a member that lately used more keeps more.
    """

    def __init__(self, *, keeps_for_idle: bool) -> None:
        """Start without members.

        :param keeps_for_idle: whether a part also stays free for members that
            used nothing lately.
        """
        self._keeps_for_idle = keeps_for_idle
        self._use_by_member: dict[str, _MemberUse] = {}

    def set_weights(self, weight_by_member: Mapping[str, float]) -> None:
        """Change the weights; what is in use stays counted.

        :param weight_by_member: positive weights; unknown members have 1.
        """
        for member, use in self._use_by_member.items():
            use.weight = weight_by_member.get(member, 1.0)
        for member, weight in weight_by_member.items():
            self._use_by_member.setdefault(member, _MemberUse(weight))

    def room(self, member: str, total: float, now_ms: int) -> float:
        """Compute how many requests the member may have in progress.

        :param member: who asks.
        :param total: requests in progress allowed for all.
        :param now_ms: monotonic time, in milliseconds.
        :returns: the most that it may have in use now.
        """
        own = self._use_by_member.setdefault(member, _MemberUse(1.0))
        own.wanted(own.in_use + 1, now_ms)
        weights = sum(use.weight for use in self._use_by_member.values())
        kept = sum(
            self._kept(use, total * use.weight / weights, now_ms)
            for use in self._use_by_member.values()
            if use is not own
        )
        return max(total - kept, total * own.weight / weights)

    def in_use(self, member: str) -> int:
        """Count what a member has in progress.

        :param member: which member.
        :returns: the count.
        """
        use = self._use_by_member.get(member)
        return use.in_use if use else 0

    def enter(self, member: str) -> None:
        """Count one more in progress.

        :param member: whose.
        """
        self._use_by_member[member].in_use += 1

    def leave(self, member: str) -> None:
        """Count one less in progress.

        :param member: whose.
        """
        self._use_by_member[member].in_use -= 1

    def _kept(self, use: _MemberUse, share: float, now_ms: int) -> int:
        peak = use.peak_now(now_ms)
        if peak < IDLE_PEAK and not self._keeps_for_idle:
            return 0
        wanted = peak + KEPT_SHARE * share
        # Whole requests only: half a slot kept free is one that nobody can use.
        return max(use.in_use, int(min(share, wanted)))
