"""Relays that are connected to the owner, and the calls that they carry out."""

import asyncio
import functools
import hashlib
import itertools
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from waxwingford.inbound import UNLIMITED, Account
from waxwingford.relays._clocks import boottime_ms
from waxwingford.relays._frames import FrameConnection, FrameTraffic
from waxwingford.relays._messages import (
    Answer,
    Call,
    Hello,
    Leaving,
    Outcome,
    OwnerMessage,
    Payload,
    PayloadMissing,
    PollCall,
    Sent,
    StartCall,
    decode_outcome,
    decode_relay_frame,
    encode_message,
    join_frames,
)
from waxwingford.scheduling import OrderOutcomeUnknown

#: Interval between looks for calls that have timed out, in seconds.
SWEEP_INTERVAL_S = 0.1
#: Time in seconds after which a relay that left a call unanswered, and answers again,
#: gets other calls. It may have been suspended, or behind a partition.
REINSTATEMENT_S = 1.0
#: Time in seconds after which the connection of one that doesn't is closed.
MAX_SILENCE_S = 10.0
#: Jobs whose payload a relay is taken to have, at most.
MAX_KNOWN_JOBS = 4096
#: Time in seconds after which a connection is closed on which no relay has said who
#: it is.
MAX_ANONYMOUS_S = 5.0
#: Bytes that may wait to be sent to a relay for it to get more calls.
MAX_UNSENT_BYTES = 65_536

#: Orders in progress at a relay that weigh as much as sending it a payload.
PAYLOAD_COST = 3

_DIGEST_BYTES = 8


class _Pending(NamedTuple):
    future: asyncio.Future[Outcome]
    deadline_s: float
    call: Call
    payload: str


class RelayLink:
    """Connection to a relay.

    :ivar daemon_id: daemon of the relay, empty until it has said so.
    """

    def __init__(
        self, connection: FrameConnection, since_boot_ms: Callable[[], int]
    ) -> None:
        """Use a connection that the relay has opened.

        :param since_boot_ms: clock in ms that includes time in suspension.
        """
        self._now_ms = since_boot_ms
        self.daemon_id = ''
        self._connection = connection
        self._leaving = False
        self._usable_from_s: float = 0
        now_s = asyncio.get_running_loop().time()
        self._anonymous_until_s = now_s + MAX_ANONYMOUS_S
        self._silent_since_s: float | None = None
        self._pending_by_number: dict[int, _Pending] = {}
        self._known_jobs: set[str] = set()
        self._orders = 0
        self._outbox: list[msgspec.Raw] = []

    def usable(self, now_s: float) -> bool:
        """Tell whether the relay may get calls.

        :param now_s: time of the event loop, in seconds.
        """
        connected = bool(self.daemon_id) and not self._connection.closed
        if not connected or self._leaving:
            return False
        return (
            self._silent_since_s is None
            and now_s >= self._usable_from_s
            and self._connection.unsent_bytes <= MAX_UNSENT_BYTES
        )

    def start_cost(self, job_id: str) -> int:
        """Rate the relay for a start of a job; less is better."""
        return self._orders + PAYLOAD_COST * (job_id not in self._known_jobs)

    async def call(
        self, call: Call, timeout_s: float, payload: str = ''
    ) -> Outcome:
        """Have the relay carry out a call.

        :param timeout_s: time until the answer has to be there, in seconds.
        :param payload: payload of the job, if the call is a start.
        :returns: its outcome; unknown if the relay doesn't answer in time.
        """
        loop = asyncio.get_running_loop()
        future: asyncio.Future[Outcome] = loop.create_future()
        self._pending_by_number[call.number] = _Pending(
            future, loop.time() + timeout_s, call, payload
        )
        self._orders += not isinstance(call, PollCall)
        try:
            self._send(call, payload)
            return await future
        finally:
            self._orders -= not isinstance(call, PollCall)
            self._pending_by_number.pop(call.number, None)

    def receive(self, frame: bytes) -> bool:
        """Read a frame of the relay.

        :returns: whether it may have become usable, or no longer be.
        :raises FrameError: if the frame is malformed.
        """
        if self._silent_since_s is not None:
            self._silent_since_s = None
            now_s = asyncio.get_running_loop().time()
            self._usable_from_s = now_s + REINSTATEMENT_S
        changed = False
        for message in decode_relay_frame(frame):
            match message:
                case Hello(daemon_id):
                    self.daemon_id = daemon_id
                    self._connection.trust()
                    changed = True
                    # The relay compares the age of later frames with this one.
                    self._flush()
                case Leaving():
                    self._leaving = True
                    changed = True
                case PayloadMissing(number):
                    self._send_again(number)
                case _:
                    self._resolve(message)
        return changed

    def close(self) -> None:
        """Close the connection; the outcome of its calls stays unknown."""
        self._connection.abort()
        # Not lost with a connection to the server, which would tell of a crash.
        lost = OrderOutcomeUnknown('the relay was lost')
        for pending in self._pending_by_number.values():
            if not pending.future.done():
                pending.future.set_result(lost)

    def expire(self, now_s: float) -> None:
        """Give up the calls that have timed out."""
        late = OrderOutcomeUnknown('TimeoutError: no answer of the relay')
        for pending in self._pending_by_number.values():
            if pending.deadline_s < now_s and not pending.future.done():
                pending.future.set_result(late)
                if self._silent_since_s is None:
                    self._silent_since_s = now_s
        anonymous = not self.daemon_id and now_s > self._anonymous_until_s
        if anonymous or self._is_gone(now_s):
            self._connection.abort()

    def _is_gone(self, now_s: float) -> bool:
        since_s = self._silent_since_s
        return since_s is not None and now_s - since_s > MAX_SILENCE_S

    def _send(self, call: Call, payload: str) -> None:
        if isinstance(call, StartCall):
            job_id = call.run.task.job_id
            if len(self._known_jobs) >= MAX_KNOWN_JOBS:
                self._known_jobs.clear()
            if job_id not in self._known_jobs:
                self._known_jobs.add(job_id)
                self._post(Payload(job_id, payload))
        self._post(call)

    def _send_again(self, number: int) -> None:
        pending = self._pending_by_number.get(number)
        if pending is not None and isinstance(pending.call, StartCall):
            self._known_jobs.discard(pending.call.run.task.job_id)
            self._send(pending.call, pending.payload)

    def _resolve(self, answer: Answer) -> None:
        pending = self._pending_by_number.get(answer.number)
        if pending is not None and not pending.future.done():
            pending.future.set_result(decode_outcome(answer))

    def _post(self, message: OwnerMessage) -> None:
        if not self._outbox:
            asyncio.get_running_loop().call_soon(self._flush)
        self._outbox.append(encode_message(message))

    def _flush(self) -> None:
        messages = self._outbox
        self._outbox = []
        for frame in join_frames(messages, Sent(self._now_ms())):
            self._connection.send(frame)


