"""What fills do to the tails of tasks that serve beside them, learned.

Which image harms which differs by pair, and strongly: most pairs do nothing
to each other, some double a tail with one task. A rule that slows all fills
alike slows mostly harmless ones and leaves batch work unfinished.
"""

import math
from typing import NamedTuple

import msgspec

from waxwingford.colocation import (
    InterferenceModel,
    Mechanisms,
    Setting,
    Term,
)
from waxwingford.ports import Resources
from waxwingford.scheduling._loads import LoadTracker
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._state import Run, RunPhase, Step

#: A serving task younger than this may not have its usual tail yet, in ms.
WARM_MS = 1500
#: The figures listed cover this time, in ms.
WINDOW_MS = 600
#: The figures listed are those of about this long ago on the whole, in ms.
LAG_MS = 300
#: Trust in a sample, and in one during whose window fills came, left or
#: changed pace. What the model expects of a percentile's own noise fits the
#: figures, once the load is known.
STEADY_TRUST = 1.0
CHANGED_TRUST = 0.5
#: Effects below this, in the logarithm of a tail by four cores of a fill, are
#: taken for none: an error of this size is usual after some samples.
LEAST_EFFECT = 0.06
#: Loads of steps without a sample for this long are dropped, in ms.
KEEP_LOAD_MS = 30_000
#: Times ahead, in ms, at which a tail must bear a fill that is to be placed:
#: soon, and when it has run for a while.
PLACE_AHEAD_MS = (300, 1500)
#: What a server bears is worked out anew after this, in ms: loads swing.
KEEP_SPARE_MS = 200
#: Tail that a serving task is taken to have alone, as a share of its target,
#: before any sample.
EXPECTED_SHARE = 0.4
#: The platform tells nothing of a serving task's load: the tracker follows
#: it, and the model sees tails at an even load.
_LOAD = 0.25
_UNIT_MILLI = 4000
#: A tail that is listed as less counts as this, in ms.
LEAST_TAIL_MS = 0.5


_decoder = msgspec.msgpack.Decoder(list[tuple[str, str, float, float]])


class _Spares(NamedTuple):
    changes: int
    until_ms: int
    log_spares: list[tuple[Step, float]]


class _Sample(NamedTuple):
    run: Run
    step: Step
    at_ms: int
    trust: float


