"""Gauges of the room that services have for best-effort jobs."""

from waxwingford.metrics import Metrics
from waxwingford.scheduling import RoomForecast

_MS_PER_S = 1000
_WORK_PER_CORE_S = 1_000_000


class RoomMetrics:
    """Sets the gauges with each new forecast."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._updated_ms = 0
        self._shown: set[tuple[str, str]] = set()

    def update(self, forecast: RoomForecast) -> None:
        """Set the gauges unless the forecast is the same as before."""
        if forecast.updated_ms == self._updated_ms:
            return
        self._updated_ms = forecast.updated_ms
        for service, room in forecast.room_by_service.items():
            level_by_name = {
                'room_wait_seconds': room.wait_ms / _MS_PER_S,
                'room_work_core_seconds': room.work / _WORK_PER_CORE_S,
                'room_rate_cores': room.rate_milli / _MS_PER_S,
            }
            for name, level in level_by_name.items():
                self._metrics.gauge(name, level, service=service)
                self._shown.add((name, service))

    def clear(self) -> None:
        """Remove the gauges, as this daemon is no longer the owner."""
        for name, service in self._shown:
            self._metrics.remove_gauge(name, service=service)
        self._shown.clear()
