"""Group commit: one append is in flight while the next group is collected.

An append of unknown outcome is retried with the same sequence number after a
later read reached the head without finding it, and until it is found.
Duplicates are recognized by writer and sequence number (see
:meth:`waxwingford.records.DomainState.apply`), so a group that is
retried takes effect once and its claims stay counted.
"""

import dataclasses
import itertools
from collections.abc import Hashable, Iterable
from typing import NamedTuple

from waxwingford.batch._effects import (
    Append,
    JobOutcomeUnknown,
    JobRefused,
    ReplySubmission,
)
from waxwingford.ports import Appended, AppendOutcome, AppendRefused
from waxwingford.records import Record, RecordGroup

_MAX_GROUP_RECORDS = 512
#: With the limit of a job's payload this keeps a group below the log's 1 MiB.
_MAX_GROUP_SUBMISSIONS = 8
#: Longest append interval while the log refuses appends.
_MAX_APPEND_INTERVAL_MS = 8000
_UNKNOWN_RETRY_MS = 2000
_BACKOFF_FACTOR = 2
#: Factor of the append interval after each append that succeeds.
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
        """Create an empty outbox.

        :param writer: ``<daemon>#<incarnation>``.
        :param capacity: most records that may be queued.
        :param every_ms: shortest interval between two appends, in
            milliseconds.
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
        """Return the number of records queued or in flight."""
        in_flight = len(self._in_flight.group.records) if self._in_flight else 0
        return len(self._submissions) + len(self._record_by_key) + in_flight

    @property
    def is_idle(self) -> bool:
        """Return whether no append is in flight."""
        return self._in_flight is None

    def submit(
        self, submission_id: int, record: Record
    ) -> list[ReplySubmission]:
        """Queue a submission, or refuse it if the outbox is full.

        :param submission_id: id that the reply carries.
        :returns: the refusal, if the outbox is full.
        """
        if len(self) >= self._capacity:
            refusal = JobRefused('outbox is full', int(self._interval_ms))
            return [ReplySubmission(submission_id, refusal)]
        self._submissions.append(_PendingSubmission(submission_id, record))
        return []

    def offer(self, key: Hashable, record: Record) -> None:
        """Queue a record that its source offers again if it is dropped.

        :param key: key by which repeated offers are recognized.
        """
        if self._in_flight is not None and key in self._in_flight.keys:
            return
        if len(self._record_by_key) < self._capacity:
            self._record_by_key[key] = record

    def is_due(self, now_ms: int) -> bool:
        """Return whether a group may be built now.

        :param now_ms: monotonic time, in milliseconds.
        :returns: true if nothing is in flight and the interval has passed.
        """
        return self._in_flight is None and now_ms >= self._next_append_ms

    def build(self, claims: Iterable[Record], now_ms: int) -> list[Append]:
        """Put the next group in flight.

        :param claims: claims of this round; appended in this group or never.
        :param now_ms: monotonic time, in milliseconds.
        :returns: the append; empty if there are no records.
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
        """Handle the outcome of an append.

        :param outcome: outcome reported by the port.
        :param now_ms: monotonic time, in milliseconds.
        :returns: final replies to submissions.
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
        """Handle a group that was read from the log.

        :param group: group of any writer.
        :returns: ids of the submissions to reply to, in order of the records;
            empty unless it is the group in flight.
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

    def retry(self, head_read_ms: int, now_ms: int) -> list[Append]:
        """Retry an append of unknown outcome that is not in the log.

        :param head_read_ms: monotonic start of the last read that reached the
            head, in milliseconds.
        :param now_ms: monotonic time, in milliseconds.
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
        """Answer all queued submissions while the log is unavailable.

        :param retry_after_ms: retry delay for members, in milliseconds.
        :returns: final replies; refused only where nothing was appended.
        """
        refusal = JobRefused('the platform log is unavailable', retry_after_ms)
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
            'the platform log refused the append', self._next_append_ms - now_ms
        )
        return [
            ReplySubmission(submission.submission_id, refusal)
            for submission in in_flight.submissions
        ]

    def _reply_unknown(
        self, in_flight: _InFlightGroup
    ) -> list[ReplySubmission]:
        unknown = JobOutcomeUnknown(
            'the platform log did not answer; the request may take effect',
            _UNKNOWN_RETRY_MS,
        )
        replies = [
            ReplySubmission(submission.submission_id, unknown)
            for submission in in_flight.submissions
        ]
        in_flight.submissions = ()
        return replies
