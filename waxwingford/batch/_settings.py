"""Settings of the batch controller."""

from typing import NamedTuple

from waxwingford.ownership import AcquisitionDelays

#: Renewal intervals in one control lease.
_RENEWALS_PER_CONTROL_LEASE = 3
#: Ratio of task lease to control lease; a task lease outlives the control
#: lease, so that a new holder can renew it.
_CONTROL_LEASES_PER_TASK_LEASE = 2


class LeaseTiming(NamedTuple):
    """Interval of control exchanges and durations of leases.

    :ivar renew_every_ms: interval of exchanges with a held server, in
        milliseconds.
    :ivar control_lease_ms: requested control lease, in milliseconds.
    :ivar task_lease_ms: requested task lease, in milliseconds.
    """

    renew_every_ms: int
    control_lease_ms: int
    task_lease_ms: int


class BatchSettings(NamedTuple):
    """Identity, intervals and limits of a controller.

    Times are in milliseconds.

    :ivar incarnation: random id of this run of the process.
    :ivar failure_domain: failure domain that the controller manages.
    :ivar control_lease_ms: shortest control lease that is requested.
    :ivar renew_every_ms: shortest interval of exchanges with a held server.
    :ivar task_lease_ms: shortest task lease that is requested.
    :ivar margin_ms: safety margin for clock drift; also the longest time
        that a control request may take to arrive after its sender timed out.
    :ivar exchange_every_ms: shortest mean time between two exchanges; with
        many servers each is renewed less often, under longer leases.
    :ivar longest_renew_ms: longest interval of exchanges with a held server.
    :ivar outbox_records: most records that may be queued for the log.
    :ivar append_every_ms: shortest interval between two appends.
    :ivar react_every_ms: interval at which the policy is asked for
        reactions.
    :ivar rank_delay_ms: delay per rank before a daemon claims a task.
    :ivar urgent_rank_delay_ms: delay per rank for urgent tasks.
    :ivar snapshot_entries: log entries after which a snapshot is due.
    :ivar snapshot_ms: time after which a snapshot is due.
    :ivar times: delays of the ownership protocol.
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
    rank_delay_ms: int = 3000
    urgent_rank_delay_ms: int = 100
    snapshot_entries: int = 5000
    snapshot_ms: int = 600_000
    times: AcquisitionDelays = AcquisitionDelays()

    @property
    def writer(self) -> str:
        """Identify this incarnation as lease holder and log writer.

        :returns: ``<daemon>#<incarnation>``.
        """
        return f'{self.daemon_id}#{self.incarnation}'

    @property
    def longest_task_lease_ms(self) -> int:
        """Return the longest task lease that any daemon requests.

        :returns: duration, in milliseconds.
        """
        return self._lease_timing_at(self.longest_renew_ms).task_lease_ms

    def lease_timing(self, held: int) -> LeaseTiming:
        """Choose interval and leases for a number of held servers.

        :param held: number of servers held.
        """
        spread_ms = min(held * self.exchange_every_ms, self.longest_renew_ms)
        return self._lease_timing_at(max(self.renew_every_ms, spread_ms))

    def _lease_timing_at(self, renew_every_ms: int) -> LeaseTiming:
        control_ms = max(
            self.control_lease_ms, _RENEWALS_PER_CONTROL_LEASE * renew_every_ms
        )
        task_ms = max(
            self.task_lease_ms, _CONTROL_LEASES_PER_TASK_LEASE * control_ms
        )
        return LeaseTiming(renew_every_ms, control_ms, task_ms)
