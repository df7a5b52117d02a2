"""Log and metrics of the bytes that a daemon exchanges with its platform."""

import asyncio
from collections.abc import Callable, Mapping

from waxwingford.shard import CallTraffic, Observer

#: Time between two log lines, in seconds.
LOG_INTERVAL_S = 2.0


class TrafficLog:
    """Logs and counts the traffic by kind of call."""

    def __init__(
        self,
        count_traffic: Callable[[], Mapping[str, CallTraffic]],
        observer: Observer,
    ) -> None:
        """Start without a report.

        :param count_traffic: returns the totals by kind of call.
        """
        self._count_traffic = count_traffic
        self._reported_by_call: dict[str, CallTraffic] = {}
        self._observer = observer

    async def run(self) -> None:
        """Report each interval until cancelled."""
        while True:
            await asyncio.sleep(LOG_INTERVAL_S)
            self.report()

    def report(self) -> None:
        """Report the traffic since the previous report."""
        before = self._reported_by_call
        total_by_call = self._count_traffic()
        recent_by_call = {
            call: _subtract(total, before.get(call, CallTraffic()))
            for call, total in total_by_call.items()
            if total != before.get(call)
        }
        self._reported_by_call = dict(total_by_call)
        for call, traffic in recent_by_call.items():
            for name, amount in traffic._asdict().items():
                self._observer.metrics.count(f'{name}_total', amount, call=call)
        recent = recent_by_call.values()
        self._observer.record_event(
            'traffic',
            interval_s=LOG_INTERVAL_S,
            sent_bytes=sum(traffic.sent_bytes for traffic in recent),
            received_bytes=sum(traffic.received_bytes for traffic in recent),
            by_call=recent_by_call,
        )


def _subtract(total: CallTraffic, earlier: CallTraffic) -> CallTraffic:
    return CallTraffic(
        total.calls - earlier.calls,
        total.sent_bytes - earlier.sent_bytes,
        total.received_bytes - earlier.received_bytes,
    )
