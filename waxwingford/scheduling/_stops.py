"""Stop orders and their repetition."""

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
        for sent_ms_by_run in (server.unknown_runs, server.stops_owed):
            for key, sent_ms in sent_ms_by_run.items():
                if now_ms - sent_ms >= STOP_RETRY_INTERVAL_MS:
                    sent_ms_by_run[key] = now_ms
                    self._state.orders.append(Stop(server.entry.server_id, key))

    def _stop(self, server: Server, run: Run, now_ms: int) -> None:
        last_ms = run.stop_sent_ms
        if not last_ms or now_ms - last_ms >= STOP_RETRY_INTERVAL_MS:
            run.stop_sent_ms = now_ms
            self._state.orders.append(Stop(server.entry.server_id, run.key))


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
