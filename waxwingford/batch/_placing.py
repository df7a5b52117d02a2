"""From pending tasks to claims: views, capacity."""

import itertools
import operator
from collections.abc import Iterable, Mapping

from waxwingford.batch._server import ServerControl
from waxwingford.batch._settings import BatchSettings
from waxwingford.batch._trackers import Trackers
from waxwingford.kernel import Invariant, require
from waxwingford.placement import (
    PendingTask,
    Placement,
    RunningTask,
    ServerView,
)
from waxwingford.ports import (
    Resources,
    TaskPhase,
    add_resources,
    fits_resources,
    subtract_resources,
)
from waxwingford.records import Claim, DomainState, TasksClaimed, TaskState

_NOTHING = Resources(0, 0, 0)


def slack_ms(task: TaskState, trackers: Trackers, wall_ms: int) -> int | None:
    """Count the time that a task has beyond what it still needs.

    :param task: the task.
    :param trackers: correct its run time.
    :param wall_ms: Unix time, in milliseconds.
    :returns: milliseconds, negative if it will be late; None if it has no
        deadline.
    """
    spec = task.job.spec
    if not spec.finish_by_wall_ms:
        return None
    return spec.finish_by_wall_ms - wall_ms - trackers.run_left_ms(task)


def view_pending(
    task: TaskState,
    trackers: Trackers,
    servers: int,
    waiting_ms: int,
    wall_ms: int,
) -> PendingTask:
    """Show a pending task to a policy.

    :param task: the task.
    :param trackers: correct its size and run time.
    :param servers: servers of the failure domain; a task that failed on as
        many may be tried on the same ones again.
    :param waiting_ms: how long it waits.
    :param wall_ms: Unix time, in milliseconds.
    :returns: the view.
    """
    spec = task.job.spec
    return PendingTask(
        task.next_key,
        spec.member,
        spec.team,
        spec.kind,
        trackers.allocation(spec),
        trackers.run_left_ms(task),
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
    """Show a held server to a policy.

    :param server: the server.
    :param state: state replayed from the domain's stream.
    :param trackers: correct sizes.
    :param reserved: set aside for the service there.
    :param is_quarantined: whether it gets only probation work.
    :param wall_ms: Unix time, in milliseconds.
    :returns: the view; every claim that is not proved over counts.
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
    """Count what may still be claimed on a server.

    :param view: the server; its attempts are all that are not proved over.
    :returns: the room, by component; negative if less than nothing is left.
    """
    room = subtract_resources(view.total, view.reserved)
    for task in view.running:
        room = subtract_resources(room, task.resources)
    return room


def runs_unclaimed(server: ServerControl, state: DomainState) -> bool:
    """Tell whether something runs there whose size is not known.

    :param server: a held server.
    :param state: state replayed from the domain's stream.
    :returns: true if a running attempt has no claim there.
    """
    return any(
        report.phase == TaskPhase.running
        and state.claimed(report.key, server.vm.server_id) is None
        for report in server.report_by_key.values()
    )


def build_claims(
    placements: Iterable[tuple[Placement, TaskState]],
    server_by_id: Mapping[str, ServerControl],
    settings: BatchSettings,
) -> list[TasksClaimed]:
    """Group placements into one record for each server.

    :param placements: decisions that were checked, with their tasks.
    :param server_by_id: held servers.
    :param settings: settings of the controller.
    :returns: claims under the present epochs.
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
    """Check that a server may be claimed on.

    :param server: the backend server.
    :param now_ms: monotonic time, in milliseconds.
    :raises BrokenInvariant: if its lease is not held, or it leaves.
    """
    require(
        server.lease.may_command(now_ms),
        Invariant.lease_before_effect,
        f'claim on {server.vm.server_id}',
    )
    require(not server.leaving, Invariant.leaving_server, server.vm.server_id)


def require_capacity(
    claims: Iterable[TasksClaimed],
    state: DomainState,
    server_by_id: Mapping[str, ServerControl],
    reserved_by_service: Mapping[str, Resources],
) -> None:
    """Check claims against everything not proved over, from the fold itself.

    :param claims: about to be appended.
    :param state: state replayed from the domain's stream.
    :param server_by_id: held servers.
    :param reserved_by_service: set aside on each VM for its service.
    :raises BrokenInvariant: if a VM would be over-committed.
    """
    for record in claims:
        vm = server_by_id[record.server_id].vm
        attempts = state.index.attempts_by_server.get(record.server_id, {})
        tasks = [state.task(claim.key.task_id) for claim in record.claims]
        committed = reserved_by_service.get(vm.service, _NOTHING)
        for task in itertools.chain(attempts.values(), tasks):
            committed = add_resources(
                committed, task.resources if task else _NOTHING
            )
        require(
            fits_resources(committed, vm.resources),
            Invariant.capacity,
            f'{committed} at {record.server_id} of {vm.resources}',
        )


_get_placement = operator.itemgetter(0)


def _server_of(placed: tuple[Placement, TaskState]) -> str:
    return _get_placement(placed).server_id
