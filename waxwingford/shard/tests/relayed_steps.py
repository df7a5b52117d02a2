"""Steps for a shard whose owner has its calls carried out by relays."""

from behave import given, then, when

from waxwingford.shard.tests.shard_steps import (
    RECOVERY_S,
    start_faulty_shard,
    stop_faults,
    take_random_action,
)
from waxwingford.shard.tests.virtual_shard import VirtualShard

LINK_FAULT_SHARE = 0.3


@given('a shard of {daemons:d} daemons and {servers:d} servers with relays')
def create_shard(context, daemons, servers):
    context.shard = VirtualShard(1, daemons, servers, relays=True)
    context.add_cleanup(context.shard.close)
    context.jobs = []
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
