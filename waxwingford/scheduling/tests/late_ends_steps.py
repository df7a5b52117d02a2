"""Steps for ends that servers list after their runs were settled."""

from behave import then, when

from waxwingford.scheduling import EndKind
from waxwingford.scheduling.tests.engine_harness import expire_leases
from waxwingford.scheduling.tests.succession_steps import change_owner


@when(
    'its server is silent until the lease expires,'
    ' and then lists the run as {kind}'
)
def let_lease_expire_then_list_end(context, kind):
    let_lease_expire(context)
    list_end(context, kind)


@when('its server is silent until the lease expires, and the owner changes')
def let_lease_expire_then_change_owner(context):
    let_lease_expire(context)
    change_owner(context)


def let_lease_expire(context):
    harness = context.harness
    run = harness.planned_runs[-1]
    server = harness.engine.state.server_by_id[run.server_id]
    expire_leases(harness, run.server_id)
    assert run.key not in server.run_by_key


@when('the server lists the run as {kind}')
@when('the server lists the next run as {kind}')
def list_end(context, kind):
    harness = context.harness
    harness.end(harness.planned_runs[-1], EndKind[kind])
    harness.decide()


@then('the task was started {count:d} times')
def started_times(context, count):
    assert len(context.harness.planned_runs) == count, (
        context.harness.planned_runs
    )
