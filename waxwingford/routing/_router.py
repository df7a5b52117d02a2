"""Routing of admitted requests to held servers and peers, with retries."""

import dataclasses
import random
from collections.abc import Mapping
from typing import NamedTuple

from waxwingford.kernel import Clock, Invariant, check_invariant
from waxwingford.ports import BackendServerPort
from waxwingford.routing._calls import (
    CallOutcome,
    NoFreeSlot,
    NotExecuted,
    OutcomeUnknown,
    ServerCalls,
)
from waxwingford.routing._evidence import (
    NeverSent,
    NotExecutedEvidence,
    ReportedNotExecuted,
    refuse,
)
from waxwingford.routing._limits import DispatchLimits, ServiceLimits
from waxwingford.routing._messages import (
    Answered,
    Outcome,
    Refused,
    Rejected,
    Request,
    Unknown,
)
from waxwingford.routing._peer_table import PeerTable
from waxwingford.routing._ports import PeerForwarder, RequestMetrics
from waxwingford.routing._retry_budget import RetryBudget
from waxwingford.routing._slots import SlotTable
from waxwingford.timeline import Timeline


class DispatchPorts(NamedTuple):
    """External dependencies of the request path.

    :ivar servers: client for the backend servers.
    :ivar peers: client for the other daemons.
    :ivar clock: source of monotonic time.
    :ivar timeline: event log.
    """

    servers: BackendServerPort
    peers: PeerForwarder
    clock: Clock
    timeline: Timeline
    metrics: RequestMetrics


@dataclasses.dataclass(slots=True)
class _Progress:
    """Progress of a request over its attempts.

    :ivar evidence: evidence that the request was not executed so far.
    :ivar tried: receivers that the request was sent to.
    :ivar unknown_reason: receiver that may have executed the request, with the
        reason; empty if there is none.
    """

    evidence: NotExecutedEvidence
    tried: tuple[str, ...] = ()
    unknown_reason: str = ''


class Router:
    """Sends requests to servers and peers within deadline and retry budget."""

    def __init__(
        self,
        failure_domain: str,
        ports: DispatchPorts,
        rng: random.Random,
        limits: DispatchLimits,
    ) -> None:
        """Create a router without servers and peers.

        :param failure_domain: failure domain of this daemon.
        """
        self.table = SlotTable(rng)
        self.peer_table = PeerTable(failure_domain, rng)
        self.calls = ServerCalls(
            self.table,
            ports.servers,
            ports.clock,
            ports.metrics,
            limits.overrun_ms,
        )
        self._ports = ports
        self._min_time_left_ms = limits.min_time_left_ms
        self._limits_by_service: Mapping[str, ServiceLimits] = {}
        self._budget_by_service: dict[str, RetryBudget] = {}

    def set_limits(self, limits: Mapping[str, ServiceLimits]) -> None:
        """Replace the limits of services."""
        self._limits_by_service = limits
        for service, budget in self._budget_by_service.items():
            budget.share = self._service_limits(service).retry_budget_share

    def free_slots(self, request: Request) -> int:
        """Count the free slots available to a request.

        :returns: number of free slots, including those of peers if the request
            may be forwarded.
        """
        service = request.service
        self.table.process_due(self._ports.clock.monotonic_ms())
        pool = self.table.pool_by_service.get(service)
        own_free_slots = pool.free_slots if pool else 0
        if request.hops or not self._service_limits(service).may_spill:
            return own_free_slots
        return own_free_slots + self.peer_table.free_slots(service)

    async def route(
        self, request: Request, deadline_ms: int, retry_after_ms: int
    ) -> Outcome:
        """Send a request, with retries, until its outcome is final.

        :param deadline_ms: monotonic time of the deadline, in milliseconds.
        :param retry_after_ms: delay before the caller may retry, in
            milliseconds.
        """
        budget = self._budget(request.service)
        budget.deposit()
        progress = _Progress(NeverSent('the deadline has passed'))
        while self._has_time_left(deadline_ms):
            step = await self._send(request, deadline_ms, progress)
            if isinstance(step, Answered | Rejected):
                return step
            if not self._may_retry(request, progress, step):
                break
            if not budget.try_withdraw():
                break
        if progress.unknown_reason:
            return Unknown(progress.unknown_reason, retry_after_ms)
        return refuse(progress.evidence, retry_after_ms)

    def _has_time_left(self, deadline_ms: int) -> bool:
        now_ms = self._ports.clock.monotonic_ms()
        return now_ms + self._min_time_left_ms <= deadline_ms

    def _may_retry(
        self,
        request: Request,
        progress: _Progress,
        step: NotExecuted | OutcomeUnknown | NoFreeSlot,
    ) -> bool:
        match step:
            case NoFreeSlot():
                if not progress.tried:
                    progress.evidence = NeverSent('no server has room')
                return False
            case NotExecuted(receiver=receiver, reason=reason):
                progress.evidence = ReportedNotExecuted(receiver, reason)
            case OutcomeUnknown(receiver=receiver, reason=reason):
                progress.unknown_reason = f'{receiver}: {reason}'
        progress.tried = (*progress.tried, receiver)
        return request.idempotent or not progress.unknown_reason

    async def _send(
        self, request: Request, deadline_ms: int, progress: _Progress
    ) -> CallOutcome | NoFreeSlot | Rejected:
        check_invariant(
            request.idempotent or not progress.unknown_reason,
            Invariant.at_most_once,
            f'{request.request_id}: retried after {progress.unknown_reason}',
        )
        tried = progress.tried
        step = await self.calls.call(request, deadline_ms, tried)
        may_spill = self._service_limits(request.service).may_spill
        if request.hops or not may_spill or not isinstance(step, NoFreeSlot):
            return step
        time_left_ms = deadline_ms - self._ports.clock.monotonic_ms()
        peer_id = self.peer_table.choose(
            request.service, time_left_ms, frozenset(tried)
        )
        if peer_id is None:
            return step
        return await self._forward(peer_id, request, time_left_ms)

    async def _forward(
        self, peer_id: str, request: Request, time_left_ms: int
    ) -> CallOutcome | Rejected:
        self.peer_table.record_forwarded(peer_id, request.service)
        outcome = await self._ports.peers.forward(
            peer_id,
            dataclasses.replace(request, deadline_ms=time_left_ms),
            time_left_ms,
        )
        match outcome:
            case Refused(reason=reason):
                self.peer_table.exclude(peer_id, request.service)
                return NotExecuted(peer_id, reason)
            case Unknown(reason=reason):
                return OutcomeUnknown(peer_id, reason)
            case _:
                return outcome

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = RetryBudget(
                self._service_limits(service).retry_budget_share
            )
            self._budget_by_service[service] = budget
        return budget

    def _service_limits(self, service: str) -> ServiceLimits:
        return self._limits_by_service.get(service) or ServiceLimits()
