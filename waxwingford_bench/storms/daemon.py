"""A virtual daemon with the read, list and load loops of its batch task."""

import time
from collections.abc import Callable, Coroutine

from waxwingford.batch import (
    BatchSettings,
    LogEntries,
    LogReadFailed,
    ReplySubmission,
    VmListRead,
    decode_entry,
)
from waxwingford.batch._snapshots import load_newest_snapshot
from waxwingford.ports import (
    LogRead,
    LogUnavailable,
    VmList,
    VmListUnavailable,
)
from waxwingford.records import DomainState, encode_snapshot
from waxwingford_bench.storms.surroundings import StormSurroundings
from waxwingford_bench.virtual.daemon import VirtualDaemon
from waxwingford_bench.virtual.network import SNAPSHOTS, STREAM

#: Same as in :mod:`waxwingford.peers`.
_HEARTBEAT_TIMEOUT_MS = 3500
_LONG_POLL_MS = 1000
_RECHECK_MS = 10


class _MeteredSnapshotLog:
    """Log port for reading snapshots that never suspends its caller."""

    def __init__(self, daemon_id: str, domain: StormSurroundings) -> None:
        self._daemon_id = daemon_id
        self._domain = domain

    async def read(
        self, stream: str, from_offset: int, limit: int, wait_ms: int = 0
    ) -> LogRead | LogUnavailable:
        domain = self._domain
        now_ms = domain.now_ms
        domain.meter.count_message(self._daemon_id, 'snapshot', 0, now_ms)
        if domain.network.is_cut(self._daemon_id, 'log'):
            return LogUnavailable('not connected')
        outcome = domain.network.log.read(stream, from_offset, limit, now_ms)
        size = sum(len(entry.payload) for entry in outcome.entries)
        domain.meter.count_bytes(self._daemon_id, size, now_ms)
        return outcome


