"""Reasons for which a backend server is no candidate for a task.

The checks are those of placement, one by one, so that servers can be counted by
reason.
"""

from collections.abc import Callable
from typing import NamedTuple

from waxwingford.ports import Resources, fits_resources
from waxwingford.scheduling._admission import BestEffortAdmission
from waxwingford.scheduling._eligibility import MAX_UNANSWERED_STARTS, matches
from waxwingford.scheduling._placement_view import PlacementView
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._specs import QueueTerms
from waxwingford.scheduling._state import Step

#: Reason of servers of other services; they aren't checked further.
OTHER_SERVICE = 'service'
#: Reason of servers for which a start would need a ticket that isn't held.
TICKET = 'ticket'
#: Reason of servers off the rack on which a gang would be placed.
OTHER_RACK = 'rack'


class Query(NamedTuple):
    """Task of a step for which servers are checked.

    :ivar admission: forecasts interference, with caches of its own.
    :ivar room_of: function that returns what the task may use of a server.
    """

    view: PlacementView
    step: Step
    queue: QueueTerms
    admission: BestEffortAdmission
    room_of: Callable[[Server], Resources]
    now_ms: int


def left_out_for(query: Query, server: Server) -> str | None:
    """Find the first reason for which a server is left out.

    :returns: reason, ``None`` for a candidate.
    """
    for reason, applies in _CHECKS:
        if applies(query, server):
            return reason
    return None


def _has_other_service(query: Query, server: Server) -> bool:
    return server.entry.service != query.queue.service


def _lacks_label(query: Query, server: Server) -> bool:
    return not matches(query.step, query.queue.service, server)


def _is_silent(query: Query, server: Server) -> bool:
    answers = server.polled_ms >= 0 and server.failing_since_ms is None
    return server.replaced or not answers


def _is_withheld(query: Query, server: Server) -> bool:
    return server.entry.server_id in query.view.state.withheld_servers


def _lacks(index: int) -> Callable[[Query, Server], bool]:
    """Make the check whether an element of the free resources is too small."""

    def lacks(query: Query, server: Server) -> bool:
        needed = query.step.spec.reserved_resources
        return needed[index] > server.free_resources[index]

    return lacks


def _is_reserved(query: Query, server: Server) -> bool:
    needed = query.step.spec.reserved_resources
    return not fits_resources(needed, query.room_of(server))


def _is_interfering(query: Query, server: Server) -> bool:
    step, service = query.step, query.queue.service
    return step.spec.best_effort and not query.admission.admitting(
        step, service, [server], query.now_ms
    )


def _lacks_ticket(query: Query, server: Server) -> bool:
    tickets = query.view.state.tickets
    return query.queue.advised and not tickets.ticket(
        query.step, server.incarnation, query.now_ms
    )


#: Checks by reason. The first one that applies counts; those of single tasks come
#: after those of the server.
_CHECKS: tuple[tuple[str, Callable[[Query, Server], bool]], ...] = (
    (OTHER_SERVICE, _has_other_service),
    ('label', _lacks_label),
    ('not registered', lambda query, server: not server.registered),
    ('draining', lambda query, server: server.entry.draining),
    ('evacuated', lambda query, server: server.evacuated),
    ('silent', _is_silent),
    ('leases withheld', _is_withheld),
    ('unknown runs', lambda query, server: bool(server.unknown_runs)),
    (
        'refused a start',
        lambda query, server: server.refusal_backoff_until_ms > query.now_ms,
    ),
    (
        'excluded',
        lambda query, server: server.excluded_until_ms > query.now_ms,
    ),
    (
        'unanswered starts',
        lambda query, server: len(server.unanswered) >= MAX_UNANSWERED_STARTS,
    ),
    ('cpu', _lacks(0)),
    ('memory', _lacks(1)),
    ('accelerators', _lacks(2)),
    ('reserved', _is_reserved),
    (
        'kept for a crash suspect',
        lambda query, server: query.view.isolation.is_reserved(server),
    ),
    ('interference', _is_interfering),
    (TICKET, _lacks_ticket),
)
