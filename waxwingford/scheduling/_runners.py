"""What a backend server promises about the tasks that it is told to run.

Orders carry a fencing token: a server does nothing for a lower one than it
has seen. Everything that runs there holds one lease, up to a time on the
server's own clock. An order without an answer may have been carried out, or
may be carried out seconds later.
"""

import dataclasses
import enum
from typing import NamedTuple, Protocol


class TaskKey(NamedTuple):
    """Name of a task.

    :ivar job_id: its job.
    :ivar occurrence: which repetition of the job, from 0.
    :ivar step: index of the step in the job.
    :ivar index: index of the task in the step.
    """

    job_id: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        """Write it for logs.

        :returns: the four parts, joined by dots.
        """
        return f'{self.job_id}.{self.occurrence}.{self.step}.{self.index}'


class RunKey(NamedTuple):
    """One start of a task.

    :ivar task: which task.
    :ivar run: number of the start, from 1, rising.
    """

    task: TaskKey
    run: int


class EndKind(enum.Enum):
    """How a run ended."""

    done = 'done'
    failed = 'failed'
    stopped = 'stopped'
    lapsed = 'lapsed'
    broken = 'broken'
    alone = 'alone'


class RunningReport(NamedTuple):
    """A run that a server lists as present.

    :ivar run: which.
    :ivar checkpoint: newest one, empty for none.
    :ivar percent: progress; of a lasting task, 100 when it is at work.
    :ivar figure: tail of response times in ms for a task that serves, cpu in
        use in thousandths of a core for others; over the last half second.
    """

    run: RunKey
    checkpoint: str
    percent: float
    figure: float


class EndReport(NamedTuple):
    """A run that a server lists as ended.

    :ivar number: rises with each end of this incarnation, from 1.
    :ivar run: which.
    :ivar kind: how.
    :ivar checkpoint: newest one, empty for none.
    """

    number: int
    run: RunKey
    kind: EndKind
    checkpoint: str


class Address(NamedTuple):
    """Where a backend server listens, and which incarnation is meant.

    :ivar server_id: incarnation; another one there refuses the order.
    :ivar endpoint: IP number and port.
    """

    server_id: str
    endpoint: str


class StartOrder(NamedTuple):
    """Tells a server to run a task.

    :ivar run: which run.
    :ivar payload: of the job, passed on unchanged.
    :ivar lease_until_ms: on the server's clock.
    :ivar fencing_token: of the shard's owner.
    :ivar checkpoint: to resume from, empty for none.
    :ivar ticket: leave of the advice service, empty if none is needed.
    """

    run: RunKey
    payload: str
    lease_until_ms: int
    fencing_token: int
    checkpoint: str = ''
    ticket: str = ''


class LookOrder(NamedTuple):
    """Extends the lease of a server and asks what runs and what ended.

    :ivar fencing_token: of the shard's owner.
    :ivar seen_end: ends up to this number are recorded and may be forgotten.
    :ivar lease_until_ms: on the server's clock, ``None`` leaves it.
    :ivar wait_ms: how long the server may wait for an end.
    """

    fencing_token: int
    seen_end: int
    lease_until_ms: int | None
    wait_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class OrderTaken:
    """The order was carried out.

    :ivar clock_ms: the server's clock.
    """

    clock_ms: int


class Denial(enum.Enum):
    """Why a server refused an order that it understood."""

    fenced = 'fenced'
    superseded = 'superseded'
    too_late = 'too_late'
    no_room = 'no_room'
    no_ticket = 'no_ticket'
    unhealthy = 'unhealthy'
    invalid = 'invalid'


@dataclasses.dataclass(frozen=True, slots=True)
class OrderDenied:
    """The order was not carried out and won't be.

    :ivar denial: why.
    """

    denial: Denial


@dataclasses.dataclass(frozen=True, slots=True)
class ServerReplaced:
    """Another incarnation answers at the address; the wanted one is gone."""


@dataclasses.dataclass(frozen=True, slots=True)
class OrderNotSent:
    """Not a byte of the order has left, so it won't ever be carried out.

    Only for orders for which no connection was opened: one that was written may
    arrive seconds later, whatever happened to its connection.

    :ivar reason: what happened to the call.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class OrderUnknown:
    """No whole answer came; the order may have been carried out, or will be.

    :ivar reason: what happened to the call.
    :ivar broken: whether its connection has just been closed, as by a crash.
    """

    reason: str
    broken: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Looked:
    """What a server lists.

    :ivar clock_ms: the server's clock.
    :ivar running: runs that are present.
    :ivar ended: ends that were not yet forgotten.
    """

    clock_ms: int
    running: tuple[RunningReport, ...]
    ended: tuple[EndReport, ...]


OrderOutcome = (
    OrderTaken | OrderDenied | ServerReplaced | OrderNotSent | OrderUnknown
)
LookOutcome = (
    Looked | OrderDenied | ServerReplaced | OrderNotSent | OrderUnknown
)


class TaskRunners(Protocol):
    """Way to all backend servers."""

    async def start(self, address: Address, order: StartOrder) -> OrderOutcome:
        """Start a run, once.

        :param address: which server.
        :param order: what to run.
        :returns: what is known of it.
        """
        ...

    async def stop(
        self, address: Address, run: RunKey, fencing_token: int
    ) -> OrderOutcome:
        """Stop a run; one that is not there yet will be refused later.

        :param address: which server.
        :param run: which run.
        :param fencing_token: of the shard's owner.
        :returns: what is known of it.
        """
        ...

    async def look(self, address: Address, order: LookOrder) -> LookOutcome:
        """Extend the lease and see what runs.

        :param address: which server.
        :param order: lease, forgotten ends, wait.
        :returns: what the server lists.
        """
        ...

    async def pace(
        self, address: Address, run: RunKey, percent: int, fencing_token: int
    ) -> OrderOutcome:
        """Let a run work at a share of its speed.

        :param address: which server.
        :param run: which run.
        :param percent: 0 to 100.
        :param fencing_token: of the shard's owner.
        :returns: what is known of it.
        """
        ...
