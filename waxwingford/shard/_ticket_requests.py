"""Requests tickets from the advice service, one request at a time."""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Protocol

import logbook

from waxwingford.scheduling import Engine
from waxwingford.shard._clocks import monotonic_ms

RETRY_DELAY_S = 0.2

_log = logbook.Logger('shard')


@dataclasses.dataclass(frozen=True, slots=True)
class TicketsIssued:
    """Answer of the advice service.

    :ivar ticket_by_server: start ticket of each eligible server.
    """

    ticket_by_server: dict[str, str]
    validity_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class TicketsUnavailable:
    """The advice service gave no answer."""

    reason: str


class AdviceClient(Protocol):
    """Client of the advice service."""

    async def advise(
        self, step_name: str, server_ids: tuple[str, ...]
    ) -> TicketsIssued | TicketsUnavailable:
        """Ask which servers may run a step.

        :param server_ids: ids of the candidate servers.
        :returns: tickets of the eligible servers, or why there is no answer.
        """
        ...


class TicketRequester:
    """Passes requests of the engine to the advice service, and answers back."""

    def __init__(self, engine: Engine, advice_client: AdviceClient) -> None:
        self._tickets = engine.state.tickets
        self._advice_client = advice_client
        self._wake_event = asyncio.Event()

    def wake(self) -> None:
        """Have pending requests sent without delay."""
        self._wake_event.set()

    async def run(self, on_answer: Callable[[], None]) -> None:
        """Send pending requests until cancelled.

        :param on_answer: called after each request, also one that failed.
        """
        while True:
            await self._wake_event.wait()
            self._wake_event.clear()
            request = self._tickets.next_request()
            if request is None:
                continue
            self._wake_event.set()
            asked_ms = monotonic_ms()
            answer = await self._advice_client.advise(
                request.step.name, request.server_ids
            )
            match answer:
                case TicketsIssued(tickets, validity_ms):
                    self._tickets.answered(
                        request, tickets, asked_ms, validity_ms, monotonic_ms()
                    )
                case TicketsUnavailable(reason):
                    log_fields = {'step': request.step.name, 'reason': reason}
                    _log.warning('no advice', extra=log_fields)
                    await asyncio.sleep(RETRY_DELAY_S)
            on_answer()
