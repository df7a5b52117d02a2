"""Calls to backend servers: slot, deadline, and answers that come late."""

import asyncio
import dataclasses
from collections.abc import Callable

from waxwingford.kernel import Clock, Invariant, require
from waxwingford.ports import (
    BackendServerPort,
    ServiceAnswer,
    ServiceCall,
    ServiceNotRun,
    ServiceOutcome,
    ServiceUnknown,
)
from waxwingford.routing._messages import Answered, Request
from waxwingford.routing._ports import RequestMetrics
from waxwingford.routing._slots import Slot, SlotTable

_MS_IN_S = 1000
#: Times that a choice is made anew when the lease lapsed before dispatch.
MOST_CHOICES = 4


@dataclasses.dataclass(frozen=True, slots=True)
class NoRoom:
    """No held server has a free slot; nothing was sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The receiver said that the request did not run there.

    :ivar receiver: backend server or peer.
    :ivar reason: what it said.
    """

    receiver: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """It may have run: no whole answer came in time.

    :ivar receiver: backend server or peer.
    :ivar reason: for people.
    """

    receiver: str
    reason: str


CallOutcome = Answered | NotRun | Lost
#: Hears of an outcome that came after the caller had its final answer.
LateListener = Callable[[Request, CallOutcome], None]


class ServerCalls:
    """Owner of the calls in progress to held backend servers."""

    def __init__(
        self,
        table: SlotTable,
        servers: BackendServerPort,
        clock: Clock,
        metrics: RequestMetrics,
        overrun_ms: int,
    ) -> None:
        """Start without calls.

        :param table: slots of the held servers.
        :param servers: speaks to them.
        :param clock: monotonic time.
        :param metrics: counters.
        :param overrun_ms: time by which a server may overrun a deadline, in
            milliseconds.
        """
        self._table = table
        self._servers = servers
        self._clock = clock
        self._metrics = metrics
        self._overrun_ms = overrun_ms
        self._late_calls: set[asyncio.Task[ServiceOutcome]] = set()
        self.on_late: LateListener = lambda request, outcome: None

    async def call(
        self, request: Request, deadline_ms: int, tried: tuple[str, ...]
    ) -> CallOutcome | NoRoom:
        """Send a request to a chosen server, once.

        :param request: the request.
        :param deadline_ms: monotonic time of its deadline, in milliseconds.
        :param tried: receivers that it already went to.
        :returns: tagged outcome.
        """
        slot = self._take_slot(request.service, frozenset(tried))
        if slot is None:
            return NoRoom()
        left_ms = max(1, deadline_ms - slot.taken_ms)
        call = ServiceCall(
            # A new id for each sending: the late answer of an earlier one
            # must not pass for the answer of this one.
            f'{request.request_id}.{len(tried)}',
            request.service,
            request.path,
            request.body,
            left_ms,
        )
        sending = asyncio.ensure_future(
            self._servers.serve(slot.held.host, slot.held.port, call)
        )
        await asyncio.wait((sending,), timeout=left_ms / _MS_IN_S)
        if not sending.done():
            self._leave_late(sending, request, call, slot)
            return Lost(slot.held.server_id, 'no answer before the deadline')
        return self._ended(self._outcome(sending, call), slot, call)

    def _take_slot(self, service: str, tried: frozenset[str]) -> Slot | None:
        for _ in range(MOST_CHOICES):
            now_ms = self._clock.monotonic_ms()
            server_id = self._table.choose(service, now_ms, tried)
            if server_id is None:
                return None
            # Read again: the process may have been frozen since.
            slot = self._table.take(server_id, self._clock.monotonic_ms())
            if slot is not None:
                return slot
        return None

    def _outcome(
        self, sending: asyncio.Task[ServiceOutcome], call: ServiceCall
    ) -> ServiceOutcome:
        if sending.cancelled():
            return ServiceUnknown('the call was cancelled')
        fault = sending.exception()
        if fault is not None:
            # A fault of an adapter must not leak the slot, nor pass for
            # proof that the server did nothing.
            self._metrics.count('server_port_faults_total')
            return ServiceUnknown(f'{type(fault).__name__}: {fault}')
        outcome = sending.result()
        foreign = (
            isinstance(outcome, ServiceAnswer)
            and outcome.request_id != call.request_id
        )
        if foreign:
            self._metrics.count('foreign_answers_total')
            return ServiceUnknown('the answer belongs to another request')
        return outcome

    def _ended(
        self, outcome: ServiceOutcome, slot: Slot, call: ServiceCall
    ) -> CallOutcome:
        now_ms = self._clock.monotonic_ms()
        server_id = slot.held.server_id
        match outcome:
            case ServiceAnswer(status=status, content_type=kind, body=body):
                require(
                    outcome.request_id == call.request_id,
                    Invariant.whole_answer,
                    f'{outcome.request_id} answers {call.request_id}',
                )
                latency_ms = self._table.answered(slot, now_ms)
                self._metrics.latency(
                    'server_call', latency_ms, service=call.service
                )
                return Answered(status, kind, body, server_id)
            case ServiceNotRun(reason=reason):
                self._table.release(slot, now_ms)
                self._count_bad(slot, now_ms)
                return NotRun(server_id, reason)
            case ServiceUnknown(reason=reason):
                # The server may go on until the deadline that it was given.
                end_ms = slot.taken_ms + call.deadline_ms + self._overrun_ms
                self._table.abandon(slot, end_ms)
                self._count_bad(slot, now_ms)
                return Lost(server_id, reason)

    def _count_bad(self, slot: Slot, now_ms: int) -> None:
        if self._table.went_badly(slot, now_ms):
            self._metrics.count(
                'server_ejections_total', server=slot.held.server_id
            )

    def _leave_late(
        self,
        sending: asyncio.Task[ServiceOutcome],
        request: Request,
        call: ServiceCall,
        slot: Slot,
    ) -> None:
        now_ms = self._clock.monotonic_ms()
        self._table.abandon(slot, now_ms + self._overrun_ms)
        self._count_bad(slot, now_ms)
        loop = asyncio.get_running_loop()
        ending = loop.call_later(self._overrun_ms / _MS_IN_S, sending.cancel)
        self._late_calls.add(sending)

        def _came_late(done: asyncio.Task[ServiceOutcome]) -> None:
            ending.cancel()
            self._late_calls.discard(done)
            self._late_end(self._outcome(done, call), request, slot)

        sending.add_done_callback(_came_late)

    def _late_end(
        self, outcome: ServiceOutcome, request: Request, slot: Slot
    ) -> None:
        now_ms = self._clock.monotonic_ms()
        server_id = slot.held.server_id
        match outcome:
            case ServiceAnswer(status=status, content_type=kind, body=body):
                self._metrics.count('late_answers_total')
                self._table.release(slot, now_ms)
                self.on_late(request, Answered(status, kind, body, server_id))
            case ServiceNotRun(reason=reason):
                self._table.release(slot, now_ms)
                self.on_late(request, NotRun(server_id, reason))
            case ServiceUnknown():
                self._metrics.count('late_unknown_total')
