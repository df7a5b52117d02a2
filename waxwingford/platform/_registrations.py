"""Cache of decoded worker registrations, tolerant of invalid ones."""

import collections
import itertools
from collections.abc import Iterable, Mapping
from typing import NamedTuple

import logbook

from waxwingford.platform._records import decode_registration
from waxwingford.scheduling import ServerEntry
from waxwingford.shard import StoredRecord

#: Ids of invalid registrations that are told of one by one.
MAX_TOLD_IDS = 20
#: Ids of invalid registrations whose failures are counted.
MAX_COUNTED_IDS = 10_000
#: Records under one id, newest first, among which a valid one is looked for after a
#: read. Another writer may have written many more.
MAX_TRIED_RECORDS = 4

_log = logbook.Logger('platform')


class _CachedEntry(NamedTuple):
    # The newest record, and the newest valid one in decoded form, None if there
    # was none since the key was added.
    raw: bytes
    entry: ServerEntry | None


class Registrations:
    """Decodes registrations and caches the result; skips invalid ones.

    An invalid record says nothing of its worker, so the last valid one stays in
    force for as long as the key exists.
    """

    def __init__(self) -> None:
        self._cached_by_id: dict[str, _CachedEntry] = {}
        self._failures = _FailureLog()

    def read(
        self,
        raw_by_id: Mapping[str, bytes],
        changed: Iterable[StoredRecord] = (),
    ) -> tuple[ServerEntry, ...]:
        """Decode all registrations.

        :param raw_by_id: newest undecoded registrations by server id.
        :param changed: records read since the last call, oldest first.
        """
        tried_by_id = self._collect(changed)
        self._cached_by_id = {
            server_id: self._decode_cached(
                server_id, raw, tried_by_id.get(server_id, ())
            )
            for server_id, raw in raw_by_id.items()
        }
        return tuple(
            cached.entry
            for cached in self._cached_by_id.values()
            if cached.entry is not None
        )

    def _collect(
        self, changed: Iterable[StoredRecord]
    ) -> dict[str, collections.deque[bytes]]:
        """Collect the newest records by id, and forget what was deleted."""
        raw_by_id: dict[str, collections.deque[bytes]] = {}
        for _, server_id, raw in changed:
            if raw is None:
                self._cached_by_id.pop(server_id, None)
                raw_by_id.pop(server_id, None)
                continue
            records = raw_by_id.setdefault(
                server_id, collections.deque(maxlen=MAX_TRIED_RECORDS)
            )
            records.append(raw)
        return raw_by_id

    def _decode_cached(
        self, server_id: str, raw: bytes, changed: Iterable[bytes]
    ) -> _CachedEntry:
        previous = self._cached_by_id.get(server_id)
        if previous is not None and previous.raw == raw:
            return previous
        try:
            return _CachedEntry(raw, decode_registration(server_id, raw))
        except Exception as error:
            # Any error: it concerns only the server that the record names.
            self._failures.add(server_id, error)
        earlier = map(
            _try_decode,
            itertools.repeat(server_id),
            reversed(tuple(changed)[:-1]),
        )
        former = None if previous is None else previous.entry
        return _CachedEntry(raw, next(filter(None, earlier), former))


class _FailureLog:
    """Tells of invalid registrations, in a bounded number of lines.

    Another writer may write thousands of them, and others with each heartbeat.
    """

    def __init__(self) -> None:
        self._total = 0
        self._count_by_id: collections.Counter[str] = collections.Counter()
        self._told_ids: set[str] = set()

    def add(self, server_id: str, error: Exception) -> None:
        """Count an invalid registration and tell of it if it is due.

        Those of the first ids are told of when the count under the id is a power of
        two, others when the count of all is.
        """
        self._total += 1
        if len(self._count_by_id) >= MAX_COUNTED_IDS:
            self._count_by_id.clear()
        self._count_by_id[server_id] += 1
        count = self._count_by_id[server_id]
        if len(self._told_ids) < MAX_TOLD_IDS:
            self._told_ids.add(server_id)
        by_itself = server_id in self._told_ids and _is_power_of_two(count)
        if by_itself or _is_power_of_two(self._total):
            _log.warning(
                'registration not read',
                extra={
                    'server': server_id,
                    'times': count,
                    'of_all': self._total,
                    'reason': str(error),
                },
            )


def _is_power_of_two(count: int) -> bool:
    return not count & (count - 1)


def _try_decode(server_id: str, raw: bytes) -> ServerEntry | None:
    try:
        return decode_registration(server_id, raw)
    except Exception:
        # The newest record under the id is invalid as well, and was told of.
        return None
