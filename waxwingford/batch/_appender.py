"""Group commit: one append in flight, the next group gathers meanwhile.

An append of unknown outcome is repeated, with the same sequence, only after a
read that began later reached the head without finding it, and until it is
found: a copy that lands late is told by writer and sequence (see
:meth:`waxwingford.records.DomainState.apply`).  So no group is ever both
given up and valid, and what it claims stays counted.
"""

import dataclasses
import itertools
from collections.abc import Hashable, Iterable
from typing import NamedTuple

from waxwingford.batch._effects import (
    Append,
    JobRefused,
    JobUnknown,
    ReplySubmission,
)
from waxwingford.ports import Appended, AppendOutcome, AppendRefused
from waxwingford.records import Record, RecordGroup

#: Records in a group at most.
_GROUP_RECORDS = 512
#: Submissions in a group at most; with the bound of a job's payload a group
#: stays below the log's 1 MiB.
_GROUP_SUBMISSIONS = 8
#: Longest interval between appends while the log refuses them.
_SLOWEST_MS = 8000
_UNKNOWN_RETRY_MS = 2000
_SLOW_DOWN = 2
#: Taken off the interval at each append that succeeds.
_SPEED_UP = 0.8


class _Waiting(NamedTuple):
    submission_id: int
    record: Record


@dataclasses.dataclass(slots=True)
class _InFlight:
    group: RecordGroup
    waiting: tuple[_Waiting, ...]
    keys: frozenset[Hashable]
    may_have_landed: bool = False
    unknown_ms: int | None = None


