"""Safety invariants that are checked at run time.

A violation stops the process, so that it cannot cause further damage.
"""

import enum
from collections.abc import Callable


class Invariant(enum.Enum):
    """Conditions that must always hold."""

    capacity = 'resources committed on a VM do not exceed its capacity'
    single_run = 'a task runs in at most one place at a time'
    resume_once = 'an evicted task resumes exactly once'
    whole_answer = 'a caller gets the complete response to its own request'
    true_refusal = 'a request reported as not run has not run'
    at_most_once = 'a non-idempotent request runs at most once'
    leaving_server = 'a leaving backend server receives no new work'
    graceful_stop = 'a planned shutdown interrupts no request in progress'
    bundle_monotonic = 'the version of the bundle in force only increases'
    claim_before_start = (
        'a task starts only after its claim was read from the log'
    )
    lease_before_effect = 'a command is sent only while the lease is held'
    member_isolation = 'a member affects only its own jobs'


class InvariantViolation(Exception):
    """An invariant was violated; the process must stop."""

    def __init__(self, invariant: Invariant, detail: str) -> None:
        """Initialize the message from the invariant and the detail.

        :param detail: IDs and values that show the violation.
        """
        super().__init__(f'{invariant.name}: {detail}')
        self.invariant = invariant


_listeners: list[Callable[[Invariant, str], None]] = []


def add_violation_listener(listener: Callable[[Invariant, str], None]) -> None:
    """Register a listener that is called before a violation is raised.

    :param listener: function of the invariant and the detail.
    """
    _listeners.append(listener)


def check_invariant(holds: bool, invariant: Invariant, detail: str) -> None:
    """Check an invariant, and notify the listeners of a violation.

    :param detail: IDs and values that show the violation.
    :raises InvariantViolation: if the invariant does not hold.
    """
    if holds:
        return
    for listener in _listeners:
        listener(invariant, detail)
    raise InvariantViolation(invariant, detail)
