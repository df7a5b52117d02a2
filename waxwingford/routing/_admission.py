"""Admission control: limits, load shedding and fair shares of members."""

import dataclasses
import random
from collections.abc import Mapping

from waxwingford.routing._adaptive_limit import AdaptiveLimit
from waxwingford.routing._limits import ServiceLimits
from waxwingford.routing._member_shares import MemberShares
from waxwingford.routing._messages import Urgency

#: Fraction of the capacity reserved for requests of higher urgency.
RESERVED_FRACTION_BY_URGENCY: Mapping[Urgency, float] = {
    Urgency.background: 0.15,
    Urgency.normal: 0.05,
    Urgency.urgent: 0,
}
#: Weight of the latest decision in the moving average of the shed rate.
SHED_RATE_WEIGHT = 0.05
MIN_RETRY_AFTER_MS = 50
MAX_RETRY_AFTER_MS = 10_000
#: Multiple of the target latency added to Retry-After at a shed rate of 1.
SHED_BACKOFF_FACTOR = 20.0
_MIN_JITTER_FACTOR = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The request was admitted and must be released exactly once.

    :ivar member: member that sent the request.
    """

    service: str
    member: str


@dataclasses.dataclass(frozen=True, slots=True)
class Shed:
    """The request was shed.

    :ivar reason: human-readable reason.
    :ivar retry_after_ms: delay before a retry, in milliseconds.
    """

    reason: str
    retry_after_ms: int


@dataclasses.dataclass(slots=True)
class _ServiceAdmission:
    limits: ServiceLimits
    shares: MemberShares
    in_progress: int = 0
    shed_rate: float = 0


class AdmissionController:
    """Admits or sheds the requests of one daemon."""

    def __init__(self, max_in_progress: int, rng: random.Random) -> None:
        """Create a controller without requests in progress.

        :param max_in_progress: maximum number of requests in progress over all
            services.
        :param rng: random number generator for jitter.
        """
        self._limit = AdaptiveLimit(max_in_progress)
        self._rng = rng
        self._in_progress = 0
        self._shares = MemberShares(reserves_for_idle=True)
        self._by_service: dict[str, _ServiceAdmission] = {}

    def set_limits(
        self, limits_by_service: Mapping[str, ServiceLimits]
    ) -> None:
        """Replace the limits; requests in progress stay counted."""
        weight_by_member: dict[str, float] = {}
        for service, limits in limits_by_service.items():
            state = self._state_of(service)
            state.limits = limits
            state.shares.set_weights(limits.weight_by_member)
            weight_by_member.update(limits.weight_by_member)
        self._shares.set_weights(weight_by_member)

    def record_wait(self, wait_ms: int, now_ms: int) -> None:
        """Record the CPU queueing delay of a request.

        :param wait_ms: queueing delay, in milliseconds.
        :param now_ms: monotonic time, in milliseconds.
        """
        self._limit.record_wait(wait_ms, self._in_progress, now_ms)

    def admit(
        self,
        service: str,
        member: str,
        urgency: Urgency,
        free_slots: int,
        now_ms: int,
    ) -> Admitted | Shed:
        """Admit or shed a request without queueing it.

        :param member: member that sent the request.
        :param free_slots: free slots of the service on this daemon and, if the
            request may be forwarded, on its peers.
        :param now_ms: monotonic time, in milliseconds.
        """
        state = self._state_of(service)
        reason = self._daemon_shed_reason(
            member, urgency, now_ms
        ) or _service_shed_reason(state, member, urgency, free_slots, now_ms)
        state.shed_rate += SHED_RATE_WEIGHT * (bool(reason) - state.shed_rate)
        if reason:
            return Shed(reason, self.retry_after_ms(service))
        self._in_progress += 1
        state.in_progress += 1
        self._shares.acquire(member)
        state.shares.acquire(member)
        return Admitted(service, member)

    def release(self, admitted: Admitted) -> None:
        """Release the capacity of a request that has ended."""
        state = self._state_of(admitted.service)
        self._in_progress -= 1
        state.in_progress -= 1
        self._shares.release(admitted.member)
        state.shares.release(admitted.member)

    def retry_after_ms(self, service: str) -> int:
        """Compute the retry delay for a refused caller.

        The delay grows with the shed rate.  Jitter spreads the retries of
        callers that were refused at the same time.

        :returns: delay, in milliseconds.
        """
        state = self._state_of(service)
        base_ms = state.limits.target_ms * (
            1 + SHED_BACKOFF_FACTOR * state.shed_rate
        )
        jitter = _MIN_JITTER_FACTOR + self._rng.random()
        jittered_ms = int(base_ms * jitter)
        return max(MIN_RETRY_AFTER_MS, min(MAX_RETRY_AFTER_MS, jittered_ms))

    def in_progress(self) -> int:
        """Count the admitted requests that have not been released."""
        return self._in_progress

    def _daemon_shed_reason(
        self, member: str, urgency: Urgency, now_ms: int
    ) -> str:
        limit = (1 - RESERVED_FRACTION_BY_URGENCY[urgency]) * self._limit.limit
        if self._in_progress >= limit:
            return 'concurrency limit of the daemon reached'
        member_limit = self._shares.member_limit(member, limit, now_ms)
        if self._shares.in_progress(member) + 1 > member_limit:
            return "member's share of the daemon is used up"
        return ''

    def _state_of(self, service: str) -> _ServiceAdmission:
        state = self._by_service.get(service)
        if state is None:
            shares = MemberShares(reserves_for_idle=False)
            state = _ServiceAdmission(ServiceLimits(), shares)
            self._by_service[service] = state
        return state


def _service_shed_reason(
    state: _ServiceAdmission,
    member: str,
    urgency: Urgency,
    free_slots: int,
    now_ms: int,
) -> str:
    if state.in_progress >= state.limits.max_in_progress:
        return 'concurrency limit of the service reached'
    in_progress = state.shares.in_progress(member)
    configured_limit = state.limits.concurrency_by_member.get(
        member, in_progress + 1
    )
    if in_progress >= configured_limit:
        return 'concurrency limit of the member for the service reached'
    capacity = state.in_progress + free_slots
    if (
        free_slots <= int(RESERVED_FRACTION_BY_URGENCY[urgency] * capacity)
        and free_slots
    ):
        return 'what is free is kept for more urgent requests'
    member_limit = state.shares.member_limit(member, capacity, now_ms)
    if free_slots and in_progress + 1 > member_limit:
        return "member's share of the service is used up"
    return ''
