"""What planning an exchange depends on, and what a plan holds."""

import dataclasses
from typing import NamedTuple

from waxwingford.batch._settings import BatchSettings, Pace
from waxwingford.ports import Resources, ServerCommand, TaskKey
from waxwingford.records import DomainState, Record

_NOTHING = Resources(0, 0, 0)


class PlanInput(NamedTuple):
    """What planning depends on besides the server.

    :ivar state: fold of the domain's stream.
    :ivar settings: of the controller.
    :ivar pace: lengths of leases now.
    :ivar head_read_ms: monotonic start of the last read to the head.
    :ivar now_ms: monotonic time.
    :ivar reserved: set aside for the service there.
    """

    state: DomainState
    settings: BatchSettings
    pace: Pace
    head_read_ms: int
    now_ms: int
    reserved: Resources


@dataclasses.dataclass(slots=True)
class Plan:
    """What an exchange carries, and what goes to the log.

    :ivar renew: attempts whose task leases are renewed.
    :ivar commands: for the server.
    :ivar record_by_key: records to offer to the appender.
    :ivar valid_until_ms: it must not be sent later.
    :ivar running: resources of what runs there or is being started.
    :ivar has_unclaimed: something runs there whose size is not known.
    """

    valid_until_ms: int
    renew: list[TaskKey] = dataclasses.field(default_factory=list)
    commands: list[ServerCommand] = dataclasses.field(default_factory=list)
    record_by_key: dict[object, Record] = dataclasses.field(
        default_factory=dict,
    )
    running: Resources = _NOTHING
    has_unclaimed: bool = False


def is_over(state: DomainState, key: TaskKey, server_id: str) -> bool:
    """Tell whether the stream says that an attempt is over.

    An attempt that the stream does not know yet is not over: this daemon may
    be behind.

    :param state: fold of the domain's stream.
    :param key: which attempt.
    :param server_id: where it was reported.
    :returns: true if it ended, and for good.
    """
    task = state.task(key.task_id)
    if task is None:
        return key.task_id.rpartition('/')[0] in state.finished
    if task.attempt != key.attempt:
        return task.attempt > key.attempt
    return state.claimed(key, server_id) is None
