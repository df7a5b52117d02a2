"""The batch controller: messages in, effects out, no input or output."""

from collections.abc import Iterable, Mapping

import xxhash

from waxwingford.batch._effects import (
    Drained,
    Effect,
    ReplySubmission,
    WriteSnapshot,
)
from waxwingford.batch._exchanges import Exchanges
from waxwingford.batch._fleet import Fleet
from waxwingford.batch._messages import (
    AliveDaemons,
    AppendResult,
    BundleSettings,
    BusyShares,
    CancelJob,
    ControlResult,
    Drain,
    EvictTask,
    LogAway,
    LogEntries,
    Message,
    ServersReleased,
    SnapshotWritten,
    SubmitJob,
    VmListRead,
)
from waxwingford.batch._missing import MissingServers
from waxwingford.batch._outcomes import OutcomeTaker
from waxwingford.batch._placer import Placer
from waxwingford.batch._settings import BatchSettings
from waxwingford.batch._stream import DomainStream
from waxwingford.batch._submissions import (
    Admission,
    ToAnswer,
    ToAppend,
    cancellation,
    submission,
)
from waxwingford.batch._suspicion import suspicion
from waxwingford.ports import ControlGranted, VmList
from waxwingford.records import DomainState, SnapshotTaken

#: Each lower rank waits for half an interval more before it writes a snapshot.
_SNAPSHOT_STAGGER = 0.5
#: A daemon that hears nothing of others for so long after its start takes
#: itself for the only one.
_HINT_MS = 3000


