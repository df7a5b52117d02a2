"""Priority queue of the servers that can run a task of one step.

Within a placement round free resources only shrink, so a server is evaluated
once per step and again only when it has changed. A scan of all servers for each
task would delay heartbeats on large fleets.
"""

import heapq
from collections.abc import Callable
from typing import NamedTuple

from waxwingford.scheduling._servers import Server


class _Candidate(NamedTuple):
    # ``number`` breaks ties of cost by the given order of servers; entries
    # whose ``version`` isn't the latest of their server are stale.
    cost: float
    number: int
    version: int


class CandidateQueue:
    """Servers that can run a task of one step, by cost."""

    def __init__(
        self,
        servers: list[Server],
        fit: Callable[[list[Server]], list[Server]],
        cost: Callable[[Server], float],
        changed_count: int,
    ) -> None:
        """Evaluate all servers.

        :param servers: servers that accept starts, or a selection of them.
        :param fit: function that keeps the servers with free resources for a
            task.
        :param cost: function that returns the cost of a task on a server; lower
            is better.
        :param changed_count: number of changes of servers so far in this round.
        """
        self._servers = servers
        self._fit = fit
        self._cost = cost
        self._number_by_server = {
            server.entry.server_id: number
            for number, server in enumerate(servers)
        }
        self._versions = [0 for _ in servers]
        self._heap = [self._evaluate(server) for server in fit(servers)]
        heapq.heapify(self._heap)
        self._changed_count = changed_count

    def best(self, changed: list[Server]) -> Server | None:
        """Return the cheapest server, ``None`` if no server fits.

        :param changed: servers that got a run or a reservation in this round,
            in order.
        """
        for server in dict.fromkeys(changed[self._changed_count :]):
            if server.entry.server_id in self._number_by_server:
                self._update(server)
        self._changed_count = len(changed)
        while self._heap:
            first = self._heap[0]
            if first.version == self._versions[first.number]:
                return self._servers[first.number]
            heapq.heappop(self._heap)
        return None

    def _update(self, server: Server) -> None:
        number = self._number_by_server[server.entry.server_id]
        self._versions[number] += 1
        for fitting in self._fit([server]):
            heapq.heappush(self._heap, self._evaluate(fitting))

    def _evaluate(self, server: Server) -> _Candidate:
        number = self._number_by_server[server.entry.server_id]
        return _Candidate(self._cost(server), number, self._versions[number])
