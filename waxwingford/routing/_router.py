"""Route of one admitted request: own servers, peers, and retries."""

import dataclasses
import random
from collections.abc import Mapping
from typing import NamedTuple

from waxwingford.kernel import Clock, Invariant, require
from waxwingford.ports import BackendServerPort
from waxwingford.routing._calls import (
    CallOutcome,
    Lost,
    NoRoom,
    NotRun,
    ServerCalls,
)
from waxwingford.routing._evidence import (
    NeverSent,
    NotRunEvidence,
    ServerSaidNotRun,
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
from waxwingford.routing._ports import PeerForwarder, RequestMetrics
from waxwingford.routing._retry_budget import RetryBudget
from waxwingford.routing._slots import SlotTable
from waxwingford.routing._spill import PeerTable
from waxwingford.timeline import TimeLine


class DispatchPorts(NamedTuple):
    """Everything outside that the request path speaks to.

    :ivar servers: backend servers.
    :ivar peers: other daemons.
    :ivar clock: monotonic time.
    :ivar time_line: events.
    :ivar metrics: counters and histograms.
    """

    servers: BackendServerPort
    peers: PeerForwarder
    clock: Clock
    time_line: TimeLine
    metrics: RequestMetrics


@dataclasses.dataclass(slots=True)
class _Progress:
    """How far a request has come.

    :ivar tried: receivers that it went to.
    :ivar evidence: why it did not run so far.
    :ivar lost: receiver that may have run it, with the reason.
    """

    evidence: NotRunEvidence
    tried: tuple[str, ...] = ()
    lost: str = ''


class Router:
    """Sends requests to held servers and peers within deadline and budget.

    :ivar table: slots of held servers.
    :ivar peer_table: peers with room.
    :ivar calls: calls in progress to held servers.
    """

    def __init__(
        self,
        failure_domain: str,
        ports: DispatchPorts,
        rng: random.Random,
        limits: DispatchLimits,
    ) -> None:
        """Start without servers and peers.

        :param failure_domain: this daemon's.
        :param ports: what it speaks to.
        :param rng: seeded source of chance.
        :param limits: bounds.
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
        self._least_left_ms = limits.least_left_ms
        self._limits_by_service: Mapping[str, ServiceLimits] = {}
        self._budget_by_service: dict[str, RetryBudget] = {}

    def use_limits(self, limits: Mapping[str, ServiceLimits]) -> None:
        """Take in the limits of a bundle.

        :param limits: limits by service.
        """
        self._limits_by_service = limits
        for service, budget in self._budget_by_service.items():
            budget.share = self._service_limits(service).retry_share

    def spare(self, request: Request) -> int:
        """Count free slots that a request could go to.

        :param request: the request.
        :returns: the count, peers included if it may be forwarded.
        """
        service = request.service
        self.table.wake(self._ports.clock.monotonic_ms())
        group = self.table.group_by_service.get(service)
        own = group.spare if group else 0
        if request.hops or not self._service_limits(service).may_spill:
            return own
        return own + self.peer_table.spare(service)

    async def route(
        self, request: Request, deadline_ms: int, retry_after_ms: int
    ) -> Outcome:
        """Send a request until it is answered or must be given up.

        :param request: the request.
        :param deadline_ms: monotonic time of its deadline, in milliseconds.
        :param retry_after_ms: when its caller may come back, in milliseconds.
        :returns: the final outcome.
        """
        budget = self._budget(request.service)
        budget.fill()
        progress = _Progress(NeverSent('the deadline has passed'))
        while self._in_time(deadline_ms):
            step = await self._send(request, deadline_ms, progress)
            if isinstance(step, Answered | Rejected):
                return step
            if not self._may_go_on(request, progress, step):
                break
            if not budget.take():
                break
        if progress.lost:
            return Unknown(progress.lost, retry_after_ms)
        return refuse(progress.evidence, retry_after_ms)

    def _in_time(self, deadline_ms: int) -> bool:
        now_ms = self._ports.clock.monotonic_ms()
        return now_ms + self._least_left_ms <= deadline_ms

    def _may_go_on(
        self,
        request: Request,
        progress: _Progress,
        step: NotRun | Lost | NoRoom,
    ) -> bool:
        match step:
            case NoRoom():
                if not progress.tried:
                    progress.evidence = NeverSent('no server has room')
                return False
            case NotRun(receiver=receiver, reason=reason):
                progress.evidence = ServerSaidNotRun(receiver, reason)
            case Lost(receiver=receiver, reason=reason):
                progress.lost = f'{receiver}: {reason}'
        progress.tried = (*progress.tried, receiver)
        return request.idempotent or not progress.lost

    async def _send(
        self, request: Request, deadline_ms: int, progress: _Progress
    ) -> CallOutcome | NoRoom | Rejected:
        require(
            request.idempotent or not progress.lost,
            Invariant.at_most_once,
            f'{request.request_id}: sent again after {progress.lost}',
        )
        tried = progress.tried
        step = await self.calls.call(request, deadline_ms, tried)
        may_spill = self._service_limits(request.service).may_spill
        if request.hops or not may_spill or not isinstance(step, NoRoom):
            return step
        left_ms = deadline_ms - self._ports.clock.monotonic_ms()
        peer_id = self.peer_table.choose(
            request.service, left_ms, frozenset(tried)
        )
        if peer_id is None:
            return step
        return await self._forward(peer_id, request, left_ms)

    async def _forward(
        self, peer_id: str, request: Request, left_ms: int
    ) -> CallOutcome | Rejected:
        self.peer_table.forwarded(peer_id, request.service)
        outcome = await self._ports.peers.forward(
            peer_id,
            dataclasses.replace(request, deadline_ms=left_ms),
            left_ms,
        )
        match outcome:
            case Refused(reason=reason):
                self.peer_table.refused(peer_id, request.service)
                return NotRun(peer_id, reason)
            case Unknown(reason=reason):
                return Lost(peer_id, reason)
            case _:
                return outcome

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = RetryBudget(self._service_limits(service).retry_share)
            self._budget_by_service[service] = budget
        return budget

    def _service_limits(self, service: str) -> ServiceLimits:
        return self._limits_by_service.get(service) or ServiceLimits()
