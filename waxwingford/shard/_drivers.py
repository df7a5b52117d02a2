"""Polls one backend server and sends it orders."""

import asyncio

from waxwingford.scheduling import (
    Engine,
    OrderOutcomeUnknown,
    Pace,
    PollResult,
    Run,
    RunKey,
    RunPhase,
    Server,
    owes_stops,
)
from waxwingford.shard._clocks import MS_PER_S, monotonic_ms
from waxwingford.shard._order_sender import DriverPorts, OrderSender

#: Longest time that a server may hold a poll until a run ends, in ms. It bounds
#: the age of reported progress and latencies.
POLL_WAIT_MS = 1000
#: Polls within the length of a lease, at least: each poll extends the lease.
MIN_POLLS_PER_LEASE = 4
#: Bounds of the hold time where best-effort tasks share servers with serving
#: tasks, in ms, as loads change within seconds. The hold time grows with the
#: number of such servers, to limit the polls per second of all of them. The
#: upper bound is the window that a reported tail latency covers.
COLOCATED_WAIT_MS = 250
MAX_COLOCATED_WAIT_MS = 500
COLOCATED_POLLS_PER_S = 65
#: Hold time while the outcome of an order is unresolved, or while a suspected
#: task runs alone on the server, in ms.
UNRESOLVED_WAIT_MS = 60
#: Gap between two polls, in ms, so that one poll reports runs that end close
#: together. The gap delays each step of a job, so it is longer where only
#: best-effort and long-running tasks run.
POLL_GAP_MS = 25
BACKGROUND_GAP_MS = 120
#: Number of unknown runs of a server above which the gap is this long, in ms: reading
#: thousands of rows takes some 10 ms, and stopping these runs takes seconds.
MANY_UNKNOWN_RUNS = 50
UNKNOWN_RUNS_GAP_MS = 500
#: The gap between polls is lengthened by this multiple of the event loop lag in
#: excess of the normal lag, up to a maximum that allows two polls in a lease.
NORMAL_LAG_S = 0.02
LAG_BACKOFF_FACTOR = 12
MAX_LAG_BACKOFF_S = 1.4
#: The same maximum after a failed poll.
MAX_RETRY_BACKOFF_S = 0.3
#: Longest time between polls of an idle server, in seconds. Each poll reads the
#: server's clock, and the first lease after a pause is shortened by the possible
#: drift since then: by 1.2 s of 5 s at most.
IDLE_POLL_INTERVAL_S = 30
#: Delay after a failed poll, in ms.
RETRY_DELAY_MS = 150
#: Longest wait for end reports to be stored before the next poll, in seconds.
MAX_STORE_WAIT_S = 1.0


