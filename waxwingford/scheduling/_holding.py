"""Holds servers for a gang until it fits.

A gang needs room for all its members at once.  Where servers are nearly full,
tasks that need less take each piece of room as it comes free, and a gang waits
for as long as such tasks come.
"""

from typing import NamedTuple

from waxwingford.ports import Resources, subtract_resources
from waxwingford.scheduling import _gangs as gangs
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._turns import Waiting

#: A gang that waits this long, in ms, has servers held for it.
PATIENCE_MS = 500
#: Servers are held for so long at most, and then for nobody for so long, both
#: in ms: most tasks end within two seconds, and a gang that still doesn't fit
#: must not keep the others waiting.
HOLD_MS = 2000
REST_MS = 1000


class _Hold(NamedTuple):
    turn: Waiting
    server_ids: frozenset[str]
    until_ms: int


class Holder:
    """Holds servers for one gang at a time."""

    def __init__(self) -> None:
        """Hold nothing."""
        self._hold: _Hold | None = None
        self._rests_until_ms = 0

    def update(
        self, turns: list[Waiting], usable: list[Server], now_ms: int
    ) -> None:
        """Let servers go, and hold some for the first gang that needs it.

        :param turns: tasks that wait, in their order.
        :param usable: servers that take starts.
        :param now_ms: steady time.
        """
        if self._hold is not None:
            waits = any(turn.step is self._hold.turn.step for turn in turns)
            if waits and now_ms < self._hold.until_ms:
                return
            self._hold = None
            self._rests_until_ms = now_ms + REST_MS
        if now_ms >= self._rests_until_ms:
            self._hold = _first_hold(turns, usable, now_ms)

    def keeps_out(self, turn: Waiting, server: Server) -> bool:
        """Tell whether a server is held for somebody else.

        :param turn: a task that waits; those before the gang are not kept out,
            nor are fills, which take no room from it, and lasting tasks, whose
            callers must not wait.
        :param server: where it would run.
        :returns: whether it has to go elsewhere.
        """
        hold = self._hold
        spec = turn.step.spec
        if hold is None or spec.fills or spec.lasting:
            return False
        behind = turn.order > hold.turn.order
        held = server.entry.server_id in hold.server_ids
        return held and behind and turn.step is not hold.turn.step


def _first_hold(
    turns: list[Waiting], usable: list[Server], now_ms: int
) -> _Hold | None:
    gang = next((turn for turn in turns if _needs_hold(turn, now_ms)), None)
    if gang is None:
        return None
    label = gang.step.spec.label
    servers = [
        server
        for server in usable
        if server.entry.service == gang.queue.service
        and (not label or label in server.entry.labels)
    ]
    seats = gangs.find_seats(gang.step, servers, _room_to_come)
    if seats is None:
        return None
    server_ids = frozenset(seat.server.entry.server_id for seat in seats)
    return _Hold(gang, server_ids, now_ms + HOLD_MS)


def _needs_hold(turn: Waiting, now_ms: int) -> bool:
    spec = turn.step.spec
    waited_ms = now_ms - turn.task.waiting_ms
    whole = spec.gang and not spec.fills and gangs.is_whole(turn.step)
    return whole and waited_ms >= PATIENCE_MS


def _room_to_come(server: Server) -> Resources:
    """Work out the room of a server once its short tasks have ended.

    :param server: which.
    :returns: its capacity less what lasting tasks take.
    """
    room = server.entry.capacity
    for step in server.step_by_run.values():
        if step.spec.lasting:
            room = subtract_resources(room, step.spec.needs)
    return room
