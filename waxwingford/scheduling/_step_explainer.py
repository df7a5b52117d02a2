"""Explains where the first task of a step would go, and why."""

import collections
import dataclasses
import functools
import heapq
import itertools
from typing import NamedTuple

from waxwingford.scheduling._admission import BestEffortAdmission
from waxwingford.scheduling._backend_client import TaskKey
from waxwingford.scheduling._gang_preview import GangPreview, GangPreviews
from waxwingford.scheduling._job_estimates import estimate_job
from waxwingford.scheduling._left_out import (
    OTHER_RACK,
    OTHER_SERVICE,
    TICKET,
    Query,
    left_out_for,
)
from waxwingford.scheduling._order_preview import OrderPreview
from waxwingford.scheduling._placement_answer import Candidate, StepReport
from waxwingford.scheduling._placement_view import PlacementView
from waxwingford.scheduling._server_costs import ServerCosts
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._specs import QueueTerms, StepSpec
from waxwingford.scheduling._state import Job, Step, Task
from waxwingford.scheduling._task_order import PendingTask, rank_task

#: Servers that are shown for a step: the best one and the next two.
SHOWN_SERVERS = 3
#: Share of the evaluated servers that may be on the rack of the task's data. The rest
#: is left for servers elsewhere, as a full rack would otherwise hide free ones.
_NEAR_SHARE = 0.5


class Moment(NamedTuple):
    """State of the owner at the time of a question.

    :ivar now_ms: monotonic time, in ms.
    :ivar wall_ms: Unix time, in ms.
    :ivar retry_after_s: time in seconds for which the job is refused, 0 if it is
        accepted.
    :ivar refusal_cause: what the job is refused for, as a label of metrics, empty if
        it is accepted.
    :ivar refusal_reason: the same as text for the caller.
    """

    now_ms: int
    wall_ms: int
    retry_after_s: int = 0
    refusal_cause: str = ''
    refusal_reason: str = ''


class _Sorted(NamedTuple):
    # Evaluated servers: those that fit, those of the others that may be shown, and
    # the number of others by reason.
    fitting: list[Server]
    without_ticket: list[Server]
    left_out: collections.Counter[str]


