"""Calls to peer daemons: one channel to each, owned by its link."""

import asyncio
import ssl
from collections.abc import Iterable

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError

from waxwingford.bundles import PeerBundle, PeerBundleAnswer, PeerSilent
from waxwingford.kernel import Clock
from waxwingford.peers import _convert
from waxwingford.peers import peers_pb2 as wire
from waxwingford.peers._membership import PeerBeat
from waxwingford.peers.peers_grpc import PeersStub
from waxwingford.routing import (
    Outcome,
    RecallAnswer,
    RecallState,
    Refused,
    Request,
    Unknown,
)
from waxwingford.settings import PeerAddress
from waxwingford.timeline import TimeLine

_MS_IN_S = 1000
#: Time to open a connection to a peer, in milliseconds.
CONNECT_TIMEOUT_MS = 500
#: Time for a peer to answer what it knows of a key, in milliseconds.
RECALL_TIMEOUT_MS = 1000
#: Time for a peer to hand its bundle over, in milliseconds.
FETCH_TIMEOUT_MS = 2000
#: When a caller may come back after a peer failed, in milliseconds.
_COME_BACK_MS = 1000
_LOST = (
    GRPCError,
    StreamTerminatedError,
    asyncio.TimeoutError,
    OSError,
)


class PeerLink:
    """Connection to one peer daemon."""

    def __init__(
        self,
        address: PeerAddress,
        time_line: TimeLine,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        """Prepare a channel; it connects at the first call.

        :param address: where the peer listens.
        :param time_line: where forwards are noted.
        :param tls: client context, None for plain TCP.
        """
        self.address = address
        self._time_line = time_line
        self._channel = Channel(address.host, address.rpc_port, ssl=tls)
        self._stub = PeersStub(self._channel)

    def close(self) -> None:
        """Close the channel."""
        self._channel.close()

    async def exchange(
        self, beat: PeerBeat, timeout_ms: int
    ) -> PeerBeat | None:
        """Exchange heartbeats.

        :param beat: own heartbeat.
        :param timeout_ms: longest wait, in milliseconds.
        :returns: the peer's heartbeat, None without an answer.
        """
        try:
            reply = await self._stub.Exchange(
                _convert.beat_to_wire(beat), timeout=timeout_ms / _MS_IN_S
            )
        except _LOST:
            return None
        return _convert.beat_from_wire(reply)

    async def forward(self, request: Request, timeout_ms: int) -> Outcome:
        """Hand a request over.

        A failure to connect proves that nothing was sent; any later failure
        proves nothing, so that the outcome is unknown.

        :param request: the request.
        :param timeout_ms: longest wait, in milliseconds.
        :returns: the peer's outcome, or what can be said without one.
        """
        subject = f'request:{request.request_id}'
        if not await self._connected():
            self._time_line.note(
                'forward.not_sent', subject, self.address.daemon_id
            )
            return Refused(
                f'no connection to {self.address.daemon_id}', _COME_BACK_MS
            )
        message = _convert.request_to_wire(request)
        sent = self._time_line.note(
            'forward.sent', subject, self.address.daemon_id
        )
        message.cause.CopyFrom(_convert.event_to_wire(sent))
        try:
            reply = await self._stub.Forward(
                message, timeout=timeout_ms / _MS_IN_S
            )
        except _LOST as error:
            self._time_line.note('forward.lost', subject, repr(error))
            return self._lost(error)
        if reply.request_id != request.request_id:
            return Unknown('a peer answered another request', _COME_BACK_MS)
        self._time_line.note(
            'forward.answered',
            subject,
            reply.WhichOneof('outcome') or 'empty',
            _convert.event_from_wire(reply.cause),
        )
        return _convert.outcome_from_wire(reply)

    async def recall(self, question: wire.RecallRequest) -> RecallAnswer:
        """Ask what the peer knows of a key.

        :param question: member, key and digest of the body.
        :returns: its answer; ``unreachable`` without one.
        """
        try:
            reply = await self._stub.Recall(
                question, timeout=RECALL_TIMEOUT_MS / _MS_IN_S
            )
        except _LOST:
            return RecallAnswer(RecallState.unreachable, 0)
        return _convert.recall_from_wire(reply)

    async def fetch_bundle(self, after_version: int) -> PeerBundleAnswer:
        """Fetch the bundle in force at the peer.

        :param after_version: version already known here.
        :returns: its records, or why there are none.
        """
        try:
            reply = await self._stub.FetchBundle(
                wire.FetchBundleRequest(after_version=after_version),
                timeout=FETCH_TIMEOUT_MS / _MS_IN_S,
            )
        except _LOST as error:
            return PeerSilent(str(error) or type(error).__name__)
        return PeerBundle(tuple(reply.payloads))

    def _lost(self, error: Exception) -> Unknown:
        return Unknown(
            f'{self.address.daemon_id}: {type(error).__name__}', _COME_BACK_MS
        )

    async def _connected(self) -> bool:
        connect = self._channel.__connect__()
        try:
            await asyncio.wait_for(connect, CONNECT_TIMEOUT_MS / _MS_IN_S)
        except (OSError, asyncio.TimeoutError):
            return False
        return True


class PeerLinks:
    """All links of a daemon; what its tasks call peers through."""

    def __init__(
        self,
        own_id: str,
        addresses: Iterable[PeerAddress],
        clock: Clock,
        time_line: TimeLine,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        """Prepare links to all configured peers.

        :param own_id: id of this daemon, which gets no link.
        :param addresses: configured daemons.
        :param clock: measures round trips.
        :param time_line: where forwards are noted.
        :param tls: client context, None for plain TCP.
        """
        self._own_id = own_id
        self._clock = clock
        self.link_by_id = {
            address.daemon_id: PeerLink(address, time_line, tls)
            for address in addresses
            if address.daemon_id != own_id
        }

    def close(self) -> None:
        """Close every link."""
        for link in self.link_by_id.values():
            link.close()

    async def forward(
        self, peer_id: str, request: Request, timeout_ms: int
    ) -> Outcome:
        """Hand a request to a peer.

        :param peer_id: which peer.
        :param request: the request.
        :param timeout_ms: longest wait, in milliseconds.
        :returns: tagged outcome.
        """
        link = self.link_by_id.get(peer_id)
        if link is None:
            return Refused(f'no peer {peer_id}', _COME_BACK_MS)
        return await link.forward(request, timeout_ms)

    async def recall_all(
        self, member: str, key: str, body_digest: bytes
    ) -> dict[str, RecallAnswer]:
        """Ask every configured peer about a key, all at once.

        :param member: owner of the key.
        :param key: idempotency key.
        :param body_digest: digest of the body, so that a changed body shows.
        :returns: one answer for each peer, ``unreachable`` included.
        """
        question = wire.RecallRequest(
            member=member,
            key=key,
            body_digest=body_digest,
            asker=self._own_id,
        )
        links = list(self.link_by_id.items())
        answers = await asyncio.gather(
            *(link.recall(question) for _, link in links)
        )
        return {
            peer_id: answer
            for (peer_id, _), answer in zip(links, answers, strict=True)
        }

    async def fetch(self, after_version: int) -> dict[str, PeerBundleAnswer]:
        """Fetch bundles of all peers.

        :param after_version: version already known here.
        :returns: one answer for each peer.
        """
        links = list(self.link_by_id.items())
        answers = await asyncio.gather(
            *(link.fetch_bundle(after_version) for _, link in links)
        )
        return {
            peer_id: answer
            for (peer_id, _), answer in zip(links, answers, strict=True)
        }

    async def beat(
        self, peer_id: str, own: PeerBeat, timeout_ms: int
    ) -> tuple[PeerBeat, float] | None:
        """Exchange heartbeats with one peer and measure the round trip.

        :param peer_id: which peer.
        :param own: own heartbeat.
        :param timeout_ms: longest wait, in milliseconds.
        :returns: its heartbeat and the round trip in milliseconds, or None.
        """
        sent_ms = self._clock.monotonic_ms()
        reply = await self.link_by_id[peer_id].exchange(own, timeout_ms)
        if reply is None:
            return None
        return reply, float(self._clock.monotonic_ms() - sent_ms)
