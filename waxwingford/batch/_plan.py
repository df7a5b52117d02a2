"""Plans the renewals and commands of the next exchange with a held server.

A claim is started at most once, under the epoch that it names and by the
daemon that made it.  An attempt that the server does not report under a later
epoch can therefore never start there and is over.
"""

from waxwingford.batch._plan_types import Plan, PlanInput, is_over
from waxwingford.batch._server import ServerControl
from waxwingford.kernel import Invariant, check_invariant
from waxwingford.ports import (
    AttemptPhase,
    AttemptReport,
    CheckpointTask,
    ForgetTask,
    Resources,
    StartTask,
    StopTask,
    ThrottleTask,
    add_resources,
    fits_resources,
    subtract_resources,
)
from waxwingford.records import (
    NOT_SUSPECTED,
    AttemptEnded,
    DomainState,
    SuspicionRefuted,
    TaskState,
)

#: Time after which a stop or checkpoint without effect is sent again.
_COMMAND_RETRY_MS = 6000
_NO_RESOURCES = Resources(0, 0, 0)
#: Number of started or abandoned attempts from which ended ones are pruned.
_PRUNE_THRESHOLD = 64


def plan_exchange(server: ServerControl, plan_input: PlanInput) -> Plan:
    """Plan the next exchange with a held server.

    :param server: a server whose lease is held; commands are recorded in it.
    """
    plan = Plan(server.lease.until_ms)
    for report in server.report_by_key.values():
        _plan_reported(server, plan_input, plan, report)
    attempts = plan_input.state.index.attempts_by_server.get(
        server.vm.server_id, {}
    )
    for task in attempts.values():
        if task.key not in server.report_by_key:
            _plan_claimed(server, plan_input, plan, task)
    plan.commands.extend(
        ThrottleTask(key, percent)
        for key, percent in server.throttle_percent_by_key.items()
        if server.is_running(key)
    )
    server.throttle_percent_by_key.clear()
    _prune_started(server, plan_input.state)
    return plan


def _prune_started(server: ServerControl, state: DomainState) -> None:
    # An attempt that is over is never claimed again.
    if len(server.started) + len(server.abandoned_by_key) < _PRUNE_THRESHOLD:
        return
    server_id = server.vm.server_id
    server.started = {
        key for key in server.started if state.claimed(key, server_id)
    }
    server.abandoned_by_key = {
        key: record
        for key, record in server.abandoned_by_key.items()
        if state.claimed(key, server_id)
    }


def _plan_reported(
    server: ServerControl,
    plan_input: PlanInput,
    plan: Plan,
    report: AttemptReport,
) -> None:
    task = plan_input.state.claimed(report.key, server.vm.server_id)
    if task is None:
        _plan_unclaimed(server, plan_input, plan, report)
    elif report.phase == AttemptPhase.running:
        _plan_running(server, plan_input, plan, task)
    else:
        plan.record_by_key[report.key] = _end_record(server, report)


def _plan_unclaimed(
    server: ServerControl,
    plan_input: PlanInput,
    plan: Plan,
    report: AttemptReport,
) -> None:
    key = report.key
    since_ms = server.unclaimed_since_ms.setdefault(key, plan_input.now_ms)
    is_running = report.phase == AttemptPhase.running
    plan.has_unclaimed = plan.has_unclaimed or is_running
    # A claim precedes its start in the log, so a read to the head that began
    # after the report would have returned it.
    known = (
        is_over(plan_input.state, key, server.vm.server_id)
        or plan_input.head_read_ms > since_ms
    )
    if not known:
        return
    if is_running:
        _command(server, plan_input, plan, StopTask(key))
    else:
        plan.commands.append(ForgetTask(key))


def _plan_running(
    server: ServerControl, plan_input: PlanInput, plan: Plan, task: TaskState
) -> None:
    plan.running = add_resources(plan.running, task.resources)
    if task.suspected_offset != NOT_SUSPECTED:
        alive = SuspicionRefuted((task.key,), plan_input.settings.writer)
        plan.record_by_key['alive', task.key] = alive
    if _may_renew(plan_input, plan, task):
        plan.renew.append(task.key)
    if task.job.cancelled or task.key in server.stopping:
        _command(server, plan_input, plan, StopTask(task.key))
    elif server.leaving or task.key in server.evicting:
        _command(server, plan_input, plan, CheckpointTask(task.key))


