"""Identity of the incarnations of backend servers."""

from typing import NamedTuple


class Incarnation(NamedTuple):
    """One life of a backend server, from a start of its process to its end.

    A server may start again under its id, and then holds and knows nothing of
    before. What a server holds, counts or grants belongs to one incarnation.

    :ivar server_id: identifier of the server, the same after a restart in place.
    :ivar started_ms: Unix time of the start in ms, 0 if it is unknown. It tells
        incarnations apart but not their order, as the time of day may go back.
    """

    server_id: str
    started_ms: int = 0

    def __str__(self) -> str:
        """Format the incarnation for the store; see ``parse_incarnation``."""
        return f'{self.server_id}@{self.started_ms}'


def parse_incarnation(text: str) -> Incarnation:
    """Parse an incarnation.

    :param text: text as returned by ``str``, or the id alone, as earlier
        versions stored it.
    """
    server_id, separator, started = text.rpartition('@')
    if not separator or not started.isdecimal():
        return Incarnation(text)
    return Incarnation(server_id, int(started))
