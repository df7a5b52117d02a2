"""Steps for servers that restart under the id that they had."""

import functools

from behave import given, then, when

from waxwingford.shard.tests.restarting_servers import restart_in_place
from waxwingford.shard.tests.shard_steps import (
    RECOVERY_S,
    start_faulty_shard,
    stop_faults,
    take_random_action,
)
from waxwingford.shard.tests.virtual_shard import VirtualShard

MS_PER_S = 1000
RESTART_PROBABILITY = 0.2
OUTDATED_PROBABILITY = 0.5
RESET_PROBABILITY = 0.7


@given(
    'a shard with {daemons:d} daemons and {servers:d} servers whose clocks are'
    ' {ahead_s:d} s ahead'
)
def start_shard_ahead(context, daemons, servers, ahead_s):
    context.shard = VirtualShard(
        1, daemons, servers, clock_offset_ms=ahead_s * MS_PER_S
    )
    context.add_cleanup(context.shard.close)
    context.shard.run(1)
    context.jobs = []


@when('all servers restart in place')
@when('all servers restart in place, registered {late_s:g} s later')
def restart_all(context, late_s=0):
    for server in list(context.shard.servers.server_by_id.values()):
        context.shard.call(
            functools.partial(
                restart_in_place, server, registered_after_s=late_s
            )
        )


@when('the time of day of all servers goes back by {span_s:d} s')
def set_time_of_day_back(context, span_s):
    context.shard.servers.epoch_ms -= span_s * MS_PER_S


@when('all servers fail what they start')
def fail_on_all(context):
    for server in context.shard.servers.server_by_id.values():
        server.fails = True


@when('a server with tasks restarts in place and is cut off')
def restart_and_cut(context):
    server_id = context.shard.running(context.jobs[-1])[0]
    cut_off_after_restart(context.shard, server_id)


@when('server {server_id} restarts in place and is cut off')
def restart_one_and_cut(context, server_id):
    cut_off_after_restart(context.shard, server_id)


def cut_off_after_restart(shard, server_id):
    server = shard.servers.server_by_id[server_id]
    shard.call(functools.partial(restart_in_place, server))
    shard.servers.cut |= {
        (daemon.daemon_id, server_id) for daemon in shard.daemons
    }


@when('orders are carried out {late_s:g} s late')
def delay_all_orders(context, late_s):
    context.shard.servers.late_share = 1
    context.shard.servers.late_range_s = (late_s, late_s)


@when('orders are carried out at once')
def carry_out_at_once(context):
    context.shard.servers.late_share = 0


@when('crashed servers restart in place after {down_s:g} s')
def crash_in_place(context, down_s):
    context.shard.servers.crashing.crash = functools.partial(
        restart_in_place, down_s=down_s
    )


@when(
    'a shard whose servers restart in place is simulated for {span_s:d} s'
    ' with seed {seed:d}'
)
def simulate_restarts(context, span_s, seed):
    simulate_random_faults(context, span_s, seed, late_orders_survive=True)


@when(
    'a shard whose servers restart in place and lose late orders is simulated'
    ' for {span_s:d} s with seed {seed:d}'
)
def simulate_losing_orders(context, span_s, seed):
    simulate_random_faults(context, span_s, seed, late_orders_survive=False)


def simulate_random_faults(context, span_s, seed, late_orders_survive):
    shard = start_faulty_shard(context, seed)
    shard.servers.late_orders_survive = late_orders_survive
    while shard.loop.time() < span_s:
        if shard.random.random() < RESTART_PROBABILITY:
            restart_some(shard)
        take_random_action(context, shard)
        shard.run(shard.random.uniform(0.2, 1.5))
    stop_faults(shard)
    shard.run(RECOVERY_S)


def restart_some(shard):
    """Restart up to half of the servers at once, as in a crash of a rack."""
    up = [server for server in shard.servers.server_by_id.values() if server.up]
    count = shard.random.randint(1, max(1, len(up) // 2))
    down_s = shard.random.uniform(0.1, 2)
    outdated = shard.random.random() < OUTDATED_PROBABILITY
    late_s = shard.random.uniform(0.1, 3) if outdated else 0
    clock_ms = shard.random.choice((0, 1000, 5_000_000))
    resets = shard.random.random() < RESET_PROBABILITY
    for server in shard.random.sample(up, min(count, len(up))):
        shard.call(
            functools.partial(
                restart_in_place, server, down_s, late_s, clock_ms, resets
            )
        )


@then('its task was started {count:d} times')
def check_start_count(context, count):
    starts = {
        task: number
        for task, number in context.shard.servers.starts.items()
        if task.job_id == context.jobs[-1]
    }
    assert list(starts.values()) == [count], starts


@then('each task was started at most {count:d} times')
def check_most_starts(context, count):
    starts = context.shard.servers.starts
    assert starts
    assert max(starts.values()) <= count, starts
