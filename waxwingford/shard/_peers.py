"""Calls between the daemons of a shard: phases and counts of jobs, and storing."""

import asyncio
from typing import Protocol

from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Server, Stream

from waxwingford.inbound import Account
from waxwingford.inbound.grpc_server import BoundedServer
from waxwingford.scheduling import JobPhase
from waxwingford.shard import queries_pb2 as wire
from waxwingford.shard._clocks import MS_PER_S
from waxwingford.shard._intake import (
    CancelRow,
    IntakeOutcome,
    IntakeRow,
    JobRow,
    MayBeStored,
    NotStored,
    RefusedByOwner,
    RowRejected,
    Stored,
)
from waxwingford.shard._job_answers import (
    JobAnswer,
    JobKnown,
    JobNotKnown,
    NotAnswered,
)
from waxwingford.shard.queries_grpc import ShardQueriesBase, ShardQueriesStub

#: Timeout of a query to the owner, in seconds: a few times what a busy owner
#: takes. It leaves time to read the store instead.
QUERY_TIMEOUT_S = 0.5
#: Timeout of connecting to the owner, in seconds. It leaves time to store a job
#: without the owner.
CONNECT_TIMEOUT_S = 0.5
_WIRE_BY_OUTCOME = {
    Stored: wire.StoreReply.STORED,
    NotStored: wire.StoreReply.NOT_STORED,
    RowRejected: wire.StoreReply.NOT_STORED,
    MayBeStored: wire.StoreReply.MAY_BE_STORED,
}
#: The last two are raised for an address that can't be one, as in a heartbeat that
#: another writer has left.
_CALL_ERRORS = (
    GRPCError,
    StreamTerminatedError,
    asyncio.TimeoutError,
    OSError,
    ValueError,
    OverflowError,
)


class QueryHandler(Protocol):
    """Local handler of calls by other daemons."""

    async def local_phase(self, job_id: str) -> JobAnswer:
        """Look up the phase of a job if this daemon owns the shard."""
        ...

    def local_pending(self, queue: str) -> int | None:
        """Count the jobs that have not begun if this daemon owns the shard.

        :returns: number of jobs, ``None`` if another daemon is the owner.
        """
        ...

    async def store_directly(
        self, row: IntakeRow, deadline_s: float
    ) -> IntakeOutcome:
        """Append a job or a cancellation to the intake from this daemon.

        :param deadline_s: loop time at which the caller's request times out.
        """
        ...


class QueryService(ShardQueriesBase):
    """gRPC service for the other daemons of the shard."""

    def __init__(self, handler: QueryHandler) -> None:
        self._handler = handler

    async def JobState(self, stream: Stream) -> None:  # noqa: N802
        """Report the phase of a job."""
        request = await stream.recv_message()
        match await self._handler.local_phase(request.job_id):
            case JobKnown(phase):
                reply = wire.JobStateReply(owner=True, phase=phase.value)
            case JobNotKnown():
                reply = wire.JobStateReply(owner=True)
            case _:
                reply = wire.JobStateReply()
        await stream.send_message(reply)

    async def Pending(self, stream: Stream) -> None:  # noqa: N802
        """Report the number of jobs of a queue that have not begun."""
        request = await stream.recv_message()
        count = self._handler.local_pending(request.queue)
        await stream.send_message(
            wire.PendingReply(owner=count is not None, count=count or 0)
        )

    async def Store(self, stream: Stream) -> None:  # noqa: N802
        """Append a job or a cancellation to the intake for another daemon."""
        request = await stream.recv_message()
        row = (
            CancelRow(request.cancel_job_id)
            if request.cancel_job_id
            else JobRow(request.job)
        )
        left_s = request.left_ms / MS_PER_S
        deadline_s = asyncio.get_running_loop().time() + left_s
        outcome = await self._handler.store_directly(row, deadline_s)
        if isinstance(outcome, RefusedByOwner):
            raise GRPCError(Status.RESOURCE_EXHAUSTED, outcome.reason)
        await stream.send_message(
            wire.StoreReply(outcome=_WIRE_BY_OUTCOME[type(outcome)])
        )


