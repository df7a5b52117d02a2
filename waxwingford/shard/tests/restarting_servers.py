"""Restarts of simulated backend servers under the id that they had."""

import asyncio

from waxwingford.shard.tests.virtual_servers import VirtualServer

#: Time from the crash of a server to its next start, in seconds.
DOWN_S = 0.7


def restart_in_place(
    server, down_s=DOWN_S, registered_after_s=0, clock_ms=0, resets=True
):
    """Crash a server and start it again under its id.

    The next incarnation holds and knows nothing of the former one, and its
    counts and its clock start anew.

    :param registered_after_s: time from its start to its first registration;
        until then, the one of the former incarnation is stored.
    :param clock_ms: its clock at the start, in ms.
    :param resets: whether the crash resets open connections.
    """
    server.resets = resets
    server.stop_responding(connect_timeout_s=0)
    if resets:
        server.changed.set()
    asyncio.get_running_loop().call_later(
        down_s, _start_again, server, registered_after_s, clock_ms
    )


def _start_again(server, registered_after_s, clock_ms):
    fleet = server.fleet
    successor = VirtualServer(
        fleet,
        server.server_id,
        server.capacity,
        clock_ms - fleet.loop_ms(),
    )
    successor.enforces_capacity = server.enforces_capacity
    successor.fails = server.fails
    # Counts the polls of all incarnations.
    successor.poll_count = server.poll_count
    fleet.server_by_id[server.server_id] = successor
    if registered_after_s:
        successor.outdated_entry = server.outdated_entry or server.entry
        asyncio.get_running_loop().call_later(
            registered_after_s, setattr, successor, 'outdated_entry', None
        )
