"""Daemon of a virtual failure domain: real controller, simulated effects."""

import itertools
from collections.abc import Callable

from waxwingford.batch import (
    Append,
    AppendResult,
    BatchSettings,
    Control,
    ControlResult,
    DomainController,
    LogEntries,
    LogReadFailed,
    ReplySubmission,
    SnapshotWritten,
    Tick,
    WriteSnapshot,
    decode_entry,
    is_expired,
)
from waxwingford.ports import ControlOutcomeUnknown
from waxwingford.records import (
    DomainState,
    SnapshotAssembler,
    encode_group,
    encode_snapshot,
)
from waxwingford_bench.virtual.network import DOMAIN, SNAPSHOTS, STREAM
from waxwingford_bench.virtual.surroundings import Surroundings


class VirtualDaemon:
    """A daemon that can crash and be suspended.

    :ivar controller: controller under test; None while the daemon is down.
    :ivar frozen: whether the daemon is suspended.
    :ivar other_effects: effects that are not simulated, with their virtual time
        in milliseconds.
    :ivar handled_count: number of messages handled by the controllers.
    """

    def __init__(
        self,
        daemon_id: str,
        domain: Surroundings,
        settings: Callable[[BatchSettings], BatchSettings],
    ) -> None:
        """Create a daemon that is down until ``boot`` is called.

        :param daemon_id: id of the daemon.
        :param domain: virtual failure domain.
        :param settings: function that modifies the default settings.
        """
        self.daemon_id = daemon_id
        self.controller: DomainController | None = None
        self.frozen = False
        self.other_effects: list = []
        self.handled_count = 0
        self._domain = domain
        self._settings = settings
        self._incarnations = itertools.count(1)
        self._life = 0
        self._deferred_calls: list[Callable[[], None]] = []
        self._booting = False

    def boot(self) -> None:
        """Start a new incarnation with empty memory."""
        self._life = next(self._incarnations)
        self._deferred_calls.clear()
        self.frozen = False
        self._booting = True
        self._load()

    def kill(self) -> None:
        """Crash; requests in flight are still delivered."""
        self.controller = None
        self._booting = False
        self._life = -1
        self._deferred_calls.clear()

    def freeze(self) -> None:
        """Suspend the daemon and keep its state."""
        self.frozen = True

    def thaw(self) -> None:
        """Resume the daemon and run the calls deferred meanwhile."""
        self.frozen = False
        deferred_calls = self._deferred_calls
        self._deferred_calls = []
        for call in deferred_calls:
            call()

    def seems_alive(self) -> bool:
        """Tell whether the daemon sends heartbeats.

        :returns: whether it is up and not suspended.
        """
        return self.controller is not None and not self.frozen

    def tick(self) -> None:
        """Retry a pending boot and deliver a tick."""
        if self._booting and not self.frozen:
            self._load()
        if not self.frozen:
            self.deliver(Tick())

    def poll(self) -> None:
        """Read the next entries of the stream."""
        if self.controller is None or self.frozen:
            return
        started_ms = self._domain.now_ms
        from_offset = self.controller.state.next_offset
        outcome = self._domain.network.read(self.daemon_id, STREAM, from_offset)
        if outcome is None:
            self.deliver(LogReadFailed('timeout'))
            return
        entries = tuple(decode_entry(entry) for entry in outcome.entries)
        message = LogEntries(
            entries, started_ms, outcome.next_offset, outcome.oldest_offset
        )
        delay_ms = self._domain.random.randrange(1, 20)
        life = self._life
        self._domain.time.at(delay_ms, lambda: self._deliver_to(life, message))

    def deliver(self, message) -> None:
        """Deliver a message, deferred until resumption if suspended.

        :param message: message to the controller.
        """
        self._deliver_to(self._life, message)

    def _deliver_to(self, life: int, message) -> None:
        if life != self._life or self.controller is None:
            return
        if self.frozen:
            self._deferred_calls.append(lambda: self._deliver_to(life, message))
            return
        now_ms = self._domain.now_ms
        self.handled_count += 1
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
                self.other_effects.append((self._domain.now_ms, effect))

    def _send(self, life: int, effect: Control) -> None:
        if life != self._life:
            return
        if self.frozen:
            self._deferred_calls.append(lambda: self._send(life, effect))
            return
        sent_ms = self._domain.now_ms

        def _on_outcome(outcome) -> None:
            result = ControlResult(
                effect.server_id,
                effect.exchange,
                sent_ms,
                effect.request,
                outcome,
            )
            self._deliver_to(life, result)

        if is_expired(effect, sent_ms):
            _on_outcome(ControlOutcomeUnknown('too late', not_sent=True))
        else:
            self._domain.network.control(self.daemon_id, effect, _on_outcome)

    def _write_snapshot(self, covers_offset: int) -> None:
        if self.controller is None or self._domain.network.is_cut(
            self.daemon_id, 'log'
        ):
            return
        for chunk in encode_snapshot(self.controller.state, covers_offset):
            self._domain.network.log.append(
                SNAPSHOTS, chunk, self._domain.now_ms
            )
        life = self._life
        message = SnapshotWritten(covers_offset)
        self._domain.time.at(10, lambda: self._deliver_to(life, message))
