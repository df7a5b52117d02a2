"""Suspicion of attempts on unreachable servers, for jobs with lost_after."""

import heapq
from typing import NamedTuple

from waxwingford.batch._server import ServerControl
from waxwingford.batch._settings import BatchSettings
from waxwingford.ports import AttemptKey
from waxwingford.records import (
    NOT_SUSPECTED,
    AttemptEnded,
    AttemptSuspected,
    DomainState,
    TaskState,
)

_MAX_SUSPECTED_KEYS = 256


class _LapseTimer(NamedTuple):
    due_ms: int
    key: AttemptKey
    suspected_offset: int
    server_id: str


def suspect_unreachable(
    server: ServerControl,
    state: DomainState,
    settings: BatchSettings,
    now_ms: int,
) -> AttemptSuspected | None:
    """Suspect the attempts of a server that has been unreachable too long.

    :param server: a server whose lease this daemon does not hold.
    :param state: state replayed from the domain's stream.
    :param now_ms: monotonic time, in milliseconds.
    :returns: the record; None if there is no attempt to suspect.
    """
    since_ms = server.unreachable_since_ms
    if since_ms is None or now_ms - since_ms < settings.control_lease_ms:
        return None
    return suspect_attempts(server.vm.server_id, state, settings)


def suspect_attempts(
    server_id: str, state: DomainState, settings: BatchSettings
) -> AttemptSuspected | None:
    """Suspect the attempts on a server whose jobs declare ``lost_after_ms``.

    :param state: state replayed from the domain's stream.
    :returns: the record; None if there is no attempt to suspect.
    """
    attempts = state.index.attempts_by_server.get(server_id, {})
    keys = [
        task.key
        for task in attempts.values()
        if task.job.spec.lost_after_ms
        and task.suspected_offset == NOT_SUSPECTED
    ]
    if not keys:
        return None
    return AttemptSuspected(tuple(keys[:_MAX_SUSPECTED_KEYS]), settings.writer)


class LapseTimers:
    """Timers of suspected attempts, started when the suspicion is read."""

    def __init__(self, settings: BatchSettings) -> None:
        self._settings = settings
        self._timers: list[_LapseTimer] = []

    def add(self, task: TaskState, now_ms: int) -> None:
        """Start the timer of a suspected attempt.

        :param task: task whose attempt is suspected.
        :param now_ms: monotonic time after the suspicion was read, in
            milliseconds.
        """
        settings = self._settings
        due_ms = (
            now_ms
            + task.job.spec.lost_after_ms
            + settings.longest_task_lease_ms
            + settings.control_timeout_ms
            + settings.margin_ms
        )
        timer = _LapseTimer(
            due_ms, task.key, task.suspected_offset, task.server_id
        )
        heapq.heappush(self._timers, timer)

    def pop_lapsed(
        self, state: DomainState, head_read_ms: int
    ) -> list[AttemptEnded]:
        """End the attempts whose timer expired and that are still suspected.

        :param state: state replayed from the domain's stream.
        :param head_read_ms: monotonic start of the last read that reached the
            head, in milliseconds; only timers due before it expire.
        :returns: records to append; each timer is restarted in case the
            record is lost.
        """
        expired = []
        while self._timers and self._timers[0].due_ms < head_read_ms:
            expired.append(heapq.heappop(self._timers))
        lapsed = [
            timer for timer in expired if _is_still_suspected(state, timer)
        ]
        for timer in lapsed:
            next_due_ms = head_read_ms + self._settings.longest_task_lease_ms
            heapq.heappush(self._timers, timer._replace(due_ms=next_due_ms))
        return [
            AttemptEnded(
                timer.key,
                timer.server_id,
                'lapsed',
                'gave up by itself, out of contact',
                suspected_offset=timer.suspected_offset,
            )
            for timer in lapsed
        ]


def _is_still_suspected(state: DomainState, timer: _LapseTimer) -> bool:
    task = state.claimed(timer.key, timer.server_id)
    return task is not None and task.suspected_offset == timer.suspected_offset
