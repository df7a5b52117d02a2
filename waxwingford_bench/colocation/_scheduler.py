"""Daemons of a failure domain around the policy under test.

Imitates what ``waxwingford.batch`` does around a policy: quotas, corrected
sizes and quarantine are the product's own, the same for every policy.
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
    free_on,
    subtract,
)
from waxwingford.ports import UsageSample
from waxwingford_bench.colocation._attempts import Attempt, Ended, redone_s
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
#: Attempts of a lost server are proved over after so long.
_PROVED_OVER_S = 20

PolicyMaker = Callable[[int], ColocationPolicy]


class Domain:
    """A failure domain: its pending tasks, its servers and its daemons."""

    def __init__(
        self,
        deployment: Deployment,
        world: World,
        servers: list[int],
        makers: list[PolicyMaker],
        counts: Counts,
    ) -> None:
        """Set up.

        :param deployment: whose machines.
        :param world: the servers.
        :param servers: indexes of the servers of this failure domain.
        :param makers: one for each daemon.
        :param counts: shared by all failure domains of the run.
        """
        self._deployment = deployment
        self._world = world
        self._makers = makers
        self._counts = counts
        self.policies = [maker(0) for maker in makers]
        self._servers_by_daemon = [
            servers[index :: len(makers)] for index in range(len(makers))
        ]
        self._backlog = Backlog(len(servers))
        self._quarantine = Quarantine()
        self._server_count = len(servers)
        self._kind_by_task_id: dict[str, str] = {}
        self._returning: list[tuple[int, Task]] = []
        self._tried_by_daemon: dict[int, object] = {}
        self._changes = 0
        self.violations = 0

    def restart(self, generation: int) -> None:
        """Restart every second daemon: its policy forgets what it learned.

        :param generation: makes the new seed differ.
        """
        for index in range(0, len(self.policies), 2):
            self.policies[index] = self._makers[index](generation)

    def submit(self, task: Task, now_s: int) -> None:
        """Take a task in, or refuse it if it can never run.

        :param task: the task.
        :param now_s: time of the run, in seconds.
        """
        self._kind_by_task_id[task.task_id] = task.kind
        if self._backlog.can_run(task):
            self._pend(task, now_s)
        else:
            self._counts.refused += 1

    def ended(self, end: Ended, now_s: int) -> None:
        """Take note of an attempt that is over.

        :param end: which one and how.
        :param now_s: time of the run, in seconds.
        """
        attempt = end.attempt
        task = attempt.task
        server_id = f'w{end.server}'
        self._backlog.note_over(attempt)
        task.attempt += 1
        self._changes += 1
        match end.how:
            case 'done':
                self._done(task, server_id)
            case 'checkpointed':
                self._checkpointed(attempt, server_id, now_s)
            case 'failed':
                self._failed(attempt, server_id, now_s)
            case _:
                self._counts.lose(attempt)
                late = 0 if end.how == 'stopped' else _PROVED_OVER_S
                self._returning.append((now_s + late, task))

    def observe(self, samples: list[UsageSample | None], now_s: int) -> None:
        """Hand samples to the daemons that hold their servers.

        :param samples: one for each server of the deployment, or none.
        :param now_s: time of the run, in seconds.
        """
        if not samples:
            return
        self._changes += 1
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
        """Let every daemon react and place.

        :param now_s: time of the run, in seconds.
        """
        due = [task for at_s, task in self._returning if at_s <= now_s]
        self._returning = [
            entry for entry in self._returning if entry[0] > now_s
        ]
        for task in due:
            self._pend(task, now_s)
        daemons = list(zip(self.policies, self._servers_by_daemon, strict=True))
        turn = now_s // 2 % len(daemons)
        for policy, servers in daemons[turn:] + daemons[:turn]:
            self._react_of(policy, servers, now_s)
            # Nothing changed since the last round: it would decide the same.
            if self._tried_by_daemon.get(servers[0]) != self._changes:
                self._tried_by_daemon[servers[0]] = self._changes
                self._place_of(policy, servers, now_s)

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

    def _react_of(
        self,
        policy: ColocationPolicy,
        servers: list[int],
        now_s: int,
    ) -> None:
        views = self._views(servers, now_s)
        for reaction in policy.react(views, now_s * _MS_IN_S):
            self._carry_out(reaction, servers, now_s)

    def _place_of(
        self,
        policy: ColocationPolicy,
        servers: list[int],
        now_s: int,
    ) -> None:
        views = [
            view
            for view in self._views(servers, now_s)
            if not view.quarantined
            or self._quarantine.may_probe(view.server_id, now_s * _MS_IN_S)
        ]
        if not self._backlog.quotas or not has_room(views):
            return
        pending = self._backlog.quotas.order(_ORDER_LIMIT, now_s * _MS_IN_S)
        free_by_id = {view.server_id: free_on(view) for view in views}
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

    def _pend(self, task: Task, now_s: int) -> None:
        self._backlog.add(task, now_s)
        self._changes += 1

    def _carry_out(
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
                self._counts.evictions += attempt.leaves_s is None
                self._world.checkpoint(server, reaction.key, now_s)
            case Stop():
                self._counts.stops += 1
                self._world.attempts[server].pop(reaction.key)
                self.ended(Ended(attempt, server, 'stopped'), now_s)

    def _done(self, task: Task, server_id: str) -> None:
        self._quarantine.succeeded(task.task_id, server_id)
        self._backlog.note_done(task)
        work = task.cores * task.run_s
        self._counts.done += 1
        self._counts.done_core_s += work
        by_member = self._counts.done_by_member
        by_member[task.member] = by_member.get(task.member, 0) + work

    def _checkpointed(
        self,
        attempt: Attempt,
        server_id: str,
        now_s: int,
    ) -> None:
        task = attempt.task
        again_s = redone_s(attempt)
        self._counts.lost_core_s += again_s * task.cores
        task.progress_s += max(attempt.ran_s, 0) - again_s
        task.checkpoint_server = server_id
        self._pend(task, now_s)

    def _failed(self, attempt: Attempt, server_id: str, now_s: int) -> None:
        task = attempt.task
        self._counts.lose(attempt)
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
            self._pend(task, now_s)