class ServerDriver:
    """Polls a server and sends it orders.

    :ivar server: state of the server in the engine.
    :ivar probing: whether the next poll is not to be held.
    """

    def __init__(
        self, server: Server, engine: Engine, ports: DriverPorts
    ) -> None:
        """Start polling a server."""
        self.server = server
        self.probing = False
        self._engine = engine
        self._backend_client = ports.backend_client
        self._ownership_proven = ports.ownership_proven
        self._on_answer = ports.on_answer
        self._wake_event = asyncio.Event()
        self._orders = OrderSender(server, engine, ports)
        self._errors = ports.errors
        self._loop_lag_s = ports.loop_lag_s
        self._poll_task = asyncio.create_task(
            self._poll_loop(), name='poll loop'
        )
        self._poll_task.add_done_callback(self._errors.add_failed_task)

    def close(self) -> None:
        """Cancel the poll and all orders."""
        self._poll_task.cancel()
        self._orders.close()

    def wake(self) -> None:
        """Poll without delay, as runs were started or end reports stored."""
        self._wake_event.set()

    def start(self, run: Run) -> None:
        """Send an order to start a run.

        :param run: run whose record is stored.
        """
        self._orders.start(run)
        self.wake()

    def stop(self, key: RunKey) -> None:
        """Send an order to stop a run."""
        self._orders.stop(key)
        self.wake()

    def pace(self, order: Pace) -> None:
        """Send a change of pace."""
        self._orders.pace(order)

    async def _poll_loop(self) -> None:
        while not self.server.replaced:
            await self._wait_until_due()
            sent_ms = monotonic_ms()
            try:
                await self._poll(sent_ms)
            except Exception as error:
                self._errors.add(
                    'poll', error, server=self.server.entry.server_id
                )
                self._engine.settler.poll_answered(
                    self.server,
                    sent_ms,
                    monotonic_ms(),
                    OrderOutcomeUnknown(f'answer not applied: {error!r}'),
                )
            self._on_answer()
            await self._pause()

    async def _poll(self, sent_ms: int) -> None:
        order = self._engine.orders.poll(
            self.server, sent_ms, self._wait_ms(), self._ownership_proven()
        )
        outcome = await self._backend_client.poll(self.server.address, order)
        self._engine.poll_answered(
            self.server, sent_ms, monotonic_ms(), outcome
        )
        if isinstance(outcome, PollResult) and not self.server.replaced:
            self.server.forgotten_end = max(
                self.server.forgotten_end, outcome.acknowledged_end
            )

    async def _wait_until_due(self) -> None:
        server = self.server
        if server.polled_ms < 0 or server.failing_since_ms is not None:
            return
        # A poll acknowledges the end reports of the one before. Without it an
        # idle server would keep its last reports.
        has_runs = server.run_by_key or server.unknown_runs
        # A restart must be found before the next incarnation carries out a start
        # that counts as never begun.
        restart_matters = server.claimed_ms or server.starts_in_doubt
        if not (has_runs or server.next_acknowledgement or restart_matters):
            await self._wait_for_wake(IDLE_POLL_INTERVAL_S)

    def _wait_ms(self) -> int:
        server = self.server
        probing = self.probing
        self.probing = False
        failing = server.failing_since_ms is not None
        if probing or failing or server.polled_ms < 0:
            return 0
        if server.reserved_for is not None and server.recent_starts:
            return UNRESOLVED_WAIT_MS
        if owes_stops(server) or any(
            map(_is_unresolved, server.run_by_key.values())
        ):
            return UNRESOLVED_WAIT_MS
        if self._engine.pacer.needs_frequent_polls(server):
            return _colocated_wait_ms(self._engine.pacer.watched_servers)
        return min(
            POLL_WAIT_MS, self._engine.orders.lease_ms // MIN_POLLS_PER_LEASE
        )

    async def _pause(self) -> None:
        if self.server.failing_since_ms is not None:
            # A poll also fails if its answer is read too late; an immediate
            # retry would add to the load of the event loop. The lease of the
            # server isn't extended before it has answered.
            backoff_s = _lag_backoff_s(self._loop_lag_s())
            await asyncio.sleep(
                RETRY_DELAY_MS / MS_PER_S + min(backoff_s, MAX_RETRY_BACKOFF_S)
            )
            return
        deadline_s = asyncio.get_running_loop().time() + MAX_STORE_WAIT_S
        gap_s = _gap_ms(self.server) / MS_PER_S
        await asyncio.sleep(gap_s + _lag_backoff_s(self._loop_lag_s()))
        while _awaits_storage(self.server):
            # Reports that are not stored yet would only be listed again.
            left_s = deadline_s - asyncio.get_running_loop().time()
            if left_s <= 0:
                break
            if not await self._wait_for_wake(left_s):
                break

    async def _wait_for_wake(self, timeout_s: float) -> bool:
        self._wake_event.clear()
        try:
            await asyncio.wait_for(self._wake_event.wait(), timeout_s)
        except TimeoutError:
            return False
        return True


def _gap_ms(server: Server) -> int:
    if len(server.unknown_runs) > MANY_UNKNOWN_RUNS:
        return UNKNOWN_RUNS_GAP_MS
    urgent = any(
        not (step.spec.best_effort or step.spec.long_running)
        for step in server.step_by_run.values()
    )
    return POLL_GAP_MS if urgent else BACKGROUND_GAP_MS


def _colocated_wait_ms(servers: int) -> int:
    rate_limited_ms = (
        servers * MS_PER_S // COLOCATED_POLLS_PER_S - BACKGROUND_GAP_MS
    )
    return min(MAX_COLOCATED_WAIT_MS, max(COLOCATED_WAIT_MS, rate_limited_ms))


def _lag_backoff_s(loop_lag_s: float) -> float:
    return min(
        MAX_LAG_BACKOFF_S,
        LAG_BACKOFF_FACTOR * max(0, loop_lag_s - NORMAL_LAG_S),
    )


def _awaits_storage(server: Server) -> bool:
    pending = server.acknowledged_end < server.processed_end
    return pending and not server.keeps_ends


def _is_unresolved(run: Run) -> bool:
    return run.stopping or run.phase is RunPhase.unresolved
