"""Input and result of planning a control exchange."""

import dataclasses
from typing import NamedTuple

from waxwingford.batch._settings import BatchSettings, LeaseTiming
from waxwingford.ports import AttemptKey, Resources, ServerCommand
from waxwingford.records import DomainState, Record

_NO_RESOURCES = Resources(0, 0, 0)


class PlanInput(NamedTuple):
    """Input of planning besides the server itself.

    :ivar state: state replayed from the domain's stream.
    :ivar lease_timing: present interval of exchanges and durations of leases.
    :ivar head_read_ms: monotonic start of the last read that reached the
        head of the log, in milliseconds.
    :ivar now_ms: monotonic time, in milliseconds.
    :ivar reserved: resources reserved for the service on the VM.
    """

    state: DomainState
    settings: BatchSettings
    lease_timing: LeaseTiming
    head_read_ms: int
    now_ms: int
    reserved: Resources


@dataclasses.dataclass(slots=True)
class Plan:
    """Content of a control exchange, and records for the log.

    :ivar renew: attempts whose task leases are renewed.
    :ivar record_by_key: records to offer to the appender, by key.
    :ivar valid_until_ms: monotonic time after which it must not be sent, in
        milliseconds.
    :ivar running: resources of attempts that run or are being started.
    :ivar has_unclaimed: whether an attempt without a known claim, and so of
        unknown size, runs there.
    """

    valid_until_ms: int
    renew: list[AttemptKey] = dataclasses.field(default_factory=list)
    commands: list[ServerCommand] = dataclasses.field(default_factory=list)
    record_by_key: dict[object, Record] = dataclasses.field(
        default_factory=dict,
    )
    running: Resources = _NO_RESOURCES
    has_unclaimed: bool = False


def is_over(state: DomainState, key: AttemptKey, server_id: str) -> bool:
    """Return whether the stream shows that an attempt is over.

    An attempt that is not in the stream does not count as over: this daemon
    may lag behind the log.

    :param state: state replayed from the domain's stream.
    :param server_id: id of the server that reported it.
    :returns: true if it ended and cannot run again.
    """
    task = state.task(key.task_id)
    if task is None:
        return key.task_id.rpartition('/')[0] in state.finished
    if task.attempt != key.attempt:
        return task.attempt > key.attempt
    return state.claimed(key, server_id) is None
