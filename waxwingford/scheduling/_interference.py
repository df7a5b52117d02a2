"""Model of the interference of best-effort tasks with serving tasks.

A serving task's headroom (see ``_headroom``) is that of its step without
best-effort tasks, less a coefficient per best-effort image times the share of
the server's CPU that runs of the image use. Interference differs strongly by
pair of images, so a coefficient is learned for each. A sample corrects the
estimates in proportion to their variances; a step's estimate is shared by all
servers of the step, a coefficient by all servers with the pair.
"""

import math
from typing import NamedTuple

from waxwingford.scheduling._coefficients import InterferenceTerm
from waxwingford.scheduling._colocated_runs import (
    full_pace_share,
    serving_runs,
    serving_steps,
    share_by_image,
)
from waxwingford.scheduling._headroom import HeadroomFilter
from waxwingford.scheduling._incarnations import Incarnation
from waxwingford.scheduling._learned_pairs import LearnedPairs
from waxwingford.scheduling._samples import Observation, Sample, take_sample
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._state import Step

#: Age below which the tail latency of a serving task isn't sampled, in ms.
WARM_UP_MS = 1500
#: Shortest interval between two samples of a task, in ms: in shorter ones the
#: rounding to whole ms dominates the difference.
MIN_SAMPLE_INTERVAL_MS = 200
#: Headroom of a saturated queue, below which samples carry no information.
SATURATED_HEADROOM = 0.25
#: Limit of the innovation of a sample, in standard deviations. Keeps a server
#: that is slow for other reasons from distorting the estimate of its step.
MAX_DEVIATIONS = 3.0
#: Forecast horizons for placing a best-effort task, in ms.
FORECAST_HORIZONS_MS = (300, 1500)
#: Time for which the forecast of a server is cached, in ms.
FORECAST_TTL_MS = 100
#: Headroom that serving tasks must keep when a best-effort task starts.
START_HEADROOM = 1.3
#: Headroom that serving tasks must keep while a best-effort task runs.
SUSTAINED_HEADROOM = 1.1
#: Time after which estimates without a sample are dropped, in ms.
RETENTION_MS = 30000
_FULL_PERCENT = 100


class _StepHeadroom(NamedTuple):
    """Headroom of a serving step on a server, given its best-effort runs.

    :ivar at_full_pace: least forecast headroom with all runs at full pace.
    :ivar at_current_pace: forecast headroom with the runs at current pace.
    """

    step: Step
    at_full_pace: float
    at_current_pace: float


class Allowance(NamedTuple):
    """CPU that further best-effort runs of an image may use on a server.

    A start needs more headroom than a running task: it runs at full pace until
    its first change of pace takes effect, and a queue stays over its target for
    most of a second after a short overload.

    :ivar sustained: share of the server's CPU over the forecast horizons.
    :ivar start: share of the server's CPU that may start now.
    """

    sustained: float
    start: float


_UNLIMITED = Allowance(math.inf, math.inf)


class _ServerForecast(NamedTuple):
    """Cached headroom forecast of a server.

    :ivar change_count: change count of the server at the time of the forecast.
    :ivar at_ms: monotonic time of the forecast, in ms.
    :ivar allowance_by_image: allowances computed so far, by image.
    """

    change_count: int
    at_ms: int
    headrooms: list[_StepHeadroom]
    allowance_by_image: dict[str, Allowance]


