"""What an owner reports about its load, and which jobs are refused for it."""

import enum
import itertools
from typing import NamedTuple, Self

from waxwingford.scheduling import (
    JobSpec,
    QueueTerms,
    needs_room,
    spread_retry_s,
)

#: Longest counts of jobs by queue in a heartbeat, in bytes.
MAX_PENDING_BYTES = 16_000
#: Longest times by service in a heartbeat, in bytes.
MAX_ROOM_BYTES = 16_000
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

    def bounded(self) -> Self:
        """Leave out what is too long for a heartbeat.

        Other daemons ask the owner for the counts then. They refuse no job of a service
        whose time is left out.
        """
        counts = self.pending_by_queue or {}
        size = sum(len(queue.encode()) + _COUNT_BYTES for queue in counts)
        fits = size <= MAX_PENDING_BYTES
        pending = self.pending_by_queue if fits else None
        return self._replace(
            pending_by_queue=pending,
            room_retry_s=_bounded_times(self.room_retry_s or {}),
        )

    @property
    def retry_after(self) -> RetryAfter:
        """Classes of jobs that are refused."""
        return RetryAfter(self.urgent_retry_s, self.best_effort_retry_s)

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
        earliest_s = (self.room_retry_s or {}).get(queue.service, 0)
        if earliest_s <= 0 or not needs_room(spec, queue):
            return None
        return Refusal(
            RefusalCause.room,
            f'the servers of service {queue.service} have no room in time',
            spread_retry_s(earliest_s, spec.job_id),
        )


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
