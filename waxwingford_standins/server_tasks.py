"""Simulated execution of batch attempts under task leases."""

import dataclasses
from typing import NamedTuple

import msgspec

from waxwingford.ports import (
    AttemptKey,
    AttemptPhase,
    AttemptReport,
    Resources,
    StartTask,
)

_DEFAULT_RUN_MS = 1000
_FULL_PERCENT = 100
_CHECKPOINT_PREFIX = 'ckpt:'


class Work(msgspec.Struct, frozen=True):
    """Payload of a simulated batch task.

    :ivar run_ms: run time without throttling, in milliseconds.
    :ivar result: detail of the report on completion.
    :ivar fail: whether the task fails at its end.
    :ivar uses: actual resource usage, if it differs from the request.
    """

    run_ms: int = _DEFAULT_RUN_MS
    result: str = ''
    fail: bool = False
    uses: Resources | None = None


class AttemptRun(NamedTuple):
    """Audit record of an attempt.

    :ivar boot_id: id of the boot of the server.
    :ivar started_ms: monotonic start time, in milliseconds.
    :ivar ended_ms: monotonic end time, in milliseconds; 0 while running.
    :ivar phase: final phase, or ``running``.
    :ivar resume_from: checkpoint that the attempt resumed from.
    :ivar detail: result, checkpoint reference or reason.
    """

    task_id: str
    attempt: int
    server_id: str
    boot_id: str
    started_ms: int
    ended_ms: int
    phase: str
    resume_from: str
    detail: str = ''


@dataclasses.dataclass(slots=True)
class ServerAttempt:
    """Running or ended attempt on a server.

    :ivar started_ms: monotonic start time, in milliseconds.
    :ivar updated_ms: monotonic time up to which progress is counted, in
        milliseconds.
    :ivar lease_until_ms: monotonic expiry time of the task lease, in
        milliseconds.
    :ivar progress_ms: progress including earlier attempts, in milliseconds of
        unthrottled run time.
    :ivar percent: CPU limit, as a percentage of the requested CPU.
    :ivar detail: result, checkpoint reference or reason.
    :ivar ended_ms: monotonic end time, in milliseconds; 0 while running.
    """

    start: StartTask
    work: Work
    started_ms: int
    updated_ms: int
    lease_until_ms: int
    progress_ms: float
    percent: int = _FULL_PERCENT
    phase: AttemptPhase = AttemptPhase.running
    detail: str = ''
    ended_ms: int = 0

    @property
    def key(self) -> AttemptKey:
        """Key of the attempt.

        :returns: task id and attempt number.
        """
        return self.start.key

    @property
    def uses(self) -> Resources:
        """Current resource usage.

        :returns: actual usage, with the CPU limit applied.
        """
        real = self.work.uses or self.start.resources
        return real._replace(
            processors_milli=real.processors_milli
            * self.percent
            // _FULL_PERCENT
        )

    def advance(self, now_ms: int) -> None:
        """Advance the attempt until now, its completion or its lease expiry.

        :param now_ms: monotonic time, in milliseconds.
        """
        if self.phase is not AttemptPhase.running:
            return
        until_ms = min(now_ms, self.lease_until_ms)
        speed = self.percent / _FULL_PERCENT
        done_ms = self.updated_ms + max(
            (self.work.run_ms - self.progress_ms) / speed, 0
        )
        if done_ms <= until_ms:
            self.progress_ms = self.work.run_ms
            self._complete(int(done_ms))
            return
        self.progress_ms += max(until_ms - self.updated_ms, 0) * speed
        self.updated_ms = max(until_ms, self.updated_ms)
        if now_ms >= self.lease_until_ms:
            self.end(AttemptPhase.lapsed, 'task lease', self.lease_until_ms)

    def end(self, phase: AttemptPhase, detail: str, now_ms: int) -> None:
        """End the attempt.

        :param phase: final phase.
        :param detail: result, checkpoint reference or reason.
        :param now_ms: monotonic time, in milliseconds.
        """
        self.phase = phase
        self.detail = detail
        self.ended_ms = now_ms

    def checkpoint(self, now_ms: int) -> None:
        """Checkpoint the progress and end the attempt.

        :param now_ms: monotonic time, in milliseconds.
        """
        reference = (
            f'{_CHECKPOINT_PREFIX}{self.key.task_id}:{self.key.attempt}'
            f':{int(self.progress_ms)}'
        )
        self.end(AttemptPhase.checkpointed, reference, now_ms)

    def report(self) -> AttemptReport:
        """Build the report for the lease holder."""
        until_ms = self.ended_ms or self.updated_ms
        return AttemptReport(
            self.key,
            self.phase,
            self.detail,
            self.percent < _FULL_PERCENT,
            until_ms - self.started_ms,
        )

    def run(self, server_id: str, boot_id: str) -> AttemptRun:
        """Build the audit record."""
        return AttemptRun(
            self.key.task_id,
            self.key.attempt,
            server_id,
            boot_id,
            self.started_ms,
            self.ended_ms,
            self.phase.value,
            self.start.resume_from,
            self.detail,
        )

    def _complete(self, now_ms: int) -> None:
        if self.work.fail:
            self.end(AttemptPhase.failed, 'work failed', now_ms)
        else:
            self.end(AttemptPhase.done, self.work.result, now_ms)


def create_attempt(start: StartTask, now_ms: int) -> ServerAttempt:
    """Create an attempt, resuming from its checkpoint if there is one.

    :param now_ms: monotonic time, in milliseconds.
    """
    return ServerAttempt(
        start,
        _decode_work(start.payload),
        started_ms=now_ms,
        updated_ms=now_ms,
        lease_until_ms=now_ms + start.lease_ms,
        progress_ms=parse_progress(start.resume_from),
    )


def parse_progress(reference: str) -> int:
    """Parse the progress from a checkpoint reference.

    :param reference: ``ckpt:<task>:<attempt>:<progress>`` or empty.
    :returns: progress, in milliseconds; 0 without a valid reference.
    """
    last = reference.rpartition(':')[2]
    if reference.startswith(_CHECKPOINT_PREFIX) and last.isdigit():
        return int(last)
    return 0


def _decode_work(payload: str) -> Work:
    try:
        return msgspec.json.decode(payload, type=Work)
    except msgspec.DecodeError:
        return Work()
