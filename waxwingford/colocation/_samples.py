"""Samples attributed to what ran together when they were taken.

A sample arrives long after its window.  Learned against what runs on arrival,
the damage of a task that was evicted meanwhile would be put down to its
successor: the policy would then evict the innocent one next, and so on.
"""

import dataclasses
from typing import NamedTuple

from waxwingford.colocation._model import Setting, units_of
from waxwingford.ports import TaskKey, UsageSample

#: Trust in a window in which tasks came or went: the percentile is a mixture.
_PARTIAL_TRUST = 0.25
_WHOLE_TRUST = 1.0
#: A task whose use is not reported counts as one unit.
_UNKNOWN_UNITS = 1.0


class Observation(NamedTuple):
    """A sample ready to learn from.

    :ivar setting: what ran together.
    :ivar p99_ms: what was measured, in milliseconds.
    :ivar trust: see :meth:`InterferenceModel.learn`.
    """

    setting: Setting
    p99_ms: float
    trust: float


@dataclasses.dataclass(slots=True)
class _Held:
    """The newest sample of a server; the next one tells whether it is whole.

    :ivar running: attempts in it.
    :ivar observation: what it says, None for one that says nothing.
    """

    running: frozenset[TaskKey]
    observation: Observation | None


def units_by_kind(
    sample: UsageSample,
    kind_by_task_id: dict[str, str],
) -> dict[str, float] | None:
    """Add up what each kind used in a window.

    :param sample: the sample.
    :param kind_by_task_id: batch kinds.
    :returns: units by kind, or None if a task's kind is not known.
    """
    units: dict[str, float] = {}
    for key in sample.running:
        kind = kind_by_task_id.get(key.task_id)
        if kind is None:
            return None
        used = sample.used_by_task_id.get(key.task_id)
        more = _UNKNOWN_UNITS if used is None else units_of(used)
        units[kind] = units.get(kind, 0) + more
    return units


class SampleTracker:
    """Holds the newest sample of each server until the next one comes."""

    def __init__(self) -> None:
        """Start with none."""
        self._held_by_server: dict[str, _Held] = {}

    def add(
        self,
        server_id: str,
        sample: UsageSample,
        kind_by_task_id: dict[str, str],
    ) -> Observation | None:
        """Take a sample in and give the one before it out.

        :param server_id: where it was taken.
        :param sample: the sample.
        :param kind_by_task_id: batch kinds.
        :returns: the previous sample of the server, trusted less if its tasks
            differ from those in the sample before or after it.
        """
        running = frozenset(sample.running)
        before = self._held_by_server.get(server_id)
        changed = before is None or before.running != running
        units = units_by_kind(sample, kind_by_task_id)
        held = _Held(running, None)
        if units is not None and sample.service_p99_ms > 0:
            held.observation = Observation(
                Setting(server_id, sample.service, sample.service_load, units),
                sample.service_p99_ms,
                _PARTIAL_TRUST if changed else _WHOLE_TRUST,
            )
        self._held_by_server[server_id] = held
        if before is None or before.observation is None:
            return None
        if changed:
            return before.observation._replace(trust=_PARTIAL_TRUST)
        return before.observation
