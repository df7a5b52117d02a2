"""One daemon of a virtual failure domain: real decisions, virtual effects."""

import itertools
from collections.abc import Callable

from waxwingford.batch import (
    Append,
    AppendResult,
    BatchSettings,
    Control,
    ControlResult,
    DomainController,
    LogAway,
    LogEntries,
    ReplySubmission,
    SnapshotWritten,
    Tick,
    WriteSnapshot,
    is_too_late,
    read_group,
)
from waxwingford.ports import ControlUnknown
from waxwingford.records import (
    DomainState,
    SnapshotAssembler,
    encode_group,
    snapshot_chunks,
)
from waxwingford_bench.virtual.network import DOMAIN, SNAPSHOTS, STREAM
from waxwingford_bench.virtual.surroundings import Surroundings


class VirtualDaemon:
    """A daemon that can be killed, frozen and thawed.

    :ivar controller: decisions; None while it is dead.
    :ivar frozen: whether nothing runs in it.
    """

    def __init__(
        self,
        daemon_id: str,
        domain: Surroundings,
        settings: Callable[[BatchSettings], BatchSettings],
    ) -> None:
        """Prepare; nothing runs before ``boot``.

        :param daemon_id: name.
        :param domain: the virtual failure domain.
        :param settings: changes the default settings.
        """
        self.daemon_id = daemon_id
        self.controller: DomainController | None = None
        self.frozen = False
        self.notes: list = []
        self.handled = 0
        self._domain = domain
        self._settings = settings
        self._incarnations = itertools.count(1)
        self._life = 0
        self._held_up: list[Callable[[], None]] = []
        self._booting = False

    def boot(self) -> None:
        """Start with empty memory."""
        self._life = next(self._incarnations)
        self._held_up.clear()
        self.frozen = False
        self._booting = True
        self._load()

    def kill(self) -> None:
        """Die at once; requests under way still arrive."""
        self.controller = None
        self._booting = False
        self._life = -1
        self._held_up.clear()

    def freeze(self) -> None:
        """Stop running without losing anything."""
        self.frozen = True

    def thaw(self) -> None:
        """Run on; what was decided before the freeze is carried out now."""
        self.frozen = False
        held_up = self._held_up
        self._held_up = []
        for call in held_up:
            call()

    def seems_alive(self) -> bool:
        """Tell what heartbeats show.

        :returns: whether it runs.
        """
        return self.controller is not None and not self.frozen

    def tick(self) -> None:
        """Let time pass in the daemon."""
        if self._booting and not self.frozen:
            self._load()
        if not self.frozen:
            self.deliver(Tick())

    def poll(self) -> None:
        """Read the stream forward."""
        if self.controller is None or self.frozen:
            return
        started_ms = self._domain.now_ms
        from_offset = self.controller.state.next_offset
        outcome = self._domain.network.read(self.daemon_id, STREAM, from_offset)
        if outcome is None:
            self.deliver(LogAway('timeout'))
            return
        entries = tuple(read_group(entry) for entry in outcome.entries)
        message = LogEntries(
            entries, started_ms, outcome.next_offset, outcome.oldest_offset
        )
        delay_ms = self._domain.random.randrange(1, 20)
        life = self._life
        self._domain.time.at(delay_ms, lambda: self._deliver_to(life, message))

    def deliver(self, message) -> None:
        """Give the controller a message, after a thaw if it is frozen.

        :param message: any.
        """
        self._deliver_to(self._life, message)

    def _deliver_to(self, life: int, message) -> None:
        if life != self._life or self.controller is None:
            return
        if self.frozen:
            self._held_up.append(lambda: self._deliver_to(life, message))
            return
        now_ms = self._domain.now_ms
        self.handled += 1
        for effect in self.controller.handle(message, now_ms, now_ms):
            self._carry_out(effect)
        gap = self.controller.stream.gap
        if gap:
            self.controller = None
            self._life = next(self._incarnations)
            self._booting = True

    def _load(self) -> None:
        state = self._newest_snapshot()
        if state is None:
            return
        self._booting = False
        base = BatchSettings(self.daemon_id, str(self._life), DOMAIN)
        settings = self._settings(base)
        now_ms = self._domain.now_ms
        self.controller = DomainController(settings, state, now_ms)
        self.deliver(self._domain.bundle)

    def _newest_snapshot(self) -> DomainState | None:
        assembler = SnapshotAssembler()
        offset = 0
        while True:
            outcome = self._domain.network.read(
                self.daemon_id, SNAPSHOTS, offset
            )
            if outcome is None:
                return None
            if not outcome.entries:
                return assembler.newest or DomainState()
            for entry in outcome.entries:
                assembler.add(entry.payload)
            offset = outcome.entries[-1].offset + 1

    def _carry_out(self, effect) -> None:
        life = self._life
        match effect:
            case Append(group=group):
                self._domain.network.append(
                    self.daemon_id,
                    encode_group(group),
                    lambda outcome: self._deliver_to(
                        life, AppendResult(group.sequence, outcome)
                    ),
                )
            case Control():
                self._domain.time.at(1, lambda: self._send(life, effect))
            case ReplySubmission(submission_id=submission_id, outcome=outcome):
                self._domain.oracle.note_reply(submission_id, outcome)
            case WriteSnapshot(covers_offset=covers_offset):
                self._write_snapshot(covers_offset)
            case _:
                self.notes.append((self._domain.now_ms, effect))

    def _send(self, life: int, effect: Control) -> None:
        if life != self._life:
            return
        if self.frozen:
            self._held_up.append(lambda: self._send(life, effect))
            return
        sent_ms = self._domain.now_ms

        def _take(outcome) -> None:
            result = ControlResult(
                effect.server_id,
                effect.exchange,
                sent_ms,
                effect.request,
                outcome,
            )
            self._deliver_to(life, result)

        if is_too_late(effect, sent_ms):
            _take(ControlUnknown('too late', not_sent=True))
        else:
            self._domain.network.control(self.daemon_id, effect, _take)

    def _write_snapshot(self, covers_offset: int) -> None:
        if self.controller is None or self._domain.network.is_cut(
            self.daemon_id, 'log'
        ):
            return
        for chunk in snapshot_chunks(self.controller.state, covers_offset):
            self._domain.network.log.append(
                SNAPSHOTS, chunk, self._domain.now_ms
            )
        life = self._life
        message = SnapshotWritten(covers_offset)
        self._domain.time.at(10, lambda: self._deliver_to(life, message))
