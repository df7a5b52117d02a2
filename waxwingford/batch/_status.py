"""Status of a batch controller, for the status page of the daemon."""

from typing import NamedTuple

from waxwingford.batch._controller import DomainController


class ServerStatus(NamedTuple):
    """Status of a held backend server.

    :ivar epoch: epoch of the control lease.
    :ivar lease_left_ms: remaining time of the control lease, in
        milliseconds.
    :ivar running: number of attempts in its last report.
    :ivar leaving: whether it is leaving and gets no new work.
    """

    server_id: str
    epoch: int
    lease_left_ms: int
    running: int
    leaving: bool


class TaskCounts(NamedTuple):
    """Numbers of tasks of the failure domain.

    :ivar pending: tasks that are not claimed.
    :ivar running: tasks that are claimed.
    """

    pending: int
    running: int


def server_status(
    controller: DomainController, now_ms: int
) -> list[ServerStatus]:
    """Describe the held servers.

    :param now_ms: monotonic time, in milliseconds.
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
    """Count tasks."""
    index = controller.state.index
    claimed = sum(map(len, index.attempts_by_server.values()))
    return TaskCounts(len(index.pending_by_id), claimed)
