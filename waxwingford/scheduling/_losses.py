"""Losses of servers, and which of them came together.

Servers that close their connections at the same moment were lost for one reason,
such as a failed rack. If some of them had begun nothing that explains their loss,
this reason is no task. Nor is one the reason for the loss of a server on which
nothing had just begun. The times of such losses are stored, so that the next
owner knows how often servers are lost by themselves.
"""

import enum
from collections.abc import Iterable
from typing import NamedTuple

import msgspec

#: Longest time between losses that came together, in ms. It allows for an event
#: loop that reads its sockets late.
TOGETHER_MS = 500
#: Time for which losses are kept, in ms.
KEPT_MS = 20_000
#: Largest number of times of losses without a cause that are kept.
MAX_KEPT_TIMES = 32

_times_decoder = msgspec.msgpack.Decoder(list[int])


class LossProof(enum.Enum):
    """How it is known that a server is lost."""

    #: Another incarnation answers in its place.
    replaced = 'replaced'
    #: Only a registration names a later start; another writer may have left it.
    registered = 'registered'
    #: It isn't registered any more, and its leases are over.
    unregistered = 'unregistered'
    #: It doesn't answer, and its leases are over.
    silent = 'silent'


class Loss(NamedTuple):
    """Loss of a server.

    :ivar closed_ms: monotonic time in ms at which its connections were closed,
        ``None`` if they weren't.
    :ivar job_ids: jobs of the runs that had just begun there.
    :ivar explained: whether one of these runs is of a task that was there at an
        earlier loss.
    """

    server_id: str
    closed_ms: int | None
    job_ids: frozenset[str]
    explained: bool


class Crash(NamedTuple):
    """Loss of a server as evidence against tasks.

    :ivar proof: how the loss is known.
    :ivar causes: number of tasks or gangs that may have caused it.
    :ivar polled_age_ms: age of its latest answered poll at the loss, in ms,
        ``None`` for none by this owner.
    """

    loss: Loss
    proof: LossProof
    causes: int
    polled_age_ms: int | None

    @property
    def proven(self) -> bool:
        """Whether another incarnation proves that it has crashed."""
        return self.proof is LossProof.replaced


class LossHistory:
    """Recent losses of servers.

    :ivar changed: whether the times of losses without a cause are to be stored.
    """

    def __init__(self) -> None:
        self._losses: list[Loss] = []
        self._uncaused_ms: list[int] = []
        self.changed = False

    def add(self, loss: Loss, now_ms: int) -> None:
        """Add a loss and forget old ones.

        :param now_ms: current monotonic time, in ms.
        """
        if loss.closed_ms is not None:
            self._losses = [
                one for one in self._losses if now_ms - one.closed_ms < KEPT_MS
            ]
            self._losses.append(loss)

    def add_uncaused(self, wall_ms: int) -> None:
        """Add the loss of a server on which nothing had just begun.

        :param wall_ms: current Unix time, in ms.
        """
        self._uncaused_ms = [*self._uncaused_ms, wall_ms][-MAX_KEPT_TIMES:]
        self.changed = True

    def count_uncaused(self, wall_ms: int) -> int:
        """Count the recent losses of servers on which nothing had just begun.

        :param wall_ms: current Unix time, in ms. Those of previous owners may be
            later by their clocks.
        """
        return sum(abs(wall_ms - one) < KEPT_MS for one in self._uncaused_ms)

    def encode(self) -> bytes:
        """Serialise the times of losses without a cause for the store."""
        return msgspec.msgpack.encode(self._uncaused_ms)

    def restore(self, raw: bytes) -> None:
        """Load these times as stored by a previous owner.

        :param raw: bytes returned by ``encode``.
        :raises ValueError: if the bytes are malformed.
        """
        self._uncaused_ms = _times_decoder.decode(raw)

    def count_companions(
        self, loss: Loss, job_id: str, seeming: Iterable[Loss]
    ) -> int:
        """Count the servers lost together with one, without a job's doing.

        :param job_id: job of a run that had just begun on the lost server.
        :param seeming: losses of servers that don't answer at present.
        """
        # What had begun on a server is known until its loss is settled, so the
        # recorded one counts.
        loss_by_server = {
            other.server_id: other
            for other in (*seeming, *self._losses)
            if _came_together(loss, other)
        }
        return sum(
            not other.explained and job_id not in other.job_ids
            for other in loss_by_server.values()
        )


def _came_together(loss: Loss, other: Loss) -> bool:
    if loss.closed_ms is None or other.closed_ms is None:
        return False
    return (
        loss.server_id != other.server_id
        and abs(loss.closed_ms - other.closed_ms) <= TOGETHER_MS
    )
