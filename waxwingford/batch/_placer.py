"""Placement rounds with the policy that the bundle names."""

from collections.abc import Mapping

from waxwingford.batch._effects import EmitEvent
from waxwingford.batch._fleet import Fleet
from waxwingford.batch._messages import BundleSettings
from waxwingford.batch._placing import (
    build_claims,
    require_capacity,
    require_held,
    runs_unclaimed,
    view_pending,
    view_server,
)
from waxwingford.batch._queue import PendingQueue, PendingViewFactory
from waxwingford.batch._quotas import TeamLimits
from waxwingford.batch._reactions import apply_reaction
from waxwingford.batch._server import ServerControl
from waxwingford.batch._settings import BatchSettings
from waxwingford.batch._trackers import Trackers
from waxwingford.batch._validation import PlacementValidator
from waxwingford.placement import (
    ColocationPolicy,
    PendingTask,
    ServerView,
    policies,
)
from waxwingford.ports import Resources, UsageSample
from waxwingford.records import (
    DomainState,
    TasksClaimed,
    TaskState,
)

_MAX_ROUND_TASKS = 128
#: Interval of rounds while nothing changes.
_IDLE_ROUND_INTERVAL_MS = 5000
_NO_RESOURCES = Resources(0, 0, 0)
_EMPTY_BUNDLE = BundleSettings({}, {}, {})


#: Priority from which daemons of lower rank claim a task sooner.
URGENT_PRIORITY = 80


