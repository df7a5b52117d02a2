"""Servers with claims that the platform's list no longer shows.

A VM that dies is dropped from the list, and a daemon that starts later never
hears of it.  Nobody would ask it, so nobody would suspect its attempts: one
would notice tasks that stay claimed for ever although their job declared
``lost_after_ms``.  So a server that only the claims know is suspected too; a
holder that still reaches it objects.
"""

from collections.abc import Container, Iterator
from typing import NamedTuple

from waxwingford.batch._settings import BatchSettings
from waxwingford.batch._suspicion import suspect_attempts
from waxwingford.records import AttemptSuspected, DomainState


class UnlistedSuspicion(NamedTuple):
    """A suspicion about a server that is not listed.

    :ivar server_id: the server.
    :ivar record: to append.
    """

    server_id: str
    record: AttemptSuspected


class UnlistedServers:
    """Since when each server with claims is unknown here."""

    def __init__(self, settings: BatchSettings) -> None:
        """Start empty.

        :param settings: settings of the controller.
        """
        self._settings = settings
        self._unlisted_since_ms: dict[str, int] = {}

    def suspicions(
        self, state: DomainState, known: Container[str], now_ms: int
    ) -> Iterator[UnlistedSuspicion]:
        """Suspect attempts at servers that were unknown for long.

        :param state: state replayed from the domain's stream.
        :param known: servers that this daemon asks by itself.
        :param now_ms: monotonic time, in milliseconds.
        :returns: records to append.
        """
        self._unlisted_since_ms = {
            server_id: self._unlisted_since_ms.get(server_id, now_ms)
            for server_id in state.index.attempts_by_server
            if server_id not in known
        }
        for server_id, since_ms in self._unlisted_since_ms.items():
            if now_ms - since_ms < self._settings.control_lease_ms:
                continue
            record = suspect_attempts(server_id, state, self._settings)
            if record is not None:
                yield UnlistedSuspicion(server_id, record)