class DomainController:
    """Batch work of one failure domain, as one daemon drives it.

    :ivar settings: figures.
    :ivar fleet: backend servers and their leases.
    :ivar placer: pending tasks and the policy.
    :ivar stream: fold of the domain's stream, and the outbox.
    """

    def __init__(
        self, settings: BatchSettings, state: DomainState, now_ms: int
    ) -> None:
        """Start from a snapshot's state, or from an empty one.

        :param settings: figures.
        :param state: where to go on from.
        :param now_ms: monotonic time.
        """
        self.settings = settings
        self.fleet = Fleet(settings)
        self.placer = Placer(settings, self.fleet)
        self.stream = DomainStream(
            settings, state, self.fleet, self.placer, now_ms
        )
        self._exchanges = Exchanges(settings, self.fleet)
        self._outcomes = OutcomeTaker(settings, self.fleet)
        self._missing = MissingServers(settings)
        self._hint_by_ms = now_ms + _HINT_MS
        self._next_react_ms = now_ms
        self._snapshot_asked_ms = now_ms - settings.snapshot_ms
        self._is_drained = False
        self._routed: frozenset[str] = frozenset()

    @property
    def state(self) -> DomainState:
        """Show the fold of the domain's stream.

        :returns: the state.
        """
        return self.stream.state

    def handle(
        self, message: Message, now_ms: int, wall_ms: int
    ) -> list[Effect]:
        """Take a message and decide what to do.

        :param message: what happened.
        :param now_ms: monotonic time.
        :param wall_ms: wall time.
        :returns: effects, in the order in which to carry them out.
        """
        effects = self._take(message, now_ms, wall_ms)
        effects.extend(self._advance(now_ms, wall_ms))
        return effects

    def _take(
        self, message: Message, now_ms: int, wall_ms: int
    ) -> list[Effect]:
        stream = self.stream
        match message:
            case LogEntries():
                return stream.take_entries(message, now_ms)
            case LogAway(reason=reason):
                return stream.take_away(reason)
            case AppendResult(sequence=sequence, outcome=outcome):
                return stream.appender.note_result(sequence, outcome, now_ms)
            case ControlResult():
                return self._take_control(message, now_ms)
            case SubmitJob() | CancelJob():
                return self._take_submission(message, now_ms, wall_ms)
        self._take_hint(message, now_ms)
        return []

    def _take_hint(self, message: Message, now_ms: int) -> None:
        match message:
            case VmListRead(outcome=VmList(vms=vms)):
                domain = self.settings.failure_domain
                own = [vm for vm in vms if vm.failure_domain == domain]
                self.fleet.update_list(own, now_ms)
                self._suspect_missing(now_ms)
                self.placer.trackers.note_list(self.placer.bundle)
            case AliveDaemons(daemon_ids=daemon_ids):
                self.fleet.update_alive(daemon_ids, now_ms)
            case BundleSettings():
                name = self.settings.writer.encode()
                self.placer.use_bundle(message, xxhash.xxh32_intdigest(name))
            case EvictTask(task_id=task_id):
                self._evict(task_id, now_ms)
            case BusyShares(share_by_server=share_by_server):
                self._take_busy(share_by_server)
            case ServersReleased(server_ids=server_ids):
                self._take_released(server_ids, now_ms)
            case Drain():
                self._drain(now_ms)
            case SnapshotWritten(covers_offset=covers_offset):
                record = SnapshotTaken(covers_offset)
                self.stream.appender.offer('snapshot', record)

    def _take_control(
        self, message: ControlResult, now_ms: int
    ) -> list[Effect]:
        effects = self._outcomes.note_result(message, now_ms)
        server = self.fleet.server_by_id.get(message.server_id)
        if server is None:
            return effects
        if isinstance(message.outcome, ControlGranted):
            self.placer.observe(
                message.server_id, message.outcome.usage, self.state, now_ms
            )
        record = suspicion(server, self.state, self.settings, now_ms)
        if record is not None and not server.lease.is_valid(now_ms):
            key = ('suspect', message.server_id)
            self.stream.appender.offer(key, record)
        return effects

    def _suspect_missing(self, now_ms: int) -> None:
        known = self.fleet.server_by_id
        for missing in self._missing.suspicions(self.state, known, now_ms):
            key = ('suspect', missing.server_id)
            self.stream.appender.offer(key, missing.record)

    def _take_submission(
        self, message: SubmitJob | CancelJob, now_ms: int, wall_ms: int
    ) -> list[Effect]:
        stream = self.stream
        stopping = 'this daemon is stopping' if self.fleet.draining else ''
        away = f'the log is away: {stream.log_away}' if stream.log_away else ''
        admission = Admission(
            stream.state, self.fleet, away or stream.gap or stopping
        )
        match message:
            case SubmitJob(job=job):
                taken = submission(admission, job, wall_ms)
            case CancelJob(job_id=job_id, member=member):
                taken = cancellation(admission, job_id, member)
        match taken:
            case ToAppend(record=record):
                return stream.appender.submit(message.submission_id, record)
            case ToAnswer(outcome=outcome):
                return [ReplySubmission(message.submission_id, outcome)]

    def _evict(self, task_id: str, now_ms: int) -> None:
        task = self.state.task(task_id)
        if task is None:
            return
        server = self.fleet.server_by_id.get(task.server_id)
        if server is not None and server.is_running(task.key):
            server.evicting.add(task.key)
            self.fleet.mark_due(task.server_id, now_ms)

    def _take_busy(self, share_by_server: Mapping[str, float]) -> None:
        for server_id in self._routed | share_by_server.keys():
            server = self.fleet.server_by_id.get(server_id)
            share = share_by_server.get(server_id)
            if server is not None and server.routed_share != share:
                server.routed_share = share
                server.view = None
        self._routed = frozenset(share_by_server)

    def _take_released(self, server_ids: Iterable[str], now_ms: int) -> None:
        for server_id in server_ids:
            server = self.fleet.server_by_id.get(server_id)
            if server is not None and not server.lease.is_valid(now_ms):
                server.preference.note_free(now_ms)
                self.fleet.mark_try(server, now_ms)

    def _drain(self, now_ms: int) -> None:
        self.fleet.draining = True
        for server_id in self.fleet.held(now_ms):
            self.fleet.mark_due(server_id, now_ms)

    def _advance(self, now_ms: int, wall_ms: int) -> list[Effect]:
        stream = self.stream
        if not self.fleet.knows_alive and now_ms >= self._hint_by_ms:
            self.fleet.update_alive((), now_ms)
        effects, record_by_key = self._exchanges.advance(
            stream.state, stream.head_read_ms or 0, now_ms, stream.claiming
        )
        for key, record in record_by_key.items():
            stream.appender.offer(key, record)
        effects.extend(stream.append(now_ms, wall_ms))
        effects.extend(self._snapshot(now_ms))
        if now_ms >= self._next_react_ms:
            self._next_react_ms = now_ms + self.settings.react_every_ms
            effects.extend(self.placer.react(stream.state, now_ms, wall_ms))
        if self.fleet.draining and not self._is_drained:
            effects.extend(self._note_drained(now_ms))
        return effects

    def _snapshot(self, now_ms: int) -> list[Effect]:
        settings = self.settings
        stream = self.stream
        if stream.log_away or stream.head_read_ms is None:
            return []
        if now_ms - self._snapshot_asked_ms < settings.snapshot_ms / 2:
            return []
        rank = self.fleet.rank(f'snapshots/{settings.failure_domain}')
        patience = 1 + rank * _SNAPSHOT_STAGGER
        entries = stream.state.next_offset - stream.state.snapshot_offset
        age_ms = now_ms - stream.snapshot_seen_ms
        is_due = (
            entries >= settings.snapshot_entries * patience
            or age_ms >= settings.snapshot_ms * patience
        )
        if not is_due:
            return []
        self._snapshot_asked_ms = now_ms
        return [WriteSnapshot(stream.state.next_offset)]

    def _note_drained(self, now_ms: int) -> list[Effect]:
        waits = any(
            server.lease.is_valid(now_ms) or server.in_flight is not None
            for server in self.fleet.server_by_id.values()
        )
        stream = self.stream
        if waits or (len(stream.appender) and not stream.log_away):
            return []
        self._is_drained = True
        return [Drained()]