class Appender:
    """Outbox of one daemon for the domain's stream."""

    def __init__(self, writer: str, capacity: int, every_ms: int) -> None:
        """Start empty.

        :param writer: ``<daemon>#<incarnation>``.
        :param capacity: records that may wait at most.
        :param every_ms: shortest time between two appends.
        """
        self._writer = writer
        self._capacity = capacity
        self._fastest_ms = every_ms
        self._every_ms: float = every_ms
        self._next_ms = 0
        self._sequence = itertools.count(1)
        self._submissions: list[_Waiting] = []
        self._record_by_key: dict[Hashable, Record] = {}
        self._in_flight: _InFlight | None = None

    def __len__(self) -> int:
        """Count what waits or is in flight.

        :returns: records.
        """
        flying = len(self._in_flight.group.records) if self._in_flight else 0
        return len(self._submissions) + len(self._record_by_key) + flying

    @property
    def is_idle(self) -> bool:
        """Tell whether nothing is in flight.

        :returns: true if the next group may be built.
        """
        return self._in_flight is None

    def submit(
        self, submission_id: int, record: Record
    ) -> list[ReplySubmission]:
        """Take a submission, or refuse it at once.

        :param submission_id: names the reply.
        :param record: what to append.
        :returns: the refusal, if there is no room.
        """
        if len(self) >= self._capacity:
            refusal = JobRefused('outbox full', int(self._every_ms))
            return [ReplySubmission(submission_id, refusal)]
        self._submissions.append(_Waiting(submission_id, record))
        return []

    def offer(self, key: Hashable, record: Record) -> None:
        """Take a record that its maker would offer again if it were dropped.

        :param key: tells repeated offers.
        :param record: what to append.
        """
        if self._in_flight is not None and key in self._in_flight.keys:
            return
        if len(self._record_by_key) < self._capacity:
            self._record_by_key[key] = record

    def is_due(self, now_ms: int) -> bool:
        """Tell whether a group may be built now.

        :param now_ms: monotonic time.
        :returns: true if nothing is in flight and the interval has passed.
        """
        return self._in_flight is None and now_ms >= self._next_ms

    def build(self, claims: Iterable[Record], now_ms: int) -> list[Append]:
        """Put the next group in flight.

        :param claims: decided just now; appended in this group or never.
        :param now_ms: monotonic time.
        :returns: the append; nothing if there is nothing to append.
        """
        waiting = tuple(self._submissions[:_GROUP_SUBMISSIONS])
        keys = tuple(itertools.islice(self._record_by_key, _GROUP_RECORDS))
        records = tuple(
            itertools.chain(
                (item.record for item in waiting),
                (self._record_by_key[key] for key in keys),
                claims,
            ),
        )
        if not records:
            return []
        del self._submissions[: len(waiting)]
        for key in keys:
            self._record_by_key.pop(key)
        group = RecordGroup(self._writer, next(self._sequence), records)
        self._in_flight = _InFlight(group, waiting, frozenset(keys))
        self._next_ms = now_ms + int(self._every_ms)
        return [Append(group)]

    def note_result(
        self, sequence: int, outcome: AppendOutcome, now_ms: int
    ) -> list[ReplySubmission]:
        """Take the outcome of the append.

        :param sequence: of the group.
        :param outcome: from the port.
        :param now_ms: monotonic time.
        :returns: replies that are final.
        """
        flying = self._in_flight
        if flying is None or flying.group.sequence != sequence:
            return []
        match outcome:
            case Appended():
                flying.may_have_landed = True
                speed = self._every_ms * _SPEED_UP
                self._every_ms = max(self._fastest_ms, speed)
                return []
            case AppendRefused(retry_after_ms=retry_after_ms):
                return self._note_refused(flying, retry_after_ms, now_ms)
        flying.may_have_landed = True
        flying.unknown_ms = now_ms
        return self._reply_unknown(flying)

    def note_seen(self, group: RecordGroup) -> list[int]:
        """Take a group that was read.

        :param group: any writer's.
        :returns: submissions to reply to by the verdicts, in order of records;
            empty for a group of another writer.
        """
        flying = self._in_flight
        if flying is None or group.writer != self._writer:
            return []
        if group.sequence != flying.group.sequence:
            return []
        self._in_flight = None
        return [item.submission_id for item in flying.waiting]

    def repeat(self, head_read_ms: int, now_ms: int) -> list[Append]:
        """Append a group of unknown outcome once more, if it is not there.

        :param head_read_ms: monotonic start of the last read to the head.
        :param now_ms: monotonic time.
        :returns: the append, if it is due.
        """
        flying = self._in_flight
        if flying is None or flying.unknown_ms is None:
            return []
        if head_read_ms <= flying.unknown_ms or now_ms < self._next_ms:
            return []
        flying.unknown_ms = None
        self._next_ms = now_ms + _UNKNOWN_RETRY_MS
        return [Append(flying.group)]

    def note_away(self, retry_after_ms: int) -> list[ReplySubmission]:
        """Answer all that waits for a log that is away.

        :param retry_after_ms: when members may come back, in milliseconds.
        :returns: final replies: refused where certainly nothing was appended.
        """
        refusal = JobRefused('the log is away', retry_after_ms)
        replies = [
            ReplySubmission(item.submission_id, refusal)
            for item in self._submissions
        ]
        self._submissions.clear()
        if self._in_flight is not None:
            replies.extend(self._reply_unknown(self._in_flight))
        return replies

    def _note_refused(
        self, flying: _InFlight, retry_after_ms: int, now_ms: int
    ) -> list[ReplySubmission]:
        slower_ms = self._every_ms * _SLOW_DOWN
        self._every_ms = min(_SLOWEST_MS, slower_ms)
        self._next_ms = now_ms + max(retry_after_ms, int(self._every_ms))
        if flying.may_have_landed:
            flying.unknown_ms = now_ms
            return []
        self._in_flight = None
        refusal = JobRefused('the log refused it', self._next_ms - now_ms)
        return [
            ReplySubmission(item.submission_id, refusal)
            for item in flying.waiting
        ]

    def _reply_unknown(self, flying: _InFlight) -> list[ReplySubmission]:
        unknown = JobUnknown(
            'the log did not answer; it may still be accepted',
            _UNKNOWN_RETRY_MS,
        )
        replies = [
            ReplySubmission(item.submission_id, unknown)
            for item in flying.waiting
        ]
        flying.waiting = ()
        return replies
