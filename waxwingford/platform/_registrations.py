"""Cache of decoded worker registrations, tolerant of invalid ones."""

from collections.abc import Mapping
from typing import NamedTuple

import logbook

from waxwingford.platform._records import decode_registration
from waxwingford.scheduling import ServerEntry

_log = logbook.Logger('platform')


class _CachedEntry(NamedTuple):
    # A stored record, its decoded form or None if it is invalid, and the number
    # of invalid records seen so far under this key.
    raw: bytes
    entry: ServerEntry | None
    failure_count: int


class Registrations:
    """Decodes registrations and caches the result; skips invalid ones."""

    def __init__(self) -> None:
        self._cached_by_id: dict[str, _CachedEntry] = {}

    def read(self, raw_by_id: Mapping[str, bytes]) -> tuple[ServerEntry, ...]:
        """Decode all registrations.

        :param raw_by_id: undecoded registrations by server id.
        """
        self._cached_by_id = {
            server_id: self._decode_cached(server_id, raw)
            for server_id, raw in raw_by_id.items()
        }
        return tuple(
            cached.entry
            for cached in self._cached_by_id.values()
            if cached.entry is not None
        )

    def _decode_cached(self, server_id: str, raw: bytes) -> _CachedEntry:
        previous = self._cached_by_id.get(server_id)
        if previous is not None and previous.raw == raw:
            return previous
        failure_count = 0 if previous is None else previous.failure_count
        try:
            return _CachedEntry(
                raw, decode_registration(server_id, raw), failure_count
            )
        except Exception as error:
            # Any error: only the server that it names is left out.
            _log_invalid(server_id, failure_count + 1, error)
            return _CachedEntry(raw, None, failure_count + 1)


def _log_invalid(server_id: str, count: int, error: Exception) -> None:
    # Only counts that are powers of two are logged, to bound the log volume.
    is_power_of_two = not count & (count - 1)
    if is_power_of_two:
        _log.warning(
            'registration not read',
            extra={'server': server_id, 'times': count, 'reason': str(error)},
        )
