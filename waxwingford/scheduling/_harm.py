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
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._state import Run, RunPhase, Step

#: A serving task younger than this may not have its usual tail yet, in ms.
WARM_MS = 1500
#: The figures listed cover this time, in ms.
WINDOW_MS = 600
#: Trust in a sample, and in one during whose window fills came, left or
#: changed pace. The model's own noise is that of percentiles over minutes; the
#: figures here cover half a second and swing with a serving task's own load.
STEADY_TRUST = 0.4
CHANGED_TRUST = 0.2
#: Effects below this, in the logarithm of a tail by four cores of a fill, are
#: taken for none: pairs that harm show 0.3 to 0.9, the others stay below 0.2.
LEAST_EFFECT = 0.22
#: Tail that a serving task is taken to have alone, as a share of its target,
#: before any sample.
EXPECTED_SHARE = 0.4
#: The platform tells nothing of a serving task's load; the model's term for
#: the server takes it up.
_LOAD = 0.25
_UNIT_MILLI = 4000
#: A tail that is listed as less counts as this, in ms.
LEAST_TAIL_MS = 0.5


_decoder = msgspec.msgpack.Decoder(list[tuple[str, str, float, float]])


class _Spares(NamedTuple):
    changes: int
    log_spares: list[tuple[Step, float]]


class HarmModel:
    """Learned effects of fills on serving tasks, image by image."""

    def __init__(self) -> None:
        """Know nothing but the model's priors."""
        self._expected_by_image: dict[str, float] = {}
        self._model = InterferenceModel(
            self._expected_by_image, Mechanisms(bands=False)
        )
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
                self._learn(server, run, step, units_by_kind, trust)

    def encode(self) -> bytes:
        """Write what is known of pairs for the store.

        :returns: its bytes.
        """
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
        pair = (serving.spec.image, fill.spec.image)
        found = self._effect_by_pair.get(pair)
        if found is None:
            found = self._model.effect(*pair, _LOAD).mean
            self._effect_by_pair[pair] = found
        return found if found >= LEAST_EFFECT else 0

    def spare_units(self, server: Server, fill: Step, limit: float) -> float:
        """Predict how much of a fill a server bears beside what it has.

        :param server: where.
        :param fill: a step that fills.
        :param limit: share of its target that no tail may pass.
        :returns: units of four cores, infinite where it harms nobody.
        """
        spares = (
            (self.effect(step, fill), log_spare + math.log(limit))
            for step, log_spare in self._log_spares(server)
        )
        return min(
            (spare / effect for effect, spare in spares if effect),
            default=math.inf,
        )

    def _log_spares(self, server: Server) -> list[tuple[Step, float]]:
        """Predict by how much each tail may grow up to its target.

        Kept until a run comes or leaves or a sample is learned: it is asked
        for with every fill that waits.

        :param server: where.
        :returns: a step for each image that serves there, with the logarithm.
        """
        server_id = server.entry.server_id
        kept = self._spares_by_server.get(server_id)
        if kept is not None and kept.changes == server.changes:
            return kept.log_spares
        step_by_image = {
            step.spec.image: step for _, step in serving_runs(server)
        }
        log_spares = [
            (step, -self._log_share(server, step))
            for step in step_by_image.values()
        ]
        self._spares_by_server[server_id] = _Spares(server.changes, log_spares)
        return log_spares

    def _log_share(self, server: Server, serving: Step) -> float:
        """Predict a tail with all fills of a server at their asked cpu.

        :param server: where.
        :param serving: a step that serves there.
        :returns: logarithm of the tail as a share of its target.
        """
        added = sum(
            self.effect(serving, step) * units_of(step.spec.needs)
            for _, step in fill_runs(server)
        )
        return self._base(server, serving) + added

    def _base(self, server: Server, serving: Step) -> float:
        spec = serving.spec
        key = (server.entry.server_id, spec.image)
        base = self._base_by_server.get(key)
        if base is None:
            self._expect(serving)
            base = self._model.base(*key, _LOAD).mean
            self._base_by_server[key] = base
        return base - math.log(spec.target_ms)

    def _expect(self, serving: Step) -> None:
        spec = serving.spec
        self._expected_by_image.setdefault(
            spec.image, math.log(EXPECTED_SHARE * spec.target_ms)
        )

    def _learn(
        self,
        server: Server,
        run: Run,
        step: Step,
        units_by_kind: dict[str, float],
        trust: float,
    ) -> None:
        self._expect(step)
        server_id, image = server.entry.server_id, step.spec.image
        setting = Setting(server_id, image, _LOAD, units_by_kind)
        self._model.learn(setting, max(run.figure, LEAST_TAIL_MS), trust)
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
