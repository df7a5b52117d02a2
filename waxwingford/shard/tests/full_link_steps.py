"""Steps for owners whose link carries fewer bytes than they want to send."""

import asyncio
import json

from behave import given, then, when

from waxwingford.scheduling import EndKind
from waxwingford.shard.tests.shard_steps import submit
from waxwingford.shard.tests.virtual_shard import (
    VirtualShard,
    step,
)

BYTES_PER_KB = 1000
FILL_INTERVAL_S = 0.01
TASK_MS = 700


@given(
    'a shard with {daemons:d} daemons and {servers:d} servers,'
    ' on links of {rate_kb_s:d} KB a second'
)
def start_shard_on_links(context, daemons, servers, rate_kb_s):
    context.shard = VirtualShard(
        1, daemons, servers, link_bytes_per_s=rate_kb_s * BYTES_PER_KB
    )
    context.add_cleanup(context.shard.close)
    context.shard.run(1)
    context.jobs = []


@when('a job of {count:d} long-running tasks is submitted')
def submit_long_running(context, count):
    submit(context, (step(count, long_running=True),))


@when("for {span_s:g} s messages wait {wait_s:g} s in the owner's link {way}")
def fill_link(context, span_s, wait_s, way):
    shard = context.shard
    context.first_owner = shard.owners[0]
    link = context.first_owner.link
    pipe = link.out if way == 'to others' else link.back
    until_s = shard.loop.time() + span_s
    while shard.loop.time() < until_s:
        pipe.idle_s = max(pipe.idle_s, shard.loop.time() + wait_s)
        shard.run(FILL_INTERVAL_S)
    assert shard.owners == [context.first_owner], shard.owners


@when(
    '{jobs:d} jobs of {tasks:d} tasks with {payload:d} bytes each'
    ' are submitted per second for {span_s:d} s'
)
def submit_with_payload(context, jobs, tasks, payload, span_s):
    shard = context.shard
    for _ in range(jobs * span_s):
        shard.run_until(_submit_and_pause(shard, tasks, payload, 1 / jobs))


async def _submit_and_pause(shard, tasks, payload, pause_s):
    spec = shard.new_spec((step(tasks, TASK_MS),), 'x' * payload)
    deadline_s = shard.loop.time() + 3
    submission = shard.daemons[-1].frontend.submit(spec, deadline_s)
    # In the background, as callers don't wait for each other.
    asyncio.ensure_future(submission)
    await asyncio.sleep(pause_s)


def events(context, *kinds):
    lines = [json.loads(line) for line in context.shard.lines]
    return [line for line in lines if line['event'] in kinds]


@then('no task was started after a run of it was done')
def check_no_start_after_done(context):
    started = context.shard.servers.starts_after_done
    assert not started, started


@then('the job was completed by {count:d} starts')
def check_completed_by(context, count):
    assert context.shard.phase(context.jobs[-1]) == 'completed'
    starts = context.shard.servers.starts
    assert sum(starts.values()) == count, starts


@then('all {count:d} tasks of the job run, and no run has lost its lease')
def check_run_without_lapse(context, count):
    lapsed = [
        (server.server_id, str(end.run.task))
        for server in context.shard.servers.server_by_id.values()
        for end in server.ends
        if end.kind is EndKind.lapsed
    ]
    running = context.shard.running(context.jobs[-1])
    assert not lapsed, (lapsed, running)
    assert len(running) == count, running


@then("no start was doubted or couldn't be sent")
def check_no_doubt(context):
    doubted = events(context, 'run.doubtful', 'run.not_sent')
    assert not doubted, (len(doubted), doubted[0])


@then('no server was taken for silent')
def check_no_silent_server(context):
    silent = events(context, 'server.silent')
    assert not silent, (len(silent), silent[0])
