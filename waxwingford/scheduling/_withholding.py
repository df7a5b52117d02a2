"""Servers whose leases an owner has stopped extending.

A successor has to wait until all leases on a server that it can't reach are
over. Unless it learns that the former owner had not extended them for long, it
waits for as long as for any other server, after each change of owner anew.
"""

import math
from collections.abc import Iterable

from waxwingford.scheduling._book import Book
from waxwingford.scheduling._servers import Server

#: A server that has answered before is told of as silent after this, in ms: a
#: connection that was reset is there again within 200 ms, and a server that is
#: told of gets no starts until the next heartbeat but one.
SILENT_MS = 600


class Withholding:
    """Chooses the servers whose leases are not extended."""

    def __init__(self, book: Book) -> None:
        """Work on a book.

        :param book: of the shard.
        """
        self._book = book

    def name_silent(self, now_ms: int) -> dict[str, int]:
        """Name the silent servers for a heartbeat, and stop extending their leases.

        :param now_ms: steady time.
        :returns: how long something may still run there, in ms, by server.
        """
        left_by_server = {
            server_id: math.ceil(max(0, server.lease_left_ms(now_ms)))
            for server_id, server in self._book.server_by_id.items()
            if server.run_by_key and _is_silent(server, now_ms)
        }
        self._book.withheld |= left_by_server.keys()
        return left_by_server

    def stored(self, silent: Iterable[str]) -> None:
        """Extend leases again, but for those of some servers.

        :param silent: servers that the newest stored heartbeat names.
        """
        self._book.withheld = set(silent)


def _is_silent(server: Server, now_ms: int) -> bool:
    if server.clock_ahead_ms is None:
        # Never reached, so only former owners have given leases there.
        return True
    since_ms = server.failing_ms
    return since_ms is not None and now_ms - since_ms >= SILENT_MS
