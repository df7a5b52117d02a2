"""Limits of quarantine, and what a failure leads to."""

import dataclasses
from typing import NamedTuple


class QuarantineLimits(NamedTuple):
    """When to give a server or a task up.

    :ivar tasks_per_server: distinct tasks that fail on a server, without one
        that ends well in between, until it is quarantined.
    :ivar servers_per_task: distinct sound servers on which a task fails until
        it is stopped.
    :ivar capped_share: share of the servers that may be in quarantine.
    :ivar probation_ms: time until the first probation task, in milliseconds;
        doubles with each probation task that fails.
    :ivar probation_cap_ms: the longest such time, in milliseconds.
    :ivar probation_tasks: probation tasks in a row that must end well.
    """

    tasks_per_server: int = 3
    servers_per_task: int = 3
    capped_share: float = 0.1
    probation_ms: int = 60_000
    probation_cap_ms: int = 1_800_000
    probation_tasks: int = 2


@dataclasses.dataclass(frozen=True, slots=True)
class ServerQuarantined:
    """The server gets nothing but probation tasks from now on.

    :ivar server_id: which one.
    :ivar task_ids: tasks that failed there.
    """

    server_id: str
    task_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TaskStopped:
    """The task is not tried again.

    :ivar task_id: which one.
    :ivar server_ids: sound servers on which it failed.
    """

    task_id: str
    server_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TryElsewhere:
    """Neither is given up: the task goes to another server."""


FailureVerdict = ServerQuarantined | TaskStopped | TryElsewhere
