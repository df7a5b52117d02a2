"""Tells how late an owner learns what its servers answer.

Orders wait in the event loop of an owner whose processor is the limit, and in the
link of one whose network is.  In both cases answers come after their timeouts though
the servers are well, and more orders at a time make it worse.
"""

import asyncio
import collections
import statistics
from collections.abc import Awaitable, Callable
from typing import NamedTuple, TypeVar

from waxwingford.scheduling import (
    Address,
    BackendClient,
    OrderAccepted,
    OrderOutcome,
    OrderOutcomeUnknown,
    OrderRefused,
    PollOrder,
    PollOutcome,
    PollResult,
    RunKey,
    StartOrder,
)
from waxwingford.shard._clocks import MS_PER_S
from waxwingford.shard._loop_lag import MAX_LAG_S, LoopLag
from waxwingford.shard._supervision import ErrorReport

#: Orders whose delay is averaged, and the fewest that tell anything.
ORDER_SAMPLES = 32
MIN_ORDER_SAMPLES = 8
#: Age above which the delay of an order is forgotten, in seconds. Starts that wait for
#: a smaller window must not be counted against it again.
MAX_SAMPLE_AGE_S = 0.5
#: Weight of the delay of orders beside the lag of the event loop, which delays each
#: answer more than once before its timeout.
ORDER_DELAY_WEIGHT = 0.75
#: Delay of an answer above which others may be late for their timeouts, in seconds.
MAX_PROMPT_DELAY_S = 0.3
#: Longest time between prompt answers in a period of them, in seconds.
MAX_PROMPT_GAP_S = 1.5
#: Time over which most answers have to be prompt, in seconds.
ANSWERS_PERIOD_S = 1.0
#: Length of such a period after which silence counts, in seconds: a poll that was
#: sent within it has timed out.
PROMPT_PERIOD_S = 1.3

Outcome = TypeVar('Outcome')


class _Sample(NamedTuple):
    answered_s: float
    delay_s: float


class OrderDelay:
    """Time that orders take beyond what their servers need for them."""

    def __init__(self) -> None:
        self._least_s_by_server: dict[str, float] = {}
        self._samples: collections.deque[_Sample] = collections.deque(
            maxlen=ORDER_SAMPLES
        )

    def note_answer(self, server_id: str, elapsed_s: float) -> float:
        """Note that a server has answered an order.

        Orders without an answer tell nothing, as the server may be unreachable.

        :param elapsed_s: time from the order to its answer, in seconds.
        :returns: time beyond the shortest that the server has taken, in seconds.
        """
        least_s = min(
            elapsed_s, self._least_s_by_server.get(server_id, elapsed_s)
        )
        self._least_s_by_server[server_id] = least_s
        answered_s = asyncio.get_running_loop().time()
        delay_s = elapsed_s - least_s
        self._samples.append(_Sample(answered_s, delay_s))
        return delay_s

    @property
    def median_s(self) -> float:
        """Median delay of the recent orders, in seconds; 0 if there are few."""
        oldest_s = asyncio.get_running_loop().time() - MAX_SAMPLE_AGE_S
        while self._samples and self._samples[0].answered_s < oldest_s:
            self._samples.popleft()
        if len(self._samples) < MIN_ORDER_SAMPLES:
            return 0
        return statistics.median(sample.delay_s for sample in self._samples)


class PromptAnswers:
    """Follows whether servers that are well answer in time.

    Where most don't, a server that doesn't answer may be well, too: the cause may lie
    with the owner or its link.
    """

    def __init__(self) -> None:
        self._since_s: float = -PROMPT_PERIOD_S
        self._last_s: float = -MAX_PROMPT_GAP_S
        self._samples: collections.deque[_Sample] = collections.deque()
        # Counted as samples come and go: an owner of a large fleet has a thousand
        # of them.
        self._prompt_samples = 0
        self._answered = False

    def note_answer(self, delay_s: float) -> None:
        """Note the answer of a server.

        :param delay_s: time that it took beyond what the server needed, or was allowed
            to wait for, in seconds.
        """
        now_s = asyncio.get_running_loop().time()
        self._samples.append(_Sample(now_s, delay_s))
        self._prompt_samples += delay_s <= MAX_PROMPT_DELAY_S
        while self._samples[0].answered_s < now_s - ANSWERS_PERIOD_S:
            expired = self._samples.popleft()
            self._prompt_samples -= expired.delay_s <= MAX_PROMPT_DELAY_S
        most_prompt = 2 * self._prompt_samples > len(self._samples)
        interrupted = now_s - self._last_s > MAX_PROMPT_GAP_S
        if not most_prompt or (self._answered and interrupted):
            self._since_s = now_s
        self._answered = True
        if most_prompt:
            self._last_s = now_s

    @property
    def lasting(self) -> bool:
        """Whether answers have been prompt long enough for silence to count."""
        now_s = asyncio.get_running_loop().time()
        recent = now_s - self._last_s <= MAX_PROMPT_GAP_S
        return recent and now_s - self._since_s >= PROMPT_PERIOD_S


