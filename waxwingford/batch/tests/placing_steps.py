"""Steps for the claims of a daemon."""

from behave import given, then, when

from waxwingford.batch import (
    AliveDaemons,
    Append,
    BatchSettings,
    BundleSettings,
    Control,
    ControlResult,
    DomainController,
    EmitEvent,
    LogEntries,
    ReadGroup,
    Tick,
    VmListRead,
)
from waxwingford.batch._first_fit import FirstFit
from waxwingford.batch._pending_reason import pending_reason
from waxwingford.placement import Placement
from waxwingford.ports import (
    AttemptKey,
    AttemptPhase,
    AttemptReport,
    ControlGranted,
    Resources,
    Vm,
    VmList,
    VmState,
)
from waxwingford.records import (
    AttemptEnded,
    Claim,
    DomainState,
    JobAccepted,
    JobSpec,
    RecordGroup,
    TasksClaimed,
)

TASK = Resources(1000, 1000)


class CountingPolicy(FirstFit):
    def __init__(self):
        self.asked = 0

    def place(self, pending, servers, now_ms):
        self.asked += 1
        return super().place(pending, servers, now_ms)


class GreedyPolicy(FirstFit):
    def place(self, pending, servers, now_ms):
        return [Placement(one.key, servers[0].server_id) for one in pending]


def vm_of(number):
    return Vm(
        f's{number}', 'gulberg', 'r', '127.0.0.1', number, VmState.live,
        Resources(4000, 4000), 8, 64, 'dispatcher',
    )  # fmt: skip


def give(context, message):
    effects = context.controller.handle(message, context.now_ms, 0)
    context.effects.extend(effects)
    return effects


def begin(context, servers):
    context.now_ms = 0
    context.effects = []
    settings = BatchSettings('d0', '1', 'gulberg')
    context.controller = DomainController(settings, DomainState(), 0)
    give(context, BundleSettings({}, {}, {}))
    context.policy = CountingPolicy()
    context.controller.placer._policy = context.policy
    vms = tuple(vm_of(number) for number in range(servers))
    give(context, VmListRead(VmList(vms)))
    give(context, LogEntries((), 0, 0))


def pass_time(context, span_ms):
    until_ms = context.now_ms + span_ms
    while context.now_ms < until_ms:
        context.now_ms += 100
        for effect in give(context, Tick()):
            answer(context, effect)


def running(context, server_id):
    """Report claimed attempts as running if servers run their claims."""
    if not getattr(context, 'runs_claims', False):
        return ()
    index = context.controller.state.index
    return tuple(
        AttemptReport(task.key, AttemptPhase.running)
        for task in index.attempts_by_server.get(server_id, {}).values()
    )


def answer(context, effect):
    if isinstance(effect, Control) and context.answers:
        granted = ControlGranted(
            1, 'boot', False, running(context, effect.server_id)
        )
        given_back = ControlResult(
            effect.server_id, effect.exchange, context.now_ms,
            effect.request, granted,
        )  # fmt: skip
        give(context, given_back)


@given('a controller that has read the log and the list of {count:d} servers')
def controller_of(context, count):
    context.answers = False
    begin(context, count)


@when('{span_ms:d} ms pass without news of other daemons')
def no_peer_news(context, span_ms):
    pass_time(context, span_ms)


@when('it learns of two other daemons')
def learns_of_two(context):
    give(context, AliveDaemons(frozenset(('d0', 'd1', 'd2'))))
    pass_time(context, 200)


@then('it requests {count:d} leases')
@then('it requests {count:d} lease')
def requests_leases(context, count):
    asked = {
        effect.server_id
        for effect in context.effects
        if isinstance(effect, Control)
    }
    assert len(asked) == count, asked


@given('a controller that holds {count:d} server with room for 4 tasks')
def controller_holds(context, count):
    context.answers = True
    begin(context, count)
    give(context, AliveDaemons(frozenset(('d0',))))
    pass_time(context, 1000)
    held = context.controller.fleet.held(context.now_ms)
    assert len(held) == count, held


@given('a policy that places every task on the first server')
def greedy_policy(context):
    context.controller.placer._policy = GreedyPolicy()


@given('a quota of {count:d} tasks for the team "{team}"')
def quota_of(context, count, team):
    quota = Resources(TASK.processors_milli * count, 100_000)
    give(context, BundleSettings({team: quota}, {}, {}))


@given('a list with {count:d} more servers that others hold')
def more_servers(context, count):
    context.answers = False
    vms = tuple(vm_of(number) for number in range(count + 1))
    give(context, VmListRead(VmList(vms)))


def read(context, *records):
    offset = context.controller.state.next_offset
    group = RecordGroup('w#1', offset, records)
    entries = (ReadGroup(offset, group),)
    return give(context, LogEntries(entries, context.now_ms, offset + 1))


def spec_of(count):
    return JobSpec('qadri.j', 'qadri', 'archive', 'k', count, TASK, 1000)


@when('a job of {count:d} tasks is read')
def job_is_read(context, count):
    context.effects.clear()
    read(context, JobAccepted(spec_of(count)))
    pass_time(context, 300)


@when('a job of 1 task is read that failed on the held server')
def failed_job_is_read(context):
    context.effects.clear()
    key = AttemptKey('qadri.j/0', 1)
    claimed = TasksClaimed('x#1', 's0', 'old', 0, (Claim(key),))
    ended = AttemptEnded(key, 's0', 'failed', 'x')
    read(context, JobAccepted(spec_of(1)), claimed, ended)
    pass_time(context, 300)


def claims_of(context):
    groups = [one.group for one in context.effects if isinstance(one, Append)]
    return [
        claim
        for group in groups
        for record in group.records
        if isinstance(record, TasksClaimed)
        for claim in record.claims
    ]


@then('{count:d} tasks are claimed')
def tasks_claimed(context, count):
    assert len(claims_of(context)) == count, claims_of(context)


@then("the policy's invalid placements are reported {count:d} times")
def invalid_reported(context, count):
    kinds = [one.kind for one in context.effects if isinstance(one, EmitEvent)]
    assert kinds.count('policy.no_room') == count, kinds


@then('the other tasks are pending because of "{reason}"')
def others_pending(context, reason):
    controller = context.controller
    groups = [one.group for one in context.effects if isinstance(one, Append)]
    for group in groups:
        entry = ReadGroup(controller.state.next_offset, group)
        head = entry.offset + 1
        give(context, LogEntries((entry,), context.now_ms, head))
    task = next(iter(controller.state.index.pending_by_id.values()))
    why = pending_reason(
        task, controller.state, controller.fleet,
        controller.placer, '',
    )  # fmt: skip
    assert reason in why, why


@when('{span_ms:d} ms pass after the claims were read')
def claims_read(context, span_ms):
    groups = [one.group for one in context.effects if isinstance(one, Append)]
    for group in groups:
        offset = context.controller.state.next_offset
        entries = (ReadGroup(offset, group),)
        give(context, LogEntries(entries, context.now_ms, offset + 1))
    context.policy.asked = 0
    pass_time(context, span_ms)


@then('the policy was asked at most {count:d} times')
def asked_at_most(context, count):
    assert context.policy.asked <= count, context.policy.asked
