"""Which servers may take one more fill.

A fill that starts where it harms costs more than it brings: the tasks beside it
are over their targets until it is slowed, and then it only keeps its memory. So
fills wait for a server that bears them at most of their speed; swings of load
open such room on all servers again and again.
"""

import itertools
from typing import NamedTuple

from waxwingford.scheduling._book import runs_of
from waxwingford.scheduling._harm import HarmModel
from waxwingford.scheduling._occupants import full_share
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._state import Job, Step

#: A fill waits for a server that bears it at this share of its speed.
LEAST_SPEED = 0.8
#: A job that has nothing running for so long, in ms, takes a server that bears a
#: fill of it at a part of its speed; after the longer time, any server.
HOLD_MS = 1500
MOST_HOLD_MS = 2600
#: Servers of a service are crowded when tasks other than fills take this share of
#: their cpu: then a job that waits is not forced on tasks that it harms.
CROWDED_SHARE = 0.6
#: Servers among which one fill chooses at most, in turn where more are open: the
#: best of two dozen is hardly worse than the best of hundreds.
MOST_CHOICES = 24


class _Pool(NamedTuple):
    # Servers of a service that take starts, and whether they are crowded.
    servers: list[Server]
    crowded: bool


class FillAdmission:
    """Tells where fills may start."""

    def __init__(self, model: HarmModel) -> None:
        """Work with a model.

        :param model: of what harms what.
        """
        self._model = model
        self._begin = 0
        self._servers: list[Server] = []
        self._pool_by_service: dict[str, _Pool] = {}
        self._open_by_kind: dict[tuple[str, str], list[Server]] = {}

    def update(self, servers: list[Server]) -> None:
        """Begin a round of placing.

        :param servers: that take starts.
        """
        self._open_by_kind.clear()
        self._pool_by_service.clear()
        self._servers = servers

    def open_servers(
        self, fill: Step, service: str, now_ms: int
    ) -> list[Server]:
        """Find the servers that bear any fill of an image, once a round.

        Hundreds of steps may wait, and at a time few of many servers are open
        to an image: to ask each for each step and start would take all of a
        core on 176 servers with 300 starts a second.

        :param fill: step of the fill.
        :param service: whose servers run it.
        :param now_ms: steady time.
        :returns: some that are worth a closer look.
        """
        servers = self._pool(service).servers
        if self._forced(fill, service, now_ms):
            return servers
        kind = service, fill.spec.image
        found = self._open_by_kind.get(kind)
        if found is None:
            found = [
                server
                for server in servers
                if min(self._model.allowance(server, fill, now_ms)) > 0
            ]
            self._open_by_kind[kind] = found
        if len(found) <= MOST_CHOICES:
            return found
        self._begin = (self._begin + MOST_CHOICES) % len(found)
        chosen = itertools.chain(found[self._begin :], found)
        return list(itertools.islice(chosen, MOST_CHOICES))

    def bearing(
        self, fill: Step, service: str, servers: list[Server], now_ms: int
    ) -> list[Server]:
        """Leave out the servers whose serving tasks a fill would harm.

        :param fill: step of the fill.
        :param service: whose servers run it.
        :param servers: with room for it.
        :param now_ms: steady time.
        :returns: those that bear it.
        """
        if self._forced(fill, service, now_ms):
            return servers
        least = LEAST_SPEED if _idle_ms(fill.job, now_ms) < HOLD_MS else 0
        return [
            server
            for server in servers
            if self._bears(server, fill, least, now_ms)
        ]

    def excess(self, fill: Step, server: Server, now_ms: int) -> float:
        """Predict by how much a fill goes beyond what a server bears.

        :param fill: step of the fill.
        :param server: where it would run.
        :param now_ms: steady time.
        :returns: share of what the fill needs, over 1 where there is too much
            already.
        """
        allowed = self._model.allowance(server, fill, now_ms)
        return max(0, 1 - min(allowed) / full_share(server, fill))

    def _forced(self, fill: Step, service: str, now_ms: int) -> bool:
        idle_ms = _idle_ms(fill.job, now_ms)
        return idle_ms >= MOST_HOLD_MS and not self._pool(service).crowded

    def _pool(self, service: str) -> _Pool:
        # Only when a fill waits: most rounds of placing have none.
        pool = self._pool_by_service.get(service)
        if pool is None:
            servers = [
                server
                for server in self._servers
                if server.entry.service == service
            ]
            pool = _Pool(servers, _are_crowded(servers))
            self._pool_by_service[service] = pool
        return pool

    def _bears(
        self, server: Server, fill: Step, least: float, now_ms: int
    ) -> bool:
        needed = full_share(server, fill)
        allowed = self._model.allowance(server, fill, now_ms)
        return needed <= allowed.start and needed * least <= allowed.sustained


def _idle_ms(job: Job, now_ms: int) -> int:
    return 0 if runs_of(job) else now_ms - job.idle_ms


def _are_crowded(servers: list[Server]) -> bool:
    used_milli = sum(server.used.processors_milli for server in servers)
    capacity_milli = sum(
        server.entry.capacity.processors_milli for server in servers
    )
    return used_milli >= CROWDED_SHARE * capacity_milli
