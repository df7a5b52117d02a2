"""A virtual daemon whose loops pause as those of its batch task do."""

import time
from collections.abc import Callable, Coroutine

from waxwingford.batch import (
    BatchSettings,
    LogAway,
    LogEntries,
    ReplySubmission,
    VmListRead,
    read_group,
)
from waxwingford.batch._snapshots import load_newest
from waxwingford.ports import (
    LogRead,
    LogUnavailable,
    VmList,
    VmListUnavailable,
)
from waxwingford.records import DomainState, snapshot_chunks
from waxwingford_bench.storms.surroundings import StormSurroundings
from waxwingford_bench.virtual.daemon import VirtualDaemon
from waxwingford_bench.virtual.network import SNAPSHOTS, STREAM

#: As in :mod:`waxwingford.peers`.
_SILENT_AFTER_MS = 3500
_LONG_POLL_MS = 1000
_LOOK_MS = 10


class _SnapshotLog:
    """The log's port for reading snapshots, which answers at once."""

    def __init__(self, daemon_id: str, domain: StormSurroundings) -> None:
        self._daemon_id = daemon_id
        self._domain = domain

    async def read(
        self, stream: str, from_offset: int, limit: int, wait_ms: int = 0
    ) -> LogRead | LogUnavailable:
        domain = self._domain
        now_ms = domain.now_ms
        domain.meter.note_sent(self._daemon_id, 'snapshot', 0, now_ms)
        if domain.network.is_cut(self._daemon_id, 'log'):
            return LogUnavailable('not connected')
        outcome = domain.network.log.read(stream, from_offset, limit, now_ms)
        size = sum(len(entry.payload) for entry in outcome.entries)
        domain.meter.note_bytes(self._daemon_id, size, now_ms)
        return outcome


