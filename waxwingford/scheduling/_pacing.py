"""Slows fills down where they harm tasks that serve users.

The tail that a server lists covers the last half second, so harm shows late:
at the first sign those fills that the model blames are slowed at once as far
as the tail has to come down, and let up again by steps that the model expects
to be harmless.
"""

import math

from waxwingford.scheduling._book import Book
from waxwingford.scheduling._harm import (
    LEAST_TAIL_MS,
    HarmModel,
    fill_runs,
    serving_runs,
    units_of,
    used_units,
)
from waxwingford.scheduling._orders import Pace
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._state import Run, RunPhase, Step

#: Share of its target at which a task's fills are slowed down.
SLOW_SHARE = 0.85
#: Share of its target to which the tail is to come down.
WANTED_SHARE = 0.65
#: Share of its target that a tail is expected to stay below when a fill is
#: let up.
CALM_SHARE = 0.8
#: A tail over its target for this long, in ms, halts all fills beside it when
#: none is known to harm it: more than that the consortium's rules forbid, and
#: a pair that is not known yet may be the cause.
UNEXPLAINED_MS = 1500
#: Percent of one step up.
STEP_UP_PERCENT = 34
#: Below this percent a fill is halted: so low a share only keeps its memory.
LEAST_PERCENT = 8
FULL_PERCENT = 100
#: Time between two changes of one run, in ms: the figures listed lag by half
#: a second, and pacing takes a tenth of one to work.
CHANGE_EVERY_MS = 700


class Pacer:
    """Chooses the pace of fills, server by server."""

    def __init__(self, book: Book, model: HarmModel) -> None:
        """Work on a book.

        :param book: of the shard.
        :param model: of what harms what.
        """
        self._book = book
        self._model = model

    def watches(self, server: Server) -> bool:
        """Tell whether a server has fills beside tasks that serve.

        :param server: which.
        :returns: whether its figures are needed often.
        """
        steps = server.step_by_run.values()
        fills = any(step.spec.fills for step in steps)
        return fills and any(step.spec.target_ms for step in steps)

    def react(self, server: Server, now_ms: int) -> None:
        """Choose paces after a look and order what has to change.

        :param server: which was looked at.
        :param now_ms: steady time.
        """
        fills = [
            (run, step)
            for run, step in fill_runs(server)
            if run.phase is RunPhase.present
        ]
        if not fills:
            return
        serving = serving_runs(server)
        _note_over(serving, now_ms)
        for pair in serving:
            if _tail_share(pair) >= SLOW_SHARE:
                self._slow(*pair, fills, now_ms)
        if any(_unexplained(run, now_ms) for run, _ in serving):
            for fill, _ in fills:
                self._pace(fill, 0, now_ms)
        else:
            self._let_up(serving, fills, now_ms)

    def _slow(
        self,
        harmed: Run,
        serving: Step,
        fills: list[tuple[Run, Step]],
        now_ms: int,
    ) -> None:
        wanted_ms = WANTED_SHARE * serving.spec.target_ms
        excess = math.log(harmed.figure / wanted_ms)
        parts = (
            (self._model.effect(serving, step) * used_units(run), run)
            for run, step in fills
        )
        blamed = [(part, run) for part, run in parts if part > 0]
        for part, run in sorted(blamed, key=lambda pair: -pair[0]):
            if excess <= 0:
                break
            if now_ms - run.paced_ms >= CHANGE_EVERY_MS:
                left = max(0, 1 - excess / part)
                self._pace(run, int(run.pace * left), now_ms)
            excess -= part

    def _let_up(
        self,
        serving: list[tuple[Run, Step]],
        fills: list[tuple[Run, Step]],
        now_ms: int,
    ) -> None:
        paced = [
            (run, step)
            for run, step in fills
            if run.pace < FULL_PERCENT
            and now_ms - run.paced_ms >= CHANGE_EVERY_MS
        ]
        spare_by_image = _spare_by_image(serving) if paced else {}
        step_by_image = {step.spec.image: step for _, step in serving}
        for run, fill in paced:
            percent = min(FULL_PERCENT, run.pace + STEP_UP_PERCENT)
            more = units_of(fill.spec.needs) * (percent - run.pace)
            added_by_image = {
                image: self._model.effect(step, fill) * more / FULL_PERCENT
                for image, step in step_by_image.items()
            }
            if all(
                not added or added <= spare_by_image[image]
                for image, added in added_by_image.items()
            ):
                self._pace(run, percent, now_ms)
                for image, added in added_by_image.items():
                    spare_by_image[image] -= added

    def _pace(self, run: Run, percent: int, now_ms: int) -> None:
        percent = percent if percent >= LEAST_PERCENT else 0
        run.paced_ms = now_ms
        if percent != run.pace:
            run.pace = percent
            run.moved_ms = now_ms
            self._book.orders.append(Pace(run.server_id, run.key, percent))


def _spare_by_image(serving: list[tuple[Run, Step]]) -> dict[str, float]:
    """Say by how much the tail of each image may grow, as a logarithm.

    :param serving: runs that serve on a server.
    :returns: the least of its runs, by image.
    """
    spare: dict[str, float] = {}
    for run, step in serving:
        calm_ms = CALM_SHARE * step.spec.target_ms
        left = math.log(calm_ms / max(run.figure, LEAST_TAIL_MS))
        image = step.spec.image
        spare[image] = min(left, spare.get(image, left))
    return spare


def _tail_share(pair: tuple[Run, Step]) -> float:
    run, step = pair
    return run.figure / step.spec.target_ms


def _note_over(serving: list[tuple[Run, Step]], now_ms: int) -> None:
    for pair in serving:
        run = pair[0]
        over = _tail_share(pair) > 1
        run.over_ms = (run.over_ms or now_ms) if over else 0


def _unexplained(run: Run, now_ms: int) -> bool:
    return run.over_ms > 0 and now_ms - run.over_ms >= UNEXPLAINED_MS
