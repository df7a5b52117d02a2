"""Registrations of workers in the platform's store, which others may write too."""

from collections.abc import Mapping
from typing import NamedTuple

import logbook

from waxwingford.platform._records import decode_registration
from waxwingford.scheduling import ServerEntry

_log = logbook.Logger('platform')


class _Read(NamedTuple):
    # An entry as it lies in the store, the server that it names, if any, and how
    # often it was written in a form that can't be read.
    raw: bytes
    entry: ServerEntry | None
    unread: int


class Registrations:
    """Translates registrations; those that can't be read name no server."""

    def __init__(self) -> None:
        """Know none."""
        self._read_by_id: dict[str, _Read] = {}

    def read(self, raw_by_id: Mapping[str, bytes]) -> tuple[ServerEntry, ...]:
        """Translate all registrations.

        :param raw_by_id: as they lie in the store, by server.
        :returns: the servers that they name.
        """
        self._read_by_id = {
            server_id: self._known(server_id, raw)
            for server_id, raw in raw_by_id.items()
        }
        return tuple(
            read.entry
            for read in self._read_by_id.values()
            if read.entry is not None
        )

    def _known(self, server_id: str, raw: bytes) -> _Read:
        known = self._read_by_id.get(server_id)
        if known is not None and known.raw == raw:
            return known
        unread = 0 if known is None else known.unread
        try:
            return _Read(raw, decode_registration(server_id, raw), unread)
        except ValueError as error:
            _tell(server_id, unread + 1, error)
            return _Read(raw, None, unread + 1)


def _tell(server_id: str, times: int, error: ValueError) -> None:
    """Log an entry that can't be read, the more seldom the more often it came.

    :param server_id: whose it is.
    :param times: how often it came.
    :param error: what is wrong with it.
    """
    is_power_of_two = not times & (times - 1)
    if is_power_of_two:
        _log.warning(
            'registration not read',
            extra={'server': server_id, 'times': times, 'reason': str(error)},
        )
