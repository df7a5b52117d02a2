"""Figures of a batch controller for the status of the daemon."""

from typing import NamedTuple

from waxwingford.batch._controller import DomainController


class ServerStatus(NamedTuple):
    """A held backend server.

    :ivar server_id: its name.
    :ivar epoch: of the control lease.
    :ivar lease_left_ms: rest of the lease, in milliseconds.
    :ivar running: attempts that it named in its last answer.
    :ivar leaving: gets no new work.
    """

    server_id: str
    epoch: int
    lease_left_ms: int
    running: int
    leaving: bool


class TaskCounts(NamedTuple):
    """Tasks of the failure domain.

    :ivar pending: waiting for a claim.
    :ivar running: claimed.
    """

    pending: int
    running: int


def server_status(
    controller: DomainController, now_ms: int
) -> list[ServerStatus]:
    """Describe the held servers.

    :param controller: the controller.
    :param now_ms: monotonic time.
    :returns: one line for each.
    """
    return [
        ServerStatus(
            server_id=server_id,
            epoch=server.lease.epoch,
            lease_left_ms=server.lease.until_ms - now_ms,
            running=len(server.report_by_key),
            leaving=server.leaving,
        )
        for server_id, server in sorted(controller.fleet.held(now_ms).items())
    ]


def task_counts(controller: DomainController) -> TaskCounts:
    """Count tasks.

    :param controller: the controller.
    :returns: pending and claimed ones.
    """
    index = controller.state.index
    claimed = sum(map(len, index.attempts_by_server.values()))
    return TaskCounts(len(index.pending_by_id), claimed)
