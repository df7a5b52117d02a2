"""Latency model of the service on a simulated backend server.

Service times are log-normal and increase with interference by colocated batch
tasks, which grows with the load of the service.
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
#: Fraction of the interference at full load that remains without load.
_IDLE_INTERFERENCE_SHARE = 0.25


class ServiceModel(NamedTuple):
    """Parameters of the latency model.

    :ivar median_ms: median service time without interference, in
        milliseconds.
    :ivar sigma: standard deviation of the logarithm of the service time.
    :ivar slowdown_by_kind: relative increase of the service time at full
        load for each colocated batch task, by batch kind.
    :ivar answer_bytes: padding of each response, in bytes.
    """

    name: str
    median_ms: float = 8
    sigma: float = 0.4
    slowdown_by_kind: Mapping[str, float] = {}
    answer_bytes: int = 2048


class CallStarted(NamedTuple):
    """The request was started.

    :ivar number: handle of the request.
    :ivar duration_ms: service time, in milliseconds.
    """

    number: int
    duration_ms: float


class CallRefused(NamedTuple):
    """The request was not executed."""

    reason: str


class ServiceEcho(msgspec.Struct):
    """Body of the requests and responses of the load generator.

    :ivar token: unique token of the request, repeated in the response.
    :ivar key: idempotency key; empty if the request is idempotent.
    :ivar server_id: server that responded; empty in requests.
    :ivar padding: padding of the response; empty in requests.
    """

    token: str = ''
    key: str = ''
    server_id: str = ''
    padding: str = ''


class ServiceState:
    """Slots, running requests and execution counts.

    :ivar runs_by_key: number of executions by idempotency key.
    :ivar runs_by_token: number of executions by request token.
    :ivar most_at_once: largest number of concurrent requests.
    :ivar refused: number of requests refused because all slots were busy.
    """

    def __init__(self, model: ServiceModel, slots: int, seed: int) -> None:
        """Create an idle service.

        :param slots: maximum number of concurrent requests.
        :param seed: seed of the latencies.
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
        """Fraction of busy slots.

        :returns: fraction from 0 to 1.
        """
        return len(self._started_by_number) / self._slots

    def begin(
        self, call: ServiceCall, kinds: Iterable[tuple[str, int]], now_ms: int
    ) -> CallStarted | CallRefused:
        """Start a request if a slot is free.

        :param kinds: kind and throttle percentage of each colocated batch
            task.
        :param now_ms: monotonic time, in milliseconds.
        :returns: handle and duration, or the reason of the refusal.
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
        """Release the slot of a request.

        :param number: handle of the request; ignored if it was dropped.
        :param now_ms: monotonic time, in milliseconds.
        """
        self._accumulate_busy_time(now_ms)
        started_ms = self._started_by_number.pop(number, None)
        if started_ms is not None:
            self._latencies_ms.append(now_ms - started_ms)

    def drop_all(self) -> None:
        """Drop all running requests after a crash."""
        self._started_by_number.clear()
        self._latencies_ms.clear()

    def close_window(self, now_ms: int, window_ms: int) -> tuple[float, float]:
        """Summarise the current window and start the next one.

        :param now_ms: monotonic time, in milliseconds.
        :param window_ms: length of the window, in milliseconds.
        :returns: mean load and 99th percentile of the latency, in
            milliseconds.
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
        """Build the response body of a request.

        :returns: JSON body that repeats the token of the request.
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
    """Decode a request body of the load generator.

    :returns: decoded body; an empty one if the body has another format.
    """
    try:
        return msgspec.json.decode(body, type=ServiceEcho)
    except msgspec.DecodeError:
        return ServiceEcho()
