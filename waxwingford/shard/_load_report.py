"""What an owner reports about its load, and which jobs are refused for it."""

import contextlib
import enum
import itertools
from collections.abc import Iterator
from typing import TYPE_CHECKING, NamedTuple, Self

from waxwingford.scheduling import (
    JobSpec,
    QueueTerms,
    needs_room,
    spread_retry_s,
)

if TYPE_CHECKING:
    from waxwingford.shard._member import ShardMember

#: Longest counts of jobs by queue in a heartbeat, in bytes.
MAX_PENDING_BYTES = 16_000
#: Longest times by service in a heartbeat, in bytes.
MAX_ROOM_BYTES = 16_000
#: Memory in bytes up to which a job may take what larger ones leave.
SMALL_JOB_BYTES = 65_536
#: Part of the memory for jobs that larger ones may take.
LARGE_JOBS_PART = 0.75
#: Part of it up to which heartbeats don't tell of it.
REPORTED_PART = 0.25
#: Time in seconds after which a job may be submitted again that the owner had no
#: memory for.
MEMORY_RETRY_S = 2
#: Bytes of a count and of the length of its queue's name, at most.
_COUNT_BYTES = 8


class RetryAfter(NamedTuple):
    """Times after which callers may submit jobs again, 0 for at once.

    :ivar urgent_s: time in seconds for jobs without best-effort tasks.
    :ivar best_effort_s: time in seconds for jobs with best-effort tasks.
    """

    urgent_s: int = 0
    best_effort_s: int = 0

    def of(self, spec: JobSpec) -> int:
        """Return the time for a job, in seconds."""
        best_effort = any(step.best_effort for step in spec.steps)
        return self.best_effort_s if best_effort else self.urgent_s


class RefusalCause(enum.Enum):
    """What a job is refused for, as a label of metrics."""

    owner = 'owner'
    room = 'room'
    memory = 'memory'


class Refusal(NamedTuple):
    """Why a job is refused.

    :ivar reason: cause for the caller.
    :ivar retry_after_s: time in seconds after which the caller should try again.
    """

    cause: RefusalCause
    reason: str
    retry_after_s: int


class LoadReport(NamedTuple):
    """Fields of a heartbeat about jobs, see ``OwnerRecord``."""

    pending_by_queue: dict[str, int] | None = None
    urgent_retry_s: int = 0
    best_effort_retry_s: int = 0
    room_retry_s: dict[str, int] | None = None
    kept_job_bytes: int = 0
    max_job_bytes: int = 0

    def bounded(self) -> Self:
        """Leave out what is too long for a heartbeat.

        Other daemons ask the owner for the counts then. They refuse no job of a service
        whose time is left out, and none for memory while the owner has much of it.
        """
        counts = self.pending_by_queue or {}
        size = sum(len(queue.encode()) + _COUNT_BYTES for queue in counts)
        fits = size <= MAX_PENDING_BYTES
        pending = self.pending_by_queue if fits else None
        short = self.kept_job_bytes > self.max_job_bytes * REPORTED_PART
        return self._replace(
            pending_by_queue=pending,
            room_retry_s=_bounded_times(self.room_retry_s or {}),
            kept_job_bytes=self.kept_job_bytes if short else 0,
            max_job_bytes=self.max_job_bytes if short else 0,
        )

    @property
    def retry_after(self) -> RetryAfter:
        """Classes of jobs that are refused."""
        return RetryAfter(self.urgent_retry_s, self.best_effort_retry_s)

    @property
    def max_large_bytes(self) -> int:
        """Memory in bytes that jobs beyond ``SMALL_JOB_BYTES`` may take together."""
        return int(self.max_job_bytes * LARGE_JOBS_PART)

    def with_reserved(self, size: int) -> Self:
        """Count jobs that are being stored as kept.

        :param size: memory that they will take, in bytes.
        """
        return self._replace(kept_job_bytes=self.kept_job_bytes + size)

    def never_fits(self, spec: JobSpec) -> bool:
        """Tell whether the owner could not keep a job without any others."""
        return 0 < self.max_large_bytes < spec.kept_bytes

    def memory_refusal(self, spec: JobSpec) -> Refusal | None:
        """Tell whether a job is refused as the owner has no memory for it.

        :returns: refusal, ``None`` if there is memory for it.
        """
        if not self.max_job_bytes:
            return None
        large = spec.kept_bytes > SMALL_JOB_BYTES
        limit = self.max_large_bytes if large else self.max_job_bytes
        if self.kept_job_bytes + spec.kept_bytes <= limit:
            return None
        return Refusal(
            RefusalCause.memory,
            'the owner has no memory for more jobs',
            spread_retry_s(MEMORY_RETRY_S, spec.job_id),
        )

    def refusal(self, spec: JobSpec, queue: QueueTerms) -> Refusal | None:
        """Tell whether and why a job is refused.

        :param queue: settings of its queue.
        :returns: refusal, ``None`` if the job is accepted.
        """
        overloaded_s = self.retry_after.of(spec)
        if overloaded_s:
            return Refusal(
                RefusalCause.owner, 'the owner is overloaded', overloaded_s
            )
        memory = self.memory_refusal(spec)
        if memory is not None:
            return memory
        earliest_s = (self.room_retry_s or {}).get(queue.service, 0)
        if earliest_s <= 0 or not needs_room(spec, queue):
            return None
        return Refusal(
            RefusalCause.room,
            f'the servers of service {queue.service} have no room in time',
            spread_retry_s(earliest_s, spec.job_id),
        )


class JobMemory:
    """Counts the jobs that this daemon stores, until the owner reports them."""

    def __init__(self, member: 'ShardMember') -> None:
        self._member = member
        self._reserved_bytes = 0

    @property
    def load_report(self) -> LoadReport:
        """Load of the owner, with the jobs that are being stored here."""
        return self._member.load_report.with_reserved(self._reserved_bytes)

    def refusal_of_owner(self, spec: JobSpec) -> Refusal | None:
        """Tell whether this daemon, as the owner, has no memory for a job."""
        if self._member.owner is None:
            return None
        return self.load_report.memory_refusal(spec)

    @contextlib.contextmanager
    def reserve(self, spec: JobSpec) -> Iterator[None]:
        """Count a job as kept while it is stored.

        :yields: once, to store it.
        """
        size = spec.kept_bytes
        self._reserved_bytes += size
        try:
            yield
        finally:
            self._reserved_bytes -= size


def _bounded_times(time_by_service: dict[str, int]) -> dict[str, int] | None:
    """Keep the first times, by name of the service, that fit into a heartbeat."""
    services = sorted(time_by_service)
    sizes = itertools.accumulate(
        len(service.encode()) + _COUNT_BYTES for service in services
    )
    kept = {
        service: time_by_service[service]
        for service, size in zip(services, sizes, strict=True)
        if size <= MAX_ROOM_BYTES
    }
    return kept or None
