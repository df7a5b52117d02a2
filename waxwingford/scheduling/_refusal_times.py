"""Which jobs may be refused for lack of room, and the times that callers are told.

Each daemon imports this module at its start, so it needs nothing that only an owner
does.
"""

import zlib

from waxwingford.scheduling._specs import JobSpec, QueueTerms

#: Longest time after which callers are told to come back, in seconds.
MAX_RETRY_S = 10
#: Longest time by which the times told to different callers differ, in seconds.
MAX_SPREAD_S = 3


def spread_retry_s(earliest_s: int, job_id: str) -> int:
    """Compute the time that the caller of one job is told.

    :param earliest_s: time until there is room, in seconds; 0 for accepted.
    :returns: time in seconds, by job, so that refused callers don't return together.
    """
    if earliest_s <= 0:
        return 0
    spread_s = min(earliest_s, MAX_SPREAD_S)
    later_s = zlib.crc32(job_id.encode()) % (spread_s + 1)
    return min(MAX_RETRY_S, earliest_s + later_s)


def needs_room(spec: JobSpec, queue: QueueTerms) -> bool:
    """Tell whether a job may be refused for lack of room.

    Jobs of priority 0 never are: what keeps the room from them may be less urgent.

    :param queue: settings of its queue.
    """
    best_effort = any(step.best_effort for step in spec.steps)
    return best_effort and queue.priority > 0
