"""Batch attempts on a stand-in backend server: progress, leases, ends."""

import dataclasses
from typing import NamedTuple

import msgspec

from waxwingford.ports import (
    Resources,
    StartTask,
    TaskKey,
    TaskPhase,
    TaskReport,
)

_DEFAULT_RUN_MS = 1000
_FULL_PERCENT = 100
_CHECKPOINT_PREFIX = 'ckpt:'


class Work(msgspec.Struct, frozen=True):
    """Payload of a batch task, as stand-ins understand it.

    :ivar run_ms: processor time that it needs, in milliseconds.
    :ivar result: detail of the report when it is done.
    :ivar fail: whether it fails instead.
    :ivar uses: real use, where it differs from the declared size.
    """

    run_ms: int = _DEFAULT_RUN_MS
    result: str = ''
    fail: bool = False
    uses: Resources | None = None


class AttemptRun(NamedTuple):
    """One attempt on one server, for the audit.

    :ivar task_id: which task.
    :ivar attempt: which attempt.
    :ivar server_id: where.
    :ivar boot_id: boot of the server.
    :ivar started_ms: monotonic time.
    :ivar ended_ms: monotonic time; 0 while it runs.
    :ivar phase: how it ended, or ``running``.
    :ivar resume_from: checkpoint reference that it went on from.
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
    """An attempt that the server knows, running or ended.

    :ivar start: command that started it.
    :ivar work: what it does.
    :ivar started_ms: monotonic time of the start.
    :ivar updated_ms: time up to which progress is counted.
    :ivar lease_until_ms: monotonic end of the task lease.
    :ivar progress_ms: work done, counted from the very first attempt.
    :ivar percent: share of its processors that it may use.
    :ivar phase: its phase.
    :ivar detail: result, checkpoint reference or reason.
    :ivar ended_ms: monotonic time of the end, 0 while it runs.
    """

    start: StartTask
    work: Work
    started_ms: int
    updated_ms: int
    lease_until_ms: int
    progress_ms: float
    percent: int = _FULL_PERCENT
    phase: TaskPhase = TaskPhase.running
    detail: str = ''
    ended_ms: int = 0

    @property
    def key(self) -> TaskKey:
        """Identity of the attempt.

        :returns: task and attempt number.
        """
        return self.start.key

    @property
    def uses(self) -> Resources:
        """Real use of resources now.

        :returns: declared or real size, under the throttle.
        """
        real = self.work.uses or self.start.resources
        return real._replace(
            processors_milli=real.processors_milli
            * self.percent
            // _FULL_PERCENT
        )

    def advance(self, now_ms: int) -> None:
        """Let the attempt run until now, its end or the end of its lease.

        :param now_ms: monotonic time.
        """
        if self.phase is not TaskPhase.running:
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
            self.end(TaskPhase.lapsed, 'task lease', self.lease_until_ms)

    def end(self, phase: TaskPhase, detail: str, now_ms: int) -> None:
        """End the attempt.

        :param phase: how.
        :param detail: result, reference or reason.
        :param now_ms: monotonic time.
        """
        self.phase = phase
        self.detail = detail
        self.ended_ms = now_ms

    def checkpoint(self, now_ms: int) -> None:
        """Save the progress and end the attempt.

        :param now_ms: monotonic time.
        """
        reference = (
            f'{_CHECKPOINT_PREFIX}{self.key.task_id}:{self.key.attempt}'
            f':{int(self.progress_ms)}'
        )
        self.end(TaskPhase.checkpointed, reference, now_ms)

    def report(self) -> TaskReport:
        """Describe the attempt to its holder.

        :returns: the report.
        """
        until_ms = self.ended_ms or self.updated_ms
        return TaskReport(
            self.key,
            self.phase,
            self.detail,
            self.percent < _FULL_PERCENT,
            until_ms - self.started_ms,
        )

    def run(self, server_id: str, boot_id: str) -> AttemptRun:
        """Describe the attempt for the audit.

        :param server_id: where it runs.
        :param boot_id: boot of the server.
        :returns: the audit's record.
        """
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
            self.end(TaskPhase.failed, 'work failed', now_ms)
        else:
            self.end(TaskPhase.done, self.work.result, now_ms)


def create_attempt(start: StartTask, now_ms: int) -> ServerAttempt:
    """Start an attempt, from its checkpoint if it has one.

    :param start: the command.
    :param now_ms: monotonic time.
    :returns: the attempt.
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
    """Read the progress that a checkpoint reference names.

    :param reference: ``ckpt:<task>:<attempt>:<progress>`` or empty.
    :returns: progress in milliseconds.
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