class Placer:
    """Chooses which tasks to claim, and how to react to interference.

    :ivar bundle: batch settings in force.
    :ivar trackers: shares, sizes and failures.
    :ivar queue: pending tasks.
    """

    def __init__(self, settings: BatchSettings, fleet: Fleet) -> None:
        self.bundle = _EMPTY_BUNDLE
        self._settings = settings
        self._fleet = fleet
        self.queue = PendingQueue()
        self.trackers = Trackers(fleet, self.queue.tracker)
        self._policy: ColocationPolicy | None = None
        self._quarantined: frozenset[str] = frozenset()
        self._next_round_ms = 0

    def use_bundle(self, bundle: BundleSettings, seed: int) -> None:
        """Apply the settings of a bundle.

        :param seed: seed of the policy's random numbers.
        :raises UnknownPlugin: if no policy has the name.
        """
        factory = policies.get(bundle.policy)
        is_same_policy = (bundle.policy, bundle.weights_by_service) == (
            self.bundle.policy,
            self.bundle.weights_by_service,
        )
        # An unchanged policy is kept with what it has learned.
        if self._policy is None or not is_same_policy:
            self._policy = factory(bundle.weights_by_service, seed)
        self.bundle = bundle
        self._fleet.room_changed = True
        self._fleet.reserved_by_service = bundle.reserved_by_service
        self.trackers.use_bundle(bundle)
        for server in self._fleet.server_by_id.values():
            server.view = None

    def add(self, task: TaskState, now_ms: int) -> None:
        """Add a task that became pending.

        :param now_ms: monotonic time, in milliseconds.
        """
        rank = self._fleet.rank(task.task_id)
        due_ms = now_ms + rank * self._rank_delay_ms(task)
        self.queue.add(task, now_ms, due_ms)

    def _rank_delay_ms(self, task: TaskState) -> int:
        # The daemon ranked first may hold no server with room; urgent tasks
        # wait less for it, at the cost of more conflicting claims.
        if task.job.spec.priority >= URGENT_PRIORITY:
            return self._settings.urgent_rank_delay_ms
        return self._settings.rank_delay_ms

    def place_round(
        self, state: DomainState, now_ms: int, wall_ms: int
    ) -> tuple[list[TasksClaimed], list[EmitEvent]]:
        """Choose the tasks to claim now.

        :param state: state replayed from the domain's stream.
        :param now_ms: monotonic time, in milliseconds.
        :param wall_ms: Unix time, in milliseconds.
        :returns: claims, checked against capacity, and events.
        """
        # Tasks that were not placed cannot be placed until something changes;
        # further rounds over a long queue would waste processor time.
        if not self._is_round_due(now_ms):
            return [], []
        limits = TeamLimits(state, self.bundle)
        view = self._view_pending(wall_ms)
        offers = self.queue.take(_MAX_ROUND_TASKS, now_ms, limits, view)
        if not offers or self._policy is None:
            return [], []
        held = self._eligible_servers(state, now_ms)
        views = self.views(state, held, wall_ms)
        pending = [offer.view for offer in offers]
        quarantine = self.trackers.quarantine
        validator = PlacementValidator(views, limits, quarantine, now_ms)
        validator.validate(self._policy.place(pending, views, now_ms), offers)
        self.queue.record_unplaced(validator.unplaced, now_ms, view)
        for placement, _ in validator.placed:
            self.queue.drop(placement.key, now_ms, view)
        if validator.placed:
            self._next_round_ms = now_ms
        claims = build_claims(validator.placed, held, self._settings)
        for claim in claims:
            require_held(held[claim.server_id], now_ms)
        reserved = self.bundle.reserved_by_service
        require_capacity(claims, state, held, reserved)
        return claims, validator.events

    def observe(
        self,
        server_id: str,
        samples: tuple[UsageSample, ...],
        state: DomainState,
        now_ms: int,
    ) -> None:
        """Pass usage samples to the policy and the trackers.

        :param server_id: id of the server that they were taken on.
        :param state: state replayed from the domain's stream.
        :param now_ms: monotonic time, in milliseconds.
        """
        self.trackers.observe(samples)
        if self._policy is None:
            return
        for sample in samples:
            tasks = (state.task(key.task_id) for key in sample.running)
            kind_by_task_id = {
                task.task_id: task.job.spec.kind for task in tasks if task
            }
            self._policy.observe(server_id, sample, now_ms, kind_by_task_id)

    def react(
        self, state: DomainState, now_ms: int, wall_ms: int
    ) -> list[EmitEvent]:
        """Apply the policy's reactions to interference.

        :param state: state replayed from the domain's stream.
        :param now_ms: monotonic time, in milliseconds.
        :param wall_ms: Unix time, in milliseconds.
        """
        if self._policy is None:
            return []
        held = self._fleet.held(now_ms)
        views = self.views(state, held, wall_ms)
        reactions = self._policy.react(views, now_ms)
        return [
            event
            for reaction in reactions
            for event in apply_reaction(
                self._fleet, state, held, reaction, now_ms
            )
        ]

    def views(
        self,
        state: DomainState,
        held: Mapping[str, ServerControl],
        wall_ms: int,
    ) -> list[ServerView]:
        """Build views of servers, from the cache where nothing changed.

        :param state: state replayed from the domain's stream.
        :param held: servers by id.
        :param wall_ms: Unix time, in milliseconds.
        :returns: views in order of server ids.
        """
        quarantined = self.quarantined_servers()
        for server_id in quarantined ^ self._quarantined:
            self._fleet.invalidate_view(server_id)
        self._quarantined = quarantined
        return [
            self._view(server_id, held[server_id], state, wall_ms)
            for server_id in sorted(held)
        ]

    def quarantined_servers(self) -> frozenset[str]:
        """Return the servers that get at most probation tasks.

        :returns: ids of the servers; empty if the bundle disables quarantine.
        """
        if self.bundle.quarantine is None:
            return frozenset()
        return self.trackers.quarantine.quarantined

    def predicted_ms(
        self, server: ServerControl, state: DomainState, wall_ms: int
    ) -> float:
        """Return the policy's prediction of a service's latency.

        :param state: state replayed from the domain's stream.
        :param wall_ms: Unix time, in milliseconds.
        :returns: latency in milliseconds; 0 without a policy.
        """
        if self._policy is None:
            return 0
        if server.predicted_ms is None:
            view = self._view(server.vm.server_id, server, state, wall_ms)
            server.predicted_ms = self._policy.predicted_ms(view)
        return server.predicted_ms

    def _view(
        self,
        server_id: str,
        server: ServerControl,
        state: DomainState,
        wall_ms: int,
    ) -> ServerView:
        if server.view is None:
            reserved = self.bundle.reserved_by_service.get(
                server.vm.service, _NO_RESOURCES
            )
            is_quarantined = server_id in self._quarantined
            server.view = view_server(
                server, state, self.trackers, reserved, is_quarantined, wall_ms
            )
        return server.view

    def _eligible_servers(
        self, state: DomainState, now_ms: int
    ) -> dict[str, ServerControl]:
        return {
            server_id: server
            for server_id, server in self._fleet.held(now_ms).items()
            if server.lease.may_command(now_ms)
            and not server.leaving
            and not runs_unclaimed(server, state)
            and self._may_use(server_id, now_ms)
        }

    def _may_use(self, server_id: str, now_ms: int) -> bool:
        return (
            server_id not in self.quarantined_servers()
            or self.trackers.quarantine.is_probe_due(server_id, now_ms)
        )

    def _view_pending(self, wall_ms: int) -> PendingViewFactory:
        servers = len(self._fleet.server_by_id)

        def _view(task: TaskState, waiting_ms: int) -> PendingTask:
            return view_pending(
                task, self.trackers, servers, waiting_ms, wall_ms
            )

        return _view

    def _is_round_due(self, now_ms: int) -> bool:
        has_new = self.queue.has_due(now_ms) or self._fleet.room_changed
        if not has_new and now_ms < self._next_round_ms:
            return False
        self._fleet.room_changed = False
        self._next_round_ms = now_ms + _IDLE_ROUND_INTERVAL_MS
        return True
