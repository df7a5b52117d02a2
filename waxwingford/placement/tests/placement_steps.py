"""Steps for fair ordering, size estimation and quarantine."""

from behave import fixture, given, then, use_fixture, when

from waxwingford.placement import (
    PendingTask,
    Quarantine,
    QuotaTracker,
    SizeTracker,
    TeamName,
    check_feasibility,
)
from waxwingford.ports import AttemptKey, Resources

SIZE = Resources(1000, 1000, 0)
CAPACITIES = (Resources(8000, 2000, 0), Resources(4000, 8000, 1))
LARGE_CAPACITY = Resources(32000, 125000, 4)
MS_IN_S = 1000


@fixture
def quota_tracker(context):
    """Quota tracker with a capacity of 100 cores."""
    context.tracker = QuotaTracker(Resources(100_000, 100_000, 0))
    context.tasks = []
    yield context.tracker


def _add_pending(context, member, team, now_ms=0, **details):
    if 'tracker' not in context:
        use_fixture(quota_tracker, context)
    key = AttemptKey(f'{member}.{team}/{len(context.tasks)}', 1)
    task = PendingTask(key, member, team, 'kind', SIZE, 1000, **details)
    context.tasks.append(task)
    context.tracker.add(task, now_ms)


@given(
    'a quota tracker with {count:d} pending tasks of team "{team}" of "{member}"'
)
@given(
    'a quota tracker with {count:d} pending task of team "{team}" of "{member}"'
)
@given(
    '{count:d} pending task of team "{team}" of "{member}" in the quota tracker'
)
@given(
    '{count:d} pending tasks of team "{team}" of "{member}" in the quota tracker'
)
def add_pending_tasks(context, count, team, member):
    for _ in range(count):
        _add_pending(context, member, team)


@given(
    'a task of priority {priority:d} was added to the quota tracker at {at:d} s'
)
def add_with_priority(context, priority, at):
    _add_pending(
        context, 'qadri', 'dispatcher', at * MS_IN_S, priority=priority
    )


@given(
    'a task with {slack:d} s of slack was added to the quota tracker at {at:d} s'
)
def add_with_slack(context, slack, at):
    _add_pending(
        context, 'qadri', 'dispatcher', at * MS_IN_S, slack_ms=slack * MS_IN_S
    )


@given('team "{team}" of "{member}" is charged with {count:d} tasks')
def charge(context, team, member, count):
    for _ in range(count):
        context.tracker.charge(TeamName(member, team), SIZE)


@when('team "{team}" of "{member}" releases {count:d} tasks')
def release(context, team, member, count):
    for _ in range(count):
        context.tracker.release(TeamName(member, team), SIZE)


@when('the quota tracker orders {limit:d} tasks')
def order(context, limit):
    context.ordered = context.tracker.order(limit, now_ms=500 * MS_IN_S)


@when('all its tasks are removed and re-added')
def remove_and_add_tasks(context):
    for task in context.tasks:
        context.tracker.remove(task.key)
        context.tracker.add(task, 0)


@when(
    'the quota tracker orders {limit:d} tasks {times:d} times with charges between'
)
def order_repeatedly(context, limit, times):
    name = TeamName('qadri', 'archive')
    for _ in range(times):
        context.tracker.order(limit, 0)
        context.tracker.charge(name, SIZE)
        context.tracker.release(name, SIZE)


@then('the ordered teams are "{teams}"')
def check_teams(context, teams):
    found = [f'{task.member}/{task.team}' for task in context.ordered]
    assert found == teams.split(', '), found


@then('the ordered priorities are "{priorities}"')
def check_priorities(context, priorities):
    found = [str(task.priority) for task in context.ordered]
    assert found == priorities.split(', '), found


@then('{count:d} tasks are ordered')
def check_task_count(context, count):
    assert len(context.ordered) == count, context.ordered


@then('the quota tracker holds fewer than {bound:d} heap entries')
def check_heap_entries(context, bound):
    found = context.tracker.count_heap_entries()
    assert found < bound, found


@given(
    'tasks of "{member}" kind "{kind}" that used {memory:d} MB and {milli:d} millicores'
)
def record_usage(context, member, kind, memory, milli):
    context.sizes = SizeTracker()
    context.sizes.record_peak_usage(member, kind, Resources(milli, memory, 0))


@then(
    'a task of "{member}" kind "{kind}" that declares {memory:d} MB is allocated {allocated_mb:d} MB'
)
def check_allocated(
    context, member, kind, memory, allocated_mb, capacity=LARGE_CAPACITY
):
    declared = Resources(1000, memory, 0)
    found = context.sizes.given(member, kind, declared, capacity)
    assert found == Resources(1000, allocated_mb, 0), found


