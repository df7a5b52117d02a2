"""What is true of the emulated servers; policies never see this module."""

from typing import NamedTuple

import numpy as np

from waxwingford_bench.colocation._deployments import SLOTS

KINDS = (
    'archive_rebuild',
    'checkout_comparison',
    'reconciliation',
    'photo_index',
    'stock_sync',
    'live_update',
)
#: Spread of service times: standard deviation of their logarithm.
SERVICE_SIGMA = 0.5
#: Lower and upper end of the slowdown by four cores of a kind.
_EFFECT_RANGE = (0.008, 0.12)
#: Load at which the effects are stated.
_REFERENCE_LOAD = 0.5
_UNIT_CORES = 4
#: How much worse two neighbours are together than one by one.
_SYNERGY = 0.3
_SAKASEGAWA = (2 * (SLOTS + 1)) ** 0.5 - 1
#: Seconds of queue after which requests are refused.
_BACKLOG_S = 0.25
_FULL = 0.98
#: Half of one plus the squared coefficient of variation of service times.
_WAIT_SHAPE = np.exp(SERVICE_SIGMA**2) / 2


class Kind(NamedTuple):
    """Ground truth of a batch kind beside the service.

    :ivar name: of the kind.
    :ivar effect: slowdown of the service by four cores of it.
    :ivar load_power: how the effect grows with the service's load.
    :ivar own_slowdown: slowdown of the task itself at full load.
    """

    name: str
    effect: float
    load_power: float
    own_slowdown: float


def draw_kinds(random: np.random.Generator) -> dict[str, Kind]:
    """Draw the hidden interference of every kind.

    :param random: of the run's seed.
    :returns: truth by kind.
    """
    low, high = np.log(_EFFECT_RANGE)
    grid = np.linspace(low, high, len(KINDS))
    effects = np.exp(
        random.permutation(grid) + random.normal(0, 0.2, len(KINDS))
    )
    return {
        name: Kind(
            name,
            float(effect),
            float(random.choice([0, 1, 2])),
            float(random.uniform(0.05, 0.5)),
        )
        for name, effect in zip(KINDS, effects, strict=True)
    }


def pressures_by_kind(kinds: dict[str, Kind], load: np.ndarray) -> np.ndarray:
    """Compute what one core of each kind adds to each server.

    :param kinds: hidden truth.
    :param load: present share of busy slots, by server.
    :returns: share of slowdown, (servers, kinds).
    """
    effects = np.array([kinds[name].effect for name in KINDS]) / _UNIT_CORES
    powers = np.array([kinds[name].load_power for name in KINDS])
    relative = np.maximum(load, 0.05) / _REFERENCE_LOAD
    return effects * _column(relative) ** powers


def slowdown(pressures: np.ndarray) -> np.ndarray:
    """Compute how much slower the service runs.

    :param pressures: sum over the tasks, by server.
    :returns: factor on service times, 1 or more.
    """
    return 1 + pressures + _SYNERGY * pressures * pressures


def _column(by_server: np.ndarray) -> np.ndarray:
    return by_server.reshape(-1, 1)


class Queue:
    """Queues of the service on all servers, advanced by one second each."""

    def __init__(self, servers: int, median_ms: float) -> None:
        """Start empty.

        :param servers: how many.
        :param median_ms: median service time alone, in milliseconds.
        """
        self.utilisation = np.zeros(servers)
        self._backlog_s = np.zeros(servers)
        self._median_ms = median_ms
        self._mean_ms = median_ms * np.exp(SERVICE_SIGMA**2 / 2)

    def advance(
        self,
        offered: np.ndarray,
        factor: np.ndarray,
        random: np.random.Generator,
        requests: int,
    ) -> np.ndarray:
        """Let a second pass.

        :param offered: load alone, share of the slots.
        :param factor: slowdown by server.
        :param random: of the run's seed.
        :param requests: response times to draw for each server.
        :returns: response times in milliseconds, (servers, requests).
        """
        wanted = offered * factor
        self._backlog_s = np.clip(self._backlog_s + wanted - 1, 0, _BACKLOG_S)
        used = np.minimum(wanted, _FULL)
        self.utilisation = np.where(self._backlog_s > 0, 1.0, used)
        waits = used**_SAKASEGAWA
        mean_wait = _WAIT_SHAPE * self._mean_ms * factor / (SLOTS * (1 - used))
        shape = (len(offered), requests)
        service = np.exp(random.normal(0, SERVICE_SIGMA, shape))
        service *= _column(self._median_ms * factor)
        waited = random.random(shape) < _column(waits)
        queued = random.exponential(1.0, shape) * _column(mean_wait)
        return service + waited * queued + _column(self._backlog_s) * 1000
