"""Admission of requests: limits, shedding and fair shares, without a queue."""

import dataclasses
import random
from collections.abc import Mapping

from waxwingford.routing._adaptive_limit import AdaptiveLimit
from waxwingford.routing._limits import ServiceLimits
from waxwingford.routing._messages import Urgency
from waxwingford.routing._shares import MemberShares

#: Share of the capacity that stays free for more urgent requests.
KEPT_BY_URGENCY: Mapping[Urgency, float] = {
    Urgency.background: 0.15,
    Urgency.normal: 0.05,
    Urgency.urgent: 0,
}
#: Weight of the newest decision in the share of shed requests.
SHED_WEIGHT = 0.05
LEAST_RETRY_AFTER_MS = 50
LONGEST_RETRY_AFTER_MS = 10_000
#: Expected latencies that a caller waits when everything is shed.
SHED_FACTOR = 20.0
_JITTER_FROM = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The request may go on; it must leave exactly once.

    :ivar service: which service.
    :ivar member: whose request.
    """

    service: str
    member: str


@dataclasses.dataclass(frozen=True, slots=True)
class Shed:
    """The request is refused now.

    :ivar reason: for people.
    :ivar retry_after_ms: from the load, with jitter, in milliseconds.
    """

    reason: str
    retry_after_ms: int


@dataclasses.dataclass(slots=True)
class _ServiceAdmission:
    limits: ServiceLimits
    shares: MemberShares
    in_use: int = 0
    shed_share: float = 0


class Admission:
    """Counts requests in progress of one daemon and says who may enter."""

    def __init__(self, most_in_progress: int, rng: random.Random) -> None:
        """Start empty.

        :param most_in_progress: over all services.
        :param rng: seeded source of chance, for jitter.
        """
        self._limit = AdaptiveLimit(most_in_progress)
        self._rng = rng
        self._in_use = 0
        self._shares = MemberShares(keeps_for_idle=True)
        self._by_service: dict[str, _ServiceAdmission] = {}

    def set_limits(
        self, limits_by_service: Mapping[str, ServiceLimits]
    ) -> None:
        """Take in the limits of a bundle; what is in use stays counted.

        :param limits_by_service: all services.
        """
        weight_by_member: dict[str, float] = {}
        for service, limits in limits_by_service.items():
            group = self._group(service)
            group.limits = limits
            group.shares.set_weights(limits.weight_by_member)
            weight_by_member.update(limits.weight_by_member)
        self._shares.set_weights(weight_by_member)

    def waited(self, wait_ms: int, now_ms: int) -> None:
        """Take in how long a request waited for the processor.

        :param wait_ms: milliseconds.
        :param now_ms: monotonic time, in milliseconds.
        """
        self._limit.waited(wait_ms, self._in_use, now_ms)

    def enter(
        self,
        service: str,
        member: str,
        urgency: Urgency,
        spare: int,
        now_ms: int,
    ) -> Admitted | Shed:
        """Admit a request or shed it, at once.

        :param service: which service.
        :param member: whose request.
        :param urgency: how urgent.
        :param spare: free slots that the request could go to, here and, if it
            may be forwarded, at peers.
        :param now_ms: monotonic time, in milliseconds.
        :returns: the decision.
        """
        group = self._group(service)
        reason = self._daemon_reason(
            member, urgency, now_ms
        ) or _service_reason(group, member, urgency, spare, now_ms)
        group.shed_share += SHED_WEIGHT * (bool(reason) - group.shed_share)
        if reason:
            return Shed(reason, self.retry_after_ms(service))
        self._in_use += 1
        group.in_use += 1
        self._shares.enter(member)
        group.shares.enter(member)
        return Admitted(service, member)

    def leave(self, admitted: Admitted) -> None:
        """End a request.

        :param admitted: as it was let in.
        """
        group = self._group(admitted.service)
        self._in_use -= 1
        group.in_use -= 1
        self._shares.leave(admitted.member)
        group.shares.leave(admitted.member)

    def retry_after_ms(self, service: str) -> int:
        """Tell a refused caller when to come back.

        The time grows with the share that is shed; jitter keeps callers that
        were refused together from coming back together.

        :param service: which service.
        :returns: milliseconds.
        """
        group = self._group(service)
        base_ms = group.limits.target_ms * (1 + SHED_FACTOR * group.shed_share)
        jitter = _JITTER_FROM + self._rng.random()
        wanted_ms = int(base_ms * jitter)
        return max(LEAST_RETRY_AFTER_MS, min(LONGEST_RETRY_AFTER_MS, wanted_ms))

    def in_progress(self) -> int:
        """Count requests in progress.

        :returns: the count.
        """
        return self._in_use

    def _daemon_reason(self, member: str, urgency: Urgency, now_ms: int) -> str:
        limit = (1 - KEPT_BY_URGENCY[urgency]) * self._limit.limit
        if self._in_use >= limit:
            return 'daemon is at its limit'
        room = self._shares.room(member, limit, now_ms)
        if self._shares.in_use(member) + 1 > room:
            return "member's share of the daemon is used up"
        return ''

    def _group(self, service: str) -> _ServiceAdmission:
        group = self._by_service.get(service)
        if group is None:
            shares = MemberShares(keeps_for_idle=False)
            group = _ServiceAdmission(ServiceLimits(), shares)
            self._by_service[service] = group
        return group


def _service_reason(
    group: _ServiceAdmission,
    member: str,
    urgency: Urgency,
    spare: int,
    now_ms: int,
) -> str:
    if group.in_use >= group.limits.most_in_progress:
        return 'service is at its limit'
    in_use = group.shares.in_use(member)
    most = group.limits.most_by_member.get(member, in_use + 1)
    if in_use >= most:
        return "member's limit of the service is reached"
    capacity = group.in_use + spare
    if spare <= int(KEPT_BY_URGENCY[urgency] * capacity) and spare:
        return 'what is free is kept for more urgent requests'
    room = group.shares.room(member, capacity, now_ms)
    if spare and in_use + 1 > room:
        return "member's share of the service is used up"
    return ''
