"""Start tickets for steps whose eligible servers only the advice service knows.

The policy of an advised queue is kept by an external service. It returns a
ticket for each server that may run a step, and servers refuse starts without a
valid one.
"""

import dataclasses
import math
import operator
from typing import NamedTuple

from waxwingford.scheduling import _gangs as gangs
from waxwingford.scheduling._incarnations import Incarnation
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._state import Step

#: Servers named in a request, unless a gang needs more: the service takes time
#: for each.
DEFAULT_REQUEST_SERVERS = 30
#: Maximum number of servers that the service accepts in one request.
MAX_REQUEST_SERVERS = 100
#: Shortest time between two checks whether a gang needs more tickets, in ms.
GANG_CHECK_INTERVAL_MS = 100
#: Share of a ticket's validity in which starts are sent with it, so that they
#: arrive in time.
USABLE_VALIDITY_SHARE = 0.8
#: Validity that a ticket must have left when a run is planned with it, in ms:
#: the run has to be stored and earlier orders sent first.
PLANNING_MARGIN_MS = 280
#: Upper bound of that margin, as a share of the validity left on arrival, so
#: that short-lived tickets are usable as well.
MAX_PLANNING_MARGIN_SHARE = 0.5


_free_resources = operator.attrgetter('free_resources')


class Ticket(NamedTuple):
    """Permission to start tasks of a step on a server.

    :ivar text: text sent with the start.
    :ivar until_ms: monotonic time in ms until which starts are sent with it.
    :ivar plan_until_ms: monotonic time in ms until which runs are planned with
        it.
    """

    text: str
    until_ms: float
    plan_until_ms: float


@dataclasses.dataclass(slots=True)
class StepTickets:
    """Tickets of one step.

    :ivar ticket_by_server: tickets of eligible servers, by incarnation: a
        ticket is void once its server has restarted.
    :ivar refused: servers that may never run the step.
    :ivar checked_ms: monotonic time in ms of the latest check whether a gang
        needs more tickets.
    """

    ticket_by_server: dict[Incarnation, Ticket] = dataclasses.field(
        default_factory=dict
    )
    refused: set[Incarnation] = dataclasses.field(default_factory=set)
    checked_ms: float = -math.inf


class TicketRequest(NamedTuple):
    """Request to the advice service.

    :ivar servers: candidate servers.
    """

    step: Step
    servers: tuple[Incarnation, ...]

    @property
    def server_ids(self) -> tuple[str, ...]:
        """Identifiers of the candidate servers."""
        return tuple(server.server_id for server in self.servers)


