"""Executes the controller's effects through the ports."""

from collections.abc import Callable

from waxwingford.batch._effects import Append, Control
from waxwingford.batch._messages import (
    AppendResult,
    ControlResult,
    Message,
    SnapshotWritten,
)
from waxwingford.batch._settings import BatchSettings
from waxwingford.batch._snapshots import write_snapshot
from waxwingford.kernel import Clock, Invariant, check_invariant
from waxwingford.ports import (
    BackendServerPort,
    ControlOutcome,
    ControlOutcomeUnknown,
    LogPort,
)
from waxwingford.records import DomainState, encode_group

_LEASE_EXPIRED = 'lease expired before the request was sent'


def is_expired(effect: Control, now_ms: int) -> bool:
    """Return whether an exchange is no longer valid at the time of sending.

    :param now_ms: monotonic time, in milliseconds.
    """
    return now_ms >= effect.valid_until_ms


class EffectExecutor:
    """Executes effects and delivers their outcomes as messages."""

    def __init__(
        self,
        settings: BatchSettings,
        log: LogPort,
        servers: BackendServerPort,
        clock: Clock,
        handle: Callable[[Message], None],
    ) -> None:
        """Create an executor.

        :param handle: callback for the outcomes.
        """
        self._settings = settings
        self._log = log
        self._servers = servers
        self._clock = clock
        self._handle = handle
        self._generation = 0

    def start_generation(self, generation: int) -> None:
        """Ignore outcomes of earlier controllers from now on.

        :param generation: number of the present controller.
        """
        self._generation = generation

    async def control(self, effect: Control) -> None:
        """Send an exchange unless its lease has expired.

        The lease is checked again right before sending, since the process may
        have been suspended after the exchange was planned.  The outcome of an
        exchange that expired states that it was not sent.
        """
        generation = self._generation
        sent_ms = self._clock.monotonic_ms()
        if is_expired(effect, sent_ms):
            outcome: ControlOutcome = ControlOutcomeUnknown(
                _LEASE_EXPIRED, not_sent=True
            )
        else:
            outcome = await self._send(effect, sent_ms)
        result = ControlResult(
            effect.server_id, effect.exchange, sent_ms, effect.request, outcome
        )
        self._deliver(generation, result)

    async def append(self, effect: Append) -> None:
        """Append a group to the domain's stream."""
        generation = self._generation
        outcome = await self._log.append(
            f'domain/{self._settings.failure_domain}',
            encode_group(effect.group),
        )
        self._deliver(generation, AppendResult(effect.group.sequence, outcome))

    async def snapshot(self, state: DomainState) -> None:
        """Write a snapshot and report it when it is complete."""
        generation = self._generation
        covers_offset = state.next_offset
        stream = f'snapshots/{self._settings.failure_domain}'
        failure = await write_snapshot(self._log, stream, state)
        if not failure:
            self._deliver(generation, SnapshotWritten(covers_offset))

    async def _send(self, effect: Control, sent_ms: int) -> ControlOutcome:
        check_invariant(
            sent_ms < effect.valid_until_ms,
            Invariant.lease_before_effect,
            f'{effect.server_id}: sent at {sent_ms}, '
            f'valid until {effect.valid_until_ms}',
        )
        return await self._servers.control(
            effect.host,
            effect.port,
            effect.request,
            self._settings.control_timeout_ms,
        )

    def _deliver(self, generation: int, message: Message) -> None:
        if generation == self._generation:
            self._handle(message)
