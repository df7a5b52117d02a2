"""Port to the advice service."""

from typing import Protocol

import msgspec


class TicketsIssued(msgspec.Struct, frozen=True):
    """Answer of the advice service.

    :ivar ticket_by_server: start ticket of each eligible server.
    """

    ticket_by_server: dict[str, str]
    validity_ms: int


class TicketsUnavailable(msgspec.Struct, frozen=True):
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