class TicketBook:
    """Tickets by step, and pending requests for more."""

    def __init__(self) -> None:
        self._tickets_by_step: dict[str, StepTickets] = {}
        self._request_by_step: dict[str, TicketRequest] = {}

    def allowed(
        self, step: Step, servers: list[Server], now_ms: int
    ) -> list[Server]:
        """Keep the servers with a ticket; request more if they don't suffice.

        :param step: step of an advised queue.
        :param servers: servers with free resources for a task of the step.
        :param now_ms: current monotonic time, in ms.
        :returns: servers on which runs may be planned.
        """
        tickets = self._tickets_by_step.setdefault(step.name, StepTickets())
        allowed = [
            server
            for server in servers
            if _may_plan(tickets, server.incarnation, now_ms)
        ]
        possible = [
            server
            for server in servers
            if server.incarnation not in tickets.refused
        ]
        if step.spec.gang and len(allowed) < len(possible):
            self._request_for_gang(step, allowed, possible, now_ms)
        elif not allowed:
            self._request(step, possible, set(), now_ms)
        return allowed

    def ticket(self, step: Step, incarnation: Incarnation, now_ms: int) -> str:
        """Find a ticket that is still valid when a start arrives.

        :param step: step of an advised queue.
        :param now_ms: monotonic time in ms at which the start is sent.
        :returns: text of the ticket, empty if there is none.
        """
        tickets = self._tickets_by_step.get(step.name)
        if tickets is None:
            return ''
        ticket = tickets.ticket_by_server.get(incarnation)
        valid = ticket is not None and now_ms < ticket.until_ms
        return ticket.text if valid else ''

    def next_request(self) -> TicketRequest | None:
        """Remove and return the oldest pending request, ``None`` if none."""
        if not self._request_by_step:
            return None
        name = next(iter(self._request_by_step))
        return self._request_by_step.pop(name)

    def answered(
        self,
        request: TicketRequest,
        text_by_server: dict[str, str],
        sent_ms: int,
        validity_ms: int,
        now_ms: int,
    ) -> None:
        """Apply a response of the service.

        :param text_by_server: tickets of the eligible servers, by server id.
        :param sent_ms: monotonic time in ms at which the request was sent.
        :param validity_ms: validity of the tickets, in ms.
        :param now_ms: monotonic time in ms at which the response arrived.
        """
        tickets = self._tickets_by_step.get(request.step.name)
        if tickets is None:
            # The job has ended in the meantime.
            return
        until_ms = sent_ms + validity_ms * USABLE_VALIDITY_SHARE
        margin_ms = min(
            PLANNING_MARGIN_MS,
            MAX_PLANNING_MARGIN_SHARE * (until_ms - now_ms),
        )
        for server in request.servers:
            text = text_by_server.get(server.server_id)
            if text is None:
                tickets.refused.add(server)
            else:
                tickets.ticket_by_server[server] = Ticket(
                    text, until_ms, until_ms - margin_ms
                )
        tickets.checked_ms = -math.inf
        # Placement rounds during the call have queued the same request again.
        self._request_by_step.pop(request.step.name, None)

    def forget(self, step: Step) -> None:
        """Drop the tickets and the request of a finished step."""
        self._tickets_by_step.pop(step.name, None)
        self._request_by_step.pop(step.name, None)

    def _request_for_gang(
        self,
        step: Step,
        allowed: list[Server],
        possible: list[Server],
        now_ms: int,
    ) -> None:
        """Request tickets for a gang that fits only with further servers.

        Requests for a gang that doesn't fit at all would only delay those of
        other steps.

        :param allowed: servers with tickets.
        :param possible: servers that the service hasn't refused.
        :param now_ms: current monotonic time, in ms.
        """
        tickets = self._tickets_by_step[step.name]
        if now_ms - tickets.checked_ms < GANG_CHECK_INTERVAL_MS:
            return
        tickets.checked_ms = now_ms
        if allowed and (
            not gangs.is_ready(step)
            or gangs.assign_members(step, allowed, _free_resources)
        ):
            return
        assignments = gangs.assign_members(step, possible, _free_resources)
        if assignments or not allowed:
            assigned = {
                assignment.server.incarnation
                for assignment in assignments or ()
            }
            self._request(step, possible, assigned, now_ms)

    def _request(
        self,
        step: Step,
        possible: list[Server],
        assigned: set[Incarnation],
        now_ms: int,
    ) -> None:
        """Queue a request, replacing a pending one of the same step.

        :param possible: servers that the service hasn't refused.
        :param assigned: servers that the members of a gang would use. All of
            them are named, so that their tickets expire at the same time.
        :param now_ms: current monotonic time, in ms.
        """
        tickets = self._tickets_by_step[step.name]
        incarnations = [server.incarnation for server in possible]
        held = {
            incarnation
            for incarnation in incarnations
            if _may_plan(tickets, incarnation, now_ms)
        }
        requested = [
            incarnation
            for incarnation in incarnations
            if incarnation in assigned or incarnation not in held
        ]
        # Assigned servers first, then those without a usable ticket; in each
        # group formerly eligible ones first.
        requested.sort(
            key=lambda incarnation: (
                incarnation not in assigned,
                incarnation in held,
                incarnation not in tickets.ticket_by_server,
            )
        )
        limit = min(
            MAX_REQUEST_SERVERS, max(DEFAULT_REQUEST_SERVERS, len(assigned))
        )
        if requested:
            request = TicketRequest(step, tuple(requested[:limit]))
            self._request_by_step[step.name] = request


def _may_plan(
    tickets: StepTickets, incarnation: Incarnation, now_ms: int
) -> bool:
    ticket = tickets.ticket_by_server.get(incarnation)
    return ticket is not None and now_ms < ticket.plan_until_ms
