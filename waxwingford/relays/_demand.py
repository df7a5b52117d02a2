"""Tells whether an owner needs relays."""

from collections.abc import Callable
from typing import NamedTuple

_BYTES_PER_MBIT = 125_000
#: Time between two looks at the load, in seconds.
SAMPLE_INTERVAL_S = 0.25
SMOOTHING_FACTOR = 0.4
#: Share of the link that the owner's own calls may take. Above it, a burst of
#: starts waits for longer than their timeout.
HIGH_LINK_SHARE = 0.25
#: Lag of the event loop above which others carry out calls, in seconds.
HIGH_LAG_S = 0.02
#: Time in seconds for which relays are used after the load was high.
HOLD_S = 15.0


class LoadSample(NamedTuple):
    """What loads an owner.

    :ivar sent_bytes: total of the bytes that it has sent.
    :ivar spared_bytes: total of those that relays have sent in its place.
    :ivar lag_s: mean lag of the event loop, in seconds.
    """

    sent_bytes: int
    spared_bytes: int
    lag_s: float


class RelayDemand:
    """Follows the load of an owner.

    :ivar needed: whether relays carry out its calls.
    """

    def __init__(
        self, link_mbps: float, sample: Callable[[], LoadSample]
    ) -> None:
        """Start with a load of nothing.

        :param link_mbps: rate of the VM's link, in Mbit/s; 0 if unknown.
        """
        self.needed = False
        self._link_bytes_per_s = link_mbps * _BYTES_PER_MBIT
        self._sample = sample
        self._bytes = 0
        self._sampled_s: float = 0
        self._rate_bytes_per_s: float = 0
        self._high_until_s: float = 0

    def update(self, now_s: float) -> None:
        """Look at the load, at most once in an interval.

        :param now_s: time of the event loop, in seconds.
        """
        elapsed_s = now_s - self._sampled_s
        if elapsed_s < SAMPLE_INTERVAL_S:
            return
        load = self._sample()
        total = load.sent_bytes + load.spared_bytes
        rate = (total - self._bytes) / elapsed_s
        self._rate_bytes_per_s += SMOOTHING_FACTOR * (
            rate - self._rate_bytes_per_s
        )
        self._bytes = total
        self._sampled_s = now_s
        link_full = (
            0
            < self._link_bytes_per_s * HIGH_LINK_SHARE
            < self._rate_bytes_per_s
        )
        if link_full or load.lag_s > HIGH_LAG_S:
            self._high_until_s = now_s + HOLD_S
        self.needed = now_s < self._high_until_s
