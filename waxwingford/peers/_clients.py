"""gRPC clients for calls to peer daemons."""

import asyncio
import ssl
from collections.abc import Iterable

import logbook
from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError

from waxwingford.bundles import PeerBundle, PeerBundleAnswer, PeerUnavailable
from waxwingford.kernel import Clock
from waxwingford.peers import _convert
from waxwingford.peers import peers_pb2 as wire
from waxwingford.peers._membership import PeerHeartbeat
from waxwingford.peers.peers_grpc import PeersStub
from waxwingford.routing import (
    KeyLookupAnswer,
    KeyLookupState,
    Outcome,
    Refused,
    Request,
    Unknown,
)
from waxwingford.settings import PeerAddress
from waxwingford.timeline import Timeline

_MS_PER_S = 1000
#: Timeout for opening a connection to a peer, in milliseconds.
CONNECT_TIMEOUT_MS = 500
#: Timeout for a query about an idempotency key, in milliseconds.
RECALL_TIMEOUT_MS = 1000
#: Timeout for fetching a bundle, in milliseconds.
FETCH_TIMEOUT_MS = 2000
#: Delay before a caller retries after a failed call, in milliseconds.
_RETRY_AFTER_MS = 1000
_log = logbook.Logger('peers')
_CALL_ERRORS = (
    GRPCError,
    StreamTerminatedError,
    asyncio.TimeoutError,
    OSError,
)


