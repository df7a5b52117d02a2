"""Slows fills down where they harm tasks that serve users.

The tail that a server lists covers the last half second, so harm shows late:
at the first sign those fills that the model blames are slowed at once as far
as the tail has to come down, and let up again by steps that the model expects
to be harmless.
"""

from waxwingford.scheduling._book import Book
from waxwingford.scheduling._harm import HarmModel
from waxwingford.scheduling._loads import Load
from waxwingford.scheduling._occupants import (
    fill_runs,
    full_share,
    serving_runs,
    serving_steps,
)
from waxwingford.scheduling._orders import Pace
from waxwingford.scheduling._runners import OrderOutcome, OrderTaken
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._state import Run, RunPhase, Step

#: Headroom that is left to serving tasks: their tails at 0.95 of
#: the target.
LEAST_HEADROOM = 1.05
#: Times ahead for which paces are set, in ms: a change takes a tenth of a second
#: to work, and stands until the next one.
AHEAD_MS = (100, 400)
#: A tail over its target for this long, in ms, halts all fills beside it:
#: more than that the consortium's rules forbid, and a pair that is not known
#: yet may be the cause.
UNEXPLAINED_MS = 1500
#: A change of pace by less than this, in percent, is not worth an order.
LEAST_CHANGE_PERCENT = 12
#: Below this percent a fill is halted: so low a share only keeps its memory.
LEAST_PERCENT = 8
FULL_PERCENT = 100
_ON_THE_WAY = frozenset((RunPhase.planned, RunPhase.sent, RunPhase.doubtful))
#: Time between two changes of one run, in ms: the figures listed lag by half
#: a second, and pacing takes a tenth of one to work.
CHANGE_EVERY_MS = 250


class Pacer:
    """Chooses the pace of fills, server by server.

    :ivar watched: servers whose figures are needed often, when last counted.
    """

    def __init__(self, book: Book, model: HarmModel) -> None:
        """Work on a book.

        :param book: of the shard.
        :param model: of what harms what.
        """
        self._book = book
        self._model = model
        self.watched = 0

    def count(self) -> None:
        """Count the servers whose figures are needed often."""
        self.watched = sum(map(self.watches, self._book.server_by_id.values()))

    def watches(self, server: Server) -> bool:
        """Tell whether a server has fills whose pace may have to change.

        Fills that were slowed for tasks that have left since, or that a former
        owner slowed, would stand still for good if nobody let them up.

        :param server: which.
        :returns: whether its figures are needed often.
        """
        fills = fill_runs(server)
        if any(run.pace != FULL_PERCENT for run, _ in fills):
            return True
        return bool(fills and serving_runs(server))

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
        shares = _Shares(self._model, server, now_ms)
        for run, step in fill_runs(server):
            if run.phase in _ON_THE_WAY:
                shares.reserve(step)
        for run, step in sorted(fills, key=_turn):
            self._pace(run, shares.take(step), now_ms)

    def answered(
        self, server: Server, order: Pace, outcome: OrderOutcome
    ) -> None:
        """Apply the answer to a change of pace.

        Without an answer the fill may go on as before, and harm, or at the new
        pace: the next round of paces orders anew.

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
            run.pace = None
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
        known = run.pace is not None
        if known and abs(percent - run.pace) < LEAST_CHANGE_PERCENT:
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
            order = Pace(run.server_id, run.key, percent)
            self._book.orders.append(order)
            run.paced_ms = now_ms
            run.pace = percent
            run.moved_ms = now_ms


class _Shares:
    """Headroom of the serving tasks of a server, shared out to fills in turn."""

    def __init__(
        self,
        model: HarmModel,
        server: Server,
        now_ms: int,
    ) -> None:
        self._model = model
        self._server = server
        self._spare_by_step = {
            step: _least_headroom(model.load(step, now_ms), now_ms)
            - LEAST_HEADROOM
            for step in serving_steps(server)
        }

    def reserve(self, fill: Step) -> None:
        """Leave a fill that will start at full pace what it needs.

        :param fill: its step.
        """
        needed = full_share(self._server, fill)
        for step in self._spare_by_step:
            taken = needed * self._model.effect(step, fill)
            self._spare_by_step[step] -= taken

    def take(self, fill: Step) -> int:
        """Give a fill what is left for it.

        :param fill: its step.
        :returns: the pace that it may have, in percent.
        """
        needed = full_share(self._server, fill)
        taken_by_step = {
            step: needed * self._model.effect(step, fill)
            for step in self._spare_by_step
        }
        share = min(
            (
                max(0, self._spare_by_step[step]) / taken
                for step, taken in taken_by_step.items()
                if taken
            ),
            default=1,
        )
        share = min(1, share)
        for step, taken in taken_by_step.items():
            self._spare_by_step[step] -= taken * share
        return int(share * FULL_PERCENT)


def _least_headroom(load: Load, now_ms: int) -> float:
    return min(load.forecast(now_ms + ahead_ms) for ahead_ms in AHEAD_MS)


def _turn(pair: tuple[Run, Step]) -> float:
    # Those that are nearest their end first: they make room for the others.
    return -pair[0].percent


def _tail_share(pair: tuple[Run, Step]) -> float:
    run, step = pair
    return run.figure / step.spec.target_ms


def _unexplained(run: Run, now_ms: int) -> bool:
    return run.over_ms > 0 and now_ms - run.over_ms >= UNEXPLAINED_MS
