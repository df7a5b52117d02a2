"""Ground truth of interference and queueing, hidden from the policies."""

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
#: Standard deviation of the logarithm of service times.
SERVICE_SIGMA = 0.5
#: Smallest and largest slowdown caused by the reference cores of a kind.
_EFFECT_RANGE = (0.008, 0.12)
#: Load at which the effects are defined.
_REFERENCE_LOAD = 0.5
_REFERENCE_CORES = 4
#: Coefficient of the quadratic term of combined interference.
_SYNERGY = 0.3
_SAKASEGAWA_EXPONENT = (2 * (SLOTS + 1)) ** 0.5 - 1
#: Queue length in seconds beyond which requests are dropped.
_MAX_BACKLOG_S = 0.25
_MAX_UTILISATION = 0.98
#: Half of one plus the squared coefficient of variation of service times.
_VARIABILITY_FACTOR = np.exp(SERVICE_SIGMA**2) / 2


class Kind(NamedTuple):
    """Interference between a batch kind and the service.

    :ivar name: name of the kind.
    :ivar effect: relative slowdown of the service by the reference cores.
    :ivar load_exponent: exponent of the effect in the service's load.
    :ivar task_slowdown: relative slowdown of the task at full service load.
    """

    name: str
    effect: float
    load_exponent: float
    task_slowdown: float


def draw_kinds(rng: np.random.Generator) -> dict[str, Kind]:
    """Draw the interference of every kind.

    :param rng: seeded generator.
    :returns: interference by name of the kind.
    """
    low, high = np.log(_EFFECT_RANGE)
    grid = np.linspace(low, high, len(KINDS))
    effects = np.exp(rng.permutation(grid) + rng.normal(0, 0.2, len(KINDS)))
    return {
        name: Kind(
            name,
            float(effect),
            float(rng.choice([0, 1, 2])),
            float(rng.uniform(0.05, 0.5)),
        )
        for name, effect in zip(KINDS, effects, strict=True)
    }


def interference_per_core(
    kinds: dict[str, Kind], load: np.ndarray
) -> np.ndarray:
    """Compute the interference of one core of each kind on each server.

    :param kinds: interference by name of the kind.
    :param load: share of busy slots by server.
    :returns: relative slowdown per core, of shape (servers, kinds).
    """
    effects = (
        np.array([kinds[name].effect for name in KINDS]) / _REFERENCE_CORES
    )
    exponents = np.array([kinds[name].load_exponent for name in KINDS])
    relative = np.maximum(load, 0.05) / _REFERENCE_LOAD
    return effects * _column(relative) ** exponents


def slowdown(interference: np.ndarray) -> np.ndarray:
    """Compute the slowdown of the service.

    :param interference: sum over the tasks by server.
    :returns: factor on service times, at least 1.
    """
    return 1 + interference + _SYNERGY * interference * interference


def _column(by_server: np.ndarray) -> np.ndarray:
    return by_server.reshape(-1, 1)


class Queue:
    """Request queues of the service on all servers, in steps of one second.

    :ivar utilisation: share of busy slots by server.
    """

    def __init__(self, servers: int, median_ms: float) -> None:
        """Create empty queues.

        :param servers: number of servers.
        :param median_ms: median service time without colocated tasks, in
            milliseconds.
        """
        self.utilisation = np.zeros(servers)
        self._backlog_s = np.zeros(servers)
        self._median_ms = median_ms
        self._mean_ms = median_ms * np.exp(SERVICE_SIGMA**2 / 2)

    def advance(
        self,
        offered: np.ndarray,
        factor: np.ndarray,
        rng: np.random.Generator,
        requests: int,
    ) -> np.ndarray:
        """Advance by one second and draw response times.

        :param offered: load without colocated tasks, as a share of the slots.
        :param factor: slowdown by server.
        :param rng: seeded generator.
        :param requests: number of response times to draw per server.
        :returns: response times in milliseconds, of shape (servers, requests).
        """
        demand = offered * factor
        self._backlog_s = np.clip(
            self._backlog_s + demand - 1, 0, _MAX_BACKLOG_S
        )
        used = np.minimum(demand, _MAX_UTILISATION)
        self.utilisation = np.where(self._backlog_s > 0, 1.0, used)
        wait_probability = used**_SAKASEGAWA_EXPONENT
        mean_wait = (
            _VARIABILITY_FACTOR * self._mean_ms * factor / (SLOTS * (1 - used))
        )
        shape = (len(offered), requests)
        service = np.exp(rng.normal(0, SERVICE_SIGMA, shape))
        service *= _column(self._median_ms * factor)
        has_waited = rng.random(shape) < _column(wait_probability)
        queued = rng.exponential(1.0, shape) * _column(mean_wait)
        return service + has_waited * queued + _column(self._backlog_s) * 1000
