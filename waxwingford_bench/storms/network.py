"""Links of a virtual failure domain that count what passes."""

from collections.abc import Callable

import msgspec

from waxwingford.batch import Control
from waxwingford.ports import AppendOutcome, ControlOutcome, LogRead
from waxwingford_bench.storms.meter import Meter
from waxwingford_bench.virtual.network import VirtualNetwork

#: Sizes are those of msgpack, without headers of HTTP or TLS.
_ENCODE = msgspec.msgpack.Encoder().encode


class MeteredNetwork(VirtualNetwork):
    """Counts what passes.

    :ivar meter: where it is counted.
    """

    meter: Meter

    def append(
        self,
        daemon_id: str,
        payload: bytes,
        take: Callable[[AppendOutcome], None],
    ) -> None:
        """Append for a daemon, and count it.

        :param daemon_id: who.
        :param payload: entry.
        :param take: takes the outcome.
        """
        self.meter.note_sent(
            daemon_id, 'append', len(payload), self._time.now_ms
        )
        super().append(daemon_id, payload, take)

    def read(
        self, daemon_id: str, stream: str, from_offset: int
    ) -> LogRead | None:
        """Read for a daemon, and count what came.

        :param daemon_id: who.
        :param stream: which.
        :param from_offset: first offset wanted.
        :returns: entries, or nothing while the log is away.
        """
        outcome = super().read(daemon_id, stream, from_offset)
        if outcome is not None:
            size = sum(len(entry.payload) for entry in outcome.entries)
            self.meter.note_bytes(daemon_id, size, self._time.now_ms)
        return outcome

    def control(
        self,
        daemon_id: str,
        effect: Control,
        take: Callable[[ControlOutcome], None],
    ) -> None:
        """Carry an exchange, and count both ways.

        :param daemon_id: who.
        :param effect: the exchange.
        :param take: takes outcomes.
        """
        now_ms = self._time.now_ms
        size = len(_ENCODE(effect.request))
        self.meter.note_sent(daemon_id, 'control', size, now_ms)
        if not effect.request.epoch:
            self.meter.note_retry('lease', now_ms)

        def _take(outcome: ControlOutcome) -> None:
            answer_size = len(_ENCODE(outcome))
            self.meter.note_bytes(daemon_id, answer_size, self._time.now_ms)
            take(outcome)

        super().control(daemon_id, effect, _take)
