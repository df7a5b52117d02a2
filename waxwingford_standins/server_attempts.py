"""Attempts that a stand-in backend server knows, and commands on them."""

from waxwingford.ports import (
    CheckpointTask,
    ForgetTask,
    Resources,
    ServerCommand,
    StartTask,
    StopTask,
    TaskKey,
    TaskPhase,
    TaskReport,
    ThrottleTask,
)
from waxwingford_standins.server_tasks import (
    AttemptRun,
    ServerAttempt,
    create_attempt,
)

_UNKNOWN_ATTEMPT = 'attempt is not known here'
_FULL_PERCENT = 100


class AttemptTable:
    """Running attempts, ended ones until they are forgotten, and history.

    :ivar fails_starts: whether each start fails at once.
    """

    def __init__(self, server_id: str, total: Resources) -> None:
        """Start empty.

        :param server_id: name of the server, for the audit.
        :param total: size of the VM.
        """
        self.fails_starts = False
        self._server_id = server_id
        self._total = total
        self._attempt_by_key: dict[TaskKey, ServerAttempt] = {}
        self._history: list[AttemptRun] = []

    def advance(self, now_ms: int) -> None:
        """Let attempts run.

        :param now_ms: monotonic time.
        """
        for attempt in self._attempt_by_key.values():
            attempt.advance(now_ms)

    def renew(
        self, keys: tuple[TaskKey, ...], lease_ms: int, now_ms: int
    ) -> None:
        """Renew task leases; unknown attempts are left out.

        :param keys: attempts.
        :param lease_ms: length of the new leases, in milliseconds.
        :param now_ms: monotonic time.
        """
        for key in self._attempt_by_key.keys() & set(keys):
            self._attempt_by_key[key].lease_until_ms = now_ms + lease_ms

    def execute(self, command: ServerCommand, now_ms: int, boot_id: str) -> str:
        """Carry out one command other than a start.

        :param command: the command.
        :param now_ms: monotonic time.
        :param boot_id: boot of the server, for the audit.
        :returns: reason if it was refused, else empty.
        """
        attempt = self._attempt_by_key.get(command.key)
        if attempt is None:
            return _UNKNOWN_ATTEMPT
        running = attempt.phase is TaskPhase.running
        match command:
            case CheckpointTask() if running:
                attempt.checkpoint(now_ms)
            case ThrottleTask(percent=percent) if running:
                attempt.percent = min(max(percent, 1), _FULL_PERCENT)
            case StopTask() if running:
                attempt.end(TaskPhase.stopped, 'by its holder', now_ms)
            case ForgetTask() if not running:
                self._history.append(attempt.run(self._server_id, boot_id))
                self._attempt_by_key.pop(command.key)
            case _:
                return f'attempt is {attempt.phase.value}'
        return ''

    def start(self, start: StartTask, now_ms: int) -> str:
        """Start an attempt.

        :param start: the command.
        :param now_ms: monotonic time.
        :returns: reason if it was refused, else empty.
        """
        reason = self._start_refusal(start)
        if reason:
            return reason
        attempt = create_attempt(start, now_ms)
        self._attempt_by_key[start.key] = attempt
        if self.fails_starts:
            attempt.end(TaskPhase.failed, 'server fails each start', now_ms)
        return ''

    def running(self) -> list[ServerAttempt]:
        """List what runs.

        :returns: attempts.
        """
        return [
            attempt
            for attempt in self._attempt_by_key.values()
            if attempt.phase is TaskPhase.running
        ]

    def ran_since(self, since_ms: int) -> list[ServerAttempt]:
        """List what ran in a window that ends now.

        :param since_ms: monotonic time at which the window began.
        :returns: attempts that run, or ended after that.
        """
        return [
            attempt
            for attempt in self._attempt_by_key.values()
            if not attempt.ended_ms or attempt.ended_ms > since_ms
        ]

    def reports(self) -> tuple[TaskReport, ...]:
        """Describe every attempt that is not forgotten.

        :returns: reports.
        """
        return tuple(
            attempt.report() for attempt in self._attempt_by_key.values()
        )

    def runs(self, boot_id: str) -> list[AttemptRun]:
        """Tell what ever ran here.

        :param boot_id: present boot.
        :returns: attempts of all boots.
        """
        return [
            *self._history,
            *(
                attempt.run(self._server_id, boot_id)
                for attempt in self._attempt_by_key.values()
            ),
        ]

    def drop_all(self, now_ms: int, boot_id: str) -> None:
        """Lose everything: the server died.

        :param now_ms: monotonic time.
        :param boot_id: boot that ends.
        """
        for attempt in self.running():
            attempt.end(TaskPhase.stopped, 'server died', now_ms)
        self._history = self.runs(boot_id)
        self._attempt_by_key.clear()

    def _start_refusal(self, start: StartTask) -> str:
        if start.key in self._attempt_by_key:
            return 'attempt is known here already'
        running = self.running()
        if any(other.key.task_id == start.key.task_id for other in running):
            return 'task runs here already'
        committed = [other.start.resources for other in running]
        return _find_exceeded_dimension(
            [*committed, start.resources], self._total
        )


def _find_exceeded_dimension(parts: list[Resources], total: Resources) -> str:
    """Check a vector of sums.

    :param parts: what would run together.
    :param total: size of the VM.
    :returns: name of the first dimension that does not fit, else empty.
    """
    exceeded = (
        f'not enough {dimension}'
        for dimension, size in total._asdict().items()
        if sum(getattr(part, dimension) for part in parts) > size
    )
    return next(exceeded, '')
