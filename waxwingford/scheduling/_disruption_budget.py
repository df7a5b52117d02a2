"""Limits the tasks of a step that the scheduler interrupts at a time.

Every order that ends a run which could go on asks ``DisruptionBudget`` first. Nothing
of it is stored: a new owner treats a task as unavailable until it has seen the task
at work for long enough that no stop of a previous owner can still take effect.
"""

from waxwingford.scheduling._backend_client import EndKind, TaskKey
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._shard_state import ShardState
from waxwingford.scheduling._state import Run, RunPhase, Step, Task

#: Time for which stops on a draining server keep to the budget, in ms. A server may
#: give a notice of 2 s only, and its tasks have to end before it exits.
DRAIN_SPREAD_MS = 1000
#: Age of the newest listing, in ms, above which a task isn't known to be at work: the
#: owner was interrupted, or is late. Polls are held for 1 s.
MAX_LISTING_AGE_MS = 3000


class DisruptionBudget:
    """Decides whether the scheduler may end a run of a step with ``max_unavailable``.

    Other steps and jobs that have ended are exempt.
    """

    def __init__(self, state: ShardState, notice_ms: int) -> None:
        """Create a budget.

        :param notice_ms: time after which a task that isn't at work is unavailable,
            in ms.
        """
        self._state = state
        self._notice_ms = notice_ms
        self._counted_ms = -1
        self._unavailable_by_step: dict[str, set[TaskKey]] = {}
        #: Run whose stop was allowed at last, and its step.
        self._allowed: tuple[Run, Step] | None = None

    def begin(self) -> None:
        """Begin a round of decisions: count unavailable tasks anew."""
        self._unavailable_by_step.clear()

    def note_stopped(self, run: Run, step: Step) -> None:
        """Count a run as unavailable for the rest of the round.

        Not needed for a run that is stopped as soon as that was allowed.
        """
        unavailable = self._unavailable_by_step.get(step.name)
        if unavailable is not None:
            unavailable.add(run.key.task)

    def may_stop(self, run: Run, step: Step, now_ms: int) -> bool:
        """Tell whether an order may end a run now.

        Runs that may be at work without the owner knowing are protected, too: the
        progress that was listed last is older than the decision.

        :param now_ms: current monotonic time, in ms.
        """
        if not is_limited(step) or run.phase is RunPhase.planned:
            return True
        server = self._state.server_by_id.get(run.server_id)
        if server is not None and server.entry.draining:
            return True
        return self._has_room(run, step, now_ms)

    def may_stop_on_draining(
        self, server: Server, run: Run, step: Step, now_ms: int
    ) -> bool:
        """Tell whether a run on a draining server is to be stopped now.

        The budget exempts these runs. Their stops keep to it for
        ``DRAIN_SPREAD_MS``, so that tasks of one step don't all end at once.

        :param now_ms: current monotonic time, in ms.
        """
        if not is_limited(step):
            return True
        server.drain_stops_since_ms = server.drain_stops_since_ms or now_ms
        overdue = now_ms - server.drain_stops_since_ms >= DRAIN_SPREAD_MS
        return overdue or self._has_room(run, step, now_ms)

    def _has_room(self, run: Run, step: Step, now_ms: int) -> bool:
        if self._allowed is not None and self._allowed[0].stopping:
            self.note_stopped(*self._allowed)
        unavailable = self._unavailable(step, now_ms)
        others = len(unavailable) - (run.key.task in unavailable)
        may_stop = others < step.spec.max_unavailable
        self._allowed = (run, step) if may_stop else None
        return may_stop

    def _unavailable(self, step: Step, now_ms: int) -> set[TaskKey]:
        """List the unavailable tasks of a step, once in a round."""
        if now_ms != self._counted_ms:
            self._counted_ms = now_ms
            self._unavailable_by_step.clear()
        unavailable = self._unavailable_by_step.get(step.name)
        if unavailable is None:
            unavailable = {
                task.key
                for task in step.tasks
                if self._is_unavailable(task, now_ms)
            }
            self._unavailable_by_step[step.name] = unavailable
        return unavailable

    def _is_unavailable(self, task: Task, now_ms: int) -> bool:
        runs = task.run_by_number.values()
        if any(run.stopping for run in runs):
            return True
        if any(self._is_at_work(run, now_ms) for run in runs):
            return False
        away_ms = now_ms - task.left_work_ms
        return not task.left_work_ms or away_ms >= self._notice_ms

    def _is_at_work(self, run: Run, now_ms: int) -> bool:
        if run.phase is not RunPhase.present or not run.ready:
            return False
        if run.adopted and run.listed_ms - run.phase_since_ms < self._notice_ms:
            # A previous owner may have ordered its stop. The latest listing counts:
            # the run may have ended since.
            return False
        server = self._state.server_by_id.get(run.server_id)
        if server is None:
            return False
        answers = server.failing_since_ms is None
        most_ms = MAX_LISTING_AGE_MS if answers else self._notice_ms
        return now_ms - server.polled_ms < most_ms


def note_left_work(
    run: Run, task: Task, kind: EndKind | None, now_ms: int
) -> None:
    """Note that a task is no longer at work because a run was settled.

    Runs that aren't ready may be at work, too, as the last listing is older than an
    order.

    :param kind: how it ended. Without an end, as after an expired lease, it counts as
        ended by an order. So does ``stopped``, as a previous owner may have ordered it.
    :param now_ms: current monotonic time, in ms.
    """
    if run.stopping or kind is None or kind is EndKind.stopped:
        task.left_work_ms = 0
    elif run.ready:
        task.left_work_ms = now_ms


def is_limited(step: Step) -> bool:
    """Tell whether the budget limits the stops of a step's runs."""
    # Only long-running tasks are ever at work in the sense of the rule.
    limited = step.spec.max_unavailable and step.spec.long_running
    return bool(limited) and step.job.ended is None
