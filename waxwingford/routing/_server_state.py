"""State of one backend server as its holder counts it."""

import dataclasses
import math

from waxwingford.routing._messages import HeldServer

#: Weight of the newest latency in the moving average.
LATENCY_WEIGHT = 0.2
#: Number of measured answers that weigh as much as the prediction.
PREDICTION_SAMPLES = 4
#: Measured answers beyond this number add no weight.
MAX_SAMPLES = 16
#: Time over which a new or returning server reaches all its slots.
SLOW_START_MS = 5000
#: Bad calls in a row that eject a server.
EJECT_AFTER_FAILURES = 5
#: First ejection; doubled at each further one up to the longest.
BASE_EJECTION_MS = 5000
MAX_EJECTION_MS = 60_000
#: Connections kept for control exchanges.
CONTROL_CONNECTIONS = 1


@dataclasses.dataclass(slots=True)
class ServerState:
    """What the holder knows of one backend server.

    :ivar held: the server and its control lease.
    :ivar in_flight: calls that the server may still run.
    :ivar latency_ms: moving average of measured latency, in milliseconds.
    :ivar samples: measured answers, up to the number that adds weight.
    :ivar consecutive_failures: calls in a row that were not run, unknown or slow.
    :ivar ejections: times ejected without a good call in between.
    :ivar ejected_until_ms: end of the ejection; 0 when not ejected.
    :ivar slow_start_from_ms: start of the slow start.
    :ivar next_update_ms: when slow start is looked at again; past if no such time.
    :ivar counted_free_slots: free slots counted for its service.
    :ivar removed: no longer held; kept until its last call has ended.
    """

    held: HeldServer
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
        """Count calls that slots and connections allow at once.

        :returns: the count.
        """
        usable = self.held.connections - CONTROL_CONNECTIONS
        return max(0, min(self.held.slots, usable))

    def allowed_slots(self, now_ms: int) -> int:
        """Count the slots that slow start allows now.

        :param now_ms: monotonic time, in milliseconds.
        :returns: the count, at least 1 of a server with slots.
        """
        elapsed_ms = now_ms - self.slow_start_from_ms
        max_calls = self.max_in_flight()
        if elapsed_ms >= SLOW_START_MS:
            return max_calls
        return min(
            max_calls, 1 + max_calls * max(0, elapsed_ms) // SLOW_START_MS
        )

    def next_slot_ms(self, now_ms: int) -> int:
        """Tell when slow start opens the next slot.

        :param now_ms: monotonic time, in milliseconds.
        :returns: monotonic time, in milliseconds.
        """
        max_calls = max(1, self.max_in_flight())
        wait_ms = math.ceil(
            SLOW_START_MS * self.allowed_slots(now_ms) / max_calls
        )
        return max(now_ms + 1, self.slow_start_from_ms + wait_ms)

    def in_slow_start(self, now_ms: int) -> bool:
        """Say whether slow start holds slots back.

        :param now_ms: monotonic time, in milliseconds.
        :returns: whether it does.
        """
        return self.allowed_slots(now_ms) < self.max_in_flight()

    def is_available(self, now_ms: int) -> bool:
        """Say whether a new call may go to the server.

        :param now_ms: monotonic time, in milliseconds.
        :returns: whether it may.
        """
        if self.removed or self.held.leaving or self.ejected_until_ms > now_ms:
            return False
        if self.held.lease_until_ms <= now_ms:
            return False
        return self.in_flight < self.allowed_slots(now_ms)

    def expected_ms(self) -> float:
        """Expect the latency of one more call.

        :returns: milliseconds.
        """
        weighted_sum_ms = (
            self.held.predicted_ms * PREDICTION_SAMPLES
            + self.latency_ms * self.samples
        )
        base_ms = weighted_sum_ms / (PREDICTION_SAMPLES + self.samples)
        return base_ms * (1 + self.in_flight / max(1, self.held.slots))

    def record_latency(self, latency_ms: float) -> None:
        """Take in the latency of an answer.

        :param latency_ms: milliseconds.
        """
        if self.samples:
            latency_ms = self.latency_ms + LATENCY_WEIGHT * (
                latency_ms - self.latency_ms
            )
        self.latency_ms = latency_ms
        self.samples = min(MAX_SAMPLES, self.samples + 1)

    def eject(self, now_ms: int) -> None:
        """Leave the server out for a while, longer at each time in a row.

        :param now_ms: monotonic time, in milliseconds.
        """
        duration_ms = min(
            MAX_EJECTION_MS, BASE_EJECTION_MS << min(self.ejections, 10)
        )
        self.ejected_until_ms = now_ms + duration_ms
        self.slow_start_from_ms = self.ejected_until_ms
        self.ejections += 1
        self.consecutive_failures = 0