class OwnerCalls:
    """Calls to the daemon that owns the shard, over one connection."""

    def __init__(self) -> None:
        self._endpoint = ''
        self._channel: Channel | None = None

    def close(self) -> None:
        """Close the connection."""
        if self._channel is not None:
            self._channel.close()
            self._channel = None

    async def phase(self, endpoint: str, job_id: str) -> JobAnswer:
        """Ask the owner for the phase of a job.

        :param endpoint: IP address and port of the owner.
        """
        request = wire.JobStateRequest(job_id=job_id)
        try:
            reply = await self._stub(endpoint).JobState(
                request, timeout=QUERY_TIMEOUT_S
            )
        except _CALL_ERRORS as error:
            return self._call_failed(error)
        if not reply.owner:
            return NotAnswered('the daemon no longer owns the shard')
        if not reply.phase:
            return JobNotKnown()
        return JobKnown(JobPhase(reply.phase))

    async def pending(self, endpoint: str, queue: str) -> int | None:
        """Ask the owner for the number of jobs that have not begun.

        :param endpoint: IP address and port of the owner.
        :returns: number of jobs, ``None`` without an answer of the owner.
        """
        request = wire.PendingRequest(queue=queue)
        try:
            reply = await self._stub(endpoint).Pending(
                request, timeout=QUERY_TIMEOUT_S
            )
        except _CALL_ERRORS as error:
            self._call_failed(error)
            return None
        return reply.count if reply.owner else None

    async def store(
        self, endpoint: str, row: IntakeRow, left_s: float
    ) -> IntakeOutcome:
        """Have the owner store a job or a cancellation.

        :param endpoint: IP address and port of the owner.
        :param left_s: time until the call has to end, in seconds.
        """
        if left_s <= 0:
            return NotStored('timed out before the owner was called')
        request = wire.StoreRequest(left_ms=int(left_s * MS_PER_S))
        match row:
            case JobRow(raw):
                request.job = raw
            case CancelRow(job_id):
                request.cancel_job_id = job_id
        if not await self._connect(endpoint, left_s):
            return NotStored('could not connect to the owner')
        try:
            reply = await self._stub(endpoint).Store(request, timeout=left_s)
        except _CALL_ERRORS as error:
            if _is_refusal(error):
                return RefusedByOwner(str(error.message))
            # The request may have been sent, and a partition may delay it until
            # it heals. The type of the error doesn't tell: a timeout is an
            # OSError, as is a failure to connect.
            return MayBeStored(self._call_failed(error).reason)
        match reply.outcome:
            case wire.StoreReply.STORED:
                return Stored()
            case wire.StoreReply.NOT_STORED:
                return NotStored('the owner did not store it')
            case _:
                return MayBeStored('the outcome is unknown to the owner')

    async def _connect(self, endpoint: str, left_s: float) -> bool:
        try:
            self._stub(endpoint)
            await asyncio.wait_for(
                self._channel.__connect__(), min(left_s, CONNECT_TIMEOUT_S)
            )
        except (OSError, ValueError, OverflowError) as error:
            self._call_failed(error)
            return False
        return True

    def _call_failed(self, error: Exception) -> NotAnswered:
        # The connection may be dead: the next call opens a new one.
        self.close()
        return NotAnswered(f'{type(error).__name__}: {error}')

    def _stub(self, endpoint: str) -> ShardQueriesStub:
        if endpoint != self._endpoint:
            self.close()
            self._endpoint = endpoint
        if self._channel is None:
            host, port = endpoint.rsplit(':', 1)
            self._channel = Channel(host, int(port))
        return ShardQueriesStub(self._channel)


def _is_refusal(error: Exception) -> bool:
    return (
        isinstance(error, GRPCError)
        and error.status is Status.RESOURCE_EXHAUSTED
    )


async def serve_queries(
    handler: QueryHandler, host: str, port: int, account: Account
) -> Server:
    """Serve calls by other daemons.

    :param host: IP address to listen on.
    :param account: budget of all connections of other daemons.
    :returns: running server, which the caller closes.
    """
    server = BoundedServer([QueryService(handler)], account)
    await server.start(host, port)
    return server
