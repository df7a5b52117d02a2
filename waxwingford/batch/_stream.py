"""The controller's side of the log: what was read, and what is appended."""

from collections.abc import Iterable

from waxwingford.batch._appender import Appender
from waxwingford.batch._effects import (
    Append,
    Effect,
    Note,
    ReplySubmission,
)
from waxwingford.batch._fleet import Fleet
from waxwingford.batch._messages import LogEntries, ReadGroup
from waxwingford.batch._placer import Placer
from waxwingford.batch._settings import BatchSettings
from waxwingford.batch._submissions import RETRY_AFTER_MS, reply_for
from waxwingford.batch._suspicion import LapseTimers
from waxwingford.ports import TaskKey
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

#: Daemons of a lower rank do not end attempts that lapsed.
_MAX_LAPSE_RANK = 1


class DomainStream:
    """State that the stream folds into, and the records that go there.

    :ivar state: fold of the stream.
    :ivar appender: outbox.
    :ivar log_away: why the log is away; empty if it is not.
    :ivar gap: what of the stream is lost; empty if nothing is.
    :ivar head_read_ms: monotonic start of the last read that reached the
        head; None before the first.
    :ivar claiming: servers with claims in flight to the log.
    :ivar snapshot_seen_ms: when the newest snapshot was read of.
    """

    def __init__(
        self,
        settings: BatchSettings,
        state: DomainState,
        fleet: Fleet,
        placer: Placer,
        now_ms: int,
    ) -> None:
        """Start from a state.

        :param settings: settings of the controller.
        :param state: where to go on from.
        :param fleet: servers, told of changes to their attempts.
        :param placer: told of tasks that became pending.
        :param now_ms: monotonic time, in milliseconds.
        """
        self.state = state
        self.appender = Appender(
            settings.writer,
            settings.outbox_records,
            settings.append_every_ms,
        )
        self.log_away = 'not read yet'
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
        """Take what a read gave.

        :param message: the entries.
        :param now_ms: monotonic time, in milliseconds.
        :returns: replies and notes.
        """
        effects: list[Effect] = []
        if self.log_away:
            effects.append(Note('log.back', 'stream', self.log_away))
        self.log_away = ''
        if message.oldest_offset > self.state.next_offset:
            self.gap = (
                f'records {self.state.next_offset} to '
                f'{message.oldest_offset - 1} are no longer retained'
            )
            return [*effects, Note('log.gap', 'stream', self.gap)]
        for entry in message.entries:
            effects.extend(self._apply(entry, now_ms))
        self._add_pending(now_ms)
        if self.state.next_offset >= message.next_offset:
            before_ms = self.head_read_ms or 0
            self.head_read_ms = max(before_ms, message.read_started_ms)
            self._fleet.mark_ready(now_ms)
        return effects

    def handle_read_failure(self, reason: str) -> list[Effect]:
        """Take that the log gave no answer.

        :param reason: human-readable reason.
        :returns: final replies to all that wait for the log, and a note.
        """
        effects: list[Effect] = []
        if not self.log_away:
            effects.append(Note('log.away', 'stream', reason))
        self.log_away = reason
        effects.extend(self.appender.fail_pending(RETRY_AFTER_MS))
        return effects

    def append(self, now_ms: int, wall_ms: int) -> list[Effect]:
        """Build the next group with new claims, or repeat the last one.

        :param now_ms: monotonic time, in milliseconds.
        :param wall_ms: Unix time, in milliseconds.
        :returns: the append, if one is due, and notes.
        """
        if self.log_away or self.head_read_ms is None:
            return []
        self._offer_lapsed(self.head_read_ms)
        if not self.appender.is_due(now_ms):
            return list(self.appender.repeat(self.head_read_ms, now_ms))
        claims: list[TasksClaimed] = []
        effects: list[Effect] = []
        if not (self._fleet.draining or self.gap):
            claims, notes = self._placer.place_round(
                self.state, now_ms, wall_ms
            )
            effects.extend(notes)
        self.claiming = frozenset(claim.server_id for claim in claims)
        appends: list[Append] = self.appender.build(claims, now_ms)
        return effects + appends

    def _apply(self, entry: ReadGroup, now_ms: int) -> list[Effect]:
        if entry.group is None:
            self.state.skip(entry.offset)
            return [Note('log.undecodable', 'stream', str(entry.offset))]
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
        self._placer.trackers.note(verdict, self.state, now_ms)
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

    def _start_timers(self, keys: Iterable[TaskKey], now_ms: int) -> None:
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
        self._placer.trackers.start(self.state, now_ms)
        self._add_pending(now_ms)

    def _add_pending(self, now_ms: int) -> None:
        for task in self.state.index.take_newly_pending():
            self._placer.add(task, now_ms)

    def _offer_lapsed(self, head_read_ms: int) -> None:
        for record in self._lapse_timers.pop_lapsed(self.state, head_read_ms):
            if self._fleet.rank(record.server_id) <= _MAX_LAPSE_RANK:
                self.appender.offer(record.key, record)


def task_events(verdict: Valid) -> list[Note]:
    """Write events of tasks for the time line of the daemon that did it.

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
        Note(kind, f'task:{key.task_id}', f'attempt {key.attempt} {detail}')
        for key in verdict.keys
    ]
