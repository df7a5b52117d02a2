"""Emulated daemons that run the policy under test.

Quotas, size correction and quarantine are those of ``waxwingford.placement``.
"""

from collections.abc import Callable

from waxwingford.placement import (
    ColocationPolicy,
    Evict,
    Quarantine,
    Reaction,
    ServerView,
    Stop,
    TaskStopped,
    Throttle,
    fits,
    free_resources,
    subtract,
)
from waxwingford.ports import UsageSample
from waxwingford_bench.colocation._attempts import Attempt, Ended, rework_s
from waxwingford_bench.colocation._backlog import Backlog
from waxwingford_bench.colocation._counts import Counts
from waxwingford_bench.colocation._deployments import (
    VM_RESERVED,
    VM_TOTAL,
    Deployment,
)
from waxwingford_bench.colocation._views import (
    has_room,
    view_server,
)
from waxwingford_bench.colocation._workload import Task
from waxwingford_bench.colocation._world import World

_MS_IN_S = 1000
_OFFER = subtract(VM_TOTAL, VM_RESERVED)
_ORDER_LIMIT = 16
_SMALLEST_MILLI = 2000
#: Delay until attempts of a lost server are known to have ended.
_LOSS_CONFIRMED_S = 20

PolicyFactory = Callable[[int], ColocationPolicy]


