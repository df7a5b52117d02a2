"""Suspicion of attempts on servers that are claimed but not listed.

A failed VM is dropped from the platform's list, so that no daemon contacts it.
Without this its tasks would stay claimed although their job declares
``lost_after_ms``.  A holder that still reaches the server refutes the
suspicion.
"""

from collections.abc import Container, Iterator
from typing import NamedTuple

from waxwingford.batch._settings import BatchSettings
from waxwingford.batch._suspicion import suspect_attempts
from waxwingford.records import AttemptSuspected, DomainState


class UnlistedSuspicion(NamedTuple):
    """A suspicion about a server that is not listed."""

    server_id: str
    record: AttemptSuspected


class UnlistedServers:
    """Servers with claims that are not listed, with the time since."""

    def __init__(self, settings: BatchSettings) -> None:
        self._settings = settings
        self._unlisted_since_ms: dict[str, int] = {}

    def suspicions(
        self, state: DomainState, known: Container[str], now_ms: int
    ) -> Iterator[UnlistedSuspicion]:
        """Suspect the attempts on servers that have been unlisted too long.

        :param state: state replayed from the domain's stream.
        :param known: ids of servers that this daemon contacts.
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