class StormDaemon(VirtualDaemon):
    """A daemon with the loops of its batch task: read, list, load."""

    def __init__(
        self,
        daemon_id: str,
        domain: StormSurroundings,
        settings: Callable[[BatchSettings], BatchSettings],
    ) -> None:
        """Prepare; nothing runs before ``boot``.

        :param daemon_id: name.
        :param domain: the virtual failure domain.
        :param settings: changes the default settings.
        """
        super().__init__(daemon_id, domain, settings)
        self.died_ms: int | None = None
        self._loads_failed = 0
        self._load_again_ms = 0

    def boot(self) -> None:
        """Start with empty memory, and with loops of its own."""
        self.died_ms = None
        self._loads_failed = 0
        super().boot()
        life = self._life
        self._poll_again(life, 0)
        self._list_again(life)

    def kill(self) -> None:
        """Die at once."""
        self.died_ms = self._domain.now_ms
        super().kill()

    def tick(self) -> None:
        """Let time pass in the daemon, if it runs."""
        if self.controller is not None or self._is_load_due():
            super().tick()

    def seems_alive(self) -> bool:
        """Tell what heartbeats show, which is late.

        :returns: whether peers take it for alive.
        """
        if self.died_ms is None:
            return self.controller is not None
        return self._domain.now_ms < self.died_ms + _SILENT_AFTER_MS

    def _load(self) -> None:
        super()._load()
        if not self._booting:
            return
        now_ms = self._domain.now_ms
        self._domain.meter.note_retry('snapshot', now_ms)
        self._loads_failed += 1
        pause_ms = self._domain.pauses.load_ms(self._loads_failed)
        self._load_again_ms = now_ms + pause_ms

    def _is_load_due(self) -> bool:
        return self._domain.now_ms >= self._load_again_ms

    def _newest_snapshot(self) -> DomainState | None:
        log = _SnapshotLog(self.daemon_id, self._domain)
        started_ns = time.process_time_ns()
        outcome = _run_at_once(load_newest(log, SNAPSHOTS))
        _note_spent(self._domain, self.daemon_id, started_ns)
        if isinstance(outcome, LogUnavailable):
            return None
        return outcome or DomainState()

    def _deliver_to(self, life: int, message) -> None:
        started_ns = time.process_time_ns()
        super()._deliver_to(life, message)
        _note_spent(self._domain, self.daemon_id, started_ns)

    def _carry_out(self, effect) -> None:
        if isinstance(effect, ReplySubmission):
            super()._carry_out(effect)
            outcome = self._domain.pauses.spread_reply(effect.outcome)
            self._domain.submitters.take(effect.submission_id, outcome)
        else:
            super()._carry_out(effect)

    def _write_snapshot(self, covers_offset: int) -> None:
        if self.controller is not None:
            now_ms = self._domain.now_ms
            for chunk in snapshot_chunks(self.controller.state, covers_offset):
                self._domain.meter.note_sent(
                    self.daemon_id, 'append', len(chunk), now_ms
                )
        super()._write_snapshot(covers_offset)

    def _poll_again(self, life: int, failures: int) -> None:
        if life != self._life:
            return
        domain = self._domain
        domain.meter.note_sent(self.daemon_id, 'read', 0, domain.now_ms)
        if failures:
            domain.meter.note_retry('read', domain.now_ms)
        given_up_ms = domain.now_ms + _LONG_POLL_MS
        started_ms = domain.now_ms
        delay_ms = domain.random.randrange(1, 10)
        domain.time.at(
            delay_ms,
            lambda: self._look(life, failures, started_ms, given_up_ms),
        )

    def _look(
        self, life: int, failures: int, started_ms: int, given_up_ms: int
    ) -> None:
        """Hold a read until there is something new.

        :param life: of the daemon that reads.
        :param failures: reads in a row that failed before.
        :param started_ms: when the read was sent.
        :param given_up_ms: when the log answers without entries.
        """
        if life != self._life:
            return
        domain = self._domain
        is_away = domain.network.is_cut(self.daemon_id, 'log')
        if is_away or self.controller is None:
            if self.controller is not None:
                self.deliver(LogAway('not connected'))
            self._poll_later(life, failures + 1)
            return
        from_offset = self.controller.state.next_offset
        has_new = domain.fold.next_offset > from_offset
        if not has_new and domain.now_ms < given_up_ms:
            domain.time.at(
                _LOOK_MS,
                lambda: self._look(life, failures, started_ms, given_up_ms),
            )
            return
        self._take_read(started_ms, from_offset)
        self._poll_later(life, 0)

    def _take_read(self, started_ms: int, from_offset: int) -> None:
        outcome = self._domain.network.read(self.daemon_id, STREAM, from_offset)
        started_ns = time.process_time_ns()
        entries = tuple(read_group(entry) for entry in outcome.entries)
        _note_spent(self._domain, self.daemon_id, started_ns)
        self.deliver(
            LogEntries(
                entries, started_ms, outcome.next_offset, outcome.oldest_offset
            )
        )

    def _poll_later(self, life: int, failures: int) -> None:
        pause_ms = self._domain.pauses.read_ms(failures)
        self._domain.time.at(pause_ms, lambda: self._poll_again(life, failures))

    def _list_again(self, life: int) -> None:
        if life != self._life:
            return
        domain = self._domain
        if domain.list_is_away:
            domain.meter.note_retry('list', domain.now_ms)
            self.deliver(VmListRead(VmListUnavailable('not connected')))
        else:
            self.deliver(VmListRead(VmList(domain.listed())))
        pause_ms = domain.pauses.list_ms() + domain.random.randrange(1, 10)
        domain.time.at(pause_ms, lambda: self._list_again(life))


def _note_spent(
    domain: StormSurroundings, daemon_id: str, started_ns: int
) -> None:
    spent_ns = time.process_time_ns() - started_ns
    domain.meter.note_spent(daemon_id, spent_ns, domain.now_ms)


def _run_at_once(work: Coroutine):
    """Run a coroutine whose port answers at once.

    :param work: the coroutine.
    :returns: its result.
    :raises RuntimeError: if it waits for something.
    """
    try:
        work.send(None)
    except StopIteration as stop:
        return stop.value
    raise RuntimeError('the coroutine waits')