class Domain:
    """A failure domain: pending tasks, servers and daemons.

    :ivar policies: policy of each daemon.
    :ivar violations: rejected placements that would over-commit a VM.
    """

    def __init__(
        self,
        deployment: Deployment,
        world: World,
        servers: list[int],
        policy_factories: list[PolicyFactory],
        counts: Counts,
    ) -> None:
        """Create the policies of all daemons.

        :param deployment: emulated deployment.
        :param world: all emulated servers.
        :param servers: indexes of the servers of this failure domain.
        :param policy_factories: policy factory of each daemon.
        :param counts: counters shared by all failure domains of the run.
        """
        self._deployment = deployment
        self._world = world
        self._policy_factories = policy_factories
        self._counts = counts
        self.policies = [
            policy_factory(0) for policy_factory in policy_factories
        ]
        self._servers_by_daemon = [
            servers[index :: len(policy_factories)]
            for index in range(len(policy_factories))
        ]
        self._backlog = Backlog(len(servers))
        self._quarantine = Quarantine()
        self._server_count = len(servers)
        self._kind_by_task_id: dict[str, str] = {}
        self._delayed_tasks: list[tuple[int, Task]] = []
        self._placed_revision_by_daemon: dict[int, object] = {}
        self._revision = 0
        self.violations = 0

    def restart(self, generation: int) -> None:
        """Restart every second daemon with a fresh policy.

        :param generation: number of the restart, part of the new seed.
        """
        for index in range(0, len(self.policies), 2):
            self.policies[index] = self._policy_factories[index](generation)

    def submit(self, task: Task, now_s: int) -> None:
        """Enqueue a task, or refuse it if it fits on no server.

        :param task: submitted task.
        :param now_s: virtual time, in seconds.
        """
        self._kind_by_task_id[task.task_id] = task.kind
        if self._backlog.can_run(task):
            self._enqueue(task, now_s)
        else:
            self._counts.refused += 1

    def handle_end(self, end: Ended, now_s: int) -> None:
        """Account for an ended attempt and enqueue its task if needed.

        :param end: ended attempt with its outcome.
        :param now_s: virtual time, in seconds.
        """
        attempt = end.attempt
        task = attempt.task
        server_id = f'w{end.server}'
        self._backlog.record_end(attempt)
        task.attempt += 1
        self._revision += 1
        match end.outcome:
            case 'done':
                self._record_done(task, server_id)
            case 'checkpointed':
                self._record_checkpoint(attempt, server_id, now_s)
            case 'failed':
                self._record_failure(attempt, server_id, now_s)
            case _:
                self._counts.add_lost_work(attempt)
                delay_s = 0 if end.outcome == 'stopped' else _LOSS_CONFIRMED_S
                self._delayed_tasks.append((now_s + delay_s, task))

    def observe(self, samples: list[UsageSample | None], now_s: int) -> None:
        """Pass samples to the daemons that hold the servers.

        :param samples: one per server of the deployment, or an empty list.
        :param now_s: virtual time, in seconds.
        """
        if not samples:
            return
        self._revision += 1
        for policy, servers in zip(
            self.policies,
            self._servers_by_daemon,
            strict=True,
        ):
            for server in servers:
                sample = samples[server]
                if sample is not None:
                    policy.observe(
                        f'w{server}',
                        sample,
                        now_s * _MS_IN_S,
                        self._kind_by_task_id,
                    )

    def decide(self, now_s: int) -> None:
        """Run one decision round of every daemon.

        :param now_s: virtual time, in seconds.
        """
        due = [task for due_s, task in self._delayed_tasks if due_s <= now_s]
        self._delayed_tasks = [
            entry for entry in self._delayed_tasks if entry[0] > now_s
        ]
        for task in due:
            self._enqueue(task, now_s)
        daemons = list(zip(self.policies, self._servers_by_daemon, strict=True))
        first = now_s // 2 % len(daemons)
        for policy, servers in daemons[first:] + daemons[:first]:
            self._react(policy, servers, now_s)
            # Skips placement if nothing changed since its last round.
            if (
                self._placed_revision_by_daemon.get(servers[0])
                != self._revision
            ):
                self._placed_revision_by_daemon[servers[0]] = self._revision
                self._place(policy, servers, now_s)

    def _views(self, servers: list[int], now_s: int) -> list[ServerView]:
        return [
            view_server(
                self._deployment,
                self._world,
                server,
                self._quarantine.is_quarantined(f'w{server}'),
                now_s,
            )
            for server in servers
            if self._world.up[server]
        ]

    def _react(
        self,
        policy: ColocationPolicy,
        servers: list[int],
        now_s: int,
    ) -> None:
        views = self._views(servers, now_s)
        for reaction in policy.react(views, now_s * _MS_IN_S):
            self._apply(reaction, servers, now_s)

    def _place(
        self,
        policy: ColocationPolicy,
        servers: list[int],
        now_s: int,
    ) -> None:
        views = [
            view
            for view in self._views(servers, now_s)
            if not view.quarantined
            or self._quarantine.is_probe_due(view.server_id, now_s * _MS_IN_S)
        ]
        if not self._backlog.quotas or not has_room(views):
            return
        pending = self._backlog.quotas.order(_ORDER_LIMIT, now_s * _MS_IN_S)
        free_by_id = {view.server_id: free_resources(view) for view in views}
        pending_by_key = {task.key: task for task in pending}
        for key, server_id in policy.place(pending, views, now_s * _MS_IN_S):
            need = pending_by_key[key].resources
            if not fits(need, free_by_id[server_id]):
                self.violations += 1
                continue
            free_by_id[server_id] = subtract(free_by_id[server_id], need)
            attempt = self._backlog.take(pending_by_key[key], now_s)
            if attempt is not None:
                self._world.start(int(server_id[1:]), attempt)

    def _enqueue(self, task: Task, now_s: int) -> None:
        self._backlog.add(task, now_s)
        self._revision += 1

    def _apply(
        self,
        reaction: Reaction,
        servers: list[int],
        now_s: int,
    ) -> None:
        server = next(
            server
            for server in servers
            if reaction.key in self._world.attempts[server]
        )
        attempt = self._world.attempts[server][reaction.key]
        match reaction:
            case Throttle(percent=percent):
                attempt.percent = percent
                self._counts.throttles += 1
            case Evict():
                self._counts.evictions += attempt.checkpoint_done_s is None
                self._world.checkpoint(server, reaction.key, now_s)
            case Stop():
                self._counts.stops += 1
                self._world.attempts[server].pop(reaction.key)
                self.handle_end(Ended(attempt, server, 'stopped'), now_s)

    def _record_done(self, task: Task, server_id: str) -> None:
        self._quarantine.succeeded(task.task_id, server_id)
        self._backlog.record_completion(task)
        work = task.cores * task.run_s
        self._counts.done += 1
        self._counts.done_core_s += work
        by_member = self._counts.done_by_member
        by_member[task.member] = by_member.get(task.member, 0) + work

    def _record_checkpoint(
        self,
        attempt: Attempt,
        server_id: str,
        now_s: int,
    ) -> None:
        task = attempt.task
        repeated_s = rework_s(attempt)
        self._counts.lost_core_s += repeated_s * task.cores
        task.progress_s += max(attempt.ran_s, 0) - repeated_s
        task.checkpoint_server = server_id
        self._enqueue(task, now_s)

    def _record_failure(
        self, attempt: Attempt, server_id: str, now_s: int
    ) -> None:
        task = attempt.task
        self._counts.add_lost_work(attempt)
        task.failed_on = (*task.failed_on, server_id)
        verdict = self._quarantine.failed(
            task.task_id,
            server_id,
            now_s * _MS_IN_S,
            self._server_count,
        )
        if isinstance(verdict, TaskStopped):
            self._counts.refused += 1
        else:
            task.failed_on = self._quarantine.failed_on(task.task_id)
            self._enqueue(task, now_s)
