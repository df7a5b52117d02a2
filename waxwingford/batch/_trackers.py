"""Feeds the placement trackers from the stream and from usage samples."""

from collections.abc import Iterable, Mapping
from typing import TypeVar

from waxwingford.batch._fleet import Fleet
from waxwingford.batch._messages import BundleSettings
from waxwingford.placement import (
    NO_RESOURCES,
    Quarantine,
    QuarantineLimits,
    QuotaTracker,
    SizeTracker,
    TeamName,
    fits,
    largest,
    subtract,
    sum_resources,
)
from waxwingford.ports import AttemptKey, Resources, UsageSample
from waxwingford.records import (
    AttemptEnded,
    DomainState,
    JobCancelled,
    JobSpec,
    TaskStage,
    TaskState,
    Valid,
)

#: Weight of a quota or share of 0; such a team gets only idle capacity.
_MIN_WEIGHT = 0.001
#: Relative change of capacity from which the weights of quotas are updated.
_MIN_CAPACITY_CHANGE = 0.1
_DEFAULT_LIMITS = QuarantineLimits()
_Name = TypeVar('_Name')


class Trackers:
    """Shares, sizes and failures, updated with each record that is read.

    The trackers only affect what this daemon proposes and may differ between
    daemons; the quarantine tracker's verdict on a task is therefore not used.

    :ivar quotas: shares of teams, which order the pending tasks.
    :ivar sizes: measured corrections of declared sizes and run times.
    :ivar quarantine: failures by server and task.
    """

    def __init__(self, fleet: Fleet, quotas: QuotaTracker) -> None:
        self.quotas = quotas
        self.sizes = SizeTracker()
        self.quarantine = Quarantine()
        self._fleet = fleet
        self._capacities: frozenset[Resources] = frozenset()
        self._largest_capacity = NO_RESOURCES
        self._total_capacity = NO_RESOURCES
        self._weighed_capacity = NO_RESOURCES
        self._running_by_id: dict[str, TaskState] = {}
        self._peak_by_key: dict[AttemptKey, Resources] = {}

    def restore(self, state: DomainState, now_ms: int) -> None:
        """Initialize from a snapshot's state, in time linear in its size.

        :param state: state replayed from the domain's stream.
        :param now_ms: monotonic time, in milliseconds.
        """
        for attempts in state.index.attempts_by_server.values():
            for task_id in attempts:
                self._sync_charges(task_id, state)
        # A snapshot holds no failures of tasks that are over; failed servers
        # are known from the tasks that are still pending.
        for task in state.index.pending_by_id.values():
            for server_id in task.failed_on:
                self._record_failure(task.task_id, server_id, now_ms)

    def use_bundle(self, bundle: BundleSettings) -> None:
        """Apply the quotas and limits of a bundle."""
        self.quarantine.limits = bundle.quarantine or _DEFAULT_LIMITS
        self._measure_fleet()
        self._update_weights(bundle)

    def update_servers(self, bundle: BundleSettings) -> None:
        """Update for a new list of servers.

        :param bundle: batch settings in force.
        """
        self.quarantine.retain_servers(self._fleet.server_by_id)
        self._measure_fleet()
        # Small changes of capacity hardly affect the shares, and an update
        # costs time linear in the number of pending tasks.
        is_similar = all(
            abs(now - then) <= _MIN_CAPACITY_CHANGE * then
            for now, then in zip(
                self._total_capacity, self._weighed_capacity, strict=True
            )
        )
        if not is_similar:
            self._update_weights(bundle)

    def apply(self, verdict: Valid, state: DomainState, now_ms: int) -> None:
        """Update for a record that took effect.

        :param verdict: the record and the attempts that it changed.
        :param state: state after the record.
        :param now_ms: monotonic time, in milliseconds.
        """
        tasks = [self._sync_charges(key.task_id, state) for key in verdict.keys]
        match verdict.record:
            case AttemptEnded() as record:
                self._record_end(record, tasks[0], now_ms)
            case JobCancelled(job_id=job_id) if job_id not in state.jobs_by_id:
                self.quarantine.forget_job(job_id)
        for task in tasks:
            if task is not None and task.stage > TaskStage.claimed:
                self._forget(task)

    def observe(self, samples: Iterable[UsageSample]) -> None:
        """Record the measured sizes of running tasks.

        :param samples: usage samples of one server.
        """
        for sample in samples:
            for key in sample.running:
                used = sample.used_by_task_id.get(key.task_id)
                if used is not None and key.task_id in self._running_by_id:
                    before = self._peak_by_key.get(key, NO_RESOURCES)
                    self._peak_by_key[key] = largest(before, used)

    def allocation(self, spec: JobSpec) -> Resources:
        """Compute the resources to allocate to a task of a job.

        A corrected size that exceeds every server is not used, since the task
        could never be placed.

        :returns: the declared or the corrected size.
        """
        size = self.sizes.given(
            spec.member, spec.kind, spec.resources, self._largest_capacity
        )
        if size == spec.resources or any(
            fits(size, capacity) for capacity in self._capacities
        ):
            return size
        return spec.resources

    def remaining_run_ms(self, task: TaskState) -> int:
        """Estimate the remaining run time of a task.

        :returns: corrected run time less the time it ran, in milliseconds.
        """
        spec = task.job.spec
        run_ms = self.sizes.run_ms(spec.member, spec.kind, spec.run_ms)
        return max(0, run_ms - task.ran_ms)

    def _sync_charges(
        self, task_id: str, state: DomainState
    ) -> TaskState | None:
        # Derived from the state, so that no record is counted twice.  The
        # declared size is charged, since it is the same for all daemons.
        running = self._running_by_id.get(task_id)
        task = running or state.task(task_id)
        if task is None:
            return None
        spec = task.job.spec
        team = TeamName(spec.member, spec.team)
        is_claimed = task.stage == TaskStage.claimed
        if is_claimed and running is None:
            self._running_by_id[task_id] = task
            self.quotas.charge(team, spec.resources)
        elif running is not None and not is_claimed:
            self._running_by_id.pop(task_id)
            self.quotas.release(team, spec.resources)
        return task

    def _record_end(
        self, record: AttemptEnded, task: TaskState | None, now_ms: int
    ) -> None:
        task_id = record.key.task_id
        peak = self._peak_by_key.pop(record.key, None)
        if task is None:
            return
        spec = task.job.spec
        if peak is not None:
            self.sizes.record_peak_usage(spec.member, spec.kind, peak)
        if record.how == 'failed':
            self._record_failure(task_id, record.server_id, now_ms)
        elif record.how == 'done':
            self.sizes.record_run_time(
                spec.member, spec.kind, spec.run_ms, task.ran_ms
            )
            self.quarantine.succeeded(task_id, record.server_id)

    def _record_failure(
        self, task_id: str, server_id: str, now_ms: int
    ) -> None:
        count = len(self._fleet.server_by_id)
        self.quarantine.failed(task_id, server_id, now_ms, count)

    def _forget(self, task: TaskState) -> None:
        self.quarantine.forget_task(task.task_id)
        if task.job.open_count == 0:
            self.quarantine.forget_job(task.job.spec.job_id)

    def _measure_fleet(self) -> None:
        reserved_by_service = self._fleet.reserved_by_service
        rooms = [
            subtract(
                server.vm.resources,
                reserved_by_service.get(server.vm.service, NO_RESOURCES),
            )
            for server in self._fleet.server_by_id.values()
        ]
        self._capacities = frozenset(rooms)
        self._largest_capacity = NO_RESOURCES
        for capacity in self._capacities:
            self._largest_capacity = largest(self._largest_capacity, capacity)
        self._total_capacity = sum_resources(rooms)

    def _update_weights(self, bundle: BundleSettings) -> None:
        self._weighed_capacity = self._total_capacity
        quota_by_team = {
            TeamName(*name.split('/', 1)): max(
                amount / max(total, 1)
                for amount, total in zip(
                    quota, self._total_capacity, strict=True
                )
            )
            for name, quota in bundle.quota_by_team.items()
        }
        self.quotas.update_quotas(
            self._total_capacity,
            _weights(bundle.share_by_member),
            _weights(quota_by_team),
        )


def _weights(share_by_name: Mapping[_Name, float]) -> dict[_Name, float]:
    # Normalized to a mean of 1, the weight of a name without a share.
    total = sum(share_by_name.values())
    if not total:
        return {}
    mean = total / len(share_by_name)
    return {
        name: max(share / mean, _MIN_WEIGHT)
        for name, share in share_by_name.items()
    }
