"""Migrates throttled best-effort tasks to servers with spare capacity.

Serving tasks come and go and the interference of a pair of images is learned
only by running it, so a task that was placed well may be throttled later while
other servers could run it at full pace.
"""

import itertools

from waxwingford.scheduling._colocated_runs import best_effort_runs
from waxwingford.scheduling._disruption_budget import DisruptionBudget
from waxwingford.scheduling._placing import Placer
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._shard_state import ShardState
from waxwingford.scheduling._state import Run, RunPhase, Step

#: Pace up to which a run counts as throttled, in percent.
THROTTLED_PERCENT = 30
#: Time for which a run must have been throttled, in ms; long enough for the
#: swings of a serving task's own load.
MIN_THROTTLED_MS = 1200
#: Progress that a task without checkpoints may lose by a migration, in percent.
MAX_LOST_PERCENT = 25
#: Time between two rounds, in ms.
ROUND_INTERVAL_MS = 200
#: Steps for which a server is searched in one round. Bounds the processor time
#: when hundreds of runs are throttled.
MAX_SEARCHES = 5
#: Time before an unsuccessful search is repeated for a step, in ms.
SEARCH_RETRY_MS = 800


class Migrator:
    """Stops runs that the placer can restart on a faster server."""

    def __init__(
        self, state: ShardState, placer: Placer, budget: DisruptionBudget
    ) -> None:
        self._state = state
        self._budget = budget
        self._placer = placer
        self._round_ms = 0
        self._searched_by_step: dict[str, int] = {}

    def migrate(self, now_ms: int) -> None:
        """Stop the throttled runs for which there is a better server.

        :param now_ms: current monotonic time, in ms.
        """
        if now_ms - self._round_ms < ROUND_INTERVAL_MS:
            return
        self._round_ms = now_ms
        self._searched_by_step = {
            name: searched_ms
            for name, searched_ms in self._searched_by_step.items()
            if now_ms - searched_ms < SEARCH_RETRY_MS
        }
        first_by_step: dict[str, tuple[Run, Step]] = {}
        for pair in sorted(self._throttled(), key=_longest_first):
            first_by_step.setdefault(pair[1].name, pair)
        for run, step in itertools.islice(first_by_step.values(), MAX_SEARCHES):
            if not self._move(run, step, now_ms):
                self._searched_by_step[step.name] = now_ms

    def _throttled(self) -> list[tuple[Run, Step]]:
        return [
            pair
            for server in self._state.server_by_id.values()
            for pair in _throttled_on(server)
            if pair[1].name not in self._searched_by_step
        ]

    def _move(self, run: Run, step: Step, now_ms: int) -> bool:
        found = self._state.find(run.key)
        if found is None or not self._budget.may_stop(run, step, now_ms):
            return False
        better = [
            server
            for server in self._placer.find_servers(found[0], step, now_ms)
            if server.entry.server_id != run.server_id
        ]
        if not better:
            return False
        found[0].avoided.add(run.incarnation)
        run.stopping = True
        self._state.notes.add(
            'run.moved',
            run.key.task,
            run=run.key.run,
            server=run.server_id,
            percent=run.pace,
            held_back_ms=now_ms - run.paced_ms,
            better_servers=len(better),
        )
        return True


def _throttled_on(server: Server) -> list[tuple[Run, Step]]:
    if server.failing_since_ms is not None:
        return []
    return [
        (run, step)
        for run, step in best_effort_runs(server)
        if _may_move(run, step)
        and run.pace is not None
        and run.pace <= THROTTLED_PERCENT
        # Answers since then would have let it go faster.
        and server.polled_ms - run.paced_ms >= MIN_THROTTLED_MS
    ]


def _may_move(run: Run, step: Step) -> bool:
    if run.phase is not RunPhase.present or run.stopping or step.spec.gang:
        return False
    return step.spec.writes_checkpoints or run.percent <= MAX_LOST_PERCENT


def _longest_first(pair: tuple[Run, Step]) -> int:
    return pair[0].paced_ms
