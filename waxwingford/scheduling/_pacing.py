"""Slows fills down where they harm tasks that serve users.

The tail that a server lists covers the last half second, so harm shows late:
at the first sign those fills that the model blames are slowed at once as far
as the tail has to come down, and let up again by steps that the model expects
to be harmless.
"""

import math

from waxwingford.scheduling._book import Book
from waxwingford.scheduling._harm import (
    HarmModel,
    fill_runs,
    serving_runs,
    units_of,
    used_units,
)
from waxwingford.scheduling._orders import Pace
from waxwingford.scheduling._runners import OrderOutcome, OrderTaken
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._state import Run, RunPhase, Step

#: Share of its target at which a task's fills are slowed down, to which its
#: tail is to come down then, and which a tail may be expected to reach when
#: fills are let up. The gap between them keeps paces from changing with each
#: swing of a serving task's own load.
SLOW_SHARE = 0.75
WANTED_SHARE = 0.6
CALM_SHARE = 0.7
#: A tail over its target for this long, in ms, halts all fills beside it:
#: more than that the consortium's rules forbid, and a pair that is not known
#: yet may be the cause.
UNEXPLAINED_MS = 1500
#: A change of pace by less than this, in percent, is not worth an order.
LEAST_CHANGE_PERCENT = 12
#: Below this percent a fill is halted: so low a share only keeps its memory.
LEAST_PERCENT = 8
FULL_PERCENT = 100
#: Time between two changes of one run, in ms: the figures listed lag by half
#: a second, and pacing takes a tenth of one to work.
CHANGE_EVERY_MS = 600
_LEAST_SHARE = 0.02


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
        self._note_over(serving, now_ms)
        if any(_unexplained(run, now_ms) for run, _ in serving):
            for fill, _ in fills:
                self._pace(fill, 0, now_ms)
            return
        harmed = any(_tail_share(pair) >= SLOW_SHARE for pair in serving)
        limit = WANTED_SHARE if harmed else CALM_SHARE
        shares = _Shares(self._model, serving, fills, limit)
        for run, step in sorted(fills, key=_turn):
            percent = shares.take(run, step)
            if (percent < run.pace) is harmed:
                self._pace(run, percent, now_ms)

    def answered(
        self, server: Server, order: Pace, outcome: OrderOutcome
    ) -> None:
        """Apply the answer to a change of pace.

        Without an answer the fill may go on as before, and harm: it counts as
        unchanged, so that the next look orders the change again.

        :param server: which answered.
        :param order: what was ordered.
        :param outcome: what came back.
        """
        run = server.run_by_key.get(order.key)
        if run is None or isinstance(outcome, OrderTaken):
            return
        self._book.notes.add(
            'run.not_paced',
            order.key.task,
            run=order.key.run,
            server=order.server_id,
            percent=order.percent,
            outcome=str(outcome),
        )
        if run.pace == order.percent:
            run.pace = order.before
            run.paced_ms = 0

    def _note_over(self, serving: list[tuple[Run, Step]], now_ms: int) -> None:
        for pair in serving:
            run, step = pair
            over = _tail_share(pair) > 1
            if over and not run.over_ms:
                run.over_ms = now_ms
            elif run.over_ms and not over:
                self._book.notes.add(
                    'run.was_over_target',
                    run.key.task,
                    run=run.key.run,
                    server=run.server_id,
                    target_ms=step.spec.target_ms,
                    for_ms=now_ms - run.over_ms,
                )
                run.over_ms = 0

    def _pace(self, run: Run, percent: int, now_ms: int) -> None:
        percent = percent if percent >= LEAST_PERCENT else 0
        if abs(percent - run.pace) < LEAST_CHANGE_PERCENT:
            return
        if now_ms - run.paced_ms >= CHANGE_EVERY_MS:
            self._book.notes.add(
                'run.paced',
                run.key.task,
                run=run.key.run,
                server=run.server_id,
                percent=percent,
                before=run.pace,
            )
            order = Pace(run.server_id, run.key, percent, run.pace)
            self._book.orders.append(order)
            run.paced_ms = now_ms
            run.pace = percent
            run.moved_ms = now_ms


class _Shares:
    """What fills may add to the tails beside them, shared out in turn."""

    def __init__(
        self,
        model: HarmModel,
        serving: list[tuple[Run, Step]],
        fills: list[tuple[Run, Step]],
        limit: float,
    ) -> None:
        self._model = model
        self._step_by_image = {step.spec.image: step for _, step in serving}
        self._spare_by_image = {
            image: min(
                math.log(limit / max(_tail_share(pair), _LEAST_SHARE))
                for pair in serving
                if pair[1].spec.image == image
            )
            for image in self._step_by_image
        }
        for image, step in self._step_by_image.items():
            # What the fills add now is in the tail; all of it is shared out
            # anew.
            self._spare_by_image[image] += sum(
                model.effect(step, fill) * used_units(run)
                for run, fill in fills
            )

    def take(self, run: Run, fill: Step) -> int:
        """Give a fill what is left for it.

        :param run: the fill.
        :param fill: its step.
        :returns: the pace that it may have, in percent.
        """
        units = units_of(fill.spec.needs)
        added_by_image = {
            image: self._model.effect(step, fill) * units
            for image, step in self._step_by_image.items()
        }
        share = min(
            (
                max(0, self._spare_by_image[image]) / added
                for image, added in added_by_image.items()
                if added
            ),
            default=1,
        )
        share = min(1, share)
        for image, added in added_by_image.items():
            self._spare_by_image[image] -= added * share
        return int(share * FULL_PERCENT)


def _turn(pair: tuple[Run, Step]) -> float:
    # Those that are nearest their end first: they make room for the others.
    return -pair[0].percent


def _tail_share(pair: tuple[Run, Step]) -> float:
    run, step = pair
    return run.figure / step.spec.target_ms


def _unexplained(run: Run, now_ms: int) -> bool:
    return run.over_ms > 0 and now_ms - run.over_ms >= UNEXPLAINED_MS
