"""Relay: carries out orders and polls for the owner of the shard."""

import asyncio
import collections
from collections.abc import Awaitable, Callable, Coroutine

import logbook
import msgspec

from waxwingford.relays._clocks import boottime_ms
from waxwingford.relays._frames import FrameConnection, FrameTraffic
from waxwingford.relays._messages import (
    Answer,
    Call,
    Hello,
    Leaving,
    NotSent,
    OutcomeUnknown,
    PaceCall,
    Payload,
    PayloadMissing,
    PollCall,
    Sent,
    StartCall,
    StopCall,
    decode_owner_frame,
    encode_message,
    encode_outcome,
    join_frames,
)
from waxwingford.scheduling import BackendClient, StartOrder

#: Interval between looks at who owns the shard, in seconds.
CHECK_INTERVAL_S = 0.25
#: Timeout of connecting to the owner, in seconds.
CONNECT_TIMEOUT_S = 1.0
#: Time for which answers are collected into one frame, in seconds.
ANSWER_DELAY_S = 0.004
#: Age above which a call is not carried out any more, in ms: the owner has given it
#: up, and a start that arrives long after that may begin on the next incarnation of
#: its server.
MAX_CALL_AGE_MS = 1500
#: Drift of the clocks of two VMs, as a fraction.
MAX_CLOCK_DRIFT = 0.02
#: Payloads that a relay keeps, in bytes.
MAX_PAYLOAD_BYTES = 4_000_000

_log = logbook.Logger('relays')


class PayloadCache:
    """Payloads of jobs, of which the oldest are evicted."""

    def __init__(self, max_bytes: int) -> None:
        self._payload_by_job: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )
        self._left_bytes = max_bytes

    def add(self, job_id: str, payload: str) -> None:
        """Keep the payload of a job."""
        if job_id in self._payload_by_job:
            return
        self._payload_by_job[job_id] = payload
        self._left_bytes -= len(payload)
        while self._left_bytes < 0:
            _, evicted = self._payload_by_job.popitem(last=False)
            self._left_bytes += len(evicted)

    def find(self, job_id: str) -> str | None:
        """Look up the payload of a job, ``None`` if it isn't kept."""
        return self._payload_by_job.get(job_id)


#: Opens a connection to an address.
Connector = Callable[
    [Callable[[], FrameConnection], str, int],
    Awaitable[tuple[object, FrameConnection]],
]


class FrameAge:
    """Tells how long frames were on their way, without synchronised clocks.

    The frame with the least difference between the clocks was on its way for the
    shortest time; others are compared with it.
    """

    def __init__(self) -> None:
        self._least_ms: float | None = None
        self._updated_ms = 0

    def measure(self, sent_ms: int, now_ms: int) -> float:
        """Estimate the age of a frame, in ms.

        :param sent_ms: sender's clock when it was sent, in ms.
        :param now_ms: own clock, in ms.
        """
        difference_ms = now_ms - sent_ms
        if self._least_ms is None:
            self._least_ms = difference_ms
        # A clock that is slower than the other one must not age all frames.
        drift_ms = (now_ms - self._updated_ms) * MAX_CLOCK_DRIFT
        self._least_ms = min(difference_ms, self._least_ms + drift_ms)
        self._updated_ms = now_ms
        return difference_ms - self._least_ms


