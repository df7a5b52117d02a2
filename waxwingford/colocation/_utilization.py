"""Average CPU utilization of tasks by batch kind."""

from waxwingford.colocation._model import cpu_units
from waxwingford.ports import Resources

_FULL_PERCENT = 100
#: Weight of the newest window in the moving average.
_SMOOTHING = 0.05
_MIN_UTILIZATION = 0.1


class UtilizationTracker:
    """Moving average of the used share of the allocated CPU, by batch kind.

    The interference model is fitted to measured CPU use, so a prediction from
    the allocation alone would overestimate interference.
    """

    def __init__(self) -> None:
        """Start with a utilization of 1 for every kind."""
        self._utilization_by_kind: dict[str, float] = {}

    def record(
        self,
        kind: str,
        used: Resources,
        allocated: Resources,
        cpu_percent: int,
    ) -> None:
        """Update the average with one task in one window.

        :param used: mean resources used in the window.
        :param cpu_percent: share of its CPU that the task was allowed to use in
            the window.
        """
        allowed = allocated.processors_milli * cpu_percent / _FULL_PERCENT
        if allowed <= 0:
            return
        utilization = max(used.processors_milli / allowed, _MIN_UTILIZATION)
        previous = self._utilization_by_kind.get(kind, 1)
        self._utilization_by_kind[kind] = previous + _SMOOTHING * (
            utilization - previous
        )

    def expected_units(self, kind: str, allocated: Resources) -> float:
        """Predict the CPU use of a task that is not throttled.

        :returns: CPU units of the interference model.
        """
        return cpu_units(allocated) * self._utilization_by_kind.get(kind, 1)
