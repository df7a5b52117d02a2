"""Steps for the effect of shares, sizes and quarantine on claims."""

from behave import given, then, when

from waxwingford.batch import AliveDaemons, Append, LogEntries, ReadGroup
from waxwingford.batch._pending_reason import pending_reason
from waxwingford.batch.tests.placing_steps import (
    TASK,
    answer,
    begin,
    give,
    pass_time,
)
from waxwingford.batch.tests.placing_steps import (
    read as read_records,
)
from waxwingford.ports import Resources, UsageSample
from waxwingford.records import AttemptEnded, JobAccepted, JobSpec


def settle(context, span_ms=3000):
    """Advance the time and let the controller read its own appends."""
    until_ms = context.now_ms + span_ms
    while context.now_ms < until_ms:
        pass_time(context, 100)
        effects = list(context.effects)
        context.effects.clear()
        for effect in effects:
            # Duplicate outcomes are ignored.
            answer(context, effect)
            if isinstance(effect, Append):
                offset = context.controller.state.next_offset
                entries = (ReadGroup(offset, effect.group),)
                give(context, LogEntries(entries, context.now_ms, offset + 1))


def job_of(name, team, count, **terms):
    return JobSpec(
        f'qadri.{name}', 'qadri', team, 'k', count, TASK, 1000, **terms
    )


def accept(context, name, team, count, **terms):
    read_records(context, JobAccepted(job_of(name, team, count, **terms)))


def claimed(context):
    attempts_by_server = context.controller.state.index.attempts_by_server
    return [
        task
        for attempts in attempts_by_server.values()
        for task in attempts.values()
    ]


def end(context, task, how):
    # A server reports the end of an attempt before it is in the log.
    server = context.controller.fleet.server_by_id[task.server_id]
    server.report_by_key.pop(task.key, None)
    read_records(
        context, AttemptEnded(task.key, task.server_id, how, 'x', 1000)
    )


@given(
    'a controller of {count:d} server with room for 4 tasks that reads its own claims'
)
@given(
    'a controller of {count:d} servers with room for 4 tasks that reads its own claims'
)
def controller_reads(context, count):
    context.answers = True
    context.runs_claims = True
    begin(context, count)
    give(context, AliveDaemons(frozenset(('d0',))))
    settle(context)


@when(
    'jobs of 40 tasks of team "archive" and 4 tasks of team "dispatcher" are read'
)
def many_tasks(context):
    jobs = (
        job_of('archive', 'archive', 40),
        job_of('dispatcher', 'dispatcher', 4),
    )
    read_records(context, *map(JobAccepted, jobs))
    settle(context)


@when('a job of {count:d} tasks of team "{team}" is read by the trackers')
def team_job(context, count, team):
    accept(context, team, team, count)
    settle(context)


@when(
    'a job of {count:d} tasks "{name}" of priority {priority:d} is read by the trackers'
)
@when(
    'a job of {count:d} task "{name}" of priority {priority:d} is read by the trackers'
)
def priority_job(context, count, name, priority):
    accept(context, name, 'archive', count, priority=priority)
    settle(context)


@when('a job of 1 task "{name}" with 5 s of slack is read by the trackers')
def slack_job(context, name):
    accept(context, name, 'archive', 1, finish_by_wall_ms=6000)
    settle(context)


@when('{span_ms:d} ms pass in the trackers')
def trackers_wait(context, span_ms):
    settle(context, span_ms)


@when('{count:d} claimed tasks of team "{team}" end "{how}"')
def team_ends(context, count, team, how):
    tasks = [one for one in claimed(context) if one.job.spec.team == team]
    for task in tasks[:count]:
        end(context, task, how)
    settle(context)


@when('its task is measured to use twice its memory and ends')
def measured(context):
    task = claimed(context)[0]
    used = {task.task_id: Resources(1000, 2 * TASK.memory_mb)}
    sample = UsageSample(0, 1000, 'dispatcher', 0, 0, (task.key,), used)
    controller = context.controller
    controller.placer.observe(
        task.server_id, (sample,), controller.state, context.now_ms
    )
    end(context, task, 'done')


@when('its task ends "{how}" on "{server_id}"')
def task_ends_on(context, how, server_id):
    task = claimed(context)[0]
    end(context, task, how)


@when('tasks of job "{name}" fail {count:d} times on "{server_id}"')
def tasks_fail(context, name, count, server_id):
    accept(context, name, 'archive', 20)
    settle(context)
    for task in on_server(context, server_id)[:count]:
        end(context, task, 'failed')
    # Claims in flight when the last failure was read still take effect.
    for _ in range(2):
        for task in on_server(context, server_id):
            end(context, task, 'checkpointed')
        settle(context)


def on_server(context, server_id):
    return [one for one in claimed(context) if one.server_id == server_id]


@when('its task fails wherever it is claimed')
def fails_everywhere(context):
    for _ in range(6):
        for task in claimed(context):
            end(context, task, 'failed')
        settle(context)


@then('the claimed tasks of teams "{teams}" are "{counts}"')
def claimed_of_teams(context, teams, counts):
    of = [one.job.spec.team for one in claimed(context)]
    found = ', '.join(str(of.count(team)) for team in teams.split(', '))
    assert found == counts, found


@then('the job "{name}" has {count:d} claimed tasks')
def job_claimed(context, name, count):
    ids = [one.task_id for one in claimed(context)]
    found = [one for one in ids if one.startswith(f'qadri.{name}/')]
    assert len(found) == count, ids


@then('a task of job "{name}" is pending because of "{reason}"')
def task_waits(context, name, reason):
    controller = context.controller
    pending = controller.state.index.pending_by_id.values()
    task = next(one for one in pending if name in one.task_id)
    why = pending_reason(
        task, controller.state, controller.fleet, controller.placer, ''
    )
    assert reason in why, why


@then('server "{server_id}" is in quarantine for the trackers and no other')
def one_in_quarantine(context, server_id):
    found = context.controller.placer.quarantined_servers()
    assert found == {server_id}, found


@then('no server is in quarantine for the trackers')
def none_in_quarantine(context):
    assert not context.controller.placer.quarantined_servers()


@then('no task of job "{name}" is claimed on "{server_id}"')
def none_claimed_on(context, name, server_id):
    servers = {one.server_id for one in claimed(context)}
    assert server_id not in servers, servers


@then('the job "{name}" is over with 1 failed task')
def job_over(context, name):
    kept = context.controller.state.finished.summary_by_id[f'qadri.{name}']
    assert kept.failed == 1, kept
