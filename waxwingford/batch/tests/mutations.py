"""Mechanisms switched off one by one, in test code only.

Each entry takes one protection away; runs must then break a rule, which shows
that the oracle can see the fault that the protection prevents.
"""

import contextlib
from unittest import mock

from waxwingford.batch import _plan, _stream, _suspicion
from waxwingford.batch._appender import Appender
from waxwingford.ownership import ControlLease
from waxwingford.ports import ForgetTask, Resources, TaskPhase
from waxwingford.records import (
    AttemptEnded,
    _fold,
    _rules,
    _snapshot,
)
from waxwingford_bench.virtual import daemon as virtual_daemon
from waxwingford_bench.virtual.server import VirtualServer


def start_unseen():
    """Start claims when they are appended, not when they are read back."""
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


def any_claim_wins():
    """Let a later claim of a task that is claimed already count as well."""

    def _refuse(task, claim):
        gone = task is None or task.stage > 1 or task.job.cancelled
        return 'over' if gone else ''

    return (mock.patch.object(_fold, 'refuse_claim', _refuse),)


def send_late():
    """Send what was decided before a freeze without checking the lease."""
    late = mock.patch.object(
        virtual_daemon, 'is_too_late', lambda effect, now_ms: False
    )
    unbounded = mock.patch.object(
        ControlLease, 'good_for', lambda lease, until_ms: (0, 0)
    )
    return (late, unbounded)


def no_epoch():
    """Let the server take commands of any epoch."""
    begin = VirtualServer.__init__

    def _begin(self, *given):
        begin(self, *given)
        self.checks_epoch = False

    return (mock.patch.object(VirtualServer, '__init__', _begin),)


def restart_not_adopt():
    """Let a successor end what another holder claimed, though it runs."""
    plan = _plan._plan_running

    def _plan_running(server, given, made, task):
        if task.holder == given.settings.writer:
            plan(server, given, made, task)
            return
        made.record_by_key[task.key] = AttemptEnded(
            task.key, server.vm.server_id, 'absent'
        )

    return (mock.patch.object(_plan, '_plan_running', _plan_running),)


def forget_at_once():
    """Forget an ended attempt before its end stands in the log."""
    plan = _plan._plan_reported

    def _plan_reported(server, given, made, report):
        plan(server, given, made, report)
        if report.phase != TaskPhase.running:
            made.commands.append(ForgetTask(report.key))

    return (mock.patch.object(_plan, '_plan_reported', _plan_reported),)


def lapse_unnamed():
    """Accept an end by lapse whatever suspicion it rests on."""
    refuse = _rules.refuse_end

    def _refuse(task, record):
        reason = refuse(task, record)
        return '' if reason.startswith('suspicion stands') else reason

    return (mock.patch.object(_fold, 'refuse_end', _refuse),)


def lapse_at_once():
    """End a suspected attempt without waiting."""
    add = _suspicion.LapseTimers.add

    def _add(self, task, now_ms):
        add(self, task, now_ms - 10_000_000)

    return (mock.patch.object(_suspicion.LapseTimers, 'add', _add),)


def renew_suspected():
    """Renew attempts whatever was read of the log."""
    return (mock.patch.object(_plan, '_may_renew', lambda *given: True),)


def snapshot_too_far():
    """Let a snapshot cover more than it holds."""

    def _apply_chunk(self, chunk, parts):
        whole = b''.join(parts[index] for index in range(chunk.total))
        state = _snapshot.restore(whole)
        state.skip(state.next_offset + 5)
        self.newest = state

    return (
        mock.patch.object(_snapshot.SnapshotAssembler, '_finish', _apply_chunk),
    )


def count_running_only():
    """Count what was reported as running, not all that is not proved over."""
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
    """Judge a start of unknown outcome without a new epoch."""
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


def old_answers():
    """Judge absence from answers to exchanges older than the claim."""

    def _is_absent(server, task):
        lease = server.lease
        return task.boot_id != lease.boot_id or task.epoch < lease.epoch

    return (mock.patch.object(_plan, '_is_proven_absent', _is_absent),)


def forget_given_up():
    """Start a claim although its end was offered to the log."""
    abandon = _plan._abandon

    def _abandon(server, plan, task):
        abandon(server, plan, task)
        server.abandoned_by_key.clear()

    return (mock.patch.object(_plan, '_abandon', _abandon),)


MUTATIONS = {
    'start_unseen': start_unseen,
    'any_claim_wins': any_claim_wins,
    'send_late': send_late,
    'no_epoch': no_epoch,
    'restart_not_adopt': restart_not_adopt,
    'forget_at_once': forget_at_once,
    'lapse_unnamed': lapse_unnamed,
    'lapse_at_once': lapse_at_once,
    'renew_suspected': renew_suspected,
    'snapshot_too_far': snapshot_too_far,
    'count_running_only': count_running_only,
    'keep_epoch': keep_epoch,
    'old_answers': old_answers,
    'forget_given_up': forget_given_up,
}


@contextlib.contextmanager
def switched_off(name):
    """Take one protection away.

    :param name: of a mutation.
    :yields: nothing.
    """
    with contextlib.ExitStack() as stack:
        for patch in MUTATIONS[name]():
            stack.enter_context(patch)
        yield
