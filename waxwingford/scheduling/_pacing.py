"""Slows fills down where they harm tasks that serve users.

The tail that a server lists covers the last half second, so harm shows late.
Paces are chosen by what the model predicts for the time until the next look: of
what a tail bears at the load to come, each fill gets a share, those first that
harm least.
"""

import math

from waxwingford.scheduling._book import Book
from waxwingford.scheduling._harm import (
    HarmModel,
    fill_runs,
    serving_runs,
    units_of,
)
from waxwingford.scheduling._orders import Pace
from waxwingford.scheduling._runners import OrderOutcome, OrderTaken
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._state import Run, RunPhase, Step
from waxwingford.scheduling._turns import lateness

#: Shares of its target that a tail is let come to by the model's prediction at
#: a peak of its load, and at the load's mean. The error of a prediction is a
#: fifth, to both sides, and what is held back for nothing is lost: over eight
#: seeds of a calm day, 0.95, 1.1 and 1.25 at a peak were worth 0.693, 0.719 and
#: 0.710 at one site. Without the second, a load that is steady would leave its
#: tail over the target for good.
BORNE_SHARE = 1.1
USUAL_SHARE = 0.85
#: Times ahead at which a tail must bear the fills beside it, in ms: a change
#: works after a tenth of a second, and the next look comes within a second.
PACE_AHEAD_MS = (200, 900)
#: A tail over its target for this long, in ms, halts all fills beside it:
#: more than that the consortium's rules forbid, and a pair that is not known
#: yet may be the cause.
UNEXPLAINED_MS = 1500
#: A change of pace by less than this, in percent, is not worth an order.
LEAST_CHANGE_PERCENT = 12
#: Below this percent a fill is halted: so low a share only keeps its memory.
LEAST_PERCENT = 8
FULL_PERCENT = 100
#: Time between a change of one run and the next to more or to less, in ms:
#: the figures listed lag by half a second, and pacing takes a tenth of one to
#: work; but a tail that is about to pass its target does not wait.
CHANGE_EVERY_MS = 600
SLOW_EVERY_MS = 200
#: Time between two choices for one server, in ms.
REACT_EVERY_MS = 300


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

    def react_in_time(self, server: Server, now_ms: int) -> None:
        """Choose paces again if the last choice is old.

        :param server: where.
        :param now_ms: steady time.
        """
        due = now_ms - server.paced_ms >= REACT_EVERY_MS
        if due and self.watches(server) and server.failing_ms is None:
            self.react(server, now_ms)

    def react(self, server: Server, now_ms: int) -> None:
        """Choose paces and order what has to change.

        Not only after a look, as loads swing.

        :param server: where.
        :param now_ms: steady time.
        """
        server.paced_ms = now_ms
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
        shares = _Shares(self._model, self._spares(server, serving, now_ms))
        turns = sorted(
            fills,
            key=lambda pair: (self._late(pair[1], now_ms), *shares.turn(*pair)),
        )
        for run, step in turns:
            self._pace(run, shares.take(step), now_ms)

    def _late(self, step: Step, now_ms: int) -> int:
        return lateness(step.job, self._book.queue_of(step.job), now_ms)

    def _spares(
        self, server: Server, serving: list[tuple[Run, Step]], now_ms: int
    ) -> list[tuple[Step, float]]:
        """Predict by how much all fills together may raise each tail.

        :param server: where.
        :param serving: what serves there.
        :param now_ms: steady time.
        :returns: logarithms by step.
        """
        spares = []
        for step in {step.name: step for _, step in serving}.values():
            alone = max(
                self._model.alone(server, step, now_ms + ahead_ms)
                for ahead_ms in PACE_AHEAD_MS
            )
            usual = self._model.usual(server, step)
            spare = min(
                math.log(BORNE_SHARE) - alone, math.log(USUAL_SHARE) - usual
            )
            spares.append((step, spare))
        return spares

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
        wait_ms = CHANGE_EVERY_MS if percent > run.pace else SLOW_EVERY_MS
        if now_ms - run.paced_ms >= wait_ms:
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
        self, model: HarmModel, spares: list[tuple[Step, float]]
    ) -> None:
        self._model = model
        self._serving = [step for step, _ in spares]
        self._spares = [max(0, spare) for _, spare in spares]

    def turn(self, run: Run, step: Step) -> tuple[float, float]:
        """Order fills: those that harm least come first, so most work is done.

        Among equals those that are nearest their end: they make room.

        :param run: a fill.
        :param step: its step.
        :returns: lower comes first.
        """
        return max(self._effects(step), default=0), -run.percent

    def take(self, fill: Step) -> int:
        """Give a fill what is left for it.

        :param fill: its step.
        :returns: the pace that it may have, in percent.
        """
        units = units_of(fill.spec.needs)
        added = [effect * units for effect in self._effects(fill)]
        share = min(
            (
                spare / more
                for spare, more in zip(self._spares, added, strict=True)
                if more
            ),
            default=1,
        )
        share = min(1, share)
        self._spares = [
            max(0, spare - more * share)
            for spare, more in zip(self._spares, added, strict=True)
        ]
        return int(share * FULL_PERCENT)

    def _effects(self, fill: Step) -> list[float]:
        return [self._model.effect(step, fill) for step in self._serving]


def _tail_share(pair: tuple[Run, Step]) -> float:
    run, step = pair
    return run.figure / step.spec.target_ms


def _unexplained(run: Run, now_ms: int) -> bool:
    return run.over_ms > 0 and now_ms - run.over_ms >= UNEXPLAINED_MS
