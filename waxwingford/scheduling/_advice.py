"""Leave to run the steps of queues whose policy is known to a service only."""

import dataclasses
import math
import operator
from typing import NamedTuple

from waxwingford.scheduling import _gangs as gangs
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._state import Step

#: Servers that one question names at most: the service takes time for each,
#: and a step seldom needs more.
MOST_ASKED = 30
#: The same for a gang that needs so many at once: the service takes no more.
MOST_NAMED = 100
#: Time between two checks whether a gang needs further servers, in ms: a
#: question takes longer than this, and decisions are made every few ms.
CHECK_EVERY_MS = 100
#: Part of a ticket's validity in which it is still used: the start has to
#: arrive while it is valid.
USABLE_SHARE = 0.8
#: What a ticket has to have left when a run is planned on it, in ms: its record
#: has to be stored, and orders to the server may go first. From submission to
#: start takes 55 ms where nothing is slow; five times that, for a line of them.
PLAN_LEFT_MS = 280
#: Part of what a ticket has left when it comes for which runs are planned on it
#: at least: where tickets are short, nothing would ever start otherwise.
PLAN_SHARE = 0.5


_room = operator.attrgetter('room')


class Ticket(NamedTuple):
    """Leave to start tasks of a step on a server.

    :ivar text: carried by the start.
    :ivar until_ms: starts are sent before, steady time.
    :ivar plan_until_ms: runs are planned before, steady time.
    """

    text: str
    until_ms: float
    plan_until_ms: float


@dataclasses.dataclass(slots=True)
class StepAdvice:
    """What is known of one step.

    :ivar ticket_by_server: of eligible servers.
    :ivar refused: servers that may not run it; that doesn't change.
    :ivar checked_ms: when it was last checked whether a gang needs further
        servers, steady time.
    """

    ticket_by_server: dict[str, Ticket] = dataclasses.field(
        default_factory=dict
    )
    refused: set[str] = dataclasses.field(default_factory=set)
    checked_ms: float = -math.inf


class Question(NamedTuple):
    """What to ask the service.

    :ivar step: the step.
    :ivar server_ids: servers that might run it.
    """

    step: Step
    server_ids: tuple[str, ...]


class AdviceBook:
    """Tickets by step, and the questions that are open."""

    def __init__(self) -> None:
        """Know nothing."""
        self._advice_by_step: dict[str, StepAdvice] = {}
        self._question_by_step: dict[str, Question] = {}

    def allowed(
        self, step: Step, servers: list[Server], now_ms: int
    ) -> list[Server]:
        """Keep the servers that may run a step; ask if they don't suffice.

        :param step: of an advised queue.
        :param servers: with room for it.
        :param now_ms: steady time.
        :returns: those with a ticket that a start can still be in time for.
        """
        advice = self._advice_by_step.setdefault(step.name, StepAdvice())
        allowed = [
            server
            for server in servers
            if _may_plan(advice, server.entry.server_id, now_ms)
        ]
        possible = [
            server
            for server in servers
            if server.entry.server_id not in advice.refused
        ]
        if step.spec.gang and len(allowed) < len(possible):
            self._ask_for_gang(step, allowed, possible, now_ms)
        elif not allowed:
            self._ask(step, possible, set(), now_ms)
        return allowed

    def ticket(self, step: Step, server_id: str, now_ms: int) -> str:
        """Find a ticket that is valid when a start that is sent now arrives.

        :param step: of an advised queue.
        :param server_id: where it would run.
        :param now_ms: steady time.
        :returns: the ticket, empty if there is none.
        """
        advice = self._advice_by_step.get(step.name)
        if advice is None:
            return ''
        ticket = advice.ticket_by_server.get(server_id)
        valid = ticket is not None and now_ms < ticket.until_ms
        return ticket.text if valid else ''

    def next_question(self) -> Question | None:
        """Take the question that has waited longest.

        :returns: the question, ``None`` if there is none.
        """
        if not self._question_by_step:
            return None
        name = next(iter(self._question_by_step))
        return self._question_by_step.pop(name)

    def answered(
        self,
        question: Question,
        ticket_by_server: dict[str, str],
        asked_ms: int,
        validity_ms: int,
        now_ms: int,
    ) -> None:
        """Note an answer.

        :param question: what was asked.
        :param ticket_by_server: of the eligible servers.
        :param asked_ms: when it was asked, steady time.
        :param validity_ms: of the tickets.
        :param now_ms: when the answer came, steady time.
        """
        advice = self._advice_by_step.get(question.step.name)
        if advice is None:
            # The step was forgotten meanwhile: its job has ended.
            return
        until_ms = asked_ms + validity_ms * USABLE_SHARE
        kept_ms = min(PLAN_LEFT_MS, PLAN_SHARE * (until_ms - now_ms))
        advice.ticket_by_server.update(
            (server_id, Ticket(text, until_ms, until_ms - kept_ms))
            for server_id, text in ticket_by_server.items()
        )
        advice.checked_ms = -math.inf
        asked = set(question.server_ids)
        advice.refused |= asked - ticket_by_server.keys()
        # Decisions were made while the service was at work, and have put the
        # same question again.
        self._question_by_step.pop(question.step.name, None)

    def forget(self, step: Step) -> None:
        """Drop what is kept of a step that is over.

        :param step: which.
        """
        self._advice_by_step.pop(step.name, None)
        self._question_by_step.pop(step.name, None)

    def _ask_for_gang(
        self,
        step: Step,
        allowed: list[Server],
        possible: list[Server],
        now_ms: int,
    ) -> None:
        """Ask if a gang has room, but not on the servers with tickets.

        While it has no room at all, further tickets would only keep other steps
        from the service.

        :param step: of the gang.
        :param allowed: servers with tickets.
        :param possible: these, and those that the service didn't refuse.
        :param now_ms: steady time.
        """
        advice = self._advice_by_step[step.name]
        if now_ms - advice.checked_ms < CHECK_EVERY_MS:
            return
        advice.checked_ms = now_ms
        if allowed and (
            not gangs.is_whole(step) or gangs.find_seats(step, allowed, _room)
        ):
            return
        seats = gangs.find_seats(step, possible, _room)
        if seats or not allowed:
            seated = {seat.server.entry.server_id for seat in seats or ()}
            self._ask(step, possible, seated, now_ms)

    def _ask(
        self,
        step: Step,
        possible: list[Server],
        seated: set[str],
        now_ms: int,
    ) -> None:
        """Put a question, in the place of an open one about the same step.

        :param step: which.
        :param possible: servers that the service didn't refuse.
        :param seated: servers that a gang would get. All are named, with
            tickets or not: those that are named in turn run out in turn.
        :param now_ms: steady time.
        """
        advice = self._advice_by_step[step.name]
        names = [server.entry.server_id for server in possible]
        held = {name for name in names if _may_plan(advice, name, now_ms)}
        asked = [name for name in names if name in seated or name not in held]
        # Without a ticket first, and of the rest those that were eligible before.
        asked.sort(
            key=lambda name: (
                name not in seated,
                name in held,
                name not in advice.ticket_by_server,
            )
        )
        most = min(MOST_NAMED, max(MOST_ASKED, len(seated)))
        if asked:
            question = Question(step, tuple(asked[:most]))
            self._question_by_step[step.name] = question


def _may_plan(advice: StepAdvice, server_id: str, now_ms: int) -> bool:
    ticket = advice.ticket_by_server.get(server_id)
    return ticket is not None and now_ms < ticket.plan_until_ms
