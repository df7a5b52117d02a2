"""Life cycle of a daemon and the reasons why it is not ready."""

from collections.abc import Callable

from transitions import Machine

_STATES = ('starting', 'serving', 'draining', 'stopped')
_TRANSITIONS = (
    ('serve', 'starting', 'serving'),
    ('drain', ('starting', 'serving'), 'draining'),
    ('stop', '*', 'stopped'),
)


class Life:
    """State of the process and what it still misses to be ready.

    :ivar state: ``starting``, ``serving``, ``draining`` or ``stopped``.
    """

    state: str
    serve: Callable[[], bool]
    drain: Callable[[], bool]
    stop: Callable[[], bool]

    def __init__(self) -> None:
        """Start in ``starting``."""
        self._check_by_part: dict[str, Callable[[], str]] = {}
        Machine(
            model=self,
            states=list(_STATES),
            transitions=[
                {'trigger': name, 'source': source, 'dest': target}
                for name, source, target in _TRANSITIONS
            ],
            initial=_STATES[0],
            auto_transitions=False,
        )

    def require_part(self, part: str, missing: Callable[[], str]) -> None:
        """Add a condition of readiness.

        :param part: its name.
        :param missing: says what is missing, empty if nothing.
        """
        self._check_by_part[part] = missing

    def missing(self) -> list[str]:
        """List what keeps the daemon from being ready.

        :returns: reasons, empty when ready.
        """
        reasons = [
            f'{part}: {reason}'
            for part, check in self._check_by_part.items()
            if (reason := check())
        ]
        if self.state in {'draining', 'stopped'}:
            reasons.append(f'daemon: {self.state}')
        return reasons
