"""The failure domain's stream: replays entries and appends records."""

from collections.abc import Iterable

from waxwingford.batch._appender import Appender
from waxwingford.batch._effects import (
    Append,
    Effect,
    EmitEvent,
    ReplySubmission,
)
from waxwingford.batch._fleet import Fleet
from waxwingford.batch._messages import LogEntries, ReadGroup
from waxwingford.batch._placer import Placer
from waxwingford.batch._settings import BatchSettings
from waxwingford.batch._submissions import RETRY_AFTER_MS, reply_for
from waxwingford.batch._suspicion import LapseTimers
from waxwingford.ports import AttemptKey
from waxwingford.records import (
    NOT_SUSPECTED,
    AttemptEnded,
    AttemptSuspected,
    DomainState,
    JobCancelled,
    SnapshotTaken,
    TasksClaimed,
    Valid,
)

#: Highest rank at which a daemon ends lapsed attempts.
_MAX_LAPSE_RANK = 1


class DomainStream:
    """State replayed from the stream, and the outbox for new records.

    :ivar log_error: why the log is unavailable; empty if it is available.
    :ivar gap: records that are no longer retained and were not replayed;
        empty if there are none.
    :ivar head_read_ms: monotonic start of the last read that reached the
        head, in milliseconds; None before the first.
    :ivar claiming: servers with claims in flight to the log.
    :ivar snapshot_seen_ms: monotonic time at which the record of the newest
        snapshot was read, in milliseconds.
    """

    def __init__(
        self,
        settings: BatchSettings,
        state: DomainState,
        fleet: Fleet,
        placer: Placer,
        now_ms: int,
    ) -> None:
        """Create a stream that continues from a state.

        :param state: state to replay the stream on.
        :param fleet: servers, updated when their attempts change.
        :param placer: placer that receives tasks that become pending.
        :param now_ms: monotonic time, in milliseconds.
        """
        self.state = state
        self.appender = Appender(
            settings.writer,
            settings.outbox_records,
            settings.append_every_ms,
        )
        self.log_error = 'no read has succeeded yet'
        self.gap = ''
        self.head_read_ms: int | None = None
        self.claiming: frozenset[str] = frozenset()
        self.snapshot_seen_ms = now_ms
        self._settings = settings
        self._fleet = fleet
        self._placer = placer
        self._lapse_timers = LapseTimers(settings)
        self._restore(now_ms)

    def handle_entries(self, message: LogEntries, now_ms: int) -> list[Effect]:
        """Replay the entries of a read.

        :param message: result of the read.
        :param now_ms: monotonic time, in milliseconds.
        :returns: replies and events.
        """
        effects: list[Effect] = []
        if self.log_error:
            effects.append(EmitEvent('log.back', 'stream', self.log_error))
        self.log_error = ''
        if message.oldest_offset > self.state.next_offset:
            self.gap = (
                f'records {self.state.next_offset} to '
                f'{message.oldest_offset - 1} are no longer retained'
            )
            return [*effects, EmitEvent('log.gap', 'stream', self.gap)]
        for entry in message.entries:
            effects.extend(self._apply(entry, now_ms))
        self._add_pending(now_ms)
        if self.state.next_offset >= message.next_offset:
            before_ms = self.head_read_ms or 0
            self.head_read_ms = max(before_ms, message.read_started_ms)
            self._fleet.mark_ready(now_ms)
        return effects

    def handle_read_failure(self, reason: str) -> list[Effect]:
        """Handle a read that failed.

        :param reason: human-readable reason.
        :returns: final replies to all queued submissions, and an event.
        """
        effects: list[Effect] = []
        if not self.log_error:
            effects.append(EmitEvent('log.away', 'stream', reason))
        self.log_error = reason
        effects.extend(self.appender.fail_pending(RETRY_AFTER_MS))
        return effects

    def append(self, now_ms: int, wall_ms: int) -> list[Effect]:
        """Build the next group with new claims, or retry the last one.

        :param now_ms: monotonic time, in milliseconds.
        :param wall_ms: Unix time, in milliseconds.
        :returns: the append, if one is due, and events.
        """
        if self.log_error or self.head_read_ms is None:
            return []
        self._offer_lapsed(self.head_read_ms)
        if not self.appender.is_due(now_ms):
            return list(self.appender.retry(self.head_read_ms, now_ms))
        claims: list[TasksClaimed] = []
        effects: list[Effect] = []
        if not (self._fleet.draining or self.gap):
            claims, events = self._placer.place_round(
                self.state, now_ms, wall_ms
            )
            effects.extend(events)
        self.claiming = frozenset(claim.server_id for claim in claims)
        appends: list[Append] = self.appender.build(claims, now_ms)
        return effects + appends

    def _apply(self, entry: ReadGroup, now_ms: int) -> list[Effect]:
        if entry.group is None:
            self.state.skip(entry.offset)
            return [EmitEvent('log.undecodable', 'stream', str(entry.offset))]
        verdicts = self.state.apply(entry.offset, entry.group)
        if not verdicts:
            return []
        effects: list[Effect] = []
        is_own = entry.group.writer == self._settings.writer
        for verdict in verdicts:
            if isinstance(verdict, Valid):
                self._apply_verdict(verdict, now_ms)
                if is_own:
                    effects.extend(task_events(verdict))
        waiting = self.appender.handle_read(entry.group)
        if self.appender.is_idle:
            self.claiming = frozenset()
        effects.extend(
            ReplySubmission(submission_id, reply_for(verdict, self.state))
            for submission_id, verdict in zip(waiting, verdicts, strict=False)
        )
        return effects

    def _apply_verdict(self, verdict: Valid, now_ms: int) -> None:
        self._placer.trackers.apply(verdict, self.state, now_ms)
        match verdict.record:
            case TasksClaimed(server_id=server_id, holder=holder):
                self._fleet.invalidate_view(server_id)
                if holder == self._settings.writer:
                    self._fleet.schedule_exchange(server_id, now_ms)
            case AttemptEnded(server_id=server_id):
                self._fleet.invalidate_view(server_id)
            case JobCancelled(job_id=job_id):
                self._schedule_stops(job_id, now_ms)
            case AttemptSuspected(keys=keys):
                self._start_timers(keys, now_ms)
            case SnapshotTaken():
                self.snapshot_seen_ms = now_ms

    def _schedule_stops(self, job_id: str, now_ms: int) -> None:
        job = self.state.jobs_by_id.get(job_id)
        claimed_at = {task.server_id for task in job.tasks} if job else ()
        for server_id in claimed_at:
            self._fleet.schedule_exchange(server_id, now_ms)

    def _start_timers(self, keys: Iterable[AttemptKey], now_ms: int) -> None:
        for key in keys:
            task = self.state.task(key.task_id)
            if task is not None and task.suspected_offset != NOT_SUSPECTED:
                self._lapse_timers.add(task, now_ms)
                self._fleet.schedule_exchange(task.server_id, now_ms)

    def _restore(self, now_ms: int) -> None:
        for attempts in self.state.index.attempts_by_server.values():
            for task in attempts.values():
                if task.suspected_offset != NOT_SUSPECTED:
                    self._lapse_timers.add(task, now_ms)
        self._placer.trackers.restore(self.state, now_ms)
        self._add_pending(now_ms)

    def _add_pending(self, now_ms: int) -> None:
        for task in self.state.index.take_newly_pending():
            self._placer.add(task, now_ms)

    def _offer_lapsed(self, head_read_ms: int) -> None:
        for record in self._lapse_timers.pop_lapsed(self.state, head_read_ms):
            if self._fleet.rank(record.server_id) <= _MAX_LAPSE_RANK:
                self.appender.offer(record.key, record)


def task_events(verdict: Valid) -> list[EmitEvent]:
    """Build the timeline events of a record about attempts.

    :param verdict: a record that took effect.
    :returns: one event for each attempt.
    """
    match verdict.record:
        case TasksClaimed(server_id=server_id):
            kind, detail = 'task.claimed', server_id
        case AttemptEnded(server_id=server_id, how=how):
            kind, detail = 'task.ended', f'{server_id} {how}'
        case _:
            return []
    return [
        EmitEvent(
            kind, f'task:{key.task_id}', f'attempt {key.attempt} {detail}'
        )
        for key in verdict.keys
    ]
