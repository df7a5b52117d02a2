"""Figures that steer the batch controller; times in milliseconds."""

from typing import NamedTuple

from waxwingford.ownership import OwnershipTimes


class BatchSettings(NamedTuple):
    """Who the controller is and how long things take.

    :ivar daemon_id: this daemon.
    :ivar incarnation: random at each start of the process.
    :ivar failure_domain: whose stream it reads.
    :ivar control_lease_ms: control lease asked for.
    :ivar renew_every_ms: interval of exchanges with a held server.
    :ivar task_lease_ms: task lease asked for.
    :ivar margin_ms: for the rate of clocks; also the longest time that a
        control request may take to arrive after its sender gave it up.
    :ivar control_timeout_ms: an exchange is given up after so long.
    :ivar outbox_records: records that may wait for the log at most.
    :ivar append_every_ms: shortest time between two appends.
    :ivar react_every_ms: interval of the policy's reactions.
    :ivar steal_ms: each lower rank waits so long more before it claims a task.
    :ivar snapshot_entries: entries after which a snapshot is due.
    :ivar snapshot_ms: time after which a snapshot is due.
    :ivar times: delays of ownership.
    """

    daemon_id: str
    incarnation: str
    failure_domain: str
    control_lease_ms: int = 6000
    renew_every_ms: int = 2000
    task_lease_ms: int = 20_000
    margin_ms: int = 500
    control_timeout_ms: int = 1500
    outbox_records: int = 20_000
    append_every_ms: int = 500
    react_every_ms: int = 1000
    steal_ms: int = 3000
    snapshot_entries: int = 5000
    snapshot_ms: int = 600_000
    times: OwnershipTimes = OwnershipTimes()

    @property
    def writer(self) -> str:
        """Name this incarnation as holder and writer.

        :returns: ``<daemon>#<incarnation>``.
        """
        return f'{self.daemon_id}#{self.incarnation}'