class InterferenceModel:
    """Estimates step headrooms and interference coefficients from polls.

    :ivar pairs: interference coefficients.
    """

    def __init__(
        self,
        pairs: LearnedPairs | None = None,
        filter_by_step: dict[str, HeadroomFilter] | None = None,
    ) -> None:
        """Create a model, by default without any experience.

        :param filter_by_step: headroom estimates; the model adds to them.
        """
        self.pairs = LearnedPairs() if pairs is None else pairs
        self._filter_by_step = filter_by_step or {}
        self._observation_by_server: dict[Incarnation, Observation] = {}
        self._forecast_by_server: dict[Incarnation, _ServerForecast] = {}
        self._evicted_ms = 0

    def learn(self, server: Server, now_ms: int) -> None:
        """Update the model from the latest poll of a server.

        :param server: server with the reported figures applied.
        :param now_ms: current monotonic time, in ms.
        """
        incarnation = server.incarnation
        self._forecast_by_server.pop(incarnation, None)
        previous = self._observation_by_server.get(incarnation)
        if (
            previous is not None
            and now_ms - previous.at_ms < MIN_SAMPLE_INTERVAL_MS
        ):
            return
        serving = serving_runs(server)
        current = Observation(
            now_ms,
            {run.key: run.measured_value for run, _ in serving},
            share_by_image(server),
        )
        self._observation_by_server[incarnation] = current
        if previous is None:
            return
        for run, step in serving:
            previous_ms = previous.tail_latency_by_run.get(run.key)
            warm = run.adopted or now_ms - run.phase_since_ms >= WARM_UP_MS
            if warm and previous_ms and run.measured_value > 0:
                sample = take_sample(
                    step.spec.target_ms,
                    previous_ms,
                    run.measured_value,
                    current,
                    previous,
                )
                self._apply_sample(step, sample, current, previous)
        self._evict_stale(now_ms)

    def preview(self) -> 'InterferenceModel':
        """Make a model that predicts the same and keeps its own caches.

        A forecast that is cached by a question would be used by later decisions
        in place of a newer one.
        """
        return InterferenceModel(self.pairs, self._filter_by_step.copy())

    def coefficient(self, serving: Step, best_effort: Step) -> float:
        """Predict the interference of a best-effort step with a serving step.

        :returns: headroom lost per whole server's CPU.
        """
        return self.pairs.find(serving.spec.image, best_effort.spec.image).mean

    def allowance(
        self, server: Server, best_effort: Step, now_ms: int
    ) -> Allowance:
        """Predict how much more of a best-effort image a server can run.

        :param now_ms: current monotonic time, in ms.
        :returns: shares of the server's CPU, negative if it is overcommitted.
        """
        if not server.serving:
            return _UNLIMITED
        forecast = self._forecast(server, now_ms)
        image = best_effort.spec.image
        found = forecast.allowance_by_image.get(image)
        if found is None:
            found = self._compute_allowance(forecast.headrooms, image)
            forecast.allowance_by_image[image] = found
        return found

    def _compute_allowance(
        self, headrooms: list[_StepHeadroom], image: str
    ) -> Allowance:
        sustained = math.inf
        start = math.inf
        for headroom in headrooms:
            coefficient = self.pairs.find(headroom.step.spec.image, image)
            start_share = (
                headroom.at_current_pace - START_HEADROOM
            ) / coefficient.upper_bound
            start = min(start, start_share)
            if coefficient.mean > 0:
                sustained_share = (
                    headroom.at_full_pace - SUSTAINED_HEADROOM
                ) / coefficient.mean
                sustained = min(sustained, sustained_share)
        return Allowance(sustained, start)

    def _forecast(self, server: Server, now_ms: int) -> _ServerForecast:
        """Forecast the headrooms of a server's serving steps.

        Cached, because placement needs it for each pending best-effort task.
        A change of the server's runs or a new sample invalidates it.

        :param now_ms: current monotonic time, in ms.
        """
        incarnation = server.incarnation
        cached = self._forecast_by_server.get(incarnation)
        if (
            cached is not None
            and cached.change_count == server.change_count
            and now_ms - cached.at_ms < FORECAST_TTL_MS
        ):
            return cached
        shares = _full_and_current_shares(server)
        headrooms = [
            self._step_headroom(step, shares, now_ms)
            for step in serving_steps(server)
        ]
        made = _ServerForecast(server.change_count, now_ms, headrooms, {})
        self._forecast_by_server[incarnation] = made
        return made

    def _step_headroom(
        self,
        serving: Step,
        share_by_image: dict[str, tuple[float, float]],
        now_ms: int,
    ) -> _StepHeadroom:
        loss: float = 0
        current_loss: float = 0
        for image, (full_share, current_share) in share_by_image.items():
            mean = self.pairs.find(serving.spec.image, image).mean
            loss += mean * full_share
            current_loss += mean * current_share
        step_filter = self.headroom_filter(serving, now_ms)
        soon, late = (
            step_filter.forecast(now_ms + horizon)
            for horizon in FORECAST_HORIZONS_MS
        )
        return _StepHeadroom(
            serving, min(soon, late) - loss, soon - current_loss
        )

    def headroom_filter(self, serving: Step, now_ms: int) -> HeadroomFilter:
        """Return the headroom estimate of a serving step.

        :param now_ms: current monotonic time, in ms.
        :returns: headroom filter of the step, new if it has none.
        """
        found = self._filter_by_step.get(serving.name)
        if found is None:
            found = HeadroomFilter(now_ms)
            self._filter_by_step[serving.name] = found
        return found

    def _apply_sample(
        self,
        step: Step,
        sample: Sample,
        current: Observation,
        previous: Observation,
    ) -> None:
        step_filter = self.headroom_filter(step, current.at_ms)
        step_filter.advance(current.at_ms)
        expected = step_filter.level(sample.age_s)
        variance = step_filter.variance(sample.age_s) + sample.variance
        terms = self._terms(step, current, previous)
        expected -= sum(term.coefficient.mean * term.share for term in terms)
        variance += sum(term.variance for term in terms)
        if max(expected, sample.headroom) < SATURATED_HEADROOM:
            return
        innovation = sample.headroom - max(0, expected)
        limit = MAX_DEVIATIONS * math.sqrt(variance)
        scaled = max(-limit, min(limit, innovation)) / variance
        step_filter.correct(sample.age_s, scaled)
        step_filter.correct_covariance(sample.age_s, variance)
        for term in terms:
            term.correct(scaled, variance)

    def _terms(
        self, step: Step, current: Observation, previous: Observation
    ) -> list[InterferenceTerm]:
        images = {**current.share_by_image, **previous.share_by_image}
        return [
            InterferenceTerm(
                self.pairs.learn(step.spec.image, image),
                current.share_by_image.get(image, 0),
                previous.share_by_image.get(image, 0),
            )
            for image in images
        ]

    def _evict_stale(self, now_ms: int) -> None:
        if now_ms - self._evicted_ms < RETENTION_MS:
            return
        self._evicted_ms = now_ms
        self._filter_by_step = {
            name: step_filter
            for name, step_filter in self._filter_by_step.items()
            if now_ms - step_filter.updated_ms < RETENTION_MS
        }
        self._observation_by_server = {
            incarnation: observation
            for incarnation, observation in self._observation_by_server.items()
            if now_ms - observation.at_ms < RETENTION_MS
        }


def _full_and_current_shares(server: Server) -> dict[str, tuple[float, float]]:
    """Sum the expected CPU use of a server's best-effort runs by image.

    :returns: shares of the server's CPU with all runs at full pace, and at
        their current paces.
    """
    shares: dict[str, tuple[float, float]] = {}
    for run, step in server.best_effort.values():
        full_share = full_pace_share(server, step)
        pace = _FULL_PERCENT if run.pace is None else run.pace
        image = step.spec.image
        full, current = shares.get(image, (0, 0))
        shares[image] = (
            full + full_share,
            current + full_share * pace / _FULL_PERCENT,
        )
    return shares
