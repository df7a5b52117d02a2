"""Request dispatcher: entry point of the request path."""

import asyncio
import dataclasses
import random
from collections.abc import Mapping

from waxwingford.kernel import Invariant, check_invariant
from waxwingford.routing._admission import AdmissionController, Admitted, Shed
from waxwingford.routing._evidence import NeverSent, refuse, refuse_or_unknown
from waxwingford.routing._key_gate import KeyGate
from waxwingford.routing._key_messages import MayRun
from waxwingford.routing._limits import DispatchLimits, ServiceLimits
from waxwingford.routing._messages import (
    KeyLookupAnswer,
    LeasedServer,
    Outcome,
    PeerView,
    Rejected,
    Request,
    Unknown,
)
from waxwingford.routing._router import DispatchPorts, Router

_MS_IN_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Drained:
    """All requests have ended and new ones are refused."""


@dataclasses.dataclass(frozen=True, slots=True)
class DrainTimedOut:
    """Requests are still in progress after the timeout."""

    in_progress: int


class RequestDispatcher:
    """Handles all requests of one daemon."""

    def __init__(
        self,
        *,
        daemon_id: str,
        failure_domain: str,
        ports: DispatchPorts,
        rng: random.Random,
        limits: DispatchLimits,
    ) -> None:
        """Create a dispatcher without servers, peers and service limits.

        :param daemon_id: id of this daemon.
        :param failure_domain: failure domain of this daemon.
        """
        self._ports = ports
        self._admission = AdmissionController(limits.in_progress, rng)
        self._gate = KeyGate(daemon_id, limits, ports.peers, ports.clock)
        self._router = Router(failure_domain, ports, rng, limits)
        self._router.calls.on_late_outcome = self._gate.record_late_outcome
        self._in_progress: set[asyncio.Task[Outcome]] = set()
        self._draining = False

    def set_servers(self, servers: tuple[LeasedServer, ...]) -> None:
        """Replace the set of held servers.

        Must be called at least once a second: the intervals between calls
        also reveal when the process was suspended.
        """
        self._gate.tick()
        self._router.table.set_servers(servers, self._now_ms())

    def set_peers(self, peers: tuple[PeerView, ...]) -> None:
        """Replace the views of peers.

        :param peers: all other daemons of the region, including unreachable
            ones, because a retry may only run after each of them was queried.
        """
        self._router.peer_table.set_peers(peers)

    def set_limits(self, limits: Mapping[str, ServiceLimits]) -> None:
        """Replace the limits of services."""
        self._admission.set_limits(limits)
        self._router.set_limits(limits)

    async def handle(self, request: Request) -> Outcome:
        """Serve, forward or refuse a request.

        Cancellation by the caller does not cancel the request: its slot and
        idempotency key stay in use until the call has ended.
        """
        if self._draining:
            retry_after_ms = self._admission.retry_after_ms(request.service)
            return refuse_or_unknown(
                request, 'daemon is stopping', retry_after_ms
            )
        if request.attempt > 1 and not request.idempotent and not request.key:
            return Rejected(
                'retry of a non-idempotent request requires an idempotency key'
            )
        task = asyncio.ensure_future(self._handle(request, self._now_ms()))
        self._in_progress.add(task)
        task.add_done_callback(self._in_progress.discard)
        return await asyncio.shield(task)

    def answer_key_lookup(
        self, member: str, key: str, body_digest: bytes, asker: str
    ) -> KeyLookupAnswer:
        """Answer a key lookup by another daemon and record the lookup.

        :param member: owner of the key.
        :param body_digest: digest of service, path and body.
        :param asker: id of the daemon that sent the lookup.
        :returns: state of the key on this daemon.
        """
        return self._gate.answer_lookup(member, key, body_digest, asker)

    def spare_by_service(self) -> dict[str, int]:
        """Count free slots, for heartbeats.

        :returns: free slots by service; all 0 while the dispatcher drains.
        """
        table = self._router.table
        table.process_due(self._now_ms())
        return {
            service: 0 if self._draining else pool.free_slots
            for service, pool in table.pool_by_service.items()
        }

    def busy_share_by_server(self) -> dict[str, float]:
        """Compute the slot utilization of each held server.

        :returns: calls in flight as a fraction of the slots, by server.
        """
        return {
            server_id: state.in_flight / max(1, state.held.slots)
            for server_id, state in self._router.table.state_by_server.items()
            if not state.removed
        }

    def expected_ms_by_service(self) -> dict[str, float]:
        """Estimate the latency of each service, for heartbeats.

        :returns: latency by service, in milliseconds; 0 without measurements.
        """
        return {
            service: pool.latency_ms
            for service, pool in self._router.table.pool_by_service.items()
        }

    async def drain(self, timeout_ms: int) -> Drained | DrainTimedOut:
        """Refuse new requests and wait for those in progress.

        :param timeout_ms: maximum time to wait, in milliseconds.
        """
        self._draining = True
        self._ports.timeline.note(
            'dispatcher.draining',
            'dispatcher',
            f'{len(self._in_progress)} in progress',
        )
        if self._in_progress:
            await asyncio.wait(
                tuple(self._in_progress), timeout=timeout_ms / _MS_IN_S
            )
        if self._in_progress:
            return DrainTimedOut(len(self._in_progress))
        remaining = self._admission.in_progress()
        check_invariant(
            remaining == 0,
            Invariant.graceful_stop,
            f'{remaining} requests still admitted after the drain',
        )
        return Drained()

    async def _handle(self, request: Request, start_ms: int) -> Outcome:
        now_ms = self._now_ms()
        self._admission.record_wait(now_ms - start_ms, now_ms)
        if request.idempotent or not request.key:
            outcome = await self._admit(request, start_ms)
        else:
            outcome = await self._handle_keyed(request, start_ms)
        self._record_outcome(request, outcome, start_ms)
        return outcome

    async def _handle_keyed(self, request: Request, start_ms: int) -> Outcome:
        daemon_ids = self._router.peer_table.daemon_ids()
        decision = await self._gate.enter(request, daemon_ids)
        if not isinstance(decision, MayRun):
            return decision
        # Recorded if an exception ends the attempt: it may have been executed.
        outcome: Outcome = Unknown('internal error in the daemon', 0)
        try:
            outcome = await self._admit(request, start_ms)
        finally:
            self._gate.finish(request, outcome)
        return outcome

    async def _admit(self, request: Request, start_ms: int) -> Outcome:
        decision = self._admission.admit(
            request.service,
            request.member,
            request.urgency,
            self._router.free_slots(request),
            start_ms,
        )
        match decision:
            case Shed(reason=reason, retry_after_ms=retry_after_ms):
                return refuse(NeverSent(reason), retry_after_ms)
            case Admitted():
                return await self._route(request, decision, start_ms)

    async def _route(
        self, request: Request, admitted: Admitted, start_ms: int
    ) -> Outcome:
        try:
            return await self._router.route(
                request,
                start_ms + request.deadline_ms,
                self._admission.retry_after_ms(request.service),
            )
        finally:
            self._admission.release(admitted)

    def _record_outcome(
        self, request: Request, outcome: Outcome, start_ms: int
    ) -> None:
        service = request.service
        kind = type(outcome).__name__.lower()
        metrics = self._ports.metrics
        metrics.count('requests_total', service=service, outcome=kind)
        elapsed_ms = self._now_ms() - start_ms
        metrics.latency('request', elapsed_ms, service=service, outcome=kind)
        if isinstance(outcome, Unknown):
            self._ports.timeline.note(
                'request.unknown',
                f'request:{request.request_id}',
                outcome.reason,
            )

    def _now_ms(self) -> int:
        return self._ports.clock.monotonic_ms()
