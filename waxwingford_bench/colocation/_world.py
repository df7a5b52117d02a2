"""Emulated backend servers: service, attempts and delayed samples."""

from collections import deque

import numpy as np

from waxwingford.ports import AttemptKey, UsageSample
from waxwingford_bench.colocation._attempts import (
    WINDOW_S,
    Attempt,
    Ended,
    cores_by_kind,
    mean_use,
)
from waxwingford_bench.colocation._deployments import (
    Deployment,
    Scenario,
)
from waxwingford_bench.colocation._truth import (
    Kind,
    Queue,
    interference_per_core,
    slowdown,
)

REQUESTS_PER_S = 60
_MS_IN_S = 1000
#: Duration of a checkpoint.
_CHECKPOINT_S = 3
#: Time to fetch a checkpoint from the same server, same rack, elsewhere.
_FETCH_S = (1, 4, 8)
_BAD_SERVER_FAILS_AFTER_S = 4
_OUT_OF_MEMORY_PROGRESS = 0.3
#: Standard deviation of the noise on the share of busy slots.
_BUSY_NOISE = 0.03
_NOISE_AUTOCORRELATION = 0.97
_LOAD_NOISE = 0.015
_SERVICE_NOISE = 0.012


class World:
    """All servers of a deployment.

    :ivar attempts: running attempts by key, by server.
    :ivar up: whether each server is up.
    :ivar bad_servers: indexes of servers on which every attempt fails.
    :ivar racks: rack of each server.
    """

    def __init__(
        self,
        deployment: Deployment,
        scenario: Scenario,
        kinds: dict[str, Kind],
        rng: np.random.Generator,
    ) -> None:
        """Create idle servers.

        :param deployment: emulated deployment.
        :param scenario: conditions of the run.
        :param kinds: interference by name of the kind.
        :param rng: seeded generator.
        """
        count = deployment.servers
        self._deployment = deployment
        self._lag_s = scenario.lag_s
        self._kinds = kinds
        self._rng = rng
        self._queue = Queue(count, deployment.median_ms)
        self._load_factor = np.exp(rng.normal(0, 0.08, count))
        self._noise = np.zeros((2, count))
        self._times: deque[np.ndarray] = deque(maxlen=WINDOW_S)
        self._busy: deque[np.ndarray] = deque(maxlen=WINDOW_S)
        self._in_flight: deque[tuple[int, list[UsageSample | None]]] = deque()
        self._sampled_attempts: list[dict[AttemptKey, Attempt]] = [
            {} for _ in range(count)
        ]
        self.attempts: list[dict[AttemptKey, Attempt]] = [
            {} for _ in range(count)
        ]
        self.up = np.ones(count, bool)
        self.bad_servers: set[int] = set()
        self.racks = [
            f'rack{index // deployment.rack_size}' for index in range(count)
        ]

    def busy_share(self) -> np.ndarray:
        """Return the current load as reported to holders.

        :returns: noisy share of busy slots over the last second by server.
        """
        return self._busy[-1] if self._busy else np.zeros(len(self.up))

    def start(self, server: int, attempt: Attempt) -> None:
        """Start an attempt; a resumed one fetches its checkpoint first.

        :param server: index of the server.
        :param attempt: attempt to start.
        """
        task = attempt.task
        if task.checkpoint_server:
            attempt.ran_s = -self._fetch_s(server, task.checkpoint_server)
        self.attempts[server][attempt.key] = attempt
        self._sampled_attempts[server][attempt.key] = attempt

    def checkpoint(self, server: int, key: AttemptKey, now_s: int) -> None:
        """Begin a checkpoint unless one is in progress.

        :param server: index of the server.
        :param key: attempt to checkpoint.
        :param now_s: virtual time, in seconds.
        """
        attempt = self.attempts[server][key]
        if attempt.checkpoint_done_s is None:
            attempt.checkpoint_done_s = now_s + _CHECKPOINT_S

    def step(
        self, offered: float, now_s: int
    ) -> tuple[np.ndarray, list[Ended]]:
        """Advance by one second.

        :param offered: load of the service without colocated tasks, as a
            share of the slots.
        :param now_s: virtual time at the end of the second.
        :returns: response times in milliseconds by server, NaN where it is
            down, and the ended attempts.
        """
        rng = self._rng
        shape = self._noise.shape
        self._noise = self._noise * _NOISE_AUTOCORRELATION + rng.normal(
            0, 1, shape
        )
        load = (
            offered * self._load_factor * np.exp(self._noise[0] * _LOAD_NOISE)
        )
        factor = slowdown(self._interference())
        factor = factor * np.exp(self._noise[1] * _SERVICE_NOISE)
        times = self._queue.advance(load, factor, rng, REQUESTS_PER_S)
        times[~self.up] = np.nan
        self._times.append(times)
        utilisation = np.where(self.up, self._queue.utilisation, 0)
        noise = rng.normal(0, _BUSY_NOISE, len(utilisation))
        self._busy.append(np.clip(utilisation + noise, 0, 1))
        ended = [
            end
            for server in range(len(self.up))
            for end in self._advance(server, now_s)
        ]
        if now_s % WINDOW_S == 0:
            self._in_flight.append((now_s, self._samples(now_s)))
        return times, ended

    def take_arrived_samples(self, now_s: int) -> list[UsageSample | None]:
        """Remove and return the samples that are due.

        :param now_s: virtual time, in seconds.
        :returns: one sample per server, None for a server that was down; empty
            if no samples are due.
        """
        if not self._in_flight:
            return []
        taken_s, samples = self._in_flight[0]
        if now_s < taken_s + self._lag_s:
            return []
        self._in_flight.popleft()
        return samples

    def fail_server(self, server: int) -> list[Ended]:
        """Take a server down and lose its attempts.

        :param server: index of the server.
        :returns: lost attempts.
        """
        self.up[server] = False
        lost = [
            Ended(attempt, server, 'lost')
            for attempt in self.attempts[server].values()
        ]
        self.attempts[server] = {}
        self._sampled_attempts[server] = {}
        return lost

    def _fetch_s(self, server: int, source: str) -> int:
        if source == f'w{server}':
            return _FETCH_S[0]
        return _FETCH_S[
            1 if self.racks[server] == self.racks[int(source[1:])] else 2
        ]

    def _interference(self) -> np.ndarray:
        cores = np.array(
            [cores_by_kind(attempts) for attempts in self.attempts],
        )
        scales = interference_per_core(self._kinds, self._queue.utilisation)
        return (cores * scales).sum(axis=1)

    def _advance(self, server: int, now_s: int) -> list[Ended]:
        attempts = self.attempts[server]
        if not attempts:
            return []
        load = float(self._queue.utilisation[server])
        ended = []
        for attempt in list(attempts.values()):
            kind = self._kinds[attempt.task.kind]
            rate = attempt.percent / 100 / (1 + kind.task_slowdown * load)
            attempt.ran_s += rate if attempt.ran_s >= 0 else 1
            outcome = self._outcome(server, attempt, now_s)
            if outcome:
                attempts.pop(attempt.key)
                attempt.ended_s = now_s
                ended.append(Ended(attempt, server, outcome))
        return ended

    def _outcome(self, server: int, attempt: Attempt, now_s: int) -> str:
        task = attempt.task
        if (
            server in self.bad_servers
            and now_s - attempt.started_s >= _BAD_SERVER_FAILS_AFTER_S
        ):
            return 'failed'
        progress_s = task.progress_s + max(attempt.ran_s, 0)
        if progress_s >= task.run_s:
            return 'done'
        too_large = task.used.memory_mb > attempt.allocated.memory_mb * 1.1
        if too_large and progress_s >= _OUT_OF_MEMORY_PROGRESS * task.run_s:
            return 'failed'
        if (
            attempt.checkpoint_done_s is not None
            and now_s >= attempt.checkpoint_done_s
        ):
            return 'checkpointed'
        return ''

    def _samples(self, now_s: int) -> list[UsageSample | None]:
        p99s = np.percentile(np.concatenate(self._times, axis=1), 99, axis=1)
        loads = np.mean(self._busy, axis=0)
        samples = [
            self._sample(
                server, float(loads[server]), float(p99s[server]), now_s
            )
            if self.up[server]
            else None
            for server in range(len(self.up))
        ]
        self._sampled_attempts = [dict(attempts) for attempts in self.attempts]
        return samples

    def _sample(
        self,
        server: int,
        load: float,
        p99_ms: float,
        now_s: int,
    ) -> UsageSample:
        sampled = self._sampled_attempts[server]
        return UsageSample(
            self._lag_s * _MS_IN_S,
            WINDOW_S * _MS_IN_S,
            self._deployment.service,
            load,
            p99_ms,
            tuple(sampled),
            {
                key.task_id: mean_use(attempt, now_s)
                for key, attempt in sampled.items()
            },
        )