class Lateness:
    """How late the answers of servers are.

    :ivar loop_lag: lag of the event loop.
    :ivar answers: whether servers answer in time.
    :ivar orders: delay of orders.
    """

    def __init__(self, note_lag_ms: Callable[[float], object] = float) -> None:
        """Start without a sample.

        :param note_lag_ms: told of each sample of the event loop's lag, in ms.
        """
        self.loop_lag = LoopLag(note_lag_ms)
        self.answers = PromptAnswers()
        self.orders = OrderDelay()

    def note_order(self, server_id: str, elapsed_s: float) -> None:
        """Note that a server has answered an order.

        :param elapsed_s: time from the order to its answer, in seconds.
        """
        self.answers.note_answer(self.orders.note_answer(server_id, elapsed_s))

    @property
    def mean_s(self) -> float:
        """Lag of the event loop or weighted delay of orders, in seconds."""
        order_delay_s = ORDER_DELAY_WEIGHT * self.orders.median_s
        return max(self.loop_lag.mean_s, order_delay_s)

    @property
    def acceptable(self) -> bool:
        """Check whether the owner has capacity for more work."""
        return self.mean_s <= MAX_LAG_S

    @property
    def silence_counts(self) -> bool:
        """Check whether a server without an answer is itself the cause."""
        return self.acceptable and self.answers.lasting


class TimedClient:
    """Client of the backend servers that follows how late they answer.

    A call never raises an error: one that the client doesn't expect gives an
    unknown outcome, so that it concerns no other server.
    """

    def __init__(
        self, client: BackendClient, lateness: Lateness, errors: ErrorReport
    ) -> None:
        """Use a client.

        :param lateness: told of each answer.
        :param errors: told of each unexpected error.
        """
        self._client = client
        self._lateness = lateness
        self._errors = errors

    async def start(self, address: Address, order: StartOrder) -> OrderOutcome:
        """Send a start order once, without retries."""
        return await self._time_order(
            address, self._client.start(address, order)
        )

    async def stop(
        self, address: Address, run: RunKey, fencing_token: int
    ) -> OrderOutcome:
        """Stop a run; the server also refuses a start that arrives later.

        :param fencing_token: fencing token of the shard's owner.
        """
        return await self._time_order(
            address, self._client.stop(address, run, fencing_token)
        )

    async def pace(
        self, address: Address, run: RunKey, percent: int, fencing_token: int
    ) -> OrderOutcome:
        """Limit the speed of a run.

        :param percent: limit from 0 to 100 percent of full speed.
        :param fencing_token: fencing token of the shard's owner.
        """
        return await self._time_order(
            address, self._client.pace(address, run, percent, fencing_token)
        )

    async def poll(self, address: Address, order: PollOrder) -> PollOutcome:
        """Poll a server and extend its lease.

        :returns: runs and ends that the server lists, or why there are none.
        """
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        outcome = await self._guard(address, self._client.poll(address, order))
        if isinstance(outcome, PollResult):
            elapsed_s = loop.time() - sent_s
            delay_s = max(0, elapsed_s - order.wait_ms / MS_PER_S)
            # A poll that lists an end was held for an unknown time, so only the
            # bounds of its delay are known.
            most_s = elapsed_s if outcome.ended else delay_s
            if most_s <= MAX_PROMPT_DELAY_S or delay_s > MAX_PROMPT_DELAY_S:
                self._lateness.answers.note_answer(delay_s)
        return outcome

    async def _time_order(
        self, address: Address, order: Awaitable[OrderOutcome]
    ) -> OrderOutcome:
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        outcome = await self._guard(address, order)
        if isinstance(outcome, OrderAccepted | OrderRefused):
            elapsed_s = loop.time() - sent_s
            self._lateness.note_order(address.server_id, elapsed_s)
        return outcome

    async def _guard(
        self, address: Address, call: Awaitable[Outcome]
    ) -> Outcome | OrderOutcomeUnknown:
        try:
            return await call
        except Exception as error:
            self._errors.add('call', error, server=address.server_id)
            reason = f'{type(error).__name__}: {error}'
            return OrderOutcomeUnknown(reason, unexpected=True)
