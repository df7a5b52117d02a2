"""Interface to the backend servers, which run tasks.

Every order carries a fencing token; a server refuses tokens lower than the
highest that it has seen. All runs on a server share one lease, which ends at a
time of the server's own clock. An order without an answer may have been carried
out, or may be carried out seconds later.
"""

import enum
from typing import NamedTuple, Protocol

import msgspec

#: Ends that a server lists in an answer, at most; the others follow once these
#: are acknowledged.
MAX_LISTED_ENDS = 500


class TaskKey(NamedTuple):
    """Identifier of a task.

    :ivar occurrence: index of the repetition of the job, from 0.
    :ivar step: index of the step in the job.
    :ivar index: index of the task in the step.
    """

    job_id: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        """Format the key for logs."""
        return f'{self.job_id}.{self.occurrence}.{self.step}.{self.index}'


class RunKey(NamedTuple):
    """Identifier of a run of a task.

    :ivar run: number of the run, from 1, increasing.
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

    :ivar checkpoint: newest checkpoint, empty for none.
    :ivar percent: progress in percent; for a long-running task, 100 means
        ready.
    :ivar measured_value: tail latency in ms for a serving task, CPU usage in
        thousandths of a core for others, each over the last half second.
    """

    run: RunKey
    checkpoint: str
    percent: float
    measured_value: float


class EndReport(NamedTuple):
    """A run that a server lists as ended.

    :ivar number: sequence number of the end at this incarnation, from 1.
    :ivar checkpoint: newest checkpoint, empty for none.
    """

    number: int
    run: RunKey
    kind: EndKind
    checkpoint: str


class Address(NamedTuple):
    """Address of a backend server.

    :ivar server_id: identifier of the server; a server with another one at the
        endpoint refuses the order, its own next incarnation doesn't.
    :ivar endpoint: IP address and port.
    """

    server_id: str
    endpoint: str


class StartOrder(NamedTuple):
    """Order to start a run.

    :ivar payload: payload of the job, passed on unchanged.
    :ivar lease_until_ms: end of the lease in ms of the server's clock.
    :ivar fencing_token: fencing token of the shard's owner.
    :ivar checkpoint: checkpoint to resume from, empty for none.
    :ivar ticket: permission of the advice service, empty if none is needed.
    """

    run: RunKey
    payload: str
    lease_until_ms: int
    fencing_token: int
    checkpoint: str = ''
    ticket: str = ''


class PollOrder(NamedTuple):
    """Poll that extends the lease of a server and lists its runs and ends.

    :ivar fencing_token: fencing token of the shard's owner.
    :ivar acknowledged_end: highest acknowledged end; the server may discard the
        ends up to this number. It is sent only on a connection on which this
        incarnation has listed its runs: on any other, the next one may answer,
        and would discard ends that nobody has read.
    :ivar lease_until_ms: new end of the lease in ms of the server's clock;
        ``None`` leaves the lease unchanged.
    :ivar wait_ms: time in ms for which the server may delay its answer until
        a run ends.
    :ivar started_ms: start time of the incarnation, 0 if it is unknown.
    """

    fencing_token: int
    acknowledged_end: int
    lease_until_ms: int | None
    wait_ms: int
    started_ms: int = 0


class OrderAccepted(msgspec.Struct, frozen=True):
    """The order was carried out.

    :ivar clock_ms: server clock at the time of the answer, in ms.
    """

    clock_ms: int


class RefusalReason(enum.Enum):
    """Reason for which a server refused an order."""

    fenced = 'fenced'
    superseded = 'superseded'
    too_late = 'too_late'
    no_room = 'no_room'
    no_ticket = 'no_ticket'
    unhealthy = 'unhealthy'
    invalid = 'invalid'


class OrderRefused(msgspec.Struct, frozen=True):
    """The order was not carried out and won't be."""

    reason: RefusalReason


class ServerReplaced(msgspec.Struct, frozen=True):
    """Another incarnation answers at the address; the addressed one is gone."""


class OrderNotSent(msgspec.Struct, frozen=True):
    """The order was never transmitted, so it won't be carried out.

    Applies only if no connection was opened: an order that was written may
    arrive seconds later even if its connection was closed.

    :ivar reason: error of the call.
    """

    reason: str


class OrderOutcomeUnknown(msgspec.Struct, frozen=True):
    """No complete answer arrived; the order may still be carried out.

    :ivar reason: error of the call.
    :ivar connection_lost: whether the connection was closed, as happens in a
        crash.
    :ivar unexpected: whether the call has failed with an error that the client
        doesn't expect, as another one to the same server probably will.
    """

    reason: str
    connection_lost: bool = False
    unexpected: bool = False


class PollResult(msgspec.Struct, frozen=True):
    """Answer of a server to a poll.

    :ivar clock_ms: server clock at the time of the answer, in ms.
    :ivar running: runs that are present.
    :ivar ended: ends that were not acknowledged yet, the first of them if there are
        more than ``MAX_LISTED_ENDS``.
    :ivar started_ms: Unix time in ms at which the server started, 0 if it
        doesn't say.
    :ivar acknowledged_end: end up to which the poll has acknowledged, 0 if
        none was sent.
    """

    clock_ms: int
    running: tuple[RunningReport, ...]
    ended: tuple[EndReport, ...]
    started_ms: int = 0
    acknowledged_end: int = 0

    @property
    def lists_all_ends(self) -> bool:
        """Whether no further ends follow, so that a run that isn't listed is gone."""
        return len(self.ended) < MAX_LISTED_ENDS


OrderOutcome = (
    OrderAccepted
    | OrderRefused
    | ServerReplaced
    | OrderNotSent
    | OrderOutcomeUnknown
)
PollOutcome = (
    PollResult
    | OrderRefused
    | ServerReplaced
    | OrderNotSent
    | OrderOutcomeUnknown
)


class BackendClient(Protocol):
    """Client of all backend servers."""

    async def start(self, address: Address, order: StartOrder) -> OrderOutcome:
        """Send a start order once, without retries."""
        ...

    async def stop(
        self, address: Address, run: RunKey, fencing_token: int
    ) -> OrderOutcome:
        """Stop a run; the server also refuses a start that arrives later.

        :param fencing_token: fencing token of the shard's owner.
        """
        ...

    async def poll(self, address: Address, order: PollOrder) -> PollOutcome:
        """Poll a server and extend its lease.

        :returns: runs and ends that the server lists, or why there are none.
        """
        ...

    async def pace(
        self, address: Address, run: RunKey, percent: int, fencing_token: int
    ) -> OrderOutcome:
        """Limit the speed of a run.

        :param percent: limit from 0 to 100 percent of full speed.
        :param fencing_token: fencing token of the shard's owner.
        """
        ...
