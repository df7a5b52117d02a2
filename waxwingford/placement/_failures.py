"""Quarantine limits and the possible verdicts on a failed attempt."""

import dataclasses
from typing import NamedTuple


class QuarantineLimits(NamedTuple):
    """Thresholds for quarantining a server or stopping a task.

    :ivar tasks_per_server: number of distinct tasks that must fail on a
        server, with no success in between, before it is quarantined.
    :ivar servers_per_task: number of distinct healthy servers on which a task
        must fail before it is stopped.
    :ivar max_quarantined_share: largest fraction of servers in quarantine,
        0 to 1.
    :ivar probation_ms: delay before the first probation task, in
        milliseconds; doubled after each failed probation task.
    :ivar max_probation_ms: upper bound of that delay, in milliseconds.
    :ivar probation_tasks: consecutive probation tasks that must succeed
        before the server leaves quarantine.
    """

    tasks_per_server: int = 3
    servers_per_task: int = 3
    max_quarantined_share: float = 0.1
    probation_ms: int = 60_000
    max_probation_ms: int = 1_800_000
    probation_tasks: int = 2


@dataclasses.dataclass(frozen=True, slots=True)
class ServerQuarantined:
    """The server is quarantined and accepts only probation tasks.

    :ivar task_ids: tasks that failed on it, sorted.
    """

    server_id: str
    task_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TaskStopped:
    """The task failed on too many servers and is not retried.

    :ivar server_ids: healthy servers on which it failed, sorted.
    """

    task_id: str
    server_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RetryElsewhere:
    """No limit was reached; the task may be retried on another server."""


FailureVerdict = ServerQuarantined | TaskStopped | RetryElsewhere
