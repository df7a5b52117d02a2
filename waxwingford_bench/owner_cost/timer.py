"""Processor time of calls by kind."""

import collections
import functools
from collections.abc import Callable

from waxwingford.metrics import Metrics
from waxwingford.scheduling import Engine, PollResult
from waxwingford.shard import Observer
from waxwingford_bench.owner_cost.surroundings import Outside


class Timer:
    """Processor time of the calls of some functions, by kind.

    :ivar spent_ns_by_kind: processor time by kind, in nanoseconds.
    :ivar calls_by_kind: number of calls by kind.
    """

    def __init__(self, outside: Outside) -> None:
        self._outside = outside
        self.clear()

    def clear(self) -> None:
        """Start again."""
        self.spent_ns_by_kind: collections.Counter[str] = collections.Counter()
        self.calls_by_kind: collections.Counter[str] = collections.Counter()

    def timed(
        self, call: Callable, kind_of: Callable[..., str]
    ) -> Callable[..., object]:
        """Wrap a function.

        :param kind_of: function that tells the kind of a call.
        """

        def _timed(*args: object, **kwargs: object) -> object:
            began_ns = self._outside.owner_ns()
            outcome = call(*args, **kwargs)
            spent_ns = self._outside.owner_ns() - began_ns
            kind = kind_of(*args, **kwargs)
            self.spent_ns_by_kind[kind] += spent_ns
            self.calls_by_kind[kind] += 1
            return outcome

        return _timed

    def time_engine(self, engine: Engine) -> None:
        """Time the calls of an engine."""
        for name, kind in (
            ('decide', 'decide'),
            ('take_batch', 'start'),
            ('stored', 'start'),
            ('start_answered', 'start'),
        ):
            call = self.timed(
                getattr(engine, name), functools.partial(fixed_kind, kind)
            )
            setattr(engine, name, call)
        engine.poll_answered = self.timed(engine.poll_answered, _poll_kind)


def fixed_kind(kind: str, *_: object, **_fields: object) -> str:
    """Tell the kind of a call of which all are of one kind."""
    return kind


def _poll_kind(
    server: object, sent_ms: int, now_ms: int, outcome: PollResult
) -> str:
    return 'end' if outcome.ended else 'poll'


class DigestObserver(Observer):
    """Times log lines, and adds events to the digest."""

    def __init__(self, outside: Outside, timer: Timer) -> None:
        super().__init__(Metrics())
        self._outside = outside
        self.record_notes = timer.timed(
            self.record_notes, functools.partial(fixed_kind, 'notes')
        )

    def record_event(self, event: str, **fields: object) -> None:
        """Log an event and add it to the digest."""
        with self._outside.excluded():
            self._outside.add(event, fields)
        super().record_event(event, **fields)
