"""Emulated backend servers: services, attempts and lagged samples."""

from collections import deque

import numpy as np

from waxwingford.ports import TaskKey, UsageSample
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
    pressures_by_kind,
    slowdown,
)

REQUESTS_PER_S = 60
_MS_IN_S = 1000
#: What a checkpoint takes.
_CHECKPOINT_S = 3
#: Fetching a checkpoint: same server, same rack, elsewhere.
_FETCH_S = (1, 4, 8)
_BAD_AFTER_S = 4
_OUT_OF_MEMORY_AT = 0.3
#: Noise of the share of busy slots, a mean over one second.
_BUSY_NOISE = 0.03
_LOAD_MEMORY = 0.97
_LOAD_NOISE = 0.015
_SERVICE_NOISE = 0.012


class World:
    """All servers of a deployment."""

    def __init__(
        self,
        deployment: Deployment,
        scenario: Scenario,
        kinds: dict[str, Kind],
        random: np.random.Generator,
    ) -> None:
        """Set up.

        :param deployment: whose machines.
        :param scenario: conditions.
        :param kinds: hidden truth.
        :param random: of the run's seed.
        """
        count = deployment.servers
        self._deployment = deployment
        self._lag_s = scenario.lag_s
        self._kinds = kinds
        self._random = random
        self._queue = Queue(count, deployment.median_ms)
        self._hotness = np.exp(random.normal(0, 0.08, count))
        self._noise = np.zeros((2, count))
        self._times: deque[np.ndarray] = deque(maxlen=WINDOW_S)
        self._busy: deque[np.ndarray] = deque(maxlen=WINDOW_S)
        self._on_the_way: deque[tuple[int, list[UsageSample | None]]] = deque()
        self._seen: list[dict[TaskKey, Attempt]] = [{} for _ in range(count)]
        self.attempts: list[dict[TaskKey, Attempt]] = [{} for _ in range(count)]
        self.up = np.ones(count, bool)
        self.bad: set[int] = set()
        self.racks = [
            f'rack{index // deployment.rack_size}' for index in range(count)
        ]

    def busy_share(self) -> np.ndarray:
        """Read the present load as a holder sees it.

        :returns: mean share of busy slots over the last second, by server.
        """
        return self._busy[-1] if self._busy else np.zeros(len(self.up))

    def start(self, server: int, attempt: Attempt) -> None:
        """Start an attempt; a resumed one fetches its checkpoint first.

        :param server: where.
        :param attempt: what.
        """
        task = attempt.task
        if task.checkpoint_server:
            attempt.ran_s = -self._fetch_s(server, task.checkpoint_server)
        self.attempts[server][attempt.key] = attempt
        self._seen[server][attempt.key] = attempt

    def checkpoint(self, server: int, key: TaskKey, now_s: int) -> None:
        """Begin a checkpoint.

        :param server: where.
        :param key: which attempt.
        :param now_s: time of the run, in seconds.
        """
        attempt = self.attempts[server][key]
        if attempt.leaves_s is None:
            attempt.leaves_s = now_s + _CHECKPOINT_S

    def step(
        self, offered: float, now_s: int
    ) -> tuple[np.ndarray, list[Ended]]:
        """Let a second pass.

        :param offered: load of the service alone, share of the slots.
        :param now_s: time at the end of the second.
        :returns: response times in milliseconds of the servers that are up,
            NaN for others, and the attempts that ended.
        """
        random = self._random
        shape = self._noise.shape
        self._noise = self._noise * _LOAD_MEMORY + random.normal(0, 1, shape)
        load = offered * self._hotness * np.exp(self._noise[0] * _LOAD_NOISE)
        factor = slowdown(self._pressures())
        factor = factor * np.exp(self._noise[1] * _SERVICE_NOISE)
        times = self._queue.advance(load, factor, random, REQUESTS_PER_S)
        times[~self.up] = np.nan
        self._times.append(times)
        utilisation = np.where(self.up, self._queue.utilisation, 0)
        noise = random.normal(0, _BUSY_NOISE, len(utilisation))
        self._busy.append(np.clip(utilisation + noise, 0, 1))
        ended = [
            end
            for server in range(len(self.up))
            for end in self._advance(server, now_s)
        ]
        if now_s % WINDOW_S == 0:
            self._on_the_way.append((now_s, self._samples(now_s)))
        return times, ended

    def arrived(self, now_s: int) -> list[UsageSample | None]:
        """Take the samples that arrive now.

        :param now_s: time of the run, in seconds.
        :returns: one for each server, or an empty list.
        """
        if not self._on_the_way:
            return []
        taken_s, samples = self._on_the_way[0]
        if now_s < taken_s + self._lag_s:
            return []
        self._on_the_way.popleft()
        return samples

    def fail_server(self, server: int) -> list[Ended]:
        """Take a server down with all that runs on it.

        :param server: which.
        :returns: the attempts lost.
        """
        self.up[server] = False
        lost = [
            Ended(attempt, server, 'lost')
            for attempt in self.attempts[server].values()
        ]
        self.attempts[server] = {}
        self._seen[server] = {}
        return lost

    def _fetch_s(self, server: int, source: str) -> int:
        if source == f'w{server}':
            return _FETCH_S[0]
        return _FETCH_S[
            1 if self.racks[server] == self.racks[int(source[1:])] else 2
        ]

    def _pressures(self) -> np.ndarray:
        cores = np.array(
            [cores_by_kind(attempts) for attempts in self.attempts],
        )
        scales = pressures_by_kind(self._kinds, self._queue.utilisation)
        return (cores * scales).sum(axis=1)

    def _advance(self, server: int, now_s: int) -> list[Ended]:
        attempts = self.attempts[server]
        if not attempts:
            return []
        load = float(self._queue.utilisation[server])
        ended = []
        for attempt in list(attempts.values()):
            kind = self._kinds[attempt.task.kind]
            rate = attempt.percent / 100 / (1 + kind.own_slowdown * load)
            attempt.ran_s += rate if attempt.ran_s >= 0 else 1
            how = self._outcome(server, attempt, now_s)
            if how:
                attempts.pop(attempt.key)
                attempt.ended_s = now_s
                ended.append(Ended(attempt, server, how))
        return ended

    def _outcome(self, server: int, attempt: Attempt, now_s: int) -> str:
        task = attempt.task
        if server in self.bad and now_s - attempt.started_s >= _BAD_AFTER_S:
            return 'failed'
        progress_s = task.progress_s + max(attempt.ran_s, 0)
        if progress_s >= task.run_s:
            return 'done'
        too_large = task.used.memory_mb > attempt.given.memory_mb * 1.1
        if too_large and progress_s >= _OUT_OF_MEMORY_AT * task.run_s:
            return 'failed'
        if attempt.leaves_s is not None and now_s >= attempt.leaves_s:
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
        self._seen = [dict(attempts) for attempts in self.attempts]
        return samples

    def _sample(
        self,
        server: int,
        load: float,
        p99_ms: float,
        now_s: int,
    ) -> UsageSample:
        seen = self._seen[server]
        return UsageSample(
            self._lag_s * _MS_IN_S,
            WINDOW_S * _MS_IN_S,
            self._deployment.service,
            load,
            p99_ms,
            tuple(seen),
            {
                key.task_id: mean_use(attempt, now_s)
                for key, attempt in seen.items()
            },
        )
