"""Sends orders to one backend server."""

import asyncio
import collections
import dataclasses
from collections.abc import Awaitable, Callable, Coroutine

from waxwingford.scheduling import (
    BackendClient,
    Engine,
    Pace,
    Run,
    RunKey,
    Server,
)
from waxwingford.shard._clocks import monotonic_ms
from waxwingford.shard._supervision import ErrorReport

#: Concurrent orders to one server, not counting the poll.
MAX_CONCURRENT_ORDERS = 2
#: Time in seconds after which the task of a start that has failed by an unexpected
#: error may be placed again.
FAILED_START_DELAY_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class DriverPorts:
    """Dependencies that all drivers of an owner share.

    :ivar ownership_proven: returns whether ownership of the shard is proven
        recently enough to grant leases.
    :ivar on_answer: called after an answer to a start, a stop or a poll.
    :ivar errors: told of unexpected errors, each of which concerns one server only.
    """

    backend_client: BackendClient
    ownership_proven: Callable[[], bool]
    wait_until_proven: Callable[[], Awaitable[None]]
    on_answer: Callable[[], None]
    errors: ErrorReport
    loop_lag_s: Callable[[], float]


class OrderSender:
    """Sends starts, stops and changes of pace."""

    def __init__(
        self, server: Server, engine: Engine, ports: DriverPorts
    ) -> None:
        """Create a sender without any order."""
        self._server = server
        self._engine = engine
        self._backend_client = ports.backend_client
        self._ownership_proven = ports.ownership_proven
        self._wait_until_proven = ports.wait_until_proven
        self._on_answer = ports.on_answer
        self._errors = ports.errors
        self._slots = asyncio.Semaphore(MAX_CONCURRENT_ORDERS)
        self._tasks: set[asyncio.Task[None]] = set()
        #: Starts that wait for a slot; jobs take turns.
        self._starts_by_job: dict[str, collections.deque[Run]] = {}
        self._senders = 0

    def close(self) -> None:
        """Cancel all orders."""
        for task in self._tasks:
            task.cancel()

    def start(self, run: Run) -> None:
        """Send an order to start a run.

        :param run: run whose record is stored.
        """
        job_id = run.key.task.job_id
        waiting = self._starts_by_job.setdefault(job_id, collections.deque())
        waiting.append(run)
        if self._senders < MAX_CONCURRENT_ORDERS:
            self._senders += 1
            self._spawn('start', self._send_starts())

    def stop(self, key: RunKey) -> None:
        """Send an order to stop a run."""
        self._spawn('stop', self._stop(key))

    def pace(self, order: Pace) -> None:
        """Send a change of pace."""
        self._spawn('pace', self._pace(order))

    def _spawn(self, name: str, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(self._errors.add_failed_task)

    async def _send_starts(self) -> None:
        """Send starts until none waits."""
        try:
            while self._starts_by_job:
                await self._start(self._next_start())
        finally:
            self._senders -= 1

    def _next_start(self) -> Run:
        """Take a start of the job that comes next.

        Thousands of starts of a gang would keep those of others waiting for seconds.
        """
        job_id = next(iter(self._starts_by_job))
        waiting = self._starts_by_job.pop(job_id)
        run = waiting.popleft()
        if waiting:
            self._starts_by_job[job_id] = waiting
        return run

    async def _start(self, run: Run) -> None:
        try:
            await self._start_once_proven(run)
        except Exception as error:
            self._errors.add('start', error, task=str(run.key.task))
            self._spawn('failed start', _stop_later(run))

    async def _start_once_proven(self, run: Run) -> None:
        sent = False
        while not sent:
            # Wait before taking a slot: changes of pace need no proof.
            await self._wait_until_proven()
            async with self._slots:
                sent = await self._send_start(run)
        self._on_answer()

    async def _send_start(self, run: Run) -> bool:
        """Send a start if ownership is proven.

        Waiting for a slot may have taken seconds. A start grants a lease; one
        granted without a proof of ownership could outlast the time that a
        successor waits, and the task would run twice.

        :returns: whether the start was sent or is no longer needed.
        """
        # Before the check: if the VM is suspended in between, the lease is
        # shorter rather than longer.
        now_ms = monotonic_ms()
        if not self._ownership_proven():
            return False
        order = self._engine.orders.start(run, now_ms)
        if order is not None:
            outcome = await self._backend_client.start(
                self._server.address, order
            )
            self._engine.start_answered(
                self._server, run, monotonic_ms(), outcome
            )
        return True

    async def _stop(self, key: RunKey) -> None:
        outcome = await self._backend_client.stop(
            self._server.address, key, self._engine.orders.token
        )
        self._engine.settler.stop_answered(
            self._server, key, monotonic_ms(), outcome
        )
        self._on_answer()

    async def _pace(self, order: Pace) -> None:
        async with self._slots:
            outcome = await self._backend_client.pace(
                self._server.address,
                order.key,
                order.percent,
                self._engine.orders.token,
            )
        self._engine.pacer.answered(self._server, order, outcome)


async def _stop_later(run: Run) -> None:
    """Have a run stopped, or its task would wait for it for ever."""
    await asyncio.sleep(FAILED_START_DELAY_S)
    run.stopping = True
