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
_SUSPECTED_AT_ONCE = 256


class _Wait(NamedTuple):
    due_ms: int
    key: TaskKey
    suspected_offset: int
    server_id: str


def suspicion(
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
    return suspect_at(server.vm.server_id, state, settings)


def suspect_at(
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
    return AttemptSuspected(tuple(keys[:_SUSPECTED_AT_ONCE]), settings.writer)


class LapseWaits:
    """Waits out suspicions, from when this daemon read them."""

    def __init__(self, settings: BatchSettings) -> None:
        """Start empty.

        :param settings: of the controller.
        """
        self._settings = settings
        self._waits: list[_Wait] = []

    def add(self, task: TaskState, now_ms: int) -> None:
        """Start to wait.

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
        wait = _Wait(due_ms, task.key, task.suspected_offset, task.server_id)
        heapq.heappush(self._waits, wait)

    def take_lapsed(
        self, state: DomainState, head_read_ms: int
    ) -> list[AttemptEnded]:
        """End the attempts whose wait is over and to which nobody objected.

        :param state: fold of the domain's stream.
        :param head_read_ms: monotonic start of the last read to the head; a
            wait counts as over only if that read began after it.
        :returns: records to append; the wait starts anew for each, lest the
            record get lost.
        """
        over = []
        while self._waits and self._waits[0].due_ms < head_read_ms:
            over.append(heapq.heappop(self._waits))
        standing = [wait for wait in over if _stands(state, wait)]
        for wait in standing:
            again_ms = head_read_ms + self._settings.longest_task_lease_ms
            heapq.heappush(self._waits, wait._replace(due_ms=again_ms))
        return [
            AttemptEnded(
                wait.key,
                wait.server_id,
                'lapsed',
                'gave up by itself, out of contact',
                suspected_offset=wait.suspected_offset,
            )
            for wait in standing
        ]


def _stands(state: DomainState, wait: _Wait) -> bool:
    task = state.claimed(wait.key, wait.server_id)
    return task is not None and task.suspected_offset == wait.suspected_offset
