"""Specifications of jobs and steps, and settings of queues."""

import functools
from typing import NamedTuple

import msgspec

from waxwingford.ports import Resources

#: Thousandths of a core in a core.
MILLI_PER_CORE = 1000


class StepSpec(
    msgspec.Struct,
    frozen=True,
    omit_defaults=True,
    dict=True,
    # The stored rows keep the names of the first version.
    rename={
        'best_effort': 'fills',
        'long_running': 'lasting',
        'writes_checkpoints': 'saves',
        'max_per_server': 'most_per_server',
        'max_unavailable': 'most_away',
    },
):
    """Group of identical tasks of a job.

    :ivar needs: resources that each task requires.
    :ivar estimate_ms: estimated run time of a task, in ms.
    :ivar after: indices of the steps that must be done before this one.
    :ivar gang: whether the tasks make progress only while all of them run.
    :ivar one_rack: whether the tasks run slower when spread over racks.
    :ivar label: label that a server must have, empty for any server.
    :ivar near_rack: rack that holds the input data, empty for none.
    :ivar max_per_server: maximum number of tasks of the step on one server, 0
        for no limit.
    :ivar copies: whether a task may have several runs at a time.
    :ivar long_running: whether the tasks run until the job is cancelled.
    :ivar image: image that the tasks run, empty if unknown.
    :ivar target_ms: tail latency in ms that a serving task must stay below, 0
        for none.
    :ivar best_effort: whether the tasks use only CPU that other tasks leave
        idle.
    :ivar max_unavailable: maximum number of long-running tasks that the
        scheduler may interrupt at a time, 0 for no limit.
    """

    count: int
    needs: Resources
    estimate_ms: int
    after: tuple[int, ...] = ()
    writes_checkpoints: bool = False
    gang: bool = False
    one_rack: bool = False
    label: str = ''
    near_rack: str = ''
    max_per_server: int = 0
    copies: bool = False
    long_running: bool = False
    image: str = ''
    target_ms: int = 0
    best_effort: bool = False
    max_unavailable: int = 0

    @functools.cached_property
    def reserved_resources(self) -> Resources:
        """Resources that a task reserves on its server.

        Cached because placement compares them with every server.

        :returns: resources that the task requires, without CPU for a
            best-effort task.
        """
        return (
            self.needs._replace(processors_milli=0)
            if self.best_effort
            else self.needs
        )


class QueueTerms(NamedTuple):
    """Settings of a queue.

    :ivar service: service whose backend servers run the tasks.
    :ivar priority: priority class; 0 is the highest and may preempt others.
    :ivar most_attempts: number of failed runs after which the job fails.
    :ivar advised: whether starts need a ticket from the advice service.
    :ivar stretch: multiple of its critical path that a job may take, plus
        ``target_ms``, before it is late.
    :ivar target_ms: constant part of that limit, in ms.
    """

    name: str
    service: str
    priority: int
    most_attempts: int
    advised: bool = False
    stretch: float = 1
    target_ms: int = 0


#: Settings for a job that was stored without those of its queue.
UNKNOWN_QUEUE = QueueTerms('', '', 0, 1)


#: Memory in bytes that an owner keeps for a job, a step and a task.
_JOB_BYTES = 4096
_STEP_BYTES = 2048
_TASK_BYTES = 1100


class JobSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """A job as it was submitted.

    :ivar job_id: identifier chosen by the caller.
    :ivar queue: name of the queue.
    :ivar payload: opaque data passed to each task.
    :ivar steps: steps of the job; each depends only on earlier ones.
    :ivar first_due_ms: Unix time in ms at which the first repetition is due, 0
        for at once.
    :ivar every_ms: interval between repetitions, in ms.
    :ivar times: number of repetitions, 0 for a job that isn't timed.
    :ivar terms: settings of the queue at submission; they apply when the queue
        is no longer configured.
    """

    job_id: str
    queue: str
    payload: str
    steps: tuple[StepSpec, ...]
    first_due_ms: int = 0
    every_ms: int = 0
    times: int = 0
    terms: QueueTerms = UNKNOWN_QUEUE

    @property
    def occurrences(self) -> int:
        """Number of repetitions, at least 1."""
        return max(1, self.times)

    @property
    def kept_bytes(self) -> int:
        """Memory in bytes that an owner keeps for it at most, until it has ended."""
        tasks = sum([step.count for step in self.steps])
        repetition = len(self.steps) * _STEP_BYTES + tasks * _TASK_BYTES
        return (
            _JOB_BYTES + 2 * len(self.payload) + self.occurrences * repetition
        )


class Terms(NamedTuple):
    """What operators have set: the queues, and evacuations.

    :ivar version: version number, which increases with each configuration.
    :ivar evacuated_domains: failure domains in which nothing more is to start.
        They change without a new version.
    """

    version: int
    queue_by_name: dict[str, QueueTerms]
    evacuated_domains: frozenset[str] = frozenset()

    def supersedes(self, former: 'Terms') -> bool:
        """Tell whether these terms replace others that were read before.

        :param former: terms in force.
        """
        if self.version != former.version:
            return self.version > former.version
        return self.evacuated_domains != former.evacuated_domains