class Relay:
    """Offers itself to the owner of the shard, and carries out its calls.

    It keeps nothing that matters: an owner that loses it settles the outcome of
    its calls as that of any order without an answer.

    :ivar traffic: bytes exchanged with owners.
    """

    def __init__(
        self,
        daemon_id: str,
        backend_client: BackendClient,
        owner_endpoint: Callable[[], str],
        connect: Connector | None = None,
        since_boot_ms: Callable[[], int] = boottime_ms,
    ) -> None:
        """Create a relay; ``run`` connects it.

        :param owner_endpoint: returns the address at which the owner accepts
            relays, empty if there is none or this daemon owns the shard.
        :param connect: opens connections, TCP by default.
        :param since_boot_ms: clock in ms that includes time in suspension.
        """
        self.traffic = FrameTraffic()
        self._hello = Hello(daemon_id)
        self._backend_client = backend_client
        self._owner_endpoint = owner_endpoint
        self._connect_to = connect
        self._now_ms = since_boot_ms
        self._connection: FrameConnection | None = None
        self._endpoint = ''
        self._payloads = PayloadCache(MAX_PAYLOAD_BYTES)
        self._frame_age = FrameAge()
        self._outbox: list[msgspec.Raw] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._leaving = False

    async def run(self) -> None:
        """Stay connected to the owner until cancelled."""
        while True:
            endpoint = '' if self._leaving else self._owner_endpoint()
            if endpoint != self._endpoint and not self._leaving:
                self._disconnect()
            if endpoint and self._connection is None:
                await self._connect(endpoint)
            await asyncio.sleep(CHECK_INTERVAL_S)

    def leave(self) -> None:
        """Tell the owner to send no more calls."""
        self._leaving = True
        self._post(encode_message(Leaving()))

    def close(self) -> None:
        """Close the connection and drop the calls in progress."""
        self._disconnect()
        for task in self._tasks:
            task.cancel()

    async def _connect(self, endpoint: str) -> None:
        loop = asyncio.get_running_loop()
        connect = self._connect_to or loop.create_connection
        try:
            host, port = endpoint.rsplit(':', 1)
            _, connection = await asyncio.wait_for(
                connect(
                    lambda: FrameConnection(
                        self._receive, self._on_closed, self.traffic
                    ),
                    host,
                    int(port),
                ),
                CONNECT_TIMEOUT_S,
            )
        except (OSError, ValueError, OverflowError) as error:
            # The owner may be starting, or gone; heartbeats tell who follows.
            _log.info(
                'owner not reached',
                extra={'owner': endpoint, 'reason': str(error)},
            )
            return
        self._connection = connection
        self._endpoint = endpoint
        # Payloads are counted by connection, as the owner may be another one.
        self._payloads = PayloadCache(MAX_PAYLOAD_BYTES)
        self._frame_age = FrameAge()
        for frame in join_frames([encode_message(self._hello)]):
            connection.send(frame)

    def _disconnect(self) -> None:
        if self._connection is not None:
            self._connection.abort()
        self._connection = None
        self._endpoint = ''
        self._outbox = []

    def _on_closed(self, connection: FrameConnection) -> None:
        if connection is self._connection:
            self._disconnect()

    def _receive(self, connection: FrameConnection, frame: bytes) -> None:
        age_ms: float = 0
        for message in decode_owner_frame(frame):
            match message:
                case Sent(sent_ms):
                    age_ms = self._frame_age.measure(sent_ms, self._now_ms())
                case Payload(job_id, payload):
                    self._payloads.add(job_id, payload)
                case _ if age_ms > MAX_CALL_AGE_MS:
                    too_late = NotSent(message.number, 'relayed too late')
                    self._post(encode_message(too_late))
                case _:
                    task = asyncio.create_task(self._answer(message))
                    self._tasks.add(task)
                    task.add_done_callback(self._on_task_done)

    async def _answer(self, call: Call) -> None:
        connection = self._connection
        try:
            message = encode_message(await self._carry_out(call))
        except Exception as error:
            # Without an answer the owner would take this relay for lost.
            _log.error('call failed', exc_info=error)
            reason = f'{type(error).__name__}: {error}'
            message = encode_message(OutcomeUnknown(call.number, reason))
        if connection is self._connection:
            # Calls of another owner have numbers of their own.
            self._post(message)

    async def _carry_out(self, call: Call) -> Answer | PayloadMissing:
        if isinstance(call, StartCall):
            payload = self._payloads.find(call.run.task.job_id)
            if payload is None:
                return PayloadMissing(call.number)
            work = self._backend_client.start(
                call.address, _start_order(call, payload)
            )
        else:
            work = self._order(call)
        return encode_outcome(call.number, await work)

    def _order(
        self, call: StopCall | PaceCall | PollCall
    ) -> Coroutine[None, None, object]:
        match call:
            case StopCall(_, address, run, token):
                return self._backend_client.stop(address, run, token)
            case PaceCall(_, address, run, percent, token):
                return self._backend_client.pace(address, run, percent, token)
            case PollCall(_, address, order):
                return self._backend_client.poll(address, order)

    def _post(self, message: msgspec.Raw) -> None:
        if not self._outbox:
            asyncio.get_running_loop().call_later(ANSWER_DELAY_S, self._flush)
        self._outbox.append(message)

    def _flush(self) -> None:
        messages = self._outbox
        self._outbox = []
        if self._connection is None:
            return
        for frame in join_frames(messages):
            self._connection.send(frame)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            # The owner takes the call for one without an answer.
            _log.error('call failed', exc_info=task.exception())


def _start_order(call: StartCall, payload: str) -> StartOrder:
    return StartOrder(
        call.run,
        payload,
        call.lease_until_ms,
        call.fencing_token,
        call.checkpoint,
        call.ticket,
    )
