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
MAX_CHOICES = 4


@dataclasses.dataclass(frozen=True, slots=True)
class NoFreeSlot:
    """No held server has a free slot; nothing was sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotExecuted:
    """The receiver said that the request did not run there.

    :ivar receiver: backend server or peer.
    :ivar reason: what it said.
    """

    receiver: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """It may have run: no whole answer came in time.

    :ivar receiver: backend server or peer.
    :ivar reason: for people.
    """

    receiver: str
    reason: str


CallOutcome = Answered | NotExecuted | OutcomeUnknown
#: Hears of an outcome that came after the caller had its final answer.
LateOutcomeListener = Callable[[Request, CallOutcome], None]


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
        self._abandoned_calls: set[asyncio.Task[ServiceOutcome]] = set()
        self.on_late_outcome: LateOutcomeListener = lambda request, outcome: (
            None
        )

    async def call(
        self, request: Request, deadline_ms: int, tried: tuple[str, ...]
    ) -> CallOutcome | NoFreeSlot:
        """Send a request to a chosen server, once.

        :param request: the request.
        :param deadline_ms: monotonic time of its deadline, in milliseconds.
        :param tried: receivers that it already went to.
        :returns: tagged outcome.
        """
        slot = self._take_slot(request.service, frozenset(tried))
        if slot is None:
            return NoFreeSlot()
        time_left_ms = max(1, deadline_ms - slot.taken_ms)
        call = ServiceCall(
            # A new id for each sending: the late answer of an earlier one
            # must not pass for the answer of this one.
            f'{request.request_id}.{len(tried)}',
            request.service,
            request.path,
            request.body,
            time_left_ms,
        )
        task = asyncio.ensure_future(
            self._servers.serve(slot.held.host, slot.held.port, call)
        )
        await asyncio.wait((task,), timeout=time_left_ms / _MS_IN_S)
        if not task.done():
            self._abandon_call(task, request, call, slot)
            return OutcomeUnknown(
                slot.held.server_id, 'no answer before the deadline'
            )
        return self._apply_outcome(self._outcome_of(task, call), slot, call)

    def _take_slot(self, service: str, tried: frozenset[str]) -> Slot | None:
        for _ in range(MAX_CHOICES):
            now_ms = self._clock.monotonic_ms()
            server_id = self._table.choose(service, now_ms, tried)
            if server_id is None:
                return None
            # Read again: the process may have been frozen since.
            slot = self._table.take(server_id, self._clock.monotonic_ms())
            if slot is not None:
                return slot
        return None

    def _outcome_of(
        self, task: asyncio.Task[ServiceOutcome], call: ServiceCall
    ) -> ServiceOutcome:
        if task.cancelled():
            return ServiceUnknown('the call was cancelled')
        error = task.exception()
        if error is not None:
            # A fault of an adapter must not leak the slot, nor pass for
            # proof that the server did nothing.
            self._metrics.count('server_port_faults_total')
            return ServiceUnknown(f'{type(error).__name__}: {error}')
        outcome = task.result()
        is_mismatched = (
            isinstance(outcome, ServiceAnswer)
            and outcome.request_id != call.request_id
        )
        if is_mismatched:
            self._metrics.count('foreign_answers_total')
            return ServiceUnknown('the answer belongs to another request')
        return outcome

    def _apply_outcome(
        self, outcome: ServiceOutcome, slot: Slot, call: ServiceCall
    ) -> CallOutcome:
        now_ms = self._clock.monotonic_ms()
        server_id = slot.held.server_id
        match outcome:
            case ServiceAnswer(
                status=status, content_type=content_type, body=body
            ):
                require(
                    outcome.request_id == call.request_id,
                    Invariant.whole_answer,
                    f'{outcome.request_id} answers {call.request_id}',
                )
                latency_ms = self._table.answered(slot, now_ms)
                self._metrics.latency(
                    'server_call', latency_ms, service=call.service
                )
                return Answered(status, content_type, body, server_id)
            case ServiceNotRun(reason=reason):
                self._table.release(slot, now_ms)
                self._record_failure(slot, now_ms)
                return NotExecuted(server_id, reason)
            case ServiceUnknown(reason=reason):
                # The server may go on until the deadline that it was given.
                end_ms = slot.taken_ms + call.deadline_ms + self._overrun_ms
                self._table.abandon(slot, end_ms)
                self._record_failure(slot, now_ms)
                return OutcomeUnknown(server_id, reason)

    def _record_failure(self, slot: Slot, now_ms: int) -> None:
        if self._table.record_failure(slot, now_ms):
            self._metrics.count(
                'server_ejections_total', server=slot.held.server_id
            )

    def _abandon_call(
        self,
        task: asyncio.Task[ServiceOutcome],
        request: Request,
        call: ServiceCall,
        slot: Slot,
    ) -> None:
        now_ms = self._clock.monotonic_ms()
        self._table.abandon(slot, now_ms + self._overrun_ms)
        self._record_failure(slot, now_ms)
        loop = asyncio.get_running_loop()
        cancel_timer = loop.call_later(self._overrun_ms / _MS_IN_S, task.cancel)
        self._abandoned_calls.add(task)

        def _on_done(done: asyncio.Task[ServiceOutcome]) -> None:
            cancel_timer.cancel()
            self._abandoned_calls.discard(done)
            self._apply_late_outcome(
                self._outcome_of(done, call), request, slot
            )

        task.add_done_callback(_on_done)

    def _apply_late_outcome(
        self, outcome: ServiceOutcome, request: Request, slot: Slot
    ) -> None:
        now_ms = self._clock.monotonic_ms()
        server_id = slot.held.server_id
        match outcome:
            case ServiceAnswer(
                status=status, content_type=content_type, body=body
            ):
                self._metrics.count('late_answers_total')
                self._table.release(slot, now_ms)
                self.on_late_outcome(
                    request, Answered(status, content_type, body, server_id)
                )
            case ServiceNotRun(reason=reason):
                self._table.release(slot, now_ms)
                self.on_late_outcome(request, NotExecuted(server_id, reason))
            case ServiceUnknown():
                self._metrics.count('late_unknown_total')
