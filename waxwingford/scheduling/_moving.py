"""Moves fills that are held back to servers that bear them.

Which fills a server bears changes while they run: tasks that serve come and
go, and a pair's harm is learned only by having it.  A fill that is halted then
waits for as long as the others stay, though tasks that it doesn't harm serve
on other servers.
"""

import itertools

from waxwingford.scheduling._book import Book
from waxwingford.scheduling._occupants import best_effort_runs
from waxwingford.scheduling._placing import Placer
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._state import Run, RunPhase, Step

#: A fill at this pace or below is held back, in percent.
HELD_BACK_PERCENT = 30
#: How long it must have been, in ms: a serving task's own load swings within
#: seconds, and a halt often lasts only as long as a swing.
HELD_BACK_MS = 1200
#: Most progress that may be lost by a move, in percent, for a task that writes
#: no checkpoint.
MOST_LOST_PERCENT = 25
#: Time between two rounds, in ms; each move changes what others would find.
ROUND_EVERY_MS = 200
#: Most steps for which a server is looked for in one round, each for one task,
#: and time for which a step without a better server is not looked for again, in
#: ms: with hundreds of fills held back and dozens of servers the search alone
#: would take the processor.
MOST_SEARCHES = 5
SEARCH_AGAIN_MS = 800


class Mover:
    """Stops fills that would do better elsewhere; the placer starts them."""

    def __init__(self, book: Book, placer: Placer) -> None:
        """Work on a book.

        :param book: of the shard.
        :param placer: tells where a task would fit.
        """
        self._book = book
        self._placer = placer
        self._round_ms = 0
        self._searched_by_step: dict[str, int] = {}

    def move(self, now_ms: int) -> None:
        """Stop the fills that are held back and have a better place.

        :param now_ms: steady time.
        """
        if now_ms - self._round_ms < ROUND_EVERY_MS:
            return
        self._round_ms = now_ms
        self._searched_by_step = {
            name: searched_ms
            for name, searched_ms in self._searched_by_step.items()
            if now_ms - searched_ms < SEARCH_AGAIN_MS
        }
        first_by_step: dict[str, tuple[Run, Step]] = {}
        for pair in sorted(self._held_back(now_ms), key=_longest_first):
            first_by_step.setdefault(pair[1].name, pair)
        for run, step in itertools.islice(
            first_by_step.values(), MOST_SEARCHES
        ):
            if not self._move(run, step, now_ms):
                self._searched_by_step[step.name] = now_ms

    def _held_back(self, now_ms: int) -> list[tuple[Run, Step]]:
        return [
            pair
            for server in self._book.server_by_id.values()
            for pair in _held_back_on(server, now_ms)
            if pair[1].name not in self._searched_by_step
        ]

    def _move(self, run: Run, step: Step, now_ms: int) -> bool:
        found = self._book.find(run.key)
        if found is None:
            return False
        better = [
            server
            for server in self._placer.find_servers(found[0], step, now_ms)
            if server.entry.server_id != run.server_id
        ]
        if not better:
            return False
        found[0].avoided.add(run.server_id)
        run.stopping = True
        self._book.notes.add(
            'run.moved',
            run.key.task,
            run=run.key.run,
            server=run.server_id,
            percent=run.pace,
            held_back_ms=now_ms - run.paced_ms,
            better_servers=len(better),
        )
        return True


def _held_back_on(server: Server, now_ms: int) -> list[tuple[Run, Step]]:
    if server.failing_ms is not None:
        return []
    return [
        (run, step)
        for run, step in best_effort_runs(server)
        if _may_move(run, step)
        and run.pace is not None
        and run.pace <= HELD_BACK_PERCENT
        and now_ms - run.paced_ms >= HELD_BACK_MS
    ]


def _may_move(run: Run, step: Step) -> bool:
    if run.phase is not RunPhase.present or run.stopping or step.spec.gang:
        return False
    return step.spec.saves or run.percent <= MOST_LOST_PERCENT


def _longest_first(pair: tuple[Run, Step]) -> int:
    return pair[0].paced_ms
