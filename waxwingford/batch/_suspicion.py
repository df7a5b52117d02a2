"""Attempts whose server is out of contact, of jobs that declare lost_after."""

import heapq
from typing import NamedTuple

from waxwingford.batch._server import ServerControl
from waxwingford.batch._settings import BatchSettings
from waxwingford.ports import TaskKey
from waxwingford.records import (
    NOT_SUSPECTED,
    AttemptEnded,
    AttemptSuspected,
    DomainState,
    TaskState,
)

#: Keys in one suspicion at most.
_MAX_SUSPECTED_KEYS = 256


class _LapseTimer(NamedTuple):
    due_ms: int
    key: TaskKey
    suspected_offset: int
    server_id: str


def suspect_unreachable(
    server: ServerControl,
    state: DomainState,
    settings: BatchSettings,
    now_ms: int,
) -> AttemptSuspected | None:
    """Suspect the attempts of a server that gave no answer for long.

    :param server: a server that this daemon tried and does not hold.
    :param state: fold of the domain's stream.
    :param settings: of the controller.
    :param now_ms: monotonic time.
    :returns: the record, if there is anything to suspect.
    """
    since_ms = server.unreachable_since_ms
    if since_ms is None or now_ms - since_ms < settings.control_lease_ms:
        return None
    return suspect_attempts(server.vm.server_id, state, settings)


def suspect_attempts(
    server_id: str, state: DomainState, settings: BatchSettings
) -> AttemptSuspected | None:
    """Suspect the attempts of a server whose jobs declare a time.

    :param server_id: where they are claimed.
    :param state: fold of the domain's stream.
    :param settings: of the controller.
    :returns: the record, if there is anything to suspect.
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
    """Waits out suspicions, from when this daemon read them."""

    def __init__(self, settings: BatchSettings) -> None:
        """Start empty.

        :param settings: of the controller.
        """
        self._settings = settings
        self._timers: list[_LapseTimer] = []

    def add(self, task: TaskState, now_ms: int) -> None:
        """Start the timer of a suspected attempt.

        :param task: its attempt is suspected.
        :param now_ms: monotonic time, after the suspicion was read.
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
        """End the attempts whose timer expired and to which nobody objected.

        :param state: fold of the domain's stream.
        :param head_read_ms: monotonic start of the last read to the head; a
            timer counts as expired only if that read began after it.
        :returns: records to append; the timer starts anew for each, lest the
            record get lost.
        """
        expired = []
        while self._timers and self._timers[0].due_ms < head_read_ms:
            expired.append(heapq.heappop(self._timers))
        lapsed = [
            timer for timer in expired if _is_still_suspected(state, timer)
        ]
        for timer in lapsed:
            again_ms = head_read_ms + self._settings.longest_task_lease_ms
            heapq.heappush(self._timers, timer._replace(due_ms=again_ms))
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
