"""Views for policies, and claims with their capacity checks."""

import itertools
import operator
from collections.abc import Iterable, Mapping

from waxwingford.batch._server import ServerControl
from waxwingford.batch._settings import BatchSettings
from waxwingford.batch._trackers import Trackers
from waxwingford.kernel import Invariant, check_invariant
from waxwingford.placement import (
    PendingTask,
    Placement,
    RunningTask,
    ServerView,
)
from waxwingford.ports import (
    AttemptPhase,
    Resources,
    add_resources,
    fits_resources,
    subtract_resources,
)
from waxwingford.records import Claim, DomainState, TasksClaimed, TaskState

_NO_RESOURCES = Resources(0, 0, 0)


def slack_ms(task: TaskState, trackers: Trackers, wall_ms: int) -> int | None:
    """Compute the slack of a task before its deadline.

    :param trackers: trackers that correct its run time.
    :param wall_ms: Unix time, in milliseconds.
    :returns: slack in milliseconds, negative if it will be late; None if it
        has no deadline.
    """
    spec = task.job.spec
    if not spec.finish_by_wall_ms:
        return None
    return spec.finish_by_wall_ms - wall_ms - trackers.remaining_run_ms(task)


def view_pending(
    task: TaskState,
    trackers: Trackers,
    servers: int,
    waiting_ms: int,
    wall_ms: int,
) -> PendingTask:
    """Build the view of a pending task for a policy.

    :param trackers: trackers that correct its size and run time.
    :param servers: number of servers of the failure domain; a task that failed
        on as many may be placed on them again.
    :param waiting_ms: time since it became pending, in milliseconds.
    :param wall_ms: Unix time, in milliseconds.
    """
    spec = task.job.spec
    return PendingTask(
        task.next_key,
        spec.member,
        spec.team,
        spec.kind,
        trackers.allocation(spec),
        trackers.remaining_run_ms(task),
        spec.priority,
        waiting_ms,
        slack_ms(task, trackers, wall_ms),
        task.checkpoint,
        task.failed_on if len(task.failed_on) < servers else (),
        task.checkpoint_server,
    )


def view_server(
    server: ServerControl,
    state: DomainState,
    trackers: Trackers,
    reserved: Resources,
    is_quarantined: bool,
    wall_ms: int,
) -> ServerView:
    """Build the view of a held server for a policy.

    :param state: state replayed from the domain's stream.
    :param trackers: trackers that correct sizes of tasks.
    :param reserved: resources reserved for the service on the VM.
    :param is_quarantined: whether it gets only probation tasks.
    :param wall_ms: Unix time, in milliseconds.
    :returns: the view, with every attempt that is not known to be over.
    """
    attempts = state.index.attempts_by_server.get(server.vm.server_id, {})
    return ServerView(
        server.vm.server_id,
        server.vm.rack,
        server.vm.service,
        server.vm.resources,
        reserved,
        tuple(
            _view_running(server, task, trackers, wall_ms)
            for task in attempts.values()
        ),
        server.leaving,
        is_quarantined,
        server.busy_share,
    )


def _view_running(
    server: ServerControl, task: TaskState, trackers: Trackers, wall_ms: int
) -> RunningTask:
    spec = task.job.spec
    report = server.report_by_key.get(task.key)
    return RunningTask(
        task.key,
        spec.member,
        spec.team,
        spec.kind,
        trackers.allocation(spec),
        report.ran_ms if report else 0,
        report.throttled if report else False,
        slack_ms(task, trackers, wall_ms),
    )


def room_for_claims(view: ServerView) -> Resources:
    """Compute the resources that may still be claimed on a server.

    :param view: view of the server, with every attempt not known to be over.
    :returns: free resources; negative components if it is over-committed.
    """
    room = subtract_resources(view.total, view.reserved)
    for task in view.running:
        room = subtract_resources(room, task.resources)
    return room


def runs_unclaimed(server: ServerControl, state: DomainState) -> bool:
    """Return whether an attempt without a known claim runs on a server.

    :param state: state replayed from the domain's stream.
    """
    return any(
        report.phase == AttemptPhase.running
        and state.claimed(report.key, server.vm.server_id) is None
        for report in server.report_by_key.values()
    )


def build_claims(
    placements: Iterable[tuple[Placement, TaskState]],
    server_by_id: Mapping[str, ServerControl],
    settings: BatchSettings,
) -> list[TasksClaimed]:
    """Build one claim record for each server with placements.

    :param placements: validated placements with their tasks.
    :param server_by_id: held servers.
    :returns: claims under the present epochs of the control leases.
    """
    in_order = sorted(placements, key=_server_of)
    return [
        TasksClaimed(
            settings.writer,
            server_id,
            server_by_id[server_id].lease.boot_id,
            server_by_id[server_id].lease.epoch,
            tuple(
                Claim(placement.key, task.checkpoint)
                for placement, task in group
            ),
        )
        for server_id, group in itertools.groupby(in_order, key=_server_of)
    ]


def require_held(server: ServerControl, now_ms: int) -> None:
    """Check that tasks may be claimed on a server.

    :param now_ms: monotonic time, in milliseconds.
    :raises InvariantViolation: if its lease is not held, or it is leaving.
    """
    check_invariant(
        server.lease.may_command(now_ms),
        Invariant.lease_before_effect,
        f'claim on {server.vm.server_id}',
    )
    check_invariant(
        not server.leaving, Invariant.leaving_server, server.vm.server_id
    )


def require_capacity(
    claims: Iterable[TasksClaimed],
    state: DomainState,
    server_by_id: Mapping[str, ServerControl],
    reserved_by_service: Mapping[str, Resources],
) -> None:
    """Check claims against all attempts that are not known to be over.

    The check uses the replayed state and not the views shown to the policy.

    :param claims: claims to append.
    :param state: state replayed from the domain's stream.
    :param server_by_id: held servers.
    :param reserved_by_service: resources reserved on each VM for its service,
        by service.
    :raises InvariantViolation: if a VM would be over-committed.
    """
    for record in claims:
        vm = server_by_id[record.server_id].vm
        attempts = state.index.attempts_by_server.get(record.server_id, {})
        tasks = [state.task(claim.key.task_id) for claim in record.claims]
        committed = reserved_by_service.get(vm.service, _NO_RESOURCES)
        for task in itertools.chain(attempts.values(), tasks):
            committed = add_resources(
                committed, task.resources if task else _NO_RESOURCES
            )
        check_invariant(
            fits_resources(committed, vm.resources),
            Invariant.capacity,
            f'{committed} at {record.server_id}, which has {vm.resources}',
        )


_get_placement = operator.itemgetter(0)


def _server_of(placed: tuple[Placement, TaskState]) -> str:
    return _get_placement(placed).server_id
