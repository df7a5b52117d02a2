"""The latency-critical service on a stand-in backend server.

The latency is log-normal and is stretched by the batch kinds that run beside
the service, more so the busier the service is.
"""

import collections
import itertools
import math
import random
from collections.abc import Iterable, Mapping
from typing import NamedTuple

import msgspec

from waxwingford.ports import ServiceCall

_MS_PER_S = 1000
#: Share of a pair's interference that is there without load.
_IDLE_INTERFERENCE_SHARE = 0.25


class ServiceModel(NamedTuple):
    """Behaviour of a service on one server.

    :ivar name: service name.
    :ivar median_ms: median service time without interference, milliseconds.
    :ivar sigma: spread of its logarithm.
    :ivar slowdown_by_kind: added share of time for one batch task of a kind
        at full load.
    :ivar answer_bytes: padding of each answer.
    """

    name: str
    median_ms: float = 8
    sigma: float = 0.4
    slowdown_by_kind: Mapping[str, float] = {}
    answer_bytes: int = 2048


class CallStarted(NamedTuple):
    """The server runs the request.

    :ivar number: handle to end it with.
    :ivar duration_ms: how long it runs, in milliseconds.
    """

    number: int
    duration_ms: float


class CallRefused(NamedTuple):
    """The server did not run the request.

    :ivar reason: for people.
    """

    reason: str


class ServiceEcho(msgspec.Struct):
    """Body of requests and answers, as the load tool writes them.

    :ivar token: unique to the request; the answer repeats it.
    :ivar key: idempotency key, empty if it may run twice.
    :ivar server_id: in answers: who answered.
    :ivar padding: in answers: filler.
    """

    token: str = ''
    key: str = ''
    server_id: str = ''
    padding: str = ''


class ServiceState:
    """Slots, running requests and counts of runs.

    :ivar runs_by_key: how often each idempotency key ran.
    :ivar runs_by_token: how often each request token ran.
    :ivar most_at_once: largest number of requests that ran together.
    :ivar refused: requests refused because all slots were busy.
    """

    def __init__(self, model: ServiceModel, slots: int, seed: int) -> None:
        """Start idle.

        :param model: behaviour.
        :param slots: requests at once at most.
        :param seed: of the latencies.
        """
        self.runs_by_key: collections.Counter[str] = collections.Counter()
        self.runs_by_token: collections.Counter[str] = collections.Counter()
        self.most_at_once = 0
        self.refused = 0
        self._model = model
        self._slots = slots
        self._random = random.Random(seed)
        self._request_numbers = itertools.count(1)
        self._started_by_number: dict[int, int] = {}
        self._busy_counted_to_ms = 0
        self._busy_slot_ms = 0
        self._latencies_ms: list[float] = []

    @property
    def load(self) -> float:
        """Share of slots that are busy now.

        :returns: 0 to 1.
        """
        return len(self._started_by_number) / self._slots

    def begin(
        self, call: ServiceCall, kinds: Iterable[tuple[str, int]], now_ms: int
    ) -> CallStarted | CallRefused:
        """Run a request if a slot is free.

        :param call: the request.
        :param kinds: batch kinds beside it, each with its throttle percent.
        :param now_ms: monotonic time.
        :returns: whether it runs, and for how long.
        """
        if len(self._started_by_number) >= self._slots:
            self.refused += 1
            return CallRefused('all slots are busy')
        self._accumulate_busy_time(now_ms)
        number = next(self._request_numbers)
        self._started_by_number[number] = now_ms
        self.most_at_once = max(self.most_at_once, len(self._started_by_number))
        echo = decode_echo(call.body)
        self.runs_by_token[echo.token or call.request_id] += 1
        if echo.key:
            self.runs_by_key[echo.key] += 1
        return CallStarted(number, self._sample_duration_ms(kinds))

    def end(self, number: int, now_ms: int) -> None:
        """Free the slot of a request.

        :param number: handle from its start; unknown after a reboot.
        :param now_ms: monotonic time.
        """
        self._accumulate_busy_time(now_ms)
        started_ms = self._started_by_number.pop(number, None)
        if started_ms is not None:
            self._latencies_ms.append(now_ms - started_ms)

    def drop_all(self) -> None:
        """Forget the requests that run: the server died."""
        self._started_by_number.clear()
        self._latencies_ms.clear()

    def close_window(self, now_ms: int, window_ms: int) -> tuple[float, float]:
        """Sum up the window that ends now.

        :param now_ms: monotonic time.
        :param window_ms: its length, in milliseconds.
        :returns: mean load and 99th percentile of the latency.
        """
        self._accumulate_busy_time(now_ms)
        load = self._busy_slot_ms / (window_ms * self._slots)
        sorted_ms = sorted(self._latencies_ms)
        p99_ms = (
            sorted_ms[math.ceil(len(sorted_ms) * 0.99) - 1] if sorted_ms else 0
        )
        self._busy_slot_ms = 0
        self._latencies_ms.clear()
        return min(load, 1), p99_ms

    def answer(self, call: ServiceCall, server_id: str) -> bytes:
        """Write the answer to a request.

        :param call: the request.
        :param server_id: who answers.
        :returns: JSON body that repeats the request's token.
        """
        echo = decode_echo(call.body)
        echo.server_id = server_id
        echo.padding = 'x' * self._model.answer_bytes
        return msgspec.json.encode(echo)

    def _accumulate_busy_time(self, now_ms: int) -> None:
        elapsed_ms = (
            now_ms - self._busy_counted_to_ms if self._busy_counted_to_ms else 0
        )
        self._busy_slot_ms += elapsed_ms * len(self._started_by_number)
        self._busy_counted_to_ms = now_ms

    def _sample_duration_ms(self, kinds: Iterable[tuple[str, int]]) -> float:
        base_ms = self._model.median_ms * math.exp(
            self._random.gauss(0, self._model.sigma)
        )
        load_factor = (
            _IDLE_INTERFERENCE_SHARE
            + (1 - _IDLE_INTERFERENCE_SHARE) * self.load**2
        )
        slowdown = sum(
            self._model.slowdown_by_kind.get(kind, 0) * percent / 100
            for kind, percent in kinds
        )
        return base_ms * (1 + slowdown * load_factor)


def decode_echo(body: bytes) -> ServiceEcho:
    """Read a request body of the load tool.

    :param body: request body.
    :returns: its fields; empty ones for any other body.
    """
    try:
        return msgspec.json.decode(body, type=ServiceEcho)
    except msgspec.DecodeError:
        return ServiceEcho()
