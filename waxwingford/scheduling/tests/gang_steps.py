"""Steps for the attempts of gangs."""

import itertools
import math

from behave import given, then, when

from waxwingford.scheduling import EndKind, JobSpec, Terms
from waxwingford.scheduling._rows import encode_step_row
from waxwingford.scheduling.tests.engine_harness import (
    JOB,
    QUEUE,
    SECOND,
    expire_leases,
    step,
)
from waxwingford.scheduling.tests.succession_steps import change_owner

MS_PER_S = 1000
OTHER_RACK = 'r2'


@given('a gang of {count:d} tasks of 1 core with 1 on each server that runs')
def spread_gang(context, count):
    harness = context.harness
    harness.submit(step(count, gang=True, max_per_server=1))
    harness.poll()


def latest_runs(harness):
    newest = max(run.key.run for run in harness.planned_runs)
    return [run for run in harness.planned_runs if run.key.run == newest]


def end_members(context, kinds, between):
    harness = context.harness
    runs = latest_runs(harness)
    for run, kind in zip(runs, kinds.split(', '), strict=True):
        harness.end(run, EndKind[kind])
        between()
    harness.decide()


@when('the members of its run end as {kinds}, {apart_s:d} s apart')
def end_members_apart(context, kinds, apart_s):
    harness = context.harness
    end_members(context, kinds, lambda: harness.pass_ms(apart_s * MS_PER_S))


@when('the members of its run end as {kinds}, with a new owner after each')
def end_members_between_owners(context, kinds):
    def _succeed():
        change_owner(context)
        context.harness.register()
        context.harness.poll()
        context.harness.decide()

    end_members(context, kinds, _succeed)


@when(
    'the members of its run end as {kinds}, and the owner changes before its'
    ' next run'
)
def end_members_before_owner(context, kinds):
    harness = context.harness
    harness.max_starts = 0
    end_members(context, kinds, lambda: None)
    change_owner(context)
    harness.poll()
    harness.max_starts = math.inf
    harness.decide()


@when('the members of its run end as {kinds}')
def end_all_members(context, kinds):
    end_members(context, kinds, lambda: None)


@when(
    'a member of its run fails, and the server of another is silent until its'
    ' lease expires'
)
def fail_and_lose(context):
    harness = context.harness
    failing, lost, stopped = latest_runs(harness)
    context.lost = lost
    harness.end(failing, EndKind.failed)
    harness.end(stopped, EndKind.stopped)
    expire_leases(harness, context.lost.server_id)
    harness.decide()


@when('that server lists its member of the former run as failed')
def list_former_run(context):
    context.harness.end(context.lost, EndKind.failed)


@when('an older version has stored {count:d} failures of each member')
def store_older_row(context, count):
    harness = context.harness
    job = harness.engine.state.job_by_id[JOB]
    stored = job.steps_by_occurrence[0][0]
    for task in stored.tasks:
        task.failures = count
    harness.rows[stored.name] = encode_step_row(stored, 0, 0)
    change_owner(context)
    harness.register()
    harness.poll()


@then('the gang has started {count:d} times')
def gang_started(context, count):
    numbers = {run.key.run for run in context.harness.planned_runs}
    assert len(numbers) == count, context.harness.planned_runs


@given('{attempts:d} attempts for each task')
def set_attempts(context, attempts):
    queue = QUEUE._replace(most_attempts=attempts)
    context.harness.engine.configure(Terms(2, {QUEUE.name: queue}))


def servers(context):
    return context.harness.engine.state.server_by_id.values()


def excluded_servers(context):
    now_ms = context.harness.now_ms
    return [one for one in servers(context) if one.excluded_until_ms > now_ms]


@then('no server is excluded')
def check_none_excluded(context):
    assert not excluded_servers(context), excluded_servers(context)


@then('each server is excluded')
def check_all_excluded(context):
    assert len(excluded_servers(context)) == len(servers(context))


@then('each server has a penalty')
def check_penalties(context):
    penalties = [server.penalty for server in servers(context)]
    assert all(penalties), penalties


def runs_by_number(context):
    runs = sorted(context.harness.planned_runs, key=lambda run: run.key.run)
    grouped = itertools.groupby(runs, lambda run: run.key.run)
    return {number: list(members) for number, members in grouped}


@then('its second run is on {count:d} servers where none of it has failed')
def check_second_run(context, count):
    runs = runs_by_number(context)[2]
    failed = {
        server_id
        for server_id, ends in context.harness.ends.items()
        if any(end.kind is EndKind.failed for end in ends)
    }
    assert failed
    sound = [run for run in runs if run.server_id not in failed]
    assert len(sound) == count, runs


@then('the new owner avoids no server for it')
def check_nothing_avoided(context):
    job = context.harness.engine.state.job_by_id[JOB]
    long_running = job.steps_by_occurrence[0][0]
    assert not long_running.tasks[0].avoided


@given('{count:d} servers on another rack')
def other_rack(context, count):
    harness = context.harness
    for _ in range(count):
        harness.add(8)
        entry = harness.entries.pop()
        harness.entries.append(entry._replace(rack=OTHER_RACK))
    harness.register()
    harness.poll()


@given('a gang of {count:d} tasks on one rack with 1 on each server that runs')
def gang_on_one_rack(context, count):
    harness = context.harness
    spec = step(count, gang=True, one_rack=True, max_per_server=1)
    harness.submit(spec)
    harness.poll()
    assert {rack_of(harness, run) for run in harness.planned_runs} == {'r1'}


def rack_of(harness, run):
    server = harness.engine.state.server_by_id[run.server_id]
    return server.entry.rack


@then('its second run is on the other rack')
def check_rack(context):
    racks = {
        rack_of(context.harness, run) for run in runs_by_number(context)[2]
    }
    assert racks == {OTHER_RACK}, racks


@when('the job is cancelled and its runs have ended')
def cancel_and_end(context):
    harness = context.harness
    runs = latest_runs(harness)
    harness.engine.cancel(JOB)
    for run in runs:
        harness.end(run, EndKind.stopped)


@when('another gang of {count:d} tasks of 1 core is submitted')
def submit_second_gang(context, count):
    harness = context.harness
    gang = step(count, gang=True, max_per_server=1)
    spec = JobSpec(SECOND, QUEUE.name, '', (gang,), terms=QUEUE)
    harness.engine.submit(spec, harness.now_ms)
    harness.decide()


@then('it is on servers that have no penalty')
def check_no_penalty(context):
    harness = context.harness
    by_id = harness.engine.state.server_by_id
    runs = [
        run for run in harness.planned_runs if run.key.task.job_id == SECOND
    ]
    assert runs
    penalties = [by_id[run.server_id].penalty for run in runs]
    assert not any(penalties), penalties


@then(
    'the log tells once that {failed:d} failed runs of {attempts:d} attempts'
    ' were counted'
)
def check_exhausted(context, failed, attempts):
    notes = context.harness.engine.state.notes.take()
    told = [note.fields for note in notes if note.event == 'task.exhausted']
    counts = [(one['failed_runs'], one['most_attempts']) for one in told]
    assert counts == [(failed, attempts)], told