class RelayPool:
    """Accepts relays, and chooses among them.

    :ivar traffic: bytes exchanged with relays.
    """

    def __init__(
        self,
        since_boot_ms: Callable[[], int] = boottime_ms,
        account: Account | None = None,
    ) -> None:
        """Create an empty pool.

        :param since_boot_ms: clock in ms that includes time in suspension.
        :param account: budget of all connections of relays, ``None`` for no bound.
        """
        self._account = account or Account(UNLIMITED)
        self._now_ms = since_boot_ms
        self.traffic = FrameTraffic()
        self._link_by_connection: dict[FrameConnection, RelayLink] = {}
        self._usable: tuple[RelayLink, ...] = ()
        self._link_by_server: dict[str, RelayLink] = {}
        self._number = itertools.count()
        self._server: asyncio.Server | None = None

    async def serve(self, host: str, port: int) -> None:
        """Accept relays.

        :param host: IP address to listen on.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self.make_connection, host, port
        )

    def close(self) -> None:
        """Close all connections, and accept no others."""
        if self._server is not None:
            self._server.close()
        for link in tuple(self._link_by_connection.values()):
            link.close()

    async def run(self) -> None:
        """Give up calls that time out until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            # An event loop that runs late handles its timers first: answers that
            # have arrived are read before their calls are given up.
            await asyncio.sleep(0)
            now_s = asyncio.get_running_loop().time()
            for link in tuple(self._link_by_connection.values()):
                link.expire(now_s)
            self.refresh()

    def next_number(self) -> int:
        """Number a call."""
        return next(self._number)

    def choose_for_start(self, job_id: str) -> RelayLink | None:
        """Choose a relay for a start.

        :returns: one with few orders that has the payload of the job, ``None`` if
            no relay is usable.
        """
        return min(
            self._usable,
            key=lambda link: link.start_cost(job_id),
            default=None,
        )

    def choose(self, server_id: str) -> RelayLink | None:
        """Choose a relay for a server by rendezvous hashing.

        A server stays with its relay while that is usable, so that one connection
        to it carries all polls.

        :returns: the relay, ``None`` if none is usable.
        """
        if not self._usable:
            return None
        link = self._link_by_server.get(server_id)
        if link is None:
            link = max(self._usable, key=functools.partial(_weight, server_id))
            self._link_by_server[server_id] = link
        return link

    def refresh(self) -> None:
        """Look which relays are usable."""
        now_s = asyncio.get_running_loop().time()
        usable = tuple(
            link
            for link in self._link_by_connection.values()
            if link.usable(now_s)
        )
        if usable != self._usable:
            self._usable = usable
            self._link_by_server.clear()

    def make_connection(self) -> FrameConnection:
        """Create the protocol of a connection that a relay opens."""
        connection = FrameConnection(
            self._receive, self._on_closed, self.traffic, self._account
        )
        self._link_by_connection[connection] = RelayLink(
            connection, self._now_ms
        )
        return connection

    def _receive(self, connection: FrameConnection, frame: bytes) -> None:
        link = self._link_by_connection[connection]
        if link.receive(frame):
            self._close_former(link)
            self.refresh()

    def _close_former(self, newest: RelayLink) -> None:
        """Close connections of former processes of a relay."""
        for link in tuple(self._link_by_connection.values()):
            if link is not newest and link.daemon_id == newest.daemon_id:
                link.close()

    def _on_closed(self, connection: FrameConnection) -> None:
        self._link_by_connection.pop(connection).close()
        self.refresh()


def _weight(server_id: str, link: RelayLink) -> bytes:
    text = f'{server_id} {link.daemon_id}'.encode()
    return hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest()
