"""Attribution of delayed samples to the tasks that ran in their window.

A sample arrives after its window has ended.  Attributing it to the tasks that
run on arrival would blame the successor of an evicted task.
"""

import dataclasses
from typing import NamedTuple

from waxwingford.colocation._model import WorkloadMix, cpu_units
from waxwingford.ports import AttemptKey, UsageSample

#: Sample weight of a window in which the set of running tasks changed.
_CHANGED_WINDOW_WEIGHT = 0.25
_STABLE_WINDOW_WEIGHT = 1.0
#: CPU units assumed for a task without a usage report.
_DEFAULT_UNITS = 1.0


class Observation(NamedTuple):
    """Measurement for the interference model.

    :ivar mix: workload in the window.
    :ivar p99_ms: measured 99th percentile latency, in milliseconds.
    :ivar sample_weight: see :meth:`InterferenceModel.learn`.
    """

    mix: WorkloadMix
    p99_ms: float
    sample_weight: float


@dataclasses.dataclass(slots=True)
class _BufferedSample:
    """Newest sample of a server, held until the next one arrives.

    :ivar running: attempts that ran in the window.
    :ivar observation: measurement; None if the sample cannot be used.
    """

    running: frozenset[AttemptKey]
    observation: Observation | None


def units_by_kind(
    sample: UsageSample,
    kind_by_task_id: dict[str, str],
) -> dict[str, float] | None:
    """Sum the CPU use of each batch kind in a window.

    :param kind_by_task_id: batch kinds by task ID.
    :returns: CPU units by kind, or None if the kind of a task is unknown.
    """
    units: dict[str, float] = {}
    for key in sample.running:
        kind = kind_by_task_id.get(key.task_id)
        if kind is None:
            return None
        used = sample.used_by_task_id.get(key.task_id)
        task_units = _DEFAULT_UNITS if used is None else cpu_units(used)
        units[kind] = units.get(kind, 0) + task_units
    return units


class SampleBuffer:
    """Buffers one sample per server until the next one arrives.

    Two successive samples show whether the set of running tasks changed.
    """

    def __init__(self) -> None:
        self._sample_by_server: dict[str, _BufferedSample] = {}

    def add(
        self,
        server_id: str,
        sample: UsageSample,
        kind_by_task_id: dict[str, str],
    ) -> Observation | None:
        """Add a sample and return the previous one.

        :param kind_by_task_id: batch kinds by task ID.
        :returns: previous sample of the server, with a lower weight if its
            tasks differ from those of the sample before or after it; None if
            there is none that can be used.
        """
        running = frozenset(sample.running)
        previous = self._sample_by_server.get(server_id)
        changed = previous is None or previous.running != running
        units = units_by_kind(sample, kind_by_task_id)
        buffered = _BufferedSample(running, None)
        if units is not None and sample.service_p99_ms > 0:
            buffered.observation = Observation(
                WorkloadMix(
                    server_id, sample.service, sample.service_load, units
                ),
                sample.service_p99_ms,
                _CHANGED_WINDOW_WEIGHT if changed else _STABLE_WINDOW_WEIGHT,
            )
        self._sample_by_server[server_id] = buffered
        if previous is None or previous.observation is None:
            return None
        if changed:
            return previous.observation._replace(
                sample_weight=_CHANGED_WINDOW_WEIGHT
            )
        return previous.observation