@then(
    'with capacities up to {capacity_mb:d} MB a task of "{member}" kind "{kind}"'
    ' that declares {memory:d} MB is allocated {allocated_mb:d} MB',
)
def check_capped(context, capacity_mb, member, kind, memory, allocated_mb):
    capacity = Resources(32000, capacity_mb, 0)
    check_allocated(context, member, kind, memory, allocated_mb, capacity)


@given(
    '{count:d} task of "{member}" kind "{kind}" ran {factor:d} times as long as declared'
)
@given(
    '{count:d} tasks of "{member}" kind "{kind}" ran {factor:d} times as long as declared'
)
def record_run_times(context, count, member, kind, factor):
    if 'sizes' not in context:
        context.sizes = SizeTracker()
    for _ in range(count):
        context.sizes.record_run_time(member, kind, 1000, 1000 * factor)


@then(
    'a run time of {declared:d} s is corrected to between {low:d} s and {high:d} s'
)
def check_run(context, declared, low, high):
    found = context.sizes.run_ms('qadri', 'rebuild', declared * MS_IN_S)
    assert low * MS_IN_S <= found <= high * MS_IN_S, found


@then(
    'a size of {milli:d} millicores, {memory:d} MB, {devices:d} accelerators'
    ' is infeasible as "{dimension}" exceeds {available:d}',
)
def check_infeasible(context, milli, memory, devices, dimension, available):
    found = check_feasibility(Resources(milli, memory, devices), CAPACITIES)
    assert (found.dimension, found.largest) == (dimension, available), found


@then(
    'a size of {milli:d} millicores, {memory:d} MB, {devices:d} accelerators is feasible'
)
def check_feasible(context, milli, memory, devices):
    assert (
        check_feasibility(Resources(milli, memory, devices), CAPACITIES) is None
    )


@fixture
def quarantine(context):
    """Quarantine with default limits."""
    context.quarantine = Quarantine()
    context.failed_tasks = set()
    context.failed_servers = set()
    yield context.quarantine


def _record_failure(context, task, server, now_ms=0, server_count=100):
    if 'quarantine' not in context:
        use_fixture(quarantine, context)
    context.failed_tasks.add(task)
    context.failed_servers.add(server)
    context.quarantine.failed(task, server, now_ms, server_count)


@given('a job "{job}" that succeeded on "{server}"')
def job_succeeded(context, job, server):
    use_fixture(quarantine, context)
    context.quarantine.succeeded(f'{job}/99', server)


@when('task "{task}" fails on "{server}"')
def fail_once(context, task, server):
    _record_failure(context, task, server)


@when('task "{task}" fails on "{server}" at {at:d} s')
def fail_at(context, task, server, at):
    _record_failure(context, task, server, at * MS_IN_S)


@when(
    'tasks {low:d} to {high:d} of job "{job}" fail on each of "{servers}" of {count:d} servers'
)
def fail_each_of(context, low, high, job, servers, count):
    for server in servers.split(', '):
        for index in range(low, high + 1):
            _record_failure(context, f'{job}/{index}', server, 0, count)


@when('tasks {low:d} to {high:d} of job "{job}" fail on each of "{servers}"')
def fail_each(context, low, high, job, servers):
    fail_each_of(context, low, high, job, servers, 100)


@when('task "{task}" succeeds on "{server}"')
def succeed(context, task, server):
    context.quarantine.succeeded(task, server)


def _quarantined(context):
    tracker = context.quarantine
    return {
        name for name in context.failed_servers if tracker.is_quarantined(name)
    }


@then('server "{server}" is in quarantine')
def check_quarantined(context, server):
    assert _quarantined(context) == {server}, _quarantined(context)


@then('servers "{servers}" are in quarantine')
def check_these_quarantined(context, servers):
    assert _quarantined(context) == set(servers.split(', '))


@then('no server is in quarantine')
def check_none_quarantined(context):
    assert not _quarantined(context), _quarantined(context)


@then('{count:d} servers are in quarantine')
def check_quarantined_count(context, count):
    assert len(_quarantined(context)) == count, _quarantined(context)


@then('tasks "{tasks}" are stopped')
def check_stopped(context, tasks):
    found = set(filter(context.quarantine.is_stopped, context.failed_tasks))
    assert found == set(tasks.split(', ')), found


@then('no task is stopped')
def check_none_stopped(context):
    assert not any(map(context.quarantine.is_stopped, context.failed_tasks))


@then(
    'server "{server}" may get a probation task at {late:d} s but not at {early:d} s'
)
def check_probation_due(context, server, late, early):
    assert context.quarantine.is_probe_due(server, late * MS_IN_S)
    assert not context.quarantine.is_probe_due(server, early * MS_IN_S)


@when('job "{job_id}" is discarded from the quarantine')
def discard_job(context, job_id):
    context.quarantine.forget_job(job_id)
