"""Figures that steer the batch controller; times in milliseconds."""

from typing import NamedTuple

from waxwingford.ownership import OwnershipTimes

#: A control lease lasts for so many intervals of renewal.
_RENEWALS_PER_CONTROL_LEASE = 3
#: A task lease outlives a control lease, so that a successor can renew it.
_CONTROL_LEASES_PER_TASK_LEASE = 2


class Pace(NamedTuple):
    """Interval of exchanges and lengths of leases, in milliseconds.

    :ivar renew_every_ms: interval of exchanges with a held server.
    :ivar control_lease_ms: control lease asked for.
    :ivar task_lease_ms: task leases asked for.
    """

    renew_every_ms: int
    control_lease_ms: int
    task_lease_ms: int


class BatchSettings(NamedTuple):
    """Who the controller is and how long things take.

    :ivar daemon_id: this daemon.
    :ivar incarnation: random at each start of the process.
    :ivar failure_domain: whose stream it reads.
    :ivar control_lease_ms: shortest control lease asked for.
    :ivar renew_every_ms: shortest interval of exchanges with a held server.
    :ivar task_lease_ms: shortest task lease asked for.
    :ivar margin_ms: for the rate of clocks; also the longest time that a
        control request may take to arrive after its sender gave it up.
    :ivar exchange_every_ms: shortest mean time between two exchanges; with
        many servers each is renewed less often, under longer leases.
    :ivar longest_renew_ms: longest interval of exchanges with a held server.
    :ivar control_timeout_ms: an exchange is given up after so long.
    :ivar outbox_records: records that may wait for the log at most.
    :ivar append_every_ms: shortest time between two appends.
    :ivar react_every_ms: interval of the policy's reactions.
    :ivar steal_ms: each lower rank waits so long more before it claims a task.
    :ivar urgent_steal_ms: the same for urgent tasks.
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
    exchange_every_ms: int = 100
    longest_renew_ms: int = 10_000
    control_timeout_ms: int = 1500
    outbox_records: int = 20_000
    append_every_ms: int = 500
    react_every_ms: int = 1000
    steal_ms: int = 3000
    urgent_steal_ms: int = 100
    snapshot_entries: int = 5000
    snapshot_ms: int = 600_000
    times: OwnershipTimes = OwnershipTimes()

    @property
    def writer(self) -> str:
        """Name this incarnation as holder and writer.

        :returns: ``<daemon>#<incarnation>``.
        """
        return f'{self.daemon_id}#{self.incarnation}'

    @property
    def longest_task_lease_ms(self) -> int:
        """Bound every daemon's task leases, however many servers it holds.

        :returns: milliseconds.
        """
        return self._pace_at(self.longest_renew_ms).task_lease_ms

    def pace(self, held: int) -> Pace:
        """Spread exchanges over the servers that are held.

        :param held: servers held.
        :returns: interval and leases.
        """
        spread_ms = min(held * self.exchange_every_ms, self.longest_renew_ms)
        return self._pace_at(max(self.renew_every_ms, spread_ms))

    def _pace_at(self, renew_every_ms: int) -> Pace:
        control_ms = max(
            self.control_lease_ms, _RENEWALS_PER_CONTROL_LEASE * renew_every_ms
        )
        task_ms = max(
            self.task_lease_ms, _CONTROL_LEASES_PER_TASK_LEASE * control_ms
        )
        return Pace(renew_every_ms, control_ms, task_ms)
