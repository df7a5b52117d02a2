"""Crashes of servers that a task is suspected of."""

from typing import NamedTuple

from waxwingford.scheduling._incarnations import Incarnation


class SuspectedCrash(NamedTuple):
    """Loss of a server right after it had begun a run of a task.

    :ivar run: number of the run, 0 if an earlier version didn't store it.
    :ivar server: incarnation that was lost.
    :ivar evidence: how much it speaks against the task, see ``CRASH_EVIDENCE``.
    :ivar known: whether the incarnation is known to have crashed while the run was
        there. Otherwise it may only have been unreachable.
    :ivar alone: whether no other task may have caused the loss.
    :ivar lease_end_ms: Unix time in ms at which the leases of the run were over; 0
        if another incarnation that started before can't prove a crash, because the
        run may have ended unnoticed.
    """

    run: int
    server: Incarnation
    evidence: int
    known: bool = False
    alone: bool = True
    lease_end_ms: int = 0

    def note_fields(self) -> dict[str, object]:
        """Return it as fields of a note."""
        return {
            'run': self.run,
            'server': self.server.server_id,
            'started_ms': self.server.started_ms,
            'known': self.known,
            'alone': self.alone,
            'evidence': self.evidence,
        }
