"""Inputs, decisions and interface of placement and colocation policies."""

import dataclasses
from typing import NamedTuple, Protocol

from waxwingford.ports import AttemptKey, Resources, UsageSample


class PendingTask(NamedTuple):
    """A task that waits to be placed on a server.

    :ivar key: task id and number of the next attempt.
    :ivar member: member organisation that owns the task.
    :ivar resources: declared size.
    :ivar run_ms: expected remaining run time, in milliseconds.
    :ivar priority: 0 to 100; larger is more urgent.
    :ivar waiting_ms: time since the task became pending, in milliseconds.
    :ivar slack_ms: time to the deadline minus ``run_ms``, in milliseconds;
        None without a deadline.
    :ivar resume_from: checkpoint reference, empty to start from scratch.
    :ivar failed_on: servers on which earlier attempts failed.
    :ivar checkpoint_server: server that wrote the latest checkpoint, or empty.
    """

    key: AttemptKey
    member: str
    team: str
    kind: str
    resources: Resources
    run_ms: int
    priority: int = 0
    waiting_ms: int = 0
    slack_ms: int | None = None
    resume_from: str = ''
    failed_on: tuple[str, ...] = ()
    checkpoint_server: str = ''


class RunningTask(NamedTuple):
    """A batch attempt on a server.

    :ivar member: member organisation that owns the task.
    :ivar resources: allocated resources.
    :ivar ran_ms: run time of this attempt so far, in milliseconds.
    :ivar slack_ms: time to the deadline minus remaining run time, in
        milliseconds; None without a deadline.
    """

    key: AttemptKey
    member: str
    team: str
    kind: str
    resources: Resources
    ran_ms: int
    throttled: bool = False
    slack_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ServerView:
    """State of a backend server as known to the daemon that controls it.

    :ivar rack: rack of its VM.
    :ivar service: latency-critical service that it runs.
    :ivar total: resources of the VM.
    :ivar reserved: resources reserved for the service.
    :ivar running: batch attempts claimed or running on it.
    :ivar leaving: whether it is draining and accepts no new work.
    :ivar quarantined: whether it accepts only probation tasks.
    :ivar busy_share: current fraction of busy service slots, 0 to 1.
    """

    server_id: str
    rack: str
    service: str
    total: Resources
    reserved: Resources
    running: tuple[RunningTask, ...]
    leaving: bool = False
    quarantined: bool = False
    busy_share: float = 0


class Placement(NamedTuple):
    """Decision to run a pending task on a server."""

    key: AttemptKey
    server_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Throttle:
    """Decision to limit an attempt to a percentage of its processors.

    :ivar percent: 1 to 100; 100 removes the limit.
    """

    key: AttemptKey
    percent: int


@dataclasses.dataclass(frozen=True, slots=True)
class Evict:
    """Decision to checkpoint an attempt and remove it from its server."""

    key: AttemptKey


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """Decision to stop an attempt without a checkpoint, as a last resort."""

    key: AttemptKey


Reaction = Throttle | Evict | Stop


class PolicyWeights(NamedTuple):
    """Objectives of a policy for one service, as set in the bundle.

    :ivar target_p99_ms: 99th-percentile latency target, in milliseconds.
    :ivar tail_weight: weight of tail latency, 0 to 1.
    :ivar eviction_weight: weight of evictions, 0 to 1.
    """

    target_p99_ms: float
    tail_weight: float
    eviction_weight: float


class ColocationPolicy(Protocol):
    """Places batch tasks and mitigates their interference with services.

    Each daemon has one instance, which may learn from the observed samples.
    All times are monotonic, in milliseconds.
    """

    def observe(
        self,
        server_id: str,
        sample: UsageSample,
        received_ms: int,
        kind_by_task_id: dict[str, str],
    ) -> None:
        """Process a usage sample, which may arrive late.

        :param received_ms: monotonic time of arrival, in milliseconds.
        :param kind_by_task_id: batch kinds of the tasks in the sample.
        """
        ...

    def place(
        self,
        pending: list[PendingTask],
        servers: list[ServerView],
        now_ms: int,
    ) -> list[Placement]:
        """Assign pending tasks to servers without exceeding their capacity.

        The capacity of a server for batch work is ``total - reserved``.

        :param pending: pending tasks in fair order.
        :param servers: servers that this daemon controls.
        :param now_ms: monotonic time, in milliseconds.
        :returns: placements of some or all of the pending tasks.
        """
        ...

    def react(self, servers: list[ServerView], now_ms: int) -> list[Reaction]:
        """Reduce interference on services close to their latency targets.

        :param servers: servers that this daemon controls.
        :param now_ms: monotonic time, in milliseconds.
        """
        ...

    def predicted_ms(self, server: ServerView) -> float:
        """Predict the latency of a server's service, for request routing.

        :returns: predicted latency, in milliseconds.
        """
        ...
