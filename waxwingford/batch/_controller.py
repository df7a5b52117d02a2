"""The batch controller: maps messages to effects without doing I/O."""

from collections.abc import Iterable, Mapping

import xxhash

from waxwingford.batch._control_results import ControlResultHandler
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
    LogEntries,
    LogReadFailed,
    Message,
    ServersReleased,
    SnapshotWritten,
    SubmitJob,
    VmListRead,
)
from waxwingford.batch._placer import Placer
from waxwingford.batch._settings import BatchSettings
from waxwingford.batch._stream import DomainStream
from waxwingford.batch._submissions import (
    Admission,
    ImmediateReply,
    RecordToAppend,
    admit_cancellation,
    admit_submission,
)
from waxwingford.batch._suspicion import suspect_unreachable
from waxwingford.batch._unlisted import UnlistedServers
from waxwingford.ports import ControlGranted, VmList
from waxwingford.records import DomainState, SnapshotTaken

#: Delay per rank before a snapshot, as a share of the snapshot interval.
_SNAPSHOT_STAGGER = 0.5
#: Time after start without news of peers after which a daemon acts alone.
_PEER_DISCOVERY_MS = 3000


class DomainController:
    """Controls the batch work of one failure domain for one daemon.

    :ivar fleet: backend servers and their control leases.
    :ivar placer: pending tasks and the placement policy.
    :ivar stream: state replayed from the domain's stream, and the outbox.
    """

    def __init__(
        self, settings: BatchSettings, state: DomainState, now_ms: int
    ) -> None:
        """Create a controller from a snapshot's state or an empty state.

        :param state: state to replay the stream on.
        :param now_ms: monotonic time, in milliseconds.
        """
        self.settings = settings
        self.fleet = Fleet(settings)
        self.placer = Placer(settings, self.fleet)
        self.stream = DomainStream(
            settings, state, self.fleet, self.placer, now_ms
        )
        self._exchanges = Exchanges(settings, self.fleet)
        self._control_results = ControlResultHandler(settings, self.fleet)
        self._unlisted = UnlistedServers(settings)
        self._discovery_deadline_ms = now_ms + _PEER_DISCOVERY_MS
        self._next_react_ms = now_ms
        self._snapshot_requested_ms = now_ms - settings.snapshot_ms
        self._is_drained = False
        self._routed_server_ids: frozenset[str] = frozenset()

    @property
    def state(self) -> DomainState:
        """Return the state replayed from the domain's stream."""
        return self.stream.state

    def handle(
        self, message: Message, now_ms: int, wall_ms: int
    ) -> list[Effect]:
        """Handle a message.

        :param now_ms: monotonic time, in milliseconds.
        :param wall_ms: Unix time, in milliseconds.
        :returns: effects, in the order of execution.
        """
        effects = self._dispatch(message, now_ms, wall_ms)
        effects.extend(self._advance(now_ms, wall_ms))
        return effects

    def _dispatch(
        self, message: Message, now_ms: int, wall_ms: int
    ) -> list[Effect]:
        stream = self.stream
        match message:
            case LogEntries():
                return stream.handle_entries(message, now_ms)
            case LogReadFailed(reason=reason):
                return stream.handle_read_failure(reason)
            case AppendResult(sequence=sequence, outcome=outcome):
                return stream.appender.handle_result(sequence, outcome, now_ms)
            case ControlResult():
                return self._handle_control_result(message, now_ms)
            case SubmitJob() | CancelJob():
                return self._handle_submission(message, now_ms, wall_ms)
        self._handle_update(message, now_ms)
        return []

    def _handle_update(self, message: Message, now_ms: int) -> None:
        match message:
            case VmListRead(outcome=VmList(vms=vms)):
                domain = self.settings.failure_domain
                own = [vm for vm in vms if vm.failure_domain == domain]
                self.fleet.update_list(own, now_ms)
                self._suspect_unlisted(now_ms)
                self.placer.trackers.update_servers(self.placer.bundle)
            case AliveDaemons(daemon_ids=daemon_ids):
                self.fleet.update_alive(daemon_ids, now_ms)
            case BundleSettings():
                name = self.settings.writer.encode()
                self.placer.use_bundle(message, xxhash.xxh32_intdigest(name))
            case EvictTask(task_id=task_id):
                self._evict(task_id, now_ms)
            case BusyShares(share_by_server=share_by_server):
                self._update_busy_shares(share_by_server)
            case ServersReleased(server_ids=server_ids):
                self._handle_released(server_ids, now_ms)
            case Drain():
                self._drain(now_ms)
            case SnapshotWritten(covers_offset=covers_offset):
                record = SnapshotTaken(covers_offset)
                self.stream.appender.offer('snapshot', record)

    def _handle_control_result(
        self, message: ControlResult, now_ms: int
    ) -> list[Effect]:
        effects = self._control_results.handle_result(message, now_ms)
        server = self.fleet.server_by_id.get(message.server_id)
        if server is None:
            return effects
        if isinstance(message.outcome, ControlGranted):
            self.placer.observe(
                message.server_id, message.outcome.usage, self.state, now_ms
            )
        record = suspect_unreachable(server, self.state, self.settings, now_ms)
        if record is not None and not server.lease.is_valid(now_ms):
            key = ('suspect', message.server_id)
            self.stream.appender.offer(key, record)
        return effects

    def _suspect_unlisted(self, now_ms: int) -> None:
        known = self.fleet.server_by_id
        for unlisted in self._unlisted.suspicions(self.state, known, now_ms):
            key = ('suspect', unlisted.server_id)
            self.stream.appender.offer(key, unlisted.record)

    def _handle_submission(
        self, message: SubmitJob | CancelJob, now_ms: int, wall_ms: int
    ) -> list[Effect]:
        stream = self.stream
        stopping = 'this daemon is stopping' if self.fleet.draining else ''
        log_unavailable = (
            f'the platform log is unavailable: {stream.log_error}'
            if stream.log_error
            else ''
        )
        admission = Admission(
            stream.state, self.fleet, log_unavailable or stream.gap or stopping
        )
        match message:
            case SubmitJob(job=job):
                decision = admit_submission(admission, job, wall_ms)
            case CancelJob(job_id=job_id, member=member):
                decision = admit_cancellation(admission, job_id, member)
        match decision:
            case RecordToAppend(record=record):
                return stream.appender.submit(message.submission_id, record)
            case ImmediateReply(outcome=outcome):
                return [ReplySubmission(message.submission_id, outcome)]

    def _evict(self, task_id: str, now_ms: int) -> None:
        task = self.state.task(task_id)
        if task is None:
            return
        server = self.fleet.server_by_id.get(task.server_id)
        if server is not None and server.is_running(task.key):
            server.evicting.add(task.key)
            self.fleet.schedule_exchange(task.server_id, now_ms)

    def _update_busy_shares(self, share_by_server: Mapping[str, float]) -> None:
        for server_id in self._routed_server_ids | share_by_server.keys():
            server = self.fleet.server_by_id.get(server_id)
            share = share_by_server.get(server_id)
            if server is not None and server.routed_share != share:
                server.routed_share = share
                server.view = None
        self._routed_server_ids = frozenset(share_by_server)

    def _handle_released(self, server_ids: Iterable[str], now_ms: int) -> None:
        for server_id in server_ids:
            server = self.fleet.server_by_id.get(server_id)
            if server is not None and not server.lease.is_valid(now_ms):
                server.preference.record_release(now_ms)
                self.fleet.schedule_acquisition(server, now_ms)

    def _drain(self, now_ms: int) -> None:
        self.fleet.draining = True
        for server_id in self.fleet.held(now_ms):
            self.fleet.schedule_exchange(server_id, now_ms)

    def _advance(self, now_ms: int, wall_ms: int) -> list[Effect]:
        stream = self.stream
        if not self.fleet.knows_peers and now_ms >= self._discovery_deadline_ms:
            self.fleet.update_alive((), now_ms)
        effects, record_by_key = self._exchanges.plan_due(
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
            effects.extend(self._check_drained(now_ms))
        return effects

    def _snapshot(self, now_ms: int) -> list[Effect]:
        settings = self.settings
        stream = self.stream
        if stream.log_error or stream.head_read_ms is None:
            return []
        if now_ms - self._snapshot_requested_ms < settings.snapshot_ms / 2:
            return []
        rank = self.fleet.rank(f'snapshots/{settings.failure_domain}')
        rank_factor = 1 + rank * _SNAPSHOT_STAGGER
        entries = stream.state.next_offset - stream.state.snapshot_offset
        age_ms = now_ms - stream.snapshot_seen_ms
        is_due = (
            entries >= settings.snapshot_entries * rank_factor
            or age_ms >= settings.snapshot_ms * rank_factor
        )
        if not is_due:
            return []
        self._snapshot_requested_ms = now_ms
        return [WriteSnapshot(stream.state.next_offset)]

    def _check_drained(self, now_ms: int) -> list[Effect]:
        is_busy = any(
            server.lease.is_valid(now_ms) or server.in_flight is not None
            for server in self.fleet.server_by_id.values()
        )
        stream = self.stream
        if is_busy or (len(stream.appender) and not stream.log_error):
            return []
        self._is_drained = True
        return [Drained()]
