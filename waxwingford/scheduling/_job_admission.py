"""Decides for which services best-effort jobs are refused, as servers have no room.

An accepted job that can't be served in time takes room from jobs that could. A caller
that is refused at once, and told when to come back, is better off.
"""

import math
from collections.abc import Callable

from waxwingford.ports import Resources
from waxwingford.scheduling._refusal_times import MAX_RETRY_S, MAX_SPREAD_S
from waxwingford.scheduling._room_forecast import RoomForecast, ServiceRoom
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._shard_state import ShardState

#: Expected wait from which on jobs are refused, as a multiple of the mean objective of
#: the service's recent jobs.
LIMIT_OBJECTIVES = 2.2
#: Share of that wait at which jobs are accepted again.
REOPEN_SHARE = 0.8
#: Shortest time after which callers are told to come back, in seconds.
MIN_RETRY_S = 1
#: Shortest interval between notes of a time that changes while jobs are refused, in ms.
NOTE_INTERVAL_MS = 1000
_MS_PER_S = 1000
_WORK_PER_CORE_S = 1_000_000


class JobAdmission:
    """Refuses best-effort jobs of services without room.

    :ivar forecast: when there will be room.
    :ivar retry_s_by_service: earliest time in seconds after which jobs may be submitted
        again, by service; services whose jobs are accepted are left out.
    """

    def __init__(
        self, state: ShardState, available: Callable[[Server], Resources]
    ) -> None:
        """Start with all jobs accepted.

        :param available: tells the resources of a server neither used nor reserved.
        """
        self._state = state
        self.forecast = RoomForecast(available)
        self.retry_s_by_service: dict[str, int] = {}
        self._noted_ms_by_service: dict[str, int] = {}

    def update(self, now_ms: int, limited: bool) -> None:
        """Decide again if the forecast has changed.

        :param now_ms: current monotonic time, in ms.
        :param limited: whether the owner's processor limits the starts.
        """
        if not self.forecast.update(self._state, now_ms, limited):
            return
        former = self.retry_s_by_service
        rooms = self.forecast.room_by_service
        retry_s_by_service = {
            service: retry_s(room, service in former, limited)
            for service, room in rooms.items()
        }
        self.retry_s_by_service = {
            service: time_s
            for service, time_s in retry_s_by_service.items()
            if time_s
        }
        for service, room in rooms.items():
            self._note_change(service, room, former.get(service, 0), now_ms)

    def clear(self) -> None:
        """Accept all jobs, as an update has failed.

        Otherwise the refusals would last for as long as updates fail.
        """
        self.retry_s_by_service = {}

    def _note_change(
        self, service: str, room: ServiceRoom, former_s: int, now_ms: int
    ) -> None:
        time_s = self.retry_s_by_service.get(service, 0)
        noted_ms = self._noted_ms_by_service.get(service, -NOTE_INTERVAL_MS)
        recent = now_ms - noted_ms < NOTE_INTERVAL_MS
        if time_s == former_s or (time_s and former_s and recent):
            return
        self._noted_ms_by_service[service] = now_ms
        self._state.notes.add(
            'admission.changed',
            service,
            service=service,
            wait_ms=round(room.wait_ms),
            limit_ms=round(limit_ms(room)),
            work_core_s=round(room.work / _WORK_PER_CORE_S, 1),
            rate_cores=round(room.rate_milli / _MS_PER_S, 1),
            retry_after_s=time_s,
        )


def limit_ms(room: ServiceRoom) -> float:
    """Return the expected wait from which on jobs are refused, in ms."""
    return LIMIT_OBJECTIVES * room.objective_ms


def retry_s(room: ServiceRoom, refused: bool, limited: bool) -> int:
    """Decide whether the jobs of a service are refused.

    :param refused: whether they are refused so far.
    :param limited: whether the owner's processor limits the starts, so that tasks may
        wait although there is room. No refusal begins then, nor while a typical task
        fits on a server.
    :returns: time in seconds until there is room, 0 if jobs are accepted.
    """
    reopen_ms = REOPEN_SHARE * limit_ms(room)
    most_ms = reopen_ms if refused else limit_ms(room)
    if not room.waiting or room.wait_ms <= most_ms:
        return 0
    if not refused and (limited or room.fits_now):
        return 0
    left_s = min(MAX_RETRY_S, (room.wait_ms - reopen_ms) / _MS_PER_S)
    longest_s = MAX_RETRY_S - MAX_SPREAD_S
    return min(longest_s, max(MIN_RETRY_S, math.ceil(left_s)))


__all__ = (
    'JobAdmission',
    'limit_ms',
    'retry_s',
)