class StormDaemon(VirtualDaemon):
    """A daemon that reads the log, the VM list and snapshots with retries."""

    def __init__(
        self,
        daemon_id: str,
        domain: StormSurroundings,
        settings: Callable[[BatchSettings], BatchSettings],
    ) -> None:
        """Create the daemon; it runs only after ``boot``.

        :param daemon_id: name of the daemon.
        :param domain: virtual failure domain that it runs in.
        :param settings: returns changed settings for the default ones.
        """
        super().__init__(daemon_id, domain, settings)
        self.died_ms: int | None = None
        self._failed_loads = 0
        self._next_load_ms = 0

    def boot(self) -> None:
        """Start with empty memory and start the loops."""
        self.died_ms = None
        self._failed_loads = 0
        super().boot()
        life = self._life
        self._start_read(life, 0)
        self._read_vm_list(life)

    def kill(self) -> None:
        """Crash without any cleanup."""
        self.died_ms = self._domain.now_ms
        super().kill()

    def tick(self) -> None:
        """Run timers of a running daemon, or retry a due snapshot load."""
        if self.controller is not None or self._is_load_due():
            super().tick()

    def seems_alive(self) -> bool:
        """Tell whether peers consider the daemon alive.

        :returns: False once its heartbeats have timed out.
        """
        if self.died_ms is None:
            return self.controller is not None
        return self._domain.now_ms < self.died_ms + _HEARTBEAT_TIMEOUT_MS

    def _load(self) -> None:
        super()._load()
        if not self._booting:
            return
        now_ms = self._domain.now_ms
        self._domain.meter.count_retry('snapshot', now_ms)
        self._failed_loads += 1
        pause_ms = self._domain.pauses.load_ms(self._failed_loads)
        self._next_load_ms = now_ms + pause_ms

    def _is_load_due(self) -> bool:
        return self._domain.now_ms >= self._next_load_ms

    def _newest_snapshot(self) -> DomainState | None:
        log = _MeteredSnapshotLog(self.daemon_id, self._domain)
        started_ns = time.process_time_ns()
        outcome = _run_to_completion(load_newest_snapshot(log, SNAPSHOTS))
        _count_cpu_time(self._domain, self.daemon_id, started_ns)
        if isinstance(outcome, LogUnavailable):
            return None
        return outcome or DomainState()

    def _deliver_to(self, life: int, message) -> None:
        started_ns = time.process_time_ns()
        super()._deliver_to(life, message)
        _count_cpu_time(self._domain, self.daemon_id, started_ns)

    def _carry_out(self, effect) -> None:
        if isinstance(effect, ReplySubmission):
            super()._carry_out(effect)
            outcome = self._domain.pauses.add_reply_jitter(effect.outcome)
            self._domain.submitters.handle_reply(effect.submission_id, outcome)
        else:
            super()._carry_out(effect)

    def _write_snapshot(self, covers_offset: int) -> None:
        if self.controller is not None:
            now_ms = self._domain.now_ms
            for chunk in encode_snapshot(self.controller.state, covers_offset):
                self._domain.meter.count_message(
                    self.daemon_id, 'append', len(chunk), now_ms
                )
        super()._write_snapshot(covers_offset)

    def _start_read(self, life: int, failures: int) -> None:
        if life != self._life:
            return
        domain = self._domain
        domain.meter.count_message(self.daemon_id, 'read', 0, domain.now_ms)
        if failures:
            domain.meter.count_retry('read', domain.now_ms)
        poll_deadline_ms = domain.now_ms + _LONG_POLL_MS
        started_ms = domain.now_ms
        delay_ms = domain.random.randrange(1, 10)
        domain.time.at(
            delay_ms,
            lambda: self._check_stream(
                life, failures, started_ms, poll_deadline_ms
            ),
        )

    def _check_stream(
        self, life: int, failures: int, started_ms: int, poll_deadline_ms: int
    ) -> None:
        """Hold a long poll until there are new entries.

        :param life: incarnation of the daemon that reads.
        :param failures: preceding consecutive reads that failed.
        :param started_ms: virtual time at which the read was sent.
        :param poll_deadline_ms: virtual time at which the log answers without
            entries.
        """
        if life != self._life:
            return
        domain = self._domain
        is_away = domain.network.is_cut(self.daemon_id, 'log')
        if is_away or self.controller is None:
            if self.controller is not None:
                self.deliver(LogReadFailed('not connected'))
            self._schedule_read(life, failures + 1)
            return
        from_offset = self.controller.state.next_offset
        has_new = domain.fold.next_offset > from_offset
        if not has_new and domain.now_ms < poll_deadline_ms:
            domain.time.at(
                _RECHECK_MS,
                lambda: self._check_stream(
                    life, failures, started_ms, poll_deadline_ms
                ),
            )
            return
        self._deliver_entries(started_ms, from_offset)
        self._schedule_read(life, 0)

    def _deliver_entries(self, started_ms: int, from_offset: int) -> None:
        outcome = self._domain.network.read(self.daemon_id, STREAM, from_offset)
        started_ns = time.process_time_ns()
        entries = tuple(decode_entry(entry) for entry in outcome.entries)
        _count_cpu_time(self._domain, self.daemon_id, started_ns)
        self.deliver(
            LogEntries(
                entries, started_ms, outcome.next_offset, outcome.oldest_offset
            )
        )

    def _schedule_read(self, life: int, failures: int) -> None:
        pause_ms = self._domain.pauses.read_ms(failures)
        self._domain.time.at(pause_ms, lambda: self._start_read(life, failures))

    def _read_vm_list(self, life: int) -> None:
        if life != self._life:
            return
        domain = self._domain
        if domain.is_vm_list_unavailable:
            domain.meter.count_retry('list', domain.now_ms)
            self.deliver(VmListRead(VmListUnavailable('not connected')))
        else:
            self.deliver(VmListRead(VmList(domain.list_vms())))
        pause_ms = domain.pauses.list_ms() + domain.random.randrange(1, 10)
        domain.time.at(pause_ms, lambda: self._read_vm_list(life))


def _count_cpu_time(
    domain: StormSurroundings, daemon_id: str, started_ns: int
) -> None:
    spent_ns = time.process_time_ns() - started_ns
    domain.meter.count_cpu_time(daemon_id, spent_ns, domain.now_ms)


def _run_to_completion(work: Coroutine):
    """Run a coroutine that never suspends.

    :param work: the coroutine.
    :returns: its result.
    :raises RuntimeError: if it suspends.
    """
    try:
        work.send(None)
    except StopIteration as stop:
        return stop.value
    raise RuntimeError('coroutine suspended instead of finishing')