def _plan_claimed(
    server: ServerControl, plan_input: PlanInput, plan: Plan, task: TaskState
) -> None:
    claimed_under = (task.epoch, task.boot_id, task.holder)
    lease = server.lease
    if claimed_under == (
        lease.epoch,
        lease.boot_id,
        plan_input.settings.writer,
    ):
        abandoned = server.abandoned_by_key.get(task.key)
        if abandoned is not None:
            plan.record_by_key[task.key] = abandoned
        elif task.key not in server.started:
            _plan_start(server, plan_input, plan, task)
        return
    if _is_proven_absent(server, task):
        plan.record_by_key[task.key] = AttemptEnded(
            task.key,
            server.vm.server_id,
            'absent',
            'not at the server under a later epoch',
        )


def _is_proven_absent(server: ServerControl, task: TaskState) -> bool:
    # Only the answer to an exchange planned after the claim was read counts.
    # A late answer of an earlier boot or epoch says nothing of an attempt
    # that a later holder has started since.
    if task.claim_offset >= server.report_offset:
        return False
    return (
        task.boot_id != server.lease.boot_id or task.epoch < server.lease.epoch
    )


def _plan_start(
    server: ServerControl, plan_input: PlanInput, plan: Plan, task: TaskState
) -> None:
    room = subtract_resources(server.vm.resources, plan_input.reserved)
    needed = add_resources(plan.running, task.resources)
    must_abandon = (
        task.job.cancelled
        or server.leaving
        or task.suspected_offset != NOT_SUSPECTED
        or not fits_resources(needed, room)
    )
    if must_abandon:
        _abandon(server, plan, task)
    elif not plan.has_unclaimed and _may_renew(plan_input, plan, task):
        plan.running = needed
        plan.commands.append(_start(server, plan_input, task, needed))


def _abandon(server: ServerControl, plan: Plan, task: TaskState) -> None:
    # Recorded before the end is offered: an attempt whose end may be in the
    # log must never be started.
    server.abandoned_by_key[task.key] = AttemptEnded(
        task.key,
        server.vm.server_id,
        'stopped' if task.job.cancelled else 'absent',
        'never started',
    )
    plan.record_by_key[task.key] = server.abandoned_by_key[task.key]


def _start(
    server: ServerControl,
    plan_input: PlanInput,
    task: TaskState,
    running: Resources,
) -> StartTask:
    claimed = plan_input.state.claimed(task.key, server.vm.server_id)
    check_invariant(
        claimed is task and task.holder == plan_input.settings.writer,
        Invariant.claim_before_start,
        f'{task.key} at {server.vm.server_id}',
    )
    check_invariant(
        fits_resources(running, server.vm.resources),
        Invariant.capacity,
        f'{running} at {server.vm.server_id}, which has {server.vm.resources}',
    )
    check_invariant(
        not server.leaving,
        Invariant.leaving_server,
        f'{task.key} at {server.vm.server_id}',
    )
    server.started.add(task.key)
    return StartTask(
        task.key,
        task.job.spec.kind,
        task.resources,
        task.job.spec.payload,
        task.checkpoint,
        plan_input.lease_timing.task_lease_ms,
    )


def _may_renew(plan_input: PlanInput, plan: Plan, task: TaskState) -> bool:
    lost_after_ms = task.job.spec.lost_after_ms
    if not lost_after_ms:
        return True
    until_ms = plan_input.head_read_ms + lost_after_ms
    if task.suspected_offset != NOT_SUSPECTED or plan_input.now_ms >= until_ms:
        return False
    plan.valid_until_ms = min(plan.valid_until_ms, until_ms)
    return True


def _command(
    server: ServerControl,
    plan_input: PlanInput,
    plan: Plan,
    command: StopTask | CheckpointTask,
) -> None:
    last_ms = server.commanded_ms_by_key.get(command.key, -_COMMAND_RETRY_MS)
    if plan_input.now_ms - last_ms >= _COMMAND_RETRY_MS:
        server.commanded_ms_by_key[command.key] = plan_input.now_ms
        plan.commands.append(command)


def _end_record(server: ServerControl, report: AttemptReport) -> AttemptEnded:
    # ``lapsed`` in the stream is reserved for ends by the suspicion protocol;
    # here the server itself reports that it stopped the attempt.
    how = (
        'stopped' if report.phase == AttemptPhase.lapsed else report.phase.value
    )
    return AttemptEnded(
        report.key,
        server.vm.server_id,
        how,
        report.detail,
        report.ran_ms,
    )