class PeerClient:
    """gRPC client for one peer daemon."""

    def __init__(
        self,
        address: PeerAddress,
        timeline: Timeline,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        """Create the channel; it connects on the first call.

        :param timeline: timeline that records forwarded requests.
        :param tls: client context, or None for plain TCP.
        """
        self.address = address
        self._timeline = timeline
        self._channel = Channel(address.host, address.rpc_port, ssl=tls)
        self._stub = PeersStub(self._channel)

    def close(self) -> None:
        """Close the channel."""
        self._channel.close()

    async def exchange(
        self, beat: PeerHeartbeat, timeout_ms: int
    ) -> PeerHeartbeat | None:
        """Exchange heartbeats.

        :param beat: heartbeat of this daemon.
        :param timeout_ms: call timeout, in milliseconds.
        :returns: heartbeat of the peer, or None if the call failed.
        """
        try:
            reply = await self._stub.Exchange(
                _convert.beat_to_wire(beat), timeout=timeout_ms / _MS_PER_S
            )
        except _CALL_ERRORS:
            return None
        return _convert.beat_from_wire(reply)

    async def forward(self, request: Request, timeout_ms: int) -> Outcome:
        """Forward a request to the peer.

        A failure to connect proves that the request was not sent, so the
        outcome is ``Refused``.  After any later failure the peer may have
        executed the request, so the outcome is ``Unknown``.

        :param timeout_ms: call timeout, in milliseconds.
        :returns: outcome reported by the peer, ``Refused`` or ``Unknown``.
        """
        subject = f'request:{request.request_id}'
        if not await self._try_connect():
            self._timeline.note(
                'forward.not_sent', subject, self.address.daemon_id
            )
            return Refused(
                f'could not connect to peer {self.address.daemon_id}',
                _RETRY_AFTER_MS,
            )
        message = _convert.request_to_wire(request)
        sent = self._timeline.note(
            'forward.sent', subject, self.address.daemon_id
        )
        message.cause.CopyFrom(_convert.event_to_wire(sent))
        try:
            reply = await self._stub.Forward(
                message, timeout=timeout_ms / _MS_PER_S
            )
        except _CALL_ERRORS as error:
            self._timeline.note('forward.lost', subject, repr(error))
            return self._unknown_outcome(error)
        if reply.request_id != request.request_id:
            return Unknown('peer reply has another request id', _RETRY_AFTER_MS)
        self._timeline.note(
            'forward.answered',
            subject,
            reply.WhichOneof('outcome') or 'empty',
            _convert.event_from_wire(reply.cause),
        )
        return _convert.outcome_from_wire(reply)

    async def recall(self, message: wire.RecallRequest) -> KeyLookupAnswer:
        """Query the state of an idempotency key at the peer.

        :param message: member, key, digest of the request body and asker.
        :returns: state of the key, ``unreachable`` if the call failed or its
            reply can't be read.
        """
        try:
            reply = await self._stub.Recall(
                message, timeout=RECALL_TIMEOUT_MS / _MS_PER_S
            )
        except _CALL_ERRORS:
            return KeyLookupAnswer(KeyLookupState.unreachable, 0)
        try:
            return _convert.recall_from_wire(reply)
        except ValueError as error:
            # A later version may know more states; none proves that the request
            # has not run.
            _log.warning(
                'key state not read',
                extra={
                    'peer': self.address.daemon_id,
                    'state': reply.state,
                    'reason': str(error),
                },
            )
            return KeyLookupAnswer(KeyLookupState.unreachable, 0)

    async def fetch_bundle(self, after_version: int) -> PeerBundleAnswer:
        """Fetch the bundle in force at the peer.

        :param after_version: bundle version of this daemon; only newer records
            are returned.
        :returns: records of the bundle, or the reason why the call failed.
        """
        try:
            reply = await self._stub.FetchBundle(
                wire.FetchBundleRequest(after_version=after_version),
                timeout=FETCH_TIMEOUT_MS / _MS_PER_S,
            )
        except _CALL_ERRORS as error:
            return PeerUnavailable(str(error) or type(error).__name__)
        return PeerBundle(tuple(reply.payloads))

    def _unknown_outcome(self, error: Exception) -> Unknown:
        return Unknown(
            f'{self.address.daemon_id}: call failed with {type(error).__name__}',
            _RETRY_AFTER_MS,
        )

    async def _try_connect(self) -> bool:
        connect = self._channel.__connect__()
        try:
            await asyncio.wait_for(connect, CONNECT_TIMEOUT_MS / _MS_PER_S)
        except (OSError, asyncio.TimeoutError):
            return False
        return True


class PeerClients:
    """gRPC clients for all configured peers of a daemon."""

    def __init__(
        self,
        own_id: str,
        addresses: Iterable[PeerAddress],
        clock: Clock,
        timeline: Timeline,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        """Create a client for each configured peer.

        :param own_id: id of this daemon, for which no client is created.
        :param addresses: addresses of all configured daemons.
        :param clock: clock that measures round trips.
        :param timeline: timeline that records forwarded requests.
        :param tls: client context, or None for plain TCP.
        """
        self._own_id = own_id
        self._clock = clock
        self.client_by_id = {
            address.daemon_id: PeerClient(address, timeline, tls)
            for address in addresses
            if address.daemon_id != own_id
        }

    def close(self) -> None:
        """Close all clients."""
        for client in self.client_by_id.values():
            client.close()

    async def forward(
        self, peer_id: str, request: Request, timeout_ms: int
    ) -> Outcome:
        """Forward a request to a peer.

        :param timeout_ms: call timeout, in milliseconds.
        :returns: outcome reported by the peer, ``Refused`` or ``Unknown``.
        """
        client = self.client_by_id.get(peer_id)
        if client is None:
            return Refused(
                f'no peer configured with id {peer_id}', _RETRY_AFTER_MS
            )
        return await client.forward(request, timeout_ms)

    async def look_up_key(
        self, member: str, key: str, body_digest: bytes
    ) -> dict[str, KeyLookupAnswer]:
        """Query the state of an idempotency key at all peers concurrently.

        :param member: owner of the key.
        :param body_digest: digest of the request body, to detect a key that
            is reused with another body.
        :returns: state of the key by peer id, ``unreachable`` where the call
            failed.
        """
        message = wire.RecallRequest(
            member=member,
            key=key,
            body_digest=body_digest,
            asker=self._own_id,
        )
        clients = list(self.client_by_id.items())
        answers = await asyncio.gather(
            *(client.recall(message) for _, client in clients)
        )
        return {
            peer_id: answer
            for (peer_id, _), answer in zip(clients, answers, strict=True)
        }

    async def fetch(self, after_version: int) -> dict[str, PeerBundleAnswer]:
        """Fetch the bundles of all peers concurrently.

        :param after_version: bundle version of this daemon; only newer records
            are returned.
        :returns: records of the bundle, or the reason why the call failed, by
            peer id.
        """
        clients = list(self.client_by_id.items())
        answers = await asyncio.gather(
            *(client.fetch_bundle(after_version) for _, client in clients)
        )
        return {
            peer_id: answer
            for (peer_id, _), answer in zip(clients, answers, strict=True)
        }

    async def beat(
        self, peer_id: str, own: PeerHeartbeat, timeout_ms: int
    ) -> tuple[PeerHeartbeat, float] | None:
        """Exchange heartbeats with one peer and measure the round trip.

        :param own: heartbeat of this daemon.
        :param timeout_ms: call timeout, in milliseconds.
        :returns: heartbeat of the peer and the round trip in milliseconds, or
            None if the call failed or the peer is not configured.
        """
        client = self.client_by_id.get(peer_id)
        if client is None:
            _log.warning('peer not configured', extra={'peer': peer_id})
            return None
        sent_ms = self._clock.monotonic_ms()
        reply = await client.exchange(own, timeout_ms)
        if reply is None:
            return None
        return reply, float(self._clock.monotonic_ms() - sent_ms)
