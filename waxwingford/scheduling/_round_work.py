"""Bounds the work of a placement round, and names the step that took most of it."""

import collections
from typing import NamedTuple

#: Work after which a round ends; the next one goes on with other steps. A look takes
#: about a microsecond, and callers wait for the round.
MAX_ROUND_WORK = 20_000


class HeaviestStep(NamedTuple):
    """Step that took most of the work of a round.

    :ivar name: name of the step, empty for a round without any work.
    :ivar work: its work, in looks at a task, a step or a server.
    """

    name: str = ''
    work: int = 0


class RoundWork:
    """Counts the work of one round, in looks at a task, a step or a server.

    :ivar total: work of all steps.
    :ivar passed_steps: full steps that were tried since a round last reached its end.
        Rounds leave them out until one does, or others would never be reached.
    """

    def __init__(self) -> None:
        self.total = 0
        self.passed_steps: set[str] = set()
        self._interrupted = False
        self._work_by_step: collections.Counter[str] = collections.Counter()

    def begin(self) -> None:
        """Begin a round."""
        self.total = 0
        self._work_by_step.clear()
        if not self._interrupted:
            self.passed_steps.clear()
        self._interrupted = False

    def interrupt(self, full_steps: set[str]) -> None:
        """Note that a round ends before all tasks were tried.

        :param full_steps: steps that were tried and fit nowhere.
        """
        self.passed_steps |= full_steps
        self._interrupted = True

    def add(self, step_name: str, work: int) -> None:
        """Count work for a step."""
        self.total += work
        self._work_by_step[step_name] += work

    def of(self, step_name: str) -> int:
        """Return the work for a step in this round."""
        return self._work_by_step[step_name]

    @property
    def heaviest(self) -> HeaviestStep:
        """Step that took most of the work."""
        if not self._work_by_step:
            return HeaviestStep()
        name = max(self._work_by_step, key=self._work_by_step.__getitem__)
        return HeaviestStep(name, self._work_by_step[name])


__all__ = ('MAX_ROUND_WORK', 'HeaviestStep', 'RoundWork')
