"""Server side of the RPCs between daemons."""

from collections.abc import Callable
from typing import Protocol

from grpclib.server import Stream

from waxwingford.peers import _convert
from waxwingford.peers import peers_pb2 as wire
from waxwingford.peers._membership import PeerHeartbeat
from waxwingford.peers.peers_grpc import PeersBase
from waxwingford.routing import KeyLookupAnswer, Outcome, Request
from waxwingford.timeline import Timeline


class PeerRequestHandler(Protocol):
    """Handler of the requests and key queries that peers send."""

    async def handle(self, request: Request) -> Outcome:
        """Handle a forwarded request.

        :param request: request whose hop count includes this hop.
        """
        ...

    def answer_key_lookup(
        self, member: str, key: str, body_digest: bytes, asker: str
    ) -> KeyLookupAnswer:
        """Look up the state of an idempotency key and record the query.

        :param member: owner of the key.
        :param body_digest: digest of the request body.
        :param asker: id of the daemon that sent the query.
        :returns: state of the key at this daemon.
        """
        ...


class PeerService(PeersBase):
    """gRPC service for peers; stateless."""

    def __init__(
        self,
        handler: PeerRequestHandler,
        exchange: Callable[[PeerHeartbeat], PeerHeartbeat],
        bundle_payloads: Callable[[int], tuple[int, tuple[bytes, ...]]],
        timeline: Timeline,
    ) -> None:
        """Create the service.

        :param exchange: function that processes the heartbeat of a peer and
            returns the heartbeat of this daemon.
        :param bundle_payloads: function that returns the bundle version in
            force and its records newer than the given version.
        :param timeline: timeline that records forwarded requests.
        """
        self._handler = handler
        self._exchange = exchange
        self._bundle_payloads = bundle_payloads
        self._timeline = timeline

    async def Exchange(self, stream: Stream[wire.Beat, wire.Beat]) -> None:
        """Exchange heartbeats."""
        beat = await stream.recv_message()
        if beat is None:
            return
        own = self._exchange(_convert.beat_from_wire(beat))
        await stream.send_message(_convert.beat_to_wire(own))

    async def Forward(
        self, stream: Stream[wire.ForwardRequest, wire.ForwardReply]
    ) -> None:
        """Handle a forwarded request."""
        message = await stream.recv_message()
        if message is None:
            return
        request = _convert.request_from_wire(message)
        received = self._timeline.note(
            'forward.taken',
            f'request:{request.request_id}',
            message.cause.daemon,
            _convert.event_from_wire(message.cause),
        )
        outcome = await self._handler.handle(request)
        reply = _convert.outcome_to_wire(request.request_id, outcome)
        reply.cause.CopyFrom(_convert.event_to_wire(received))
        await stream.send_message(reply)

    async def Recall(
        self, stream: Stream[wire.RecallRequest, wire.RecallReply]
    ) -> None:
        """Report the state of an idempotency key."""
        message = await stream.recv_message()
        if message is None:
            return
        answer = self._handler.answer_key_lookup(
            message.member,
            message.key,
            message.body_digest,
            message.asker,
        )
        await stream.send_message(_convert.recall_to_wire(answer))

    async def FetchBundle(
        self, stream: Stream[wire.FetchBundleRequest, wire.FetchBundleReply]
    ) -> None:
        """Return the records of the bundle in force."""
        message = await stream.recv_message()
        if message is None:
            return
        version, payloads = self._bundle_payloads(message.after_version)
        await stream.send_message(
            wire.FetchBundleReply(version=version, payloads=payloads)
        )
