"""Steps for changes of the capacity of servers."""

import itertools

from behave import given, then, when

from waxwingford.ports import Resources
from waxwingford.shard import Stored
from waxwingford.shard._journal import JOURNAL_TOPIC
from waxwingford.shard.tests.shard_steps import submit_job_of_length


@given('no server enforces its capacity')
def disable_capacity_checks(context):
    for server in context.shard.servers.server_by_id.values():
        server.enforces_capacity = False


@when('all servers shrink to {cores:d} cores')
@when('all servers grow to {cores:d} cores')
def change_capacity(context, cores):
    servers = context.shard.servers.server_by_id.values()
    capacity = Resources(cores * 1000, cores * 4000, 0)

    def change():
        for server in servers:
            server.capacities.change(capacity)

    context.shard.call(change)


@when('the next {count:d} appends to the journal are dropped')
def drop_appends(context, count):
    context.shard.store.lost_appends_by_topic[JOURNAL_TOPIC] = list(
        itertools.repeat(None, count)
    )


@when(
    'the job is cancelled, and a job of {count:d} tasks of {length_s:d} s'
    ' is submitted immediately'
)
def cancel_and_submit(context, count, length_s):
    outcome = context.shard.cancel(context.jobs[-1])
    assert isinstance(outcome, Stored), outcome
    submit_job_of_length(context, count, length_s)


@then('{count:d} tasks of the job are running')
def check_running_count(context, count):
    running = context.shard.running(context.jobs[-1])
    assert len(running) == count, running
