"""State of one backend server, maintained by the holder of its lease."""

import dataclasses
import math

from waxwingford.routing._messages import LeasedServer

#: Weight of the latest sample in the moving averages of latency.
LATENCY_WEIGHT = 0.2
#: Weight of the predicted latency, in latency samples.
PREDICTION_SAMPLES = 4
#: Maximum weight of the measured latency, in latency samples.
MAX_SAMPLES = 16
#: Duration of slow start, in milliseconds.
SLOW_START_MS = 5000
#: Number of consecutive failures after which a server is ejected.
EJECT_AFTER_FAILURES = 5
#: Duration of the first ejection, in milliseconds; doubled by each further
#: ejection up to the maximum.
BASE_EJECTION_MS = 5000
MAX_EJECTION_MS = 60_000
#: Number of connections reserved for control exchanges.
CONTROL_CONNECTIONS = 1


@dataclasses.dataclass(slots=True)
class ServerState:
    """State of one backend server.

    :ivar held: the server and its control lease.
    :ivar slow_start_from_ms: monotonic time at which slow start begins, in
        milliseconds.
    :ivar in_flight: number of calls that the server may still run.
    :ivar latency_ms: moving average of measured latency, in milliseconds.
    :ivar samples: number of latency samples, up to ``MAX_SAMPLES``.
    :ivar consecutive_failures: number of consecutive calls that were not
        executed, had an unknown outcome or were slow.
    :ivar ejections: number of ejections since the last successful call.
    :ivar ejected_until_ms: monotonic time at which the ejection ends, in
        milliseconds; 0 if not ejected.
    :ivar next_update_ms: monotonic time of the next update during slow start,
        in milliseconds; in the past if none is scheduled.
    :ivar counted_free_slots: free slots included in the total of the pool.
    :ivar removed: whether the server is no longer held; its state is retained
        until its last call has ended.
    """

    held: LeasedServer
    slow_start_from_ms: int
    in_flight: int = 0
    latency_ms: float = 0
    samples: int = 0
    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until_ms: int = 0
    next_update_ms: int = 0
    counted_free_slots: int = 0
    removed: bool = False

    def max_in_flight(self) -> int:
        """Compute the concurrency limit given by slots and connections."""
        usable = self.held.connections - CONTROL_CONNECTIONS
        return max(0, min(self.held.slots, usable))

    def allowed_slots(self, now_ms: int) -> int:
        """Compute the number of slots usable under slow start.

        :param now_ms: monotonic time, in milliseconds.
        :returns: number of slots, at least 1 for a server with slots.
        """
        elapsed_ms = now_ms - self.slow_start_from_ms
        max_calls = self.max_in_flight()
        if elapsed_ms >= SLOW_START_MS:
            return max_calls
        return min(
            max_calls, 1 + max_calls * max(0, elapsed_ms) // SLOW_START_MS
        )

    def next_slot_ms(self, now_ms: int) -> int:
        """Compute when slow start allows the next slot.

        :param now_ms: monotonic time, in milliseconds.
        :returns: monotonic time, in milliseconds.
        """
        max_calls = max(1, self.max_in_flight())
        wait_ms = math.ceil(
            SLOW_START_MS * self.allowed_slots(now_ms) / max_calls
        )
        return max(now_ms + 1, self.slow_start_from_ms + wait_ms)

    def in_slow_start(self, now_ms: int) -> bool:
        """Test whether slow start withholds slots.

        :param now_ms: monotonic time, in milliseconds.
        :returns: whether fewer slots than the maximum are usable.
        """
        return self.allowed_slots(now_ms) < self.max_in_flight()

    def is_available(self, now_ms: int) -> bool:
        """Test whether a new call may be sent to the server.

        :param now_ms: monotonic time, in milliseconds.
        :returns: whether the server is eligible and has a free slot.
        """
        if self.removed or self.held.leaving or self.ejected_until_ms > now_ms:
            return False
        if self.held.lease_until_ms <= now_ms:
            return False
        return self.in_flight < self.allowed_slots(now_ms)

    def expected_ms(self) -> float:
        """Estimate the latency of an additional call.

        :returns: expected latency, in milliseconds.
        """
        weighted_sum_ms = (
            self.held.predicted_ms * PREDICTION_SAMPLES
            + self.latency_ms * self.samples
        )
        base_ms = weighted_sum_ms / (PREDICTION_SAMPLES + self.samples)
        return base_ms * (1 + self.in_flight / max(1, self.held.slots))

    def record_latency(self, latency_ms: float) -> None:
        """Update the moving average of latency.

        :param latency_ms: latency of an answer, in milliseconds.
        """
        if self.samples:
            latency_ms = self.latency_ms + LATENCY_WEIGHT * (
                latency_ms - self.latency_ms
            )
        self.latency_ms = latency_ms
        self.samples = min(MAX_SAMPLES, self.samples + 1)

    def eject(self, now_ms: int) -> None:
        """Eject the server, with exponential backoff.

        :param now_ms: monotonic time, in milliseconds.
        """
        duration_ms = min(
            MAX_EJECTION_MS, BASE_EJECTION_MS << min(self.ejections, 10)
        )
        self.ejected_until_ms = now_ms + duration_ms
        self.slow_start_from_ms = self.ejected_until_ms
        self.ejections += 1
        self.consecutive_failures = 0
