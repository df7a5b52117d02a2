"""Selection of the servers that are evaluated for a step.

Evaluating each of thousands of servers for each of hundreds of steps takes longer
than the leases and heartbeats of an owner last. A part of a large fleet is as good:
the selection begins where the one before has ended, and goes on until enough servers
are found.
"""

import itertools
from collections.abc import Iterator

from waxwingford.ports import fits_resources
from waxwingford.scheduling._eligibility import eligible
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._state import Step

#: Servers that are looked at together, and all servers of fleets up to this size.
CHUNK_SERVERS = 400
#: A step is compared on this many servers with room, and on more for each of its
#: unfinished tasks.
MIN_SERVERS = 100
SERVERS_PER_TASK = 2


class ServerSelection:
    """Selects servers of a large fleet in turn."""

    def __init__(self) -> None:
        self._offset = 0

    def window(self, servers: list[Server]) -> list[Server]:
        """Select the next servers.

        :returns: all servers of a small fleet, else ``CHUNK_SERVERS`` of them.
        """
        if len(servers) <= CHUNK_SERVERS:
            return servers
        self._offset = (self._offset + CHUNK_SERVERS) % len(servers)
        return list(itertools.islice(self._rotated(servers), CHUNK_SERVERS))

    def with_room(
        self, step: Step, service: str, servers: list[Server]
    ) -> list[Server]:
        """Select servers that may run a step and have room for a task of it.

        :param service: service whose servers run the step.
        :returns: all servers of a small fleet, as their room may change in a round,
            else enough servers with room, and those on the rack of the step's data.
        """
        if len(servers) <= CHUNK_SERVERS:
            return servers
        wanted = MIN_SERVERS + SERVERS_PER_TASK * step.unfinished
        selected = {
            server.entry.server_id: server
            for server in self._near(step, service, servers)
        }
        rotated = self._rotated(servers)
        looked_at = 0
        while len(selected) < wanted and looked_at < len(servers):
            chunk = list(itertools.islice(rotated, CHUNK_SERVERS))
            looked_at += CHUNK_SERVERS
            for server in _with_room(step, service, chunk):
                selected[server.entry.server_id] = server
        self._offset = (self._offset + looked_at) % len(servers)
        return list(selected.values())

    def _near(
        self, step: Step, service: str, servers: list[Server]
    ) -> list[Server]:
        rack = step.spec.near_rack
        near = [server for server in servers if server.entry.rack == rack]
        return _with_room(step, service, near) if rack else []

    def _rotated(self, servers: list[Server]) -> Iterator[Server]:
        return itertools.chain(
            itertools.islice(servers, self._offset, None),
            itertools.islice(servers, self._offset),
        )


def _with_room(step: Step, service: str, servers: list[Server]) -> list[Server]:
    takes = step.spec.reserved_resources
    return [
        server
        for server in eligible(step, service, servers)
        if fits_resources(takes, server.free_resources)
    ]
