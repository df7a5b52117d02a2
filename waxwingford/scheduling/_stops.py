"""Stop orders and their repetition."""

import itertools
from collections.abc import Iterable, Iterator

from waxwingford.scheduling._backend_client import RunKey
from waxwingford.scheduling._orders import Stop
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._shard_state import ShardState
from waxwingford.scheduling._state import Run, RunPhase

#: Time after which a run is stopped if its start got no answer and no poll has
#: listed it, in ms. It leaves a slow start time for a few polls.
UNCONFIRMED_START_TIMEOUT_MS = 250
#: Interval at which a stop is repeated until it takes effect, in ms, as an order
#: may be lost.
STOP_RETRY_INTERVAL_MS = 600
#: Stops of unknown runs that are sent to a server in such an interval. A server may
#: list thousands, and stops of its known runs must not wait for theirs.
MAX_UNKNOWN_STOPS = 50


class Stopper:
    """Issues stop orders."""

    def __init__(self, state: ShardState) -> None:
        self._state = state

    def order_due(self, server: Server, now_ms: int) -> None:
        """Issue the stop orders that are due on a server.

        :param now_ms: current monotonic time, in ms.
        """
        for run in server.run_by_key.values():
            if _wants_stop(run, now_ms):
                self._stop(server, run, now_ms)
        owed = list(_due(server.stops_owed, now_ms))
        self._repeat(server, server.stops_owed, owed, now_ms)
        if now_ms - server.unknown_stops_since_ms >= STOP_RETRY_INTERVAL_MS:
            server.unknown_stops_since_ms = now_ms
            server.unknown_stops = 0
        left = MAX_UNKNOWN_STOPS - server.unknown_stops
        unknown = list(
            itertools.islice(_due(server.unknown_runs, now_ms), left)
        )
        server.unknown_stops += len(unknown)
        self._repeat(server, server.unknown_runs, unknown, now_ms)

    def _repeat(
        self,
        server: Server,
        sent_ms_by_run: dict[RunKey, int],
        due: Iterable[RunKey],
        now_ms: int,
    ) -> None:
        for key in due:
            sent_ms_by_run[key] = now_ms
            self._state.orders.append(Stop(server.entry.server_id, key))

    def _stop(self, server: Server, run: Run, now_ms: int) -> None:
        last_ms = run.stop_sent_ms
        if not last_ms or now_ms - last_ms >= STOP_RETRY_INTERVAL_MS:
            run.stop_sent_ms = now_ms
            self._state.orders.append(Stop(server.entry.server_id, run.key))


def _due(sent_ms_by_run: dict[RunKey, int], now_ms: int) -> Iterator[RunKey]:
    return (
        key
        for key, sent_ms in sent_ms_by_run.items()
        if now_ms - sent_ms >= STOP_RETRY_INTERVAL_MS
    )


def _wants_stop(run: Run, now_ms: int) -> bool:
    match run.phase:
        case RunPhase.planned:
            return False
        case RunPhase.unresolved if (
            now_ms - run.phase_since_ms >= UNCONFIRMED_START_TIMEOUT_MS
        ):
            return True
        case _:
            return run.stopping
