"""Calls to backend servers, with deadlines and late answers."""

import asyncio
import dataclasses
from collections.abc import Callable

from waxwingford.kernel import Clock, Invariant, check_invariant
from waxwingford.ports import (
    BackendServerPort,
    ServiceAnswer,
    ServiceCall,
    ServiceNotRun,
    ServiceOutcome,
    ServiceOutcomeUnknown,
)
from waxwingford.routing._messages import Answered, Request
from waxwingford.routing._ports import RequestMetrics
from waxwingford.routing._slots import Slot, SlotTable

_MS_IN_S = 1000
#: Maximum attempts to choose a server whose lease is valid at dispatch.
MAX_CHOICES = 4


@dataclasses.dataclass(frozen=True, slots=True)
class NoFreeSlot:
    """No held server has a free slot; the request was not sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotExecuted:
    """The receiver reported that it did not execute the request.

    :ivar receiver: backend server or peer.
    :ivar reason: reason given by the receiver.
    """

    receiver: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The request may have been executed; no complete answer arrived in time.

    :ivar receiver: backend server or peer.
    :ivar reason: human-readable reason.
    """

    receiver: str
    reason: str


CallOutcome = Answered | NotExecuted | OutcomeUnknown
#: Called with an outcome that arrived after the caller was answered.
LateOutcomeListener = Callable[[Request, CallOutcome], None]


class ServerCalls:
    """Sends calls to held backend servers and tracks them until they end.

    :ivar on_late_outcome: called with each outcome that arrives after the
        deadline.
    """

    def __init__(
        self,
        table: SlotTable,
        servers: BackendServerPort,
        clock: Clock,
        metrics: RequestMetrics,
        overrun_ms: int,
    ) -> None:
        """Create an instance without calls in flight.

        :param servers: client for the backend servers.
        :param clock: source of monotonic time.
        :param overrun_ms: maximum time by which a server overruns a deadline,
            in milliseconds.
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
        """Send a request once, to a server chosen by the slot table.

        :param deadline_ms: monotonic time of the deadline, in milliseconds.
        :param tried: receivers that the request was already sent to.
        """
        slot = self._take_slot(request.service, frozenset(tried))
        if slot is None:
            return NoFreeSlot()
        time_left_ms = max(1, deadline_ms - slot.taken_ms)
        call = ServiceCall(
            # The id is unique per attempt, so that a late answer to an
            # earlier attempt is not taken for the answer to this one.
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
                slot.held.server_id,
                'deadline exceeded before an answer arrived',
            )
        return self._apply_outcome(self._outcome_of(task, call), slot, call)

    def _take_slot(self, service: str, tried: frozenset[str]) -> Slot | None:
        for _ in range(MAX_CHOICES):
            now_ms = self._clock.monotonic_ms()
            server_id = self._table.choose(service, now_ms, tried)
            if server_id is None:
                return None
            # Read the clock again: the process may have been suspended.
            slot = self._table.take(server_id, self._clock.monotonic_ms())
            if slot is not None:
                return slot
        return None

    def _outcome_of(
        self, task: asyncio.Task[ServiceOutcome], call: ServiceCall
    ) -> ServiceOutcome:
        if task.cancelled():
            return ServiceOutcomeUnknown('call was cancelled')
        error = task.exception()
        if error is not None:
            # An exception in the adapter must not leak the slot and does not
            # prove that the server did not execute the call.
            self._metrics.count('server_port_faults_total')
            return ServiceOutcomeUnknown(f'{type(error).__name__}: {error}')
        outcome = task.result()
        is_mismatched = (
            isinstance(outcome, ServiceAnswer)
            and outcome.request_id != call.request_id
        )
        if is_mismatched:
            self._metrics.count('foreign_answers_total')
            return ServiceOutcomeUnknown(
                'request id of the answer does not match the call'
            )
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
                check_invariant(
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
            case ServiceOutcomeUnknown(reason=reason):
                # The server may run the call until the deadline it was given.
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
            case ServiceOutcomeUnknown():
                self._metrics.count('late_unknown_total')