class HarmModel:
    """Learned effects of fills on serving tasks, and the loads of those."""

    def __init__(self) -> None:
        """Know nothing but the model's priors."""
        self._model = InterferenceModel({}, Mechanisms(bands=False))
        self._loads = LoadTracker()
        self._effect_by_pair: dict[tuple[str, str], float] = {}
        self._base_by_server: dict[tuple[str, str], float] = {}
        self._spares_by_server: dict[str, _Spares] = {}

    def learn(self, server: Server, now_ms: int) -> None:
        """Learn from what a look at a server listed.

        :param server: just looked at.
        :param now_ms: steady time.
        """
        self._spares_by_server.pop(server.entry.server_id, None)
        fills = fill_runs(server)
        units_by_kind = _units_by_kind(fills)
        changed = any(
            now_ms - max(run.since_ms, run.paced_ms) < WINDOW_MS
            for run, _ in fills
        )
        trust = CHANGED_TRUST if changed else STEADY_TRUST
        for run, step in serving_runs(server):
            if run.figure > 0 and now_ms - run.since_ms >= WARM_MS:
                sample = _Sample(run, step, now_ms - LAG_MS, trust)
                self._learn(server, sample, units_by_kind)

    def encode(self, now_ms: int) -> bytes:
        """Write what is known of pairs for the store.

        :param now_ms: steady time.
        :returns: its bytes.
        """
        self._loads.drop_older(now_ms - KEEP_LOAD_MS)
        return msgspec.msgpack.encode(
            [
                (*pair, term.mean, term.variance)
                for pair, term in self._model.pairs().items()
            ]
        )

    def restore(self, raw: bytes) -> None:
        """Go on from what a former owner knew.

        :param raw: as ``encode`` wrote it.
        """
        self._model.restore(
            {
                (serving, fill): Term(mean, variance)
                for serving, fill, mean, variance in _decoder.decode(raw)
            }
        )
        self._effect_by_pair.clear()

    def effect(self, serving: Step, fill: Step) -> float:
        """Predict what one unit of a fill adds to the logarithm of a tail.

        :param serving: step that serves.
        :param fill: step that fills.
        :returns: per four cores in use.
        """
        found = self._effect(serving.spec.image, fill.spec.image)
        return found if found >= LEAST_EFFECT else 0

    def alone(self, server: Server, serving: Step, at_ms: int) -> float:
        """Predict a tail without any fill.

        :param server: where.
        :param serving: a step that serves there.
        :param at_ms: steady time, at most seconds ahead.
        :returns: logarithm of the tail as a share of its target.
        """
        load = self._loads.predict(serving.name, at_ms)
        base = self._base(server.entry.server_id, serving)
        return base + load - math.log(serving.spec.target_ms)

    def usual(self, server: Server, serving: Step) -> float:
        """Predict a tail without any fill at the mean of its load.

        :param server: where.
        :param serving: a step that serves there.
        :returns: logarithm of the tail as a share of its target.
        """
        load = self._loads.mean(serving.name)
        base = self._base(server.entry.server_id, serving)
        return base + load - math.log(serving.spec.target_ms)

    def most_effect(self, server: Server, fill: Step, now_ms: int) -> float:
        """Predict what one unit of a fill adds to the tail it raises most.

        :param server: where.
        :param fill: a step that fills.
        :param now_ms: steady time.
        :returns: of the logarithm, per four cores in use.
        """
        return max(
            (
                self.effect(step, fill)
                for step, _ in self._log_spares(server, now_ms)
            ),
            default=0,
        )

    def spare_units(
        self, server: Server, fill: Step, limit: float, now_ms: int
    ) -> float:
        """Predict how much of a fill a server bears beside what it has.

        :param server: where.
        :param fill: a step that fills.
        :param limit: share of its target that no tail may pass.
        :param now_ms: steady time.
        :returns: units of four cores, infinite where it harms nobody.
        """
        spares = (
            (self.effect(step, fill), log_spare + math.log(limit))
            for step, log_spare in self._log_spares(server, now_ms)
        )
        return min(
            (spare / effect for effect, spare in spares if effect),
            default=math.inf,
        )

    def _log_spares(
        self, server: Server, now_ms: int
    ) -> list[tuple[Step, float]]:
        """Predict by how much each tail may grow up to its target.

        Kept until a run comes or leaves or a sample is learned, and for some
        time at most: it is asked for with every fill that waits.

        :param server: where.
        :param now_ms: steady time.
        :returns: each step that serves there, with the logarithm.
        """
        server_id = server.entry.server_id
        kept = self._spares_by_server.get(server_id)
        if kept is not None and kept.changes == server.changes:
            if now_ms < kept.until_ms:
                return kept.log_spares
        serving_by_name = {step.name: step for _, step in serving_runs(server)}
        log_spares = [
            (step, -self._log_share(server, step, now_ms))
            for step in serving_by_name.values()
        ]
        self._spares_by_server[server_id] = _Spares(
            server.changes, now_ms + KEEP_SPARE_MS, log_spares
        )
        return log_spares

    def _log_share(self, server: Server, serving: Step, now_ms: int) -> float:
        """Predict a tail with all fills of a server at their asked cpu.

        :param server: where.
        :param serving: a step that serves there.
        :param now_ms: steady time.
        :returns: logarithm of the tail as a share of its target.
        """
        added = sum(
            self.effect(serving, step) * units_of(step.spec.needs)
            for _, step in fill_runs(server)
        )
        alone = max(
            self.alone(server, serving, now_ms + ahead_ms)
            for ahead_ms in PLACE_AHEAD_MS
        )
        return alone + added

    def _effect(self, serving: str, fill: str) -> float:
        found = self._effect_by_pair.get((serving, fill))
        if found is None:
            found = self._model.effect(serving, fill, _LOAD).mean
            self._effect_by_pair[serving, fill] = found
        return found

    def _base(self, server_id: str, serving: Step) -> float:
        image = serving.spec.image
        base = self._base_by_server.get((server_id, image))
        if base is None:
            expected_ms = EXPECTED_SHARE * serving.spec.target_ms
            self._model.expect(image, expected_ms)
            base = self._model.base(server_id, image, _LOAD).mean
            self._base_by_server[server_id, image] = base
        return base

    def _learn(
        self, server: Server, sample: _Sample, units_by_kind: dict[str, float]
    ) -> None:
        server_id = server.entry.server_id
        step, at_ms = sample.step, sample.at_ms
        image = step.spec.image
        tail = math.log(max(sample.run.figure, LEAST_TAIL_MS))
        added = sum(
            self._effect(image, kind) * units
            for kind, units in units_by_kind.items()
        )
        load = self._loads.predict(step.name, at_ms)
        level = tail - self._base(server_id, step) - added
        self._loads.learn(step.name, level, at_ms)
        setting = Setting(server_id, image, _LOAD, units_by_kind)
        self._model.learn(setting, math.exp(tail - load), sample.trust)
        self._base_by_server.pop((server_id, image), None)
        for kind in units_by_kind:
            self._effect_by_pair.pop((image, kind), None)


def serving_runs(server: Server) -> list[tuple[Run, Step]]:
    """List the runs that have a target for their tail.

    :param server: where.
    :returns: runs with their steps.
    """
    return [
        (server.run_by_key[key], step)
        for key, step in server.step_by_run.items()
        if step.spec.target_ms
    ]


def fill_runs(server: Server) -> list[tuple[Run, Step]]:
    """List the runs that use only the cpu that others leave.

    :param server: where.
    :returns: runs with their steps.
    """
    return [
        (server.run_by_key[key], step)
        for key, step in server.step_by_run.items()
        if step.spec.fills
    ]


def used_units(run: Run) -> float:
    """Express the cpu that a fill was listed with in the model's unit.

    :param run: the fill.
    :returns: units of four cores.
    """
    return run.figure / _UNIT_MILLI


def units_of(needs: Resources) -> float:
    """Express cpu in the model's unit.

    :param needs: what a task asks for.
    :returns: units of four cores.
    """
    return needs.processors_milli / _UNIT_MILLI


def _units_by_kind(fills: list[tuple[Run, Step]]) -> dict[str, float]:
    units: dict[str, float] = {}
    for run, step in fills:
        if run.phase is RunPhase.present:
            image = step.spec.image
            units[image] = units.get(image, 0) + used_units(run)
    return units
