"""Task that owns the conversation with one backend server."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable, Coroutine

from waxwingford.scheduling import (
    Engine,
    Looked,
    Pace,
    Run,
    RunKey,
    RunPhase,
    Server,
    TaskRunners,
)
from waxwingford.shard._times import MS_IN_S, steady_ms

#: Longest wait of a look for an end, in ms: progress and tails are read no
#: less often than this.
LOOK_WAIT_MS = 1000
#: Looks that fit into a lease at least: it is extended with each.
LOOKS_A_LEASE = 4
#: The same where fills run beside tasks that serve, in ms: loads swing within
#: seconds. With many such servers looks are as far apart as the processor needs:
#: at most so many a second, and no further apart than the half second that a
#: listed tail covers.
WATCHED_WAIT_MS = 250
MOST_WATCHED_WAIT_MS = 500
WATCHED_LOOKS_PER_S = 65
#: The same while the outcome of an order is open, or a task has the server for
#: itself until it is known whether it crashes it, in ms.
DOUBT_WAIT_MS = 60
#: Pause between two looks, in ms: ends that come close together are listed
#: by one look. It adds to each step of a job, which matters for short urgent
#: ones only, so it is longer where nothing but fills and lasting tasks runs.
LOOK_GAP_MS = 25
CALM_GAP_MS = 120
#: With an event loop that runs late, looks are further apart by so many times what
#: it is later than usual, up to so many seconds: two looks still fit into a lease.
USUAL_LAG_S = 0.02
PUT_OFF_LAGS = 12
MOST_PUT_OFF_S = 1.4
#: Longest time without a look at an idle server, in seconds: its clock is read
#: with each, and the first lease after it is shorter by what the clock may have
#: fallen behind meanwhile, 1.2 s of 5 s.
IDLE_LOOK_S = 30
#: Pause after a look that failed, in ms.
FAILED_GAP_MS = 150
#: Longest wait for ends to be stored before the next look, in seconds.
STORE_WAIT_S = 1.0
#: Orders to one server at a time, besides the look.
MOST_ORDERS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class DriverPorts:
    """What all drivers of an owner share.

    :ivar runners: way to the servers.
    :ivar extends: tells whether leases may be extended.
    :ivar until_extends: waits until they may be.
    :ivar stir: called after each answer.
    :ivar watch: called with each task that has ended.
    :ivar lag_s: tells how late the event loop runs, in seconds.
    """

    runners: TaskRunners
    extends: Callable[[], bool]
    until_extends: Callable[[], Awaitable[None]]
    stir: Callable[[], None]
    watch: Callable[[asyncio.Task[None]], None]
    lag_s: Callable[[], float]


class ServerDriver:
    """Looks at a server and sends it orders.

    :ivar server: which.
    """

    def __init__(
        self, server: Server, engine: Engine, ports: DriverPorts
    ) -> None:
        """Begin to look at a server.

        :param server: which.
        :param engine: decides.
        :param ports: what all drivers share.
        """
        self.server = server
        self._engine = engine
        self._runners = ports.runners
        self._extends = ports.extends
        self._until_extends = ports.until_extends
        self._stir = ports.stir
        self._wanted = asyncio.Event()
        self._orders = asyncio.Semaphore(MOST_ORDERS)
        self._told_end = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._watch = ports.watch
        self._lag_s = ports.lag_s
        self._looker = asyncio.create_task(self._look_on())
        self._looker.add_done_callback(self._watch)

    def close(self) -> None:
        """Stop talking to the server."""
        self._looker.cancel()
        for task in self._tasks:
            task.cancel()

    def wake(self) -> None:
        """Look soon: runs were started, or ends were stored."""
        self._wanted.set()

    def start(self, run: Run) -> None:
        """Send a start.

        :param run: whose record is stored.
        """
        self._spawn(self._start(run))
        self.wake()

    def stop(self, key: RunKey) -> None:
        """Send a stop.

        :param key: which run.
        """
        self._spawn(self._stop(key))
        self.wake()

    def pace(self, order: Pace) -> None:
        """Send a change of pace.

        :param order: which run, which pace.
        """
        self._spawn(self._pace(order))

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(self._watch)

    async def _start(self, run: Run) -> None:
        sent = False
        while not sent:
            # Outside of the places for orders: changes of pace need no proof.
            await self._until_extends()
            async with self._orders:
                sent = await self._send_start(run)
        self._stir()

    async def _send_start(self, run: Run) -> bool:
        """Send a start, if leases may still be extended.

        Orders before it may have taken seconds. A start carries a lease, and one
        without a proof of ownership would outlast what a successor waits for: the
        task would run twice.

        :param run: whose record is stored.
        :returns: whether it was sent or is no longer wanted.
        """
        # Read first: frozen in between, the VM would give a longer lease.
        now_ms = steady_ms()
        if not self._extends():
            return False
        order = self._engine.orders.start(run, now_ms)
        if order is not None:
            outcome = await self._runners.start(self.server.address, order)
            self._engine.start_answered(self.server, run, steady_ms(), outcome)
        return True

    async def _stop(self, key: RunKey) -> None:
        outcome = await self._runners.stop(
            self.server.address, key, self._engine.orders.token
        )
        self._engine.settler.stop_answered(
            self.server, key, steady_ms(), outcome
        )
        self._stir()

    async def _pace(self, order: Pace) -> None:
        async with self._orders:
            outcome = await self._runners.pace(
                self.server.address,
                order.key,
                order.percent,
                self._engine.orders.token,
            )
        self._engine.pacer.answered(self.server, order, outcome)

    async def _look_on(self) -> None:
        while not self.server.gone:
            await self._until_needed()
            sent_ms = steady_ms()
            order = self._engine.orders.look(
                self.server, sent_ms, self._wait_ms(), self._extends()
            )
            outcome = await self._runners.look(self.server.address, order)
            if isinstance(outcome, Looked):
                self._told_end = order.seen_end
            self._engine.looked(self.server, sent_ms, steady_ms(), outcome)
            self._stir()
            await self._pause()

    async def _until_needed(self) -> None:
        server = self.server
        if server.looked_ms < 0 or server.failing_ms is not None:
            return
        # Ends are acknowledged by the look after the one that listed them; an idle
        # server would list its last ones for as long as it stays idle.
        owes_ends = self._told_end < server.seen_end
        if not (server.run_by_key or server.strangers or owes_ends):
            await self._until_wanted(IDLE_LOOK_S)

    def _wait_ms(self) -> int:
        server = self.server
        if server.looked_ms < 0 or server.failing_ms is not None:
            return 0
        if server.reserved_for is not None and server.fresh:
            return DOUBT_WAIT_MS
        if server.strangers or any(map(_open, server.run_by_key.values())):
            return DOUBT_WAIT_MS
        if self._engine.pacer.watches(server):
            return _watched_wait_ms(self._engine.pacer.watched)
        return min(LOOK_WAIT_MS, self._engine.orders.lease_ms // LOOKS_A_LEASE)

    async def _pause(self) -> None:
        if self.server.failing_ms is not None:
            # Answers that were read too late look like this too: to look again
            # at once would keep the loop late for good.
            await asyncio.sleep(
                FAILED_GAP_MS / MS_IN_S + _put_off_s(self._lag_s())
            )
            return
        until_s = asyncio.get_running_loop().time() + STORE_WAIT_S
        gap_s = _gap_ms(self.server) / MS_IN_S
        await asyncio.sleep(gap_s + _put_off_s(self._lag_s()))
        while self.server.seen_end < self.server.taken_end:
            # The ends would only be listed again until they are stored.
            left_s = until_s - asyncio.get_running_loop().time()
            if left_s <= 0:
                break
            if not await self._until_wanted(left_s):
                break

    async def _until_wanted(self, longest_s: float) -> bool:
        """Wait until a look is wanted.

        :param longest_s: how long at most.
        :returns: whether one is, in time.
        """
        self._wanted.clear()
        try:
            await asyncio.wait_for(self._wanted.wait(), longest_s)
        except TimeoutError:
            return False
        return True


def _gap_ms(server: Server) -> int:
    urgent = any(
        not (step.spec.fills or step.spec.lasting)
        for step in server.step_by_run.values()
    )
    return LOOK_GAP_MS if urgent else CALM_GAP_MS


def _watched_wait_ms(servers: int) -> int:
    apart_ms = servers * MS_IN_S // WATCHED_LOOKS_PER_S - CALM_GAP_MS
    return min(MOST_WATCHED_WAIT_MS, max(WATCHED_WAIT_MS, apart_ms))


def _put_off_s(lag_s: float) -> float:
    return min(MOST_PUT_OFF_S, PUT_OFF_LAGS * max(0, lag_s - USUAL_LAG_S))


def _open(run: Run) -> bool:
    return run.stopping or run.phase is RunPhase.doubtful
