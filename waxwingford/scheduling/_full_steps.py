"""Steps that fitted on no server, and when they are looked at again.

A step is compared with all servers again after a time that grows with the work that
all such steps take, so that together they take a bounded share of the owner's time.
Until then it is only compared with the servers on which room has become free.
"""

import itertools
from typing import NamedTuple

from waxwingford.ports import Resources
from waxwingford.scheduling._backend_client import TaskKey
from waxwingford.scheduling._reservations import Reservations
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._state import Step

#: Work per ms of time that full steps may take together, see ``RoundWork``.
WORK_PER_MS = 100
#: Interval at which steps that nobody looks at any more are forgotten, in ms.
CLEANING_INTERVAL_MS = 250


class _FullStep(NamedTuple):
    # Round in which the step was compared with all servers at the latest, work that
    # this took, and monotonic time in ms from which on it is repeated.
    round_number: int
    work: int
    due_ms: int


class _Seen(NamedTuple):
    # What was seen of a server at the begin of a round.
    server: Server
    room: Resources
    changes: int
    reserved_for: TaskKey | None


class FullSteps:
    """Remembers full steps, and the servers that have room since."""

    def __init__(self, reservations: Reservations) -> None:
        self._reservations = reservations
        self._full_by_step: dict[str, _FullStep] = {}
        self._work = 0
        self._round_number = 0
        self._cleaned_ms = 0
        self._seen_by_server: dict[str, _Seen] = {}
        #: Rounds in which servers were found with more room, the latest last.
        self._grown_in_round: dict[str, int] = {}

    def begin(self, usable: list[Server], now_ms: int) -> None:
        """Begin a placement round, after that of the reservations.

        :param usable: servers that accept starts.
        :param now_ms: current monotonic time, in ms.
        """
        self._round_number += 1
        if now_ms - self._cleaned_ms >= CLEANING_INTERVAL_MS:
            self._cleaned_ms = now_ms
            self._forget_old(now_ms)
        if not self._full_by_step:
            self._seen_by_server.clear()
            self._grown_in_round.clear()
            return
        reduced = self._reservations.reduced_servers()
        seen: dict[str, _Seen] = {}
        for server in usable:
            server_id = server.entry.server_id
            before = self._seen_by_server.get(server_id)
            # Most servers haven't changed, and rounds are frequent.
            unreduced = (
                server,
                server.free_resources,
                server.change_count,
                server.reserved_for,
            )
            if before == unreduced and server_id not in reduced:
                seen[server_id] = before
                continue
            now = self._see(server)
            seen[server_id] = now
            if before is None or _has_grown(before, now):
                self._grown_in_round.pop(server_id, None)
                self._grown_in_round[server_id] = self._round_number
        self._seen_by_server = seen

    def end(self, usable: list[Server]) -> None:
        """End a round: what was planned in it has taken room."""
        if self._full_by_step and not self._seen_by_server:
            self._seen_by_server = {
                server.entry.server_id: self._see(server) for server in usable
            }

    def servers_to_try(
        self, step: Step, advised: bool, usable: list[Server], now_ms: int
    ) -> list[Server]:
        """Select the servers that may have room for a step.

        :param advised: whether starts need tickets.
        :param usable: servers that accept starts.
        :param now_ms: current monotonic time, in ms.
        :returns: all of them, or those that have grown since it was full.
        """
        full = self._full_by_step.get(step.name)
        if full is None or now_ms >= full.due_ms:
            return usable
        if advised or step.spec.best_effort or step.spec.gang:
            # More than the room of single servers decides.
            return []
        latest = itertools.takewhile(
            lambda server_id: (
                self._grown_in_round[server_id] > full.round_number
            ),
            reversed(self._grown_in_round),
        )
        return [
            seen.server
            for server_id in latest
            if (seen := self._seen_by_server.get(server_id)) is not None
        ]

    def add(self, step: Step, work: int, now_ms: int) -> None:
        """Note that a step fits on none of the servers that were tried.

        :param work: work that this has taken, 0 if no server was tried.
        :param now_ms: current monotonic time, in ms.
        """
        full = self._full_by_step.get(step.name)
        if full is not None and now_ms < full.due_ms:
            self._full_by_step[step.name] = full._replace(
                round_number=self._round_number
            )
            return
        self.discard(step)
        self._work += work
        due_ms = now_ms + self._work // WORK_PER_MS
        self._full_by_step[step.name] = _FullStep(
            self._round_number, work, due_ms
        )

    def discard(self, step: Step) -> None:
        """Forget a step, as a task of it was placed."""
        full = self._full_by_step.pop(step.name, None)
        if full is not None:
            self._work -= full.work

    def _forget_old(self, now_ms: int) -> None:
        """Forget steps that weren't looked at though they were due for long."""
        old_ms = now_ms - max(1, self._work // WORK_PER_MS)
        old = [
            name
            for name, full in self._full_by_step.items()
            if full.due_ms < old_ms
        ]
        for name in old:
            self._work -= self._full_by_step.pop(name).work

    def _see(self, server: Server) -> _Seen:
        return _Seen(
            server,
            self._reservations.available(server),
            server.change_count,
            server.reserved_for,
        )


def _has_grown(before: _Seen, now: _Seen) -> bool:
    """Tell whether a server may have room that it hadn't before."""
    if now.server is not before.server:
        return True
    if now.reserved_for != before.reserved_for:
        return True
    if now.room == before.room:
        # A run may have been planned and removed in between.
        return now.changes != before.changes
    return any(
        more > less for more, less in zip(now.room, before.room, strict=True)
    )


__all__ = ('FullSteps',)
