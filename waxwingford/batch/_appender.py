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
_MAX_GROUP_RECORDS = 512
#: Submissions in a group at most; with the bound of a job's payload a group
#: stays below the log's 1 MiB.
_MAX_GROUP_SUBMISSIONS = 8
#: Longest interval between appends while the log refuses them.
_MAX_APPEND_INTERVAL_MS = 8000
_UNKNOWN_RETRY_MS = 2000
_BACKOFF_FACTOR = 2
#: Taken off the interval at each append that succeeds.
_RECOVERY_FACTOR = 0.8


class _PendingSubmission(NamedTuple):
    submission_id: int
    record: Record


@dataclasses.dataclass(slots=True)
class _InFlightGroup:
    group: RecordGroup
    submissions: tuple[_PendingSubmission, ...]
    keys: frozenset[Hashable]
    may_be_appended: bool = False
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
        self._min_interval_ms = every_ms
        self._interval_ms: float = every_ms
        self._next_append_ms = 0
        self._sequence = itertools.count(1)
        self._submissions: list[_PendingSubmission] = []
        self._record_by_key: dict[Hashable, Record] = {}
        self._in_flight: _InFlightGroup | None = None

    def __len__(self) -> int:
        """Count what waits or is in flight.

        :returns: records.
        """
        in_flight = len(self._in_flight.group.records) if self._in_flight else 0
        return len(self._submissions) + len(self._record_by_key) + in_flight

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
            refusal = JobRefused('outbox full', int(self._interval_ms))
            return [ReplySubmission(submission_id, refusal)]
        self._submissions.append(_PendingSubmission(submission_id, record))
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
        return self._in_flight is None and now_ms >= self._next_append_ms

    def build(self, claims: Iterable[Record], now_ms: int) -> list[Append]:
        """Put the next group in flight.

        :param claims: decided just now; appended in this group or never.
        :param now_ms: monotonic time.
        :returns: the append; nothing if there is nothing to append.
        """
        submissions = tuple(self._submissions[:_MAX_GROUP_SUBMISSIONS])
        keys = tuple(itertools.islice(self._record_by_key, _MAX_GROUP_RECORDS))
        records = tuple(
            itertools.chain(
                (submission.record for submission in submissions),
                (self._record_by_key[key] for key in keys),
                claims,
            ),
        )
        if not records:
            return []
        del self._submissions[: len(submissions)]
        for key in keys:
            self._record_by_key.pop(key)
        group = RecordGroup(self._writer, next(self._sequence), records)
        self._in_flight = _InFlightGroup(group, submissions, frozenset(keys))
        self._next_append_ms = now_ms + int(self._interval_ms)
        return [Append(group)]

    def handle_result(
        self, sequence: int, outcome: AppendOutcome, now_ms: int
    ) -> list[ReplySubmission]:
        """Take the outcome of the append.

        :param sequence: of the group.
        :param outcome: from the port.
        :param now_ms: monotonic time.
        :returns: replies that are final.
        """
        in_flight = self._in_flight
        if in_flight is None or in_flight.group.sequence != sequence:
            return []
        match outcome:
            case Appended():
                in_flight.may_be_appended = True
                speed = self._interval_ms * _RECOVERY_FACTOR
                self._interval_ms = max(self._min_interval_ms, speed)
                return []
            case AppendRefused(retry_after_ms=retry_after_ms):
                return self._handle_refused(in_flight, retry_after_ms, now_ms)
        in_flight.may_be_appended = True
        in_flight.unknown_ms = now_ms
        return self._reply_unknown(in_flight)

    def handle_read(self, group: RecordGroup) -> list[int]:
        """Take a group that was read.

        :param group: any writer's.
        :returns: submissions to reply to by the verdicts, in order of records;
            empty for a group of another writer.
        """
        in_flight = self._in_flight
        if in_flight is None or group.writer != self._writer:
            return []
        if group.sequence != in_flight.group.sequence:
            return []
        self._in_flight = None
        return [
            submission.submission_id for submission in in_flight.submissions
        ]

    def repeat(self, head_read_ms: int, now_ms: int) -> list[Append]:
        """Append a group of unknown outcome once more, if it is not there.

        :param head_read_ms: monotonic start of the last read to the head.
        :param now_ms: monotonic time.
        :returns: the append, if it is due.
        """
        in_flight = self._in_flight
        if in_flight is None or in_flight.unknown_ms is None:
            return []
        if (
            head_read_ms <= in_flight.unknown_ms
            or now_ms < self._next_append_ms
        ):
            return []
        in_flight.unknown_ms = None
        self._next_append_ms = now_ms + _UNKNOWN_RETRY_MS
        return [Append(in_flight.group)]

    def fail_pending(self, retry_after_ms: int) -> list[ReplySubmission]:
        """Answer all that waits for a log that is away.

        :param retry_after_ms: when members may come back, in milliseconds.
        :returns: final replies: refused where certainly nothing was appended.
        """
        refusal = JobRefused('the log is away', retry_after_ms)
        replies = [
            ReplySubmission(submission.submission_id, refusal)
            for submission in self._submissions
        ]
        self._submissions.clear()
        if self._in_flight is not None:
            replies.extend(self._reply_unknown(self._in_flight))
        return replies

    def _handle_refused(
        self, in_flight: _InFlightGroup, retry_after_ms: int, now_ms: int
    ) -> list[ReplySubmission]:
        slower_ms = self._interval_ms * _BACKOFF_FACTOR
        self._interval_ms = min(_MAX_APPEND_INTERVAL_MS, slower_ms)
        self._next_append_ms = now_ms + max(
            retry_after_ms, int(self._interval_ms)
        )
        if in_flight.may_be_appended:
            in_flight.unknown_ms = now_ms
            return []
        self._in_flight = None
        refusal = JobRefused(
            'the log refused it', self._next_append_ms - now_ms
        )
        return [
            ReplySubmission(submission.submission_id, refusal)
            for submission in in_flight.submissions
        ]

    def _reply_unknown(
        self, in_flight: _InFlightGroup
    ) -> list[ReplySubmission]:
        unknown = JobUnknown(
            'the log did not answer; it may still be accepted',
            _UNKNOWN_RETRY_MS,
        )
        replies = [
            ReplySubmission(submission.submission_id, unknown)
            for submission in in_flight.submissions
        ]
        in_flight.submissions = ()
        return replies
