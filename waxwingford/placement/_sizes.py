"""Estimates of task sizes and run times from declarations and measurements."""

import collections
import math
from typing import NamedTuple

from waxwingford.placement._fit import largest, smallest
from waxwingford.ports import Resources

#: Number of recent tasks kept per (member, kind).
_WINDOW_SIZE = 64
#: Quantile of peak usage that is allocated to a task.
_SIZE_QUANTILE = 0.95
#: Quantile of the run-time ratio; lower than that of sizes, as an
#: underestimate affects only order and deadlines.
_RUN_TIME_QUANTILE = 0.75
#: Weight of the declared run time, in number of measured tasks.
_PRIOR_WEIGHT = 4


class _TaskClass(NamedTuple):
    """Tasks of one member and kind, which share their measurements."""

    member: str
    kind: str


class _Measurements:
    """Peak usage and run-time ratios of the recent tasks of one class."""

    def __init__(self) -> None:
        self.peak_usages: collections.deque[Resources] = collections.deque(
            maxlen=_WINDOW_SIZE,
        )
        self.run_time_ratios: collections.deque[float] = collections.deque(
            maxlen=_WINDOW_SIZE,
        )
        self._usage_quantile: Resources | None = None
        self._run_time_ratio: float | None = None

    def add_peak_usage(self, peak: Resources) -> None:
        """Record the peak usage of one task.

        :param peak: largest usage in each dimension.
        """
        self.peak_usages.append(peak)
        self._usage_quantile = None

    def add_run_time_ratio(self, run_time_ratio: float) -> None:
        """Record the run-time ratio of one task.

        :param run_time_ratio: measured run time divided by the declared one.
        """
        self.run_time_ratios.append(run_time_ratio)
        self._run_time_ratio = None

    def usage_quantile(self) -> Resources:
        """Compute the quantile of peak usage; cached until the next sample.

        :returns: the quantile in each dimension.
        """
        if self._usage_quantile is None:
            self._usage_quantile = Resources(
                *(
                    int(_quantile(list(column), _SIZE_QUANTILE))
                    for column in zip(*self.peak_usages, strict=True)
                ),
            )
        return self._usage_quantile

    def run_time_ratio(self) -> float:
        """Compute the quantile of run-time ratios; cached until the next sample.

        :returns: measured divided by declared run time.
        """
        if self._run_time_ratio is None:
            self._run_time_ratio = _quantile(
                list(self.run_time_ratios), _RUN_TIME_QUANTILE
            )
        return self._run_time_ratio


def _quantile(samples: list[float], quantile: float) -> float:
    """Compute an empirical quantile without interpolation.

    :param samples: at least one value.
    :param quantile: the quantile, 0 to 1.
    :returns: the smallest sample that reaches the quantile.
    """
    ordered = sorted(samples)
    return ordered[
        min(len(ordered) - 1, math.ceil(quantile * len(ordered)) - 1)
    ]


class SizeTracker:
    """Corrects declared sizes and run times by member and kind.

    Sizes are only ever corrected upwards: an allocation that is too small
    overcommits the VM, whereas one that is too large is charged to the quota
    of the member that declared it.
    """

    def __init__(self) -> None:
        self._measurements_by_class: dict[_TaskClass, _Measurements] = {}

    def record_peak_usage(
        self, member: str, kind: str, peak: Resources
    ) -> None:
        """Record the peak usage of one task.

        :param peak: largest usage in each dimension while the task ran.
        """
        self._measurements_of(member, kind).add_peak_usage(peak)

    def record_run_time(
        self,
        member: str,
        kind: str,
        declared_ms: int,
        ran_ms: int,
    ) -> None:
        """Record the run time of a task that has ended.

        :param declared_ms: declared run time, in milliseconds.
        :param ran_ms: run time over all attempts, in milliseconds.
        """
        run_time_ratio = ran_ms / max(declared_ms, 1)
        self._measurements_of(member, kind).add_run_time_ratio(run_time_ratio)

    def given(
        self,
        member: str,
        kind: str,
        declared: Resources,
        max_capacity: Resources,
    ) -> Resources:
        """Compute the allocation of a task.

        :param max_capacity: element-wise maximum of ``total - reserved`` over
            all servers, which bounds the correction so that it does not make
            the task infeasible.
        :returns: the declared size, raised to the measured quantile in the
            dimensions where that is larger.
        """
        measurements = self._measurements_by_class.get(_TaskClass(member, kind))
        if measurements is None or not measurements.peak_usages:
            return declared
        return largest(
            declared, smallest(measurements.usage_quantile(), max_capacity)
        )

    def run_ms(self, member: str, kind: str, declared_ms: int) -> int:
        """Correct a declared run time.

        :param declared_ms: declared run time, in milliseconds.
        :returns: expected run time, in milliseconds: the declared one times
            the weighted mean of 1 and the measured ratio.
        """
        measurements = self._measurements_by_class.get(_TaskClass(member, kind))
        if measurements is None or not measurements.run_time_ratios:
            return declared_ms
        count = len(measurements.run_time_ratios)
        run_time_ratio = measurements.run_time_ratio()
        weighted_ratio = (run_time_ratio * count + _PRIOR_WEIGHT) / (
            count + _PRIOR_WEIGHT
        )
        return int(declared_ms * weighted_ratio)

    def _measurements_of(self, member: str, kind: str) -> _Measurements:
        return self._measurements_by_class.setdefault(
            _TaskClass(member, kind), _Measurements()
        )
