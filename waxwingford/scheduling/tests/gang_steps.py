"""Steps for the attempts of gangs."""

from behave import given, then, when

from waxwingford.scheduling import EndKind
from waxwingford.scheduling._rows import encode_step_row
from waxwingford.scheduling.tests.engine_harness import (
    JOB,
    expire_leases,
    step,
)
from waxwingford.scheduling.tests.succession_steps import change_owner

MS_PER_S = 1000


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
    harness.rows[stored.name] = encode_step_row(stored, 0)
    change_owner(context)
    harness.register()
    harness.poll()


@then('the gang has started {count:d} times')
def gang_started(context, count):
    numbers = {run.key.run for run in context.harness.planned_runs}
    assert len(numbers) == count, context.harness.planned_runs
