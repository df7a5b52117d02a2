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
from waxwingford.scheduling._turns import Waiting

#: A step that waits this long is noted, and all again after as long, in ms:
#: placing takes some tens of ms where there is room.
NOTE_EVERY_MS = 1000
#: Most steps noted at a time; of the others only the count: when there is more
#: work than room, all wait for the same reasons.
MOST_NOTED = 6


class WaitNotes:
    """Notes steps that wait for servers."""

    def __init__(self, notes: NoteBook) -> None:
        """Write into a note book.

        :param notes: of the shard.
        """
        self._notes = notes
        self._noted_ms = 0

    def update(
        self, unplaced: Iterable[Waiting], usable: list[Server], now_ms: int
    ) -> None:
        """Note the steps that have waited long enough, some of them.

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
        for name, turn in itertools.islice(first_by_step.items(), MOST_NOTED):
            self._notes.add(
                'step.waits',
                name,
                waited_ms=now_ms - turn.task.waiting_ms,
                gang=turn.step.spec.gang,
                usable_servers=len(usable),
                kept_out=_count_reasons(turn, usable),
                steps_that_wait=len(first_by_step),
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
