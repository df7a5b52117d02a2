"""Failure domains that operators have evacuated."""

from waxwingford.scheduling._shard_state import ShardState


class Evacuations:
    """Marks the servers on which nothing more is to start."""

    def __init__(self, state: ShardState) -> None:
        self._state = state
        self._domains: frozenset[str] = frozenset()

    def update(self) -> None:
        """Apply the evacuations in force to all servers."""
        domains = self._state.terms.evacuated_domains
        if not (domains or self._domains):
            return
        # Also without a change, as servers register and restart meanwhile.
        for server in self._state.server_by_id.values():
            server.evacuated = server.entry.failure_domain in domains
        self._domains = domains
