"""Asks the advice service for tickets, one question at a time."""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Protocol

import logbook

from waxwingford.scheduling import Engine
from waxwingford.shard._times import steady_ms

#: Pause after a question that was not answered, in seconds.
FAILED_PAUSE_S = 0.2

_log = logbook.Logger('shard')


@dataclasses.dataclass(frozen=True, slots=True)
class Advised:
    """The service has answered.

    :ivar ticket_by_server: tickets of the eligible servers.
    :ivar validity_ms: how long they are valid.
    """

    ticket_by_server: dict[str, str]
    validity_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class NotAdvised:
    """No answer.

    :ivar reason: why.
    """

    reason: str


class Advisor(Protocol):
    """Way to the advice service."""

    async def advise(
        self, step_name: str, server_ids: tuple[str, ...]
    ) -> Advised | NotAdvised:
        """Ask which servers may run a step.

        :param step_name: of the step.
        :param server_ids: servers that might.
        :returns: the answer.
        """
        ...


class AdviceAsker:
    """Brings answers into the engine."""

    def __init__(self, engine: Engine, advisor: Advisor) -> None:
        """Prepare.

        :param engine: has the questions.
        :param advisor: way to the service.
        """
        self._book = engine.book.advice
        self._advisor = advisor
        self._wanted = asyncio.Event()

    def wake(self) -> None:
        """Ask soon, if there is a question."""
        self._wanted.set()

    async def run(self, stir: Callable[[], None]) -> None:
        """Ask for ever.

        :param stir: called after each answer.
        """
        while True:
            await self._wanted.wait()
            self._wanted.clear()
            question = self._book.next_question()
            if question is None:
                continue
            self._wanted.set()
            asked_ms = steady_ms()
            answer = await self._advisor.advise(
                question.step.name, question.server_ids
            )
            match answer:
                case Advised(tickets, validity_ms):
                    self._book.answered(
                        question, tickets, asked_ms, validity_ms, steady_ms()
                    )
                case NotAdvised(reason):
                    about = {'step': question.step.name, 'reason': reason}
                    _log.warning('no advice', extra=about)
                    await asyncio.sleep(FAILED_PAUSE_S)
            stir()
