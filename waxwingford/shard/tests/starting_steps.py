"""Steps for daemons that have started and can't own a shard yet."""

import asyncio

from behave import given, then, when

from waxwingford.shard.tests.virtual_shard import VirtualShard


@given("a shard of {daemons:d} daemons, the first of which can't own it yet")
def start_shard_with_starting_daemon(context, daemons):
    context.shard = VirtualShard(1, daemons)
    context.add_cleanup(context.shard.close)
    first = context.shard.daemons[0]
    first.member._can_own = asyncio.Event()


@when('the first daemon can own the shard')
def permit_owning(context):
    first = context.shard.daemons[0]
    first.member._can_own.set()


@then('nobody has claimed the shard')
def check_no_claim(context):
    epochs = [daemon.member._claimed_epoch for daemon in context.shard.daemons]
    assert not any(epochs), epochs


@then('the second daemon alone has claimed the shard')
def check_claims(context):
    claimed = [
        daemon.daemon_id
        for daemon in context.shard.daemons
        if daemon.member._claimed_epoch
    ]
    assert claimed == [context.shard.daemons[1].daemon_id], claimed
