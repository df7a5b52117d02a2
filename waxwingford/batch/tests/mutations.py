"""Mutations that each disable one protection, for tests of the oracle."""

import contextlib
from unittest import mock

from waxwingford.batch import _plan, _stream, _suspicion
from waxwingford.batch._appender import Appender
from waxwingford.ownership import ControlLease
from waxwingford.ports import AttemptPhase, ForgetTask, Resources
from waxwingford.records import (
    AttemptEnded,
    _fold,
    _rules,
    _snapshot,
)
from waxwingford_bench.virtual import daemon as virtual_daemon
from waxwingford_bench.virtual.server import VirtualServer


def apply_unread_claims():
    """Apply claims when they are appended, not when they are read back."""
    build = Appender.build

    def _build(self, claims, now_ms):
        state = self.state
        for record in claims:
            for claim in record.claims:
                task = state.task(claim.key.task_id)
                state._take(task, state.next_offset, record, claim)
        return build(self, claims, now_ms)

    begin = _stream.DomainStream.__init__

    def _begin(self, *given):
        begin(self, *given)
        self.appender.state = self.state

    return (
        mock.patch.object(Appender, 'build', _build),
        mock.patch.object(_stream.DomainStream, '__init__', _begin),
    )


def accept_conflicting_claims():
    """Accept a later claim of a task that is already claimed."""

    def _refuse(task, claim):
        gone = task is None or task.stage > 1 or task.job.cancelled
        return 'over' if gone else ''

    return (mock.patch.object(_fold, 'validate_claim', _refuse),)


def send_after_expiry():
    """Send requests without checking the lease again."""
    late = mock.patch.object(
        virtual_daemon, 'is_expired', lambda effect, now_ms: False
    )
    unbounded = mock.patch.object(
        ControlLease, 'good_for', lambda lease, until_ms: (0, 0)
    )
    return (late, unbounded)


def accept_any_epoch():
    """Let the server accept commands of any epoch."""
    begin = VirtualServer.__init__

    def _begin(self, *given):
        begin(self, *given)
        self.checks_epoch = False

    return (mock.patch.object(VirtualServer, '__init__', _begin),)


def end_adopted_attempts():
    """Let a new holder end running attempts of the previous holder."""
    plan = _plan._plan_running

    def _plan_running(server, given, made, task):
        if task.holder == given.settings.writer:
            plan(server, given, made, task)
            return
        made.record_by_key[task.key] = AttemptEnded(
            task.key, server.vm.server_id, 'absent'
        )

    return (mock.patch.object(_plan, '_plan_running', _plan_running),)


def forget_before_logged():
    """Forget an ended attempt before its end is in the log."""
    plan = _plan._plan_reported

    def _plan_reported(server, given, made, report):
        plan(server, given, made, report)
        if report.phase != AttemptPhase.running:
            made.commands.append(ForgetTask(report.key))

    return (mock.patch.object(_plan, '_plan_reported', _plan_reported),)


def accept_any_suspicion():
    """Accept an end by lapse that names any suspicion."""
    validate = _rules.validate_end

    def _refuse(task, record):
        reason = validate(task, record)
        return '' if reason.startswith('suspicion stands') else reason

    return (mock.patch.object(_fold, 'validate_end', _refuse),)


def lapse_immediately():
    """End a suspected attempt without waiting."""
    add = _suspicion.LapseTimers.add

    def _add(self, task, now_ms):
        add(self, task, now_ms - 10_000_000)

    return (mock.patch.object(_suspicion.LapseTimers, 'add', _add),)


def renew_suspected():
    """Renew attempts without regard to suspicions in the log."""
    return (mock.patch.object(_plan, '_may_renew', lambda *given: True),)


def overstate_snapshot():
    """Let a snapshot state a higher offset than it covers."""

    def _apply_chunk(self, chunk, parts):
        whole = b''.join(parts[index] for index in range(chunk.total))
        state = _snapshot.restore(whole)
        state.skip(state.next_offset + 5)
        self.newest = state

    return (
        mock.patch.object(_snapshot.SnapshotAssembler, '_finish', _apply_chunk),
    )


def skip_capacity_checks():
    """Disable the capacity checks on claims."""
    huge = Resources(10**9, 10**9, 10**6)
    return (
        mock.patch(
            'waxwingford.batch._validation.room_for_claims', lambda view: huge
        ),
        mock.patch('waxwingford.batch._placer.require_capacity'),
        mock.patch.object(_plan, 'fits_resources', lambda *given: True),
        mock.patch('waxwingford.batch._first_fit.room_of', lambda view: huge),
    )


def keep_epoch():
    """End a start of unknown outcome without a new epoch."""
    plan = _plan._plan_claimed

    def _plan_claimed(server, given, made, task):
        lost = task.key in server.started and (
            task.claim_offset < server.report_offset
        )
        if lost:
            made.record_by_key[task.key] = AttemptEnded(
                task.key, server.vm.server_id, 'absent'
            )
        else:
            plan(server, given, made, task)

    return (
        mock.patch.object(
            ControlLease,
            'needs_new_epoch',
            property(lambda lease: False, lambda lease, value: None),
            create=True,
        ),
        mock.patch.object(_plan, '_plan_claimed', _plan_claimed),
    )


def accept_old_answers():
    """Conclude absence from answers to exchanges older than the claim."""

    def _is_absent(server, task):
        lease = server.lease
        return task.boot_id != lease.boot_id or task.epoch < lease.epoch

    return (mock.patch.object(_plan, '_is_proven_absent', _is_absent),)


def forget_abandoned():
    """Start a claim whose end was offered to the log."""
    abandon = _plan._abandon

    def _abandon(server, plan, task):
        abandon(server, plan, task)
        server.abandoned_by_key.clear()

    return (mock.patch.object(_plan, '_abandon', _abandon),)


MUTATIONS = {
    'apply_unread_claims': apply_unread_claims,
    'accept_conflicting_claims': accept_conflicting_claims,
    'send_after_expiry': send_after_expiry,
    'accept_any_epoch': accept_any_epoch,
    'end_adopted_attempts': end_adopted_attempts,
    'forget_before_logged': forget_before_logged,
    'accept_any_suspicion': accept_any_suspicion,
    'lapse_immediately': lapse_immediately,
    'renew_suspected': renew_suspected,
    'overstate_snapshot': overstate_snapshot,
    'skip_capacity_checks': skip_capacity_checks,
    'keep_epoch': keep_epoch,
    'accept_old_answers': accept_old_answers,
    'forget_abandoned': forget_abandoned,
}


@contextlib.contextmanager
def disabled(name):
    """Disable one protection."""
    with contextlib.ExitStack() as stack:
        for patch in MUTATIONS[name]():
            stack.enter_context(patch)
        yield
