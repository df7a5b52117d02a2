"""Table of the batch attempts of a simulated backend server."""

from waxwingford.ports import (
    AttemptKey,
    AttemptPhase,
    AttemptReport,
    CheckpointTask,
    ForgetTask,
    Resources,
    ServerCommand,
    StartTask,
    StopTask,
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
    """Running attempts, ended attempts until forgotten, and the audit history.

    :ivar fails_starts: whether each started task fails immediately.
    """

    def __init__(self, server_id: str, total: Resources) -> None:
        """Create an empty table.

        :param server_id: id of the server, for the audit.
        :param total: capacity of the VM.
        """
        self.fails_starts = False
        self._server_id = server_id
        self._total = total
        self._attempt_by_key: dict[AttemptKey, ServerAttempt] = {}
        self._history: list[AttemptRun] = []

    def advance(self, now_ms: int) -> None:
        """Advance all attempts to the given time.

        :param now_ms: monotonic time, in milliseconds.
        """
        for attempt in self._attempt_by_key.values():
            attempt.advance(now_ms)

    def renew(
        self, keys: tuple[AttemptKey, ...], lease_ms: int, now_ms: int
    ) -> None:
        """Renew task leases, ignoring unknown attempts.

        :param lease_ms: duration of the new leases, in milliseconds.
        :param now_ms: monotonic time, in milliseconds.
        """
        for key in self._attempt_by_key.keys() & set(keys):
            self._attempt_by_key[key].lease_until_ms = now_ms + lease_ms

    def execute(self, command: ServerCommand, now_ms: int, boot_id: str) -> str:
        """Execute a command other than a start.

        :param command: command on a known attempt.
        :param now_ms: monotonic time, in milliseconds.
        :param boot_id: id of the current boot, for the audit.
        :returns: reason of the refusal; empty on success.
        """
        attempt = self._attempt_by_key.get(command.key)
        if attempt is None:
            return _UNKNOWN_ATTEMPT
        running = attempt.phase is AttemptPhase.running
        match command:
            case CheckpointTask() if running:
                attempt.checkpoint(now_ms)
            case ThrottleTask(percent=percent) if running:
                attempt.percent = min(max(percent, 1), _FULL_PERCENT)
            case StopTask() if running:
                attempt.end(AttemptPhase.stopped, 'by its holder', now_ms)
            case ForgetTask() if not running:
                self._history.append(attempt.run(self._server_id, boot_id))
                self._attempt_by_key.pop(command.key)
            case _:
                return f'attempt is {attempt.phase.value}'
        return ''

    def start(self, start: StartTask, now_ms: int) -> str:
        """Start an attempt.

        :param now_ms: monotonic time, in milliseconds.
        :returns: reason of the refusal; empty on success.
        """
        reason = self._start_refusal(start)
        if reason:
            return reason
        attempt = create_attempt(start, now_ms)
        self._attempt_by_key[start.key] = attempt
        if self.fails_starts:
            attempt.end(AttemptPhase.failed, 'server fails each start', now_ms)
        return ''

    def running(self) -> list[ServerAttempt]:
        """List running attempts."""
        return [
            attempt
            for attempt in self._attempt_by_key.values()
            if attempt.phase is AttemptPhase.running
        ]

    def ran_since(self, since_ms: int) -> list[ServerAttempt]:
        """List attempts that ran after a given time.

        :param since_ms: monotonic time, in milliseconds.
        :returns: attempts that are running or ended later.
        """
        return [
            attempt
            for attempt in self._attempt_by_key.values()
            if not attempt.ended_ms or attempt.ended_ms > since_ms
        ]

    def reports(self) -> tuple[AttemptReport, ...]:
        """Report every attempt that is not forgotten."""
        return tuple(
            attempt.report() for attempt in self._attempt_by_key.values()
        )

    def runs(self, boot_id: str) -> list[AttemptRun]:
        """List all attempts, across restarts, for the audit."""
        return [
            *self._history,
            *(
                attempt.run(self._server_id, boot_id)
                for attempt in self._attempt_by_key.values()
            ),
        ]

    def drop_all(self, now_ms: int, boot_id: str) -> None:
        """Drop all attempts after a crash, keeping the audit history.

        :param now_ms: monotonic time, in milliseconds.
        :param boot_id: id of the boot that ended.
        """
        for attempt in self.running():
            attempt.end(AttemptPhase.stopped, 'server died', now_ms)
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
    """Check whether resources fit into a capacity together.

    :param parts: resources of the attempts.
    :param total: capacity of the VM.
    :returns: message that names the first exceeded dimension; empty if all
        fit.
    """
    exceeded = (
        f'not enough {dimension}'
        for dimension, size in total._asdict().items()
        if sum(getattr(part, dimension) for part in parts) > size
    )
    return next(exceeded, '')
