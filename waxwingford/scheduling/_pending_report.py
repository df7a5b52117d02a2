"""Reports why tasks are pending: what kept each server from taking them."""

import collections
import itertools
from collections.abc import Iterable

from waxwingford.ports import fits_resources
from waxwingford.scheduling._notes import NoteBuffer
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._state import Step
from waxwingford.scheduling._task_order import PendingTask

#: Pending time after which a step is reported, and interval between reports, in
#: ms.
REPORT_INTERVAL_MS = 1000
#: Steps in one report, of long-running steps and of others each; the rest is
#: only counted.
MAX_REPORTED_STEPS = 6


class PendingReport:
    """Logs the steps that are pending for long."""

    def __init__(self, notes: NoteBuffer) -> None:
        self._notes = notes
        self._reported_ms = 0
        self._placed_by_kind: collections.Counter[str] = collections.Counter()

    def count_placed(self, step: Step) -> None:
        """Count a placed task, to show what was placed instead of others."""
        self._placed_by_kind[_kind(step)] += 1

    def update(
        self,
        unplaced: Iterable[PendingTask],
        usable: list[Server],
        now_ms: int,
    ) -> None:
        """Log a selection of the steps that are pending for long.

        Long-running steps come first, by pending time, as their place in the
        placement order is late.

        :param unplaced: tasks that found no server in this round.
        :param usable: servers that accept starts.
        :param now_ms: current monotonic time, in ms.
        """
        if now_ms - self._reported_ms < REPORT_INTERVAL_MS:
            return
        self._reported_ms = now_ms
        first_by_step: dict[str, PendingTask] = {}
        for pending in unplaced:
            if now_ms - pending.task.pending_since_ms >= REPORT_INTERVAL_MS:
                first_by_step.setdefault(pending.step.name, pending)
        firsts = first_by_step.values()
        long_running = sorted(
            filter(_is_long_running, firsts), key=_longest_first
        )
        others = itertools.filterfalse(_is_long_running, firsts)
        placed = dict(self._placed_by_kind)
        self._placed_by_kind.clear()
        for pending in (
            *long_running[:MAX_REPORTED_STEPS],
            *itertools.islice(others, MAX_REPORTED_STEPS),
        ):
            self._notes.add(
                'step.waits',
                pending.step.name,
                waited_ms=now_ms - pending.task.pending_since_ms,
                kind=_kind(pending.step),
                gang=pending.step.spec.gang,
                runs_before=pending.task.last_run,
                usable_servers=len(usable),
                kept_out=_count_reasons(pending, usable),
                most_room=_largest_free(usable),
                placed_meanwhile=placed,
                steps_that_wait=len(first_by_step),
            )


def _kind(step: Step) -> str:
    if step.spec.best_effort:
        return 'fill'
    return 'lasting' if step.spec.long_running else 'short'


def _is_long_running(pending: PendingTask) -> bool:
    return pending.step.spec.long_running


def _longest_first(pending: PendingTask) -> int:
    return pending.task.pending_since_ms


def _largest_free(usable: list[Server]) -> tuple[int, int]:
    """Find the server with the most free CPU.

    :param usable: servers that accept starts.
    :returns: its free CPU in thousandths of a core and memory in MB.
    """
    rooms = (server.free_resources for server in usable)
    return max(
        ((room.processors_milli, room.memory_mb) for room in rooms),
        default=(0, 0),
    )


def _count_reasons(
    pending: PendingTask, usable: list[Server]
) -> dict[str, int]:
    return dict(
        collections.Counter(_reason(pending, server) for server in usable)
    )


def _reason(pending: PendingTask, server: Server) -> str:
    spec = pending.step.spec
    needs, room = spec.needs, server.free_resources
    if server.entry.service != pending.queue.service:
        return 'service'
    if spec.label and spec.label not in server.entry.labels:
        return 'label'
    if needs.memory_mb > room.memory_mb:
        return 'memory'
    if not spec.best_effort and not fits_resources(needs, room):
        return 'cpu'
    return 'harm' if spec.best_effort else 'other'