class StepExplainer:
    """Explains the steps of one job."""

    def __init__(
        self,
        view: PlacementView,
        queue: QueueTerms,
        order: OrderPreview,
        moment: Moment,
    ) -> None:
        """Read the state of an engine without changing it.

        :param queue: queue of the job.
        :param order: tasks that are pending.
        """
        self._view = view
        self._queue = queue
        self._order = order
        self._moment = moment
        self._admission = BestEffortAdmission(view.model.preview())
        self._room = view.preview_room()
        self._costs = ServerCosts(
            self._admission,
            view.state.learned.run_times,
        )
        # Placement assigns the members of a gang by the same function.
        self._gangs = GangPreviews(view.reservations.available)

    def explain(
        self, steps: list[Step], index: int, most_servers: int
    ) -> StepReport:
        """Explain a step.

        :param steps: steps of the job, see ``assume_steps``.
        :param most_servers: servers that are evaluated at most.
        """
        step = steps[index]
        servers = self._view.state.server_by_id.values()
        own = [
            server
            for server in servers
            if server.entry.service == self._queue.service
        ]
        evaluated = _select(own, step.spec.near_rack, most_servers)
        found = self._sort_out(step, evaluated)
        candidates = found.fitting or found.without_ticket
        complete = len(evaluated) == len(own)
        gang = (
            self._gangs.preview(step, candidates, complete)
            if step.spec.gang
            else None
        )
        off_rack = len(gang.off_rack) if gang and found.fitting else 0
        found.left_out[OTHER_SERVICE] = len(servers) - len(own)
        found.left_out[OTHER_RACK] = off_rack
        return StepReport(
            step=index,
            after=list(step.spec.after),
            tasks=step.spec.count,
            kind=_kind(step.spec),
            candidates=self._compare(step, candidates, gang),
            fitting=len(found.fitting) - off_rack,
            evaluated=len(evaluated),
            servers=len(own),
            left_out_by_reason=dict(+found.left_out),
            needs_ticket=bool(candidates and not found.fitting),
            gang=None if gang is None else gang.report,
            ahead=self._order.count_ahead(
                self._rank(_finish_earlier(steps, index), step)
            ),
            ahead_complete=self._order.complete,
        )

    def _sort_out(self, step: Step, servers: list[Server]) -> _Sorted:
        now_ms = self._moment.now_ms
        room_of = self._room.room_of(step, now_ms)
        query = Query(
            self._view, step, self._queue, self._admission, room_of, now_ms
        )
        found = _Sorted([], [], collections.Counter())
        for server in servers:
            reason = left_out_for(query, server)
            if reason is None:
                found.fitting.append(server)
                continue
            found.left_out[reason] += 1
            if reason == TICKET:
                found.without_ticket.append(server)
        return found

    def _compare(
        self, step: Step, candidates: list[Server], gang: GangPreview | None
    ) -> list[Candidate]:
        """Show the first servers, by cost or as the members are assigned."""
        if gang is not None and gang.servers:
            first = gang.servers[:SHOWN_SERVERS]
        else:
            cost = functools.partial(
                self._costs.cost,
                step.tasks[0],
                step,
                now_ms=self._moment.now_ms,
            )
            first = heapq.nsmallest(SHOWN_SERVERS, candidates, key=cost)
        return [self._show(step, server) for server in first]

    def _show(self, step: Step, server: Server) -> Candidate:
        cost_by_term = self._costs.terms(
            step.tasks[0], step, server, self._moment.now_ms
        )
        return Candidate(
            server=server.entry.server_id,
            rack=server.entry.rack,
            failure_domain=server.entry.failure_domain,
            cost=sum(cost_by_term.values()),
            cost_by_term=cost_by_term,
        )

    def _rank(self, steps: list[Step], step: Step) -> PendingTask:
        estimate = estimate_job(
            steps, self._queue, self._view.state.learned.run_times
        )
        return rank_task(
            step.tasks[0],
            step,
            self._queue,
            estimate,
            self._moment.now_ms,
        )


def assume_steps(job: Job) -> list[Step]:
    """Make the steps of a job that isn't submitted, each with one task.

    Members of a gang share one task, so that large ones take little time.
    """
    return [
        _assume_step(job, index, spec)
        for index, spec in enumerate(job.spec.steps)
    ]


def _assume_step(job: Job, index: int, spec: StepSpec) -> Step:
    task = Task(
        TaskKey(job.spec.job_id, 0, index, 0),
        best_effort=spec.best_effort,
        pending_since_ms=job.received_ms,
    )
    members = spec.count if spec.gang else 1
    tasks = list(itertools.repeat(task, members))
    return Step(job, spec, 0, index, tasks, spec.count)


def _finish_earlier(steps: list[Step], index: int) -> list[Step]:
    """Assume that the steps are done on which one depends."""
    done: set[int] = set()
    needed = set(steps[index].spec.after)
    while needed:
        done |= needed
        needed = {
            earlier for one in needed for earlier in steps[one].spec.after
        }
    return [
        dataclasses.replace(step, unfinished=0) if step.index in done else step
        for step in steps
    ]


def _select(servers: list[Server], near_rack: str, most: int) -> list[Server]:
    """Select the servers to evaluate, evenly, and those near the data first.

    :returns: all servers of a small fleet, in their order.
    """
    if len(servers) <= most:
        return servers
    near = (
        server
        for server in servers
        if near_rack and server.entry.rack == near_rack
    )
    selected = {
        server.entry.server_id: server
        for server in itertools.islice(near, int(most * _NEAR_SHARE))
    }
    left = most - len(selected)
    for number in range(left):
        server = servers[number * len(servers) // left]
        selected[server.entry.server_id] = server
    return list(selected.values())


def _kind(spec: StepSpec) -> str:
    if spec.best_effort:
        return 'best-effort'
    return 'long-running' if spec.long_running else 'short'
