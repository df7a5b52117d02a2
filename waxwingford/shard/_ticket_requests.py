"""Requests tickets from the advice service, one request at a time."""

import asyncio
from collections.abc import Callable

import logbook

from waxwingford.scheduling import Engine
from waxwingford.shard._advice_port import (
    AdviceClient,
    TicketsIssued,
    TicketsUnavailable,
)
from waxwingford.shard._clocks import monotonic_ms

RETRY_DELAY_S = 0.2

_log = logbook.Logger('shard')


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
