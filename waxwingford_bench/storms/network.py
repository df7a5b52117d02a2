"""Virtual network that counts messages and bytes."""

from collections.abc import Callable

import msgspec

from waxwingford.batch import Control
from waxwingford.ports import AppendOutcome, ControlOutcome, LogRead
from waxwingford_bench.storms.meter import Meter
from waxwingford_bench.virtual.network import VirtualNetwork

#: Message sizes are those of msgpack, without HTTP and TLS overhead.
_ENCODE = msgspec.msgpack.Encoder().encode


class MeteredNetwork(VirtualNetwork):
    """Virtual network that counts messages and bytes.

    :ivar meter: counters to update.
    """

    meter: Meter

    def append(
        self,
        daemon_id: str,
        payload: bytes,
        take: Callable[[AppendOutcome], None],
    ) -> None:
        """Append an entry to the log and count the request.

        :param daemon_id: daemon that appends.
        :param payload: encoded entry.
        :param take: called with the outcome.
        """
        self.meter.count_message(
            daemon_id, 'append', len(payload), self._time.now_ms
        )
        super().append(daemon_id, payload, take)

    def read(
        self, daemon_id: str, stream: str, from_offset: int
    ) -> LogRead | None:
        """Read from the log and count the bytes of the answer.

        :param daemon_id: daemon that reads.
        :param stream: name of the stream.
        :param from_offset: offset of the first entry to read.
        :returns: entries, or None while the log is unavailable.
        """
        outcome = super().read(daemon_id, stream, from_offset)
        if outcome is not None:
            size = sum(len(entry.payload) for entry in outcome.entries)
            self.meter.count_bytes(daemon_id, size, self._time.now_ms)
        return outcome

    def control(
        self,
        daemon_id: str,
        effect: Control,
        take: Callable[[ControlOutcome], None],
    ) -> None:
        """Send a control request; count the request and its answers.

        :param daemon_id: daemon that sends.
        :param effect: the request and its target.
        :param take: called with each outcome.
        """
        now_ms = self._time.now_ms
        size = len(_ENCODE(effect.request))
        self.meter.count_message(daemon_id, 'control', size, now_ms)
        if not effect.request.epoch:
            self.meter.count_retry('lease', now_ms)

        def _take(outcome: ControlOutcome) -> None:
            answer_size = len(_ENCODE(outcome))
            self.meter.count_bytes(daemon_id, answer_size, self._time.now_ms)
            take(outcome)

        super().control(daemon_id, effect, _take)
