"""Steps for a shard whose owner has its calls carried out by relays."""

import functools

from behave import given, then, when

from waxwingford.shard.tests.restarting_servers import restart_in_place
from waxwingford.shard.tests.shard_steps import (
    RECOVERY_S,
    start_faulty_shard,
    stop_faults,
    take_random_action,
)
from waxwingford.shard.tests.virtual_shard import VirtualShard, step

LINK_FAULT_SHARE = 0.3
MS_PER_S = 1000


@given('a shard of {daemons:d} daemons and {servers:d} servers with relays')
def create_shard(context, daemons, servers):
    context.shard = VirtualShard(1, daemons, servers, relays=True)
    context.add_cleanup(context.shard.close)
    context.jobs = []
    context.shard.run(2)


@given(
    'a shard of {daemons:d} daemons with relays'
    ' and {servers:d} servers that started {span_s:d} s ago'
)
def create_older_shard(context, daemons, servers, span_s):
    context.shard = VirtualShard(
        1, daemons, servers, relays=True, clock_offset_ms=span_s * MS_PER_S
    )
    context.add_cleanup(context.shard.close)
    context.shard.run(2)


@when('a relay is killed')
def kill_relay(context):
    relay = next(daemon for daemon in context.shard.living() if not daemon.owns)
    context.shard.call(relay.kill)


@when(
    'a shard with relays is simulated for {span_s:d} s with random faults and'
    ' seed {seed:d}'
)
def run_relayed(context, span_s, seed):
    shard = start_faulty_shard(context, seed, relays=True)
    while shard.loop.time() < span_s:
        take_random_action(context, shard)
        if shard.random.random() < LINK_FAULT_SHARE:
            cut_link(shard)
        shard.run(shard.random.uniform(0.2, 1.5))
    stop_faults(shard)
    shard.call(shard.network.heal)
    shard.run(RECOVERY_S)


def cut_link(shard):
    """Hold back what two daemons send each other, and deliver it late."""
    pair = shard.random.sample(shard.daemons, 2)
    shard.network.cut.add(frozenset(daemon.daemon_id for daemon in pair))
    shard.loop.call_later(shard.random.uniform(0.3, 5), shard.network.heal)


@then('most starts were sent by relays')
def check_relayed(context):
    owner = context.shard.owners[0]
    own_starts = owner.servers.start_count
    all_starts = sum(
        daemon.servers.start_count for daemon in context.shard.daemons
    )
    assert own_starts < all_starts / 2, (own_starts, all_starts)


@when(
    'relays hold back the starts of a job of {count:d} tasks of {length_s:d} s'
)
def hold_back_starts(context, count, length_s):
    shard = context.shard
    owner = shard.owners[0]
    shard.network.cut |= {
        frozenset((owner.daemon_id, daemon.daemon_id))
        for daemon in shard.daemons
        if daemon is not owner
    }
    shard.submit((step(count, length_s * MS_PER_S),), owner)


@when('all servers restart in place {span_s:d} s later')
def restart_all_in_place(context, span_s):
    shard = context.shard
    shard.run(span_s)
    for server in tuple(shard.servers.server_by_id.values()):
        shard.call(functools.partial(restart_in_place, server))


@when('relays send what they held back {span_s:d} s later')
def send_late(context, span_s):
    context.shard.run(span_s)
    context.shard.call(context.shard.network.heal)
    context.shard.run(RECOVERY_S)
