"""Lifecycle states and readiness of a daemon."""

from collections.abc import Callable

from transitions import Machine

_STATES = ('starting', 'serving', 'draining', 'stopped')
_TRANSITIONS = (
    ('serve', 'starting', 'serving'),
    ('drain', ('starting', 'serving'), 'draining'),
    ('stop', '*', 'stopped'),
)


class Lifecycle:
    """Lifecycle state of a daemon and its readiness checks.

    :ivar state: ``starting``, ``serving``, ``draining`` or ``stopped``.
    :ivar serve: changes from ``starting`` to ``serving``.
    :ivar drain: changes to ``draining``.
    :ivar stop: changes to ``stopped``.
    """

    state: str
    serve: Callable[[], bool]
    drain: Callable[[], bool]
    stop: Callable[[], bool]

    def __init__(self) -> None:
        self._check_by_component: dict[str, Callable[[], str]] = {}
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

    def add_readiness_check(
        self, component: str, missing: Callable[[], str]
    ) -> None:
        """Register a readiness check.

        :param missing: returns what is missing, empty if ready.
        """
        self._check_by_component[component] = missing

    def missing(self) -> list[str]:
        """List the reasons why the daemon is not ready.

        :returns: reasons, prefixed by their component; empty if ready.
        """
        reasons = [
            f'{component}: {reason}'
            for component, check in self._check_by_component.items()
            if (reason := check())
        ]
        if self.state in {'draining', 'stopped'}:
            reasons.append(f'daemon: {self.state}')
        return reasons
