"""Why tasks wait: what kept each server from taking them.

A job that was accepted and doesn't start shows no decision at all, so nobody
could tell from logs whether servers are full, lack a label or are out of reach.
"""

import collections
import itertools
from collections.abc import Iterable

from waxwingford.ports import fits_resources
from waxwingford.scheduling._notes import NoteBook
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._state import Step
from waxwingford.scheduling._turns import Waiting

#: A step that waits this long is noted, and all again after as long, in ms:
#: placing takes some tens of ms where there is room.
NOTE_EVERY_MS = 1000
#: Most steps noted at a time, of those that last and of the others; of the rest
#: only the count: when there is more work than room, all wait for the same
#: reasons.
MOST_NOTED = 6


class WaitNotes:
    """Notes steps that wait for servers."""

    def __init__(self, notes: NoteBook) -> None:
        """Write into a note book.

        :param notes: of the shard.
        """
        self._notes = notes
        self._noted_ms = 0
        self._placed_by_kind: collections.Counter[str] = collections.Counter()

    def placed(self, step: Step) -> None:
        """Count a task that found a server.

        Where tasks wait although servers have become free, this tells what
        went there instead.

        :param step: of the task.
        """
        self._placed_by_kind[_kind(step)] += 1

    def update(
        self, unplaced: Iterable[Waiting], usable: list[Server], now_ms: int
    ) -> None:
        """Note the steps that have waited long enough, some of them.

        Those that last are noted first, by how long they have waited: they are
        owed a server however much else waits, and come late in the order of
        turns.

        :param unplaced: tasks that found no server in this round.
        :param usable: servers that take starts.
        :param now_ms: steady time.
        """
        if now_ms - self._noted_ms < NOTE_EVERY_MS:
            return
        self._noted_ms = now_ms
        first_by_step: dict[str, Waiting] = {}
        for turn in unplaced:
            if now_ms - turn.task.waiting_ms >= NOTE_EVERY_MS:
                first_by_step.setdefault(turn.step.name, turn)
        turns = first_by_step.values()
        lasting = sorted(filter(_lasts, turns), key=_longest_first)
        others = itertools.filterfalse(_lasts, turns)
        placed = dict(self._placed_by_kind)
        self._placed_by_kind.clear()
        for turn in (
            *lasting[:MOST_NOTED],
            *itertools.islice(others, MOST_NOTED),
        ):
            self._notes.add(
                'step.waits',
                turn.step.name,
                waited_ms=now_ms - turn.task.waiting_ms,
                kind=_kind(turn.step),
                gang=turn.step.spec.gang,
                runs_before=turn.task.last_run,
                usable_servers=len(usable),
                kept_out=_count_reasons(turn, usable),
                most_room=_most_room(usable),
                placed_meanwhile=placed,
                steps_that_wait=len(first_by_step),
            )


def _kind(step: Step) -> str:
    if step.spec.fills:
        return 'fill'
    return 'lasting' if step.spec.lasting else 'short'


def _lasts(turn: Waiting) -> bool:
    return turn.step.spec.lasting


def _longest_first(turn: Waiting) -> int:
    return turn.task.waiting_ms


def _most_room(usable: list[Server]) -> tuple[int, int]:
    """Find the server with most processors free.

    :param usable: servers that take starts.
    :returns: thousandths of a core and MB that it has free.
    """
    rooms = (server.room for server in usable)
    return max(
        ((room.processors_milli, room.memory_mb) for room in rooms),
        default=(0, 0),
    )


def _count_reasons(turn: Waiting, usable: list[Server]) -> dict[str, int]:
    return dict(collections.Counter(_reason(turn, server) for server in usable))


def _reason(turn: Waiting, server: Server) -> str:
    spec = turn.step.spec
    needs, room = spec.needs, server.room
    if server.entry.service != turn.queue.service:
        return 'service'
    if spec.label and spec.label not in server.entry.labels:
        return 'label'
    if needs.memory_mb > room.memory_mb:
        return 'memory'
    if not spec.fills and not fits_resources(needs, room):
        return 'cpu'
    return 'harm' if spec.fills else 'other'
