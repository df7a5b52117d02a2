"""What tasks of a kind really use of the processors that they are given."""

from waxwingford.colocation._model import units_of
from waxwingford.ports import Resources

_FULL_PERCENT = 100
#: Weight of the newest task-window.
_STEP = 0.05
_LEAST_SHARE = 0.1


class UseTracker:
    """Share of the given processors that is used, by kind.

    The model learns the damage by what was measured; a prediction for what was
    merely given would overstate it, and leave room unused.
    """

    def __init__(self) -> None:
        """Start by taking that all is used."""
        self._share_by_kind: dict[str, float] = {}

    def measure(
        self,
        kind: str,
        used: Resources,
        given: Resources,
        percent: int,
    ) -> None:
        """Learn from one task in one whole window.

        :param kind: batch kind.
        :param used: mean use in the window.
        :param given: what it was given.
        :param percent: its throttle in the window.
        """
        allowed = given.processors_milli * percent / _FULL_PERCENT
        if allowed <= 0:
            return
        share = max(used.processors_milli / allowed, _LEAST_SHARE)
        before = self._share_by_kind.get(kind, 1)
        self._share_by_kind[kind] = before + _STEP * (share - before)

    def units(self, kind: str, given: Resources) -> float:
        """Predict what a task uses without a throttle.

        :param kind: batch kind.
        :param given: what it is given.
        :returns: units of the model.
        """
        return units_of(given) * self._share_by_kind.get(kind, 1)
