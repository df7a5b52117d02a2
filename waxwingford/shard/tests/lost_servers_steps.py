"""Steps for servers that leave, vanish or are cut off."""

import msgspec
from behave import then, when

from waxwingford.shard._journal import (
    OWNERS_TOPIC,
    decode_owner,
)
from waxwingford.shard.tests.shard_steps import kill_owner


@when('the owner is cut off from all servers but one')
def cut_owner_from_most(context):
    context.first_owner = context.shard.owners[0]
    names = list(context.shard.servers.server_by_id)[1:]
    context.shard.servers.cut |= {
        (context.first_owner.daemon_id, name) for name in names
    }


@when('a server with tasks leaves and the owner is killed')
def leave_and_kill_owner(context):
    shard = context.shard
    context.left_s = shard.loop.time()
    context.left_server = shard.running(context.jobs[-1])[0]
    shard.servers.server_by_id[context.left_server].crash()
    kill_owner(context)


@when(
    '{count:d} idle servers vanish'
    ' and connections to them fail after {connect_s:g} s'
)
def vanish_idle(context, count, connect_s):
    servers = context.shard.servers.server_by_id.values()
    idle = [server for server in servers if not server.run_by_task]
    for server in idle[:count]:
        server.stop_responding(connect_s)


@when('the next {count:d} starts are not sent')
def fail_next_starts(context, count):
    for server in context.shard.servers.server_by_id.values():
        server.starts_to_fail = count


@when('{span_s:g} s have passed since the server left')
def run_since_left(context, span_s):
    shard = context.shard
    shard.run(context.left_s + span_s - shard.loop.time())


@when('the server is reachable for {span_s:g} s, just after a heartbeat')
def reconnect_briefly(context, span_s):
    shard = context.shard
    cut = set(shard.servers.cut)
    heartbeats = shard.store.topic(OWNERS_TOPIC).records
    known = len(heartbeats)
    while len(heartbeats) == known:
        shard.run(0.001)
    silent = decode_owner(heartbeats[-1].payload).silent
    assert set(silent) == {server_id for _, server_id in cut}, silent
    shard.servers.cut.clear()
    shard.run(span_s)
    shard.servers.cut |= cut


@when('each order to a server takes {span_s:g} s')
def delay_orders(context, span_s):
    context.shard.servers.order_delay_s = span_s


@when(
    'the owner loses the store, the others lose the server,'
    ' and another server joins'
)
def split_owner_and_others(context):
    shard = context.shard
    owner_id = shard.owners[0].daemon_id
    shard.store.silent.add(owner_id)
    server_id = next(iter(shard.servers.server_by_id))
    shard.servers.cut |= {
        (daemon.daemon_id, server_id)
        for daemon in shard.daemons
        if daemon.daemon_id != owner_id
    }
    shard.servers.add(1)


@when('a server with tasks is cut off from all daemons but the owner')
def cut_from_others(context):
    shard = context.shard
    server_id = shard.running(context.jobs[-1])[0]
    shard.servers.cut |= {
        (daemon.daemon_id, server_id)
        for daemon in shard.daemons
        if not daemon.owns
    }


@then(
    'one log line tells that the owner waits for the server, and for how long'
)
def check_wait_logged(context):
    lines = [msgspec.json.decode(line) for line in context.shard.lines]
    awaited = [line for line in lines if line['event'] == 'server.awaited']
    assert len(awaited) == 1, awaited
    assert awaited[0]['subject'] == context.left_server
    assert awaited[0]['runs'] > 0
    assert awaited[0]['inherited'] == awaited[0]['runs']
    assert awaited[0]['left_ms'] > 0
    assert not awaited[0]['registered']


@when('a server with tasks is cut off')
def cut_server(context):
    context.left_s = context.shard.loop.time()
    server_id = context.shard.running(context.jobs[-1])[0]
    context.shard.servers.cut |= {
        (daemon.daemon_id, server_id) for daemon in context.shard.daemons
    }


@then('all {count:d} tasks of the job run on servers that are not cut off')
def check_tasks_run_elsewhere(context, count):
    servers = context.shard.servers
    cut = {server_id for _, server_id in servers.cut}
    there = context.shard.running(context.jobs[-1])
    assert sum(server_id not in cut for server_id in there) == count, (
        there,
        cut,
    )
