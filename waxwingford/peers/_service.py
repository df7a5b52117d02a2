"""Server side of the messages between daemons."""

from collections.abc import Callable
from typing import Protocol

from grpclib.server import Stream

from waxwingford.peers import _convert
from waxwingford.peers import peers_pb2 as wire
from waxwingford.peers._membership import PeerBeat
from waxwingford.peers.peers_grpc import PeersBase
from waxwingford.routing import Outcome, RecallAnswer, Request
from waxwingford.timeline import TimeLine


class ForwardedDispatcher(Protocol):
    """What answers for requests that peers hand over."""

    async def handle(self, request: Request) -> Outcome:
        """Serve or refuse a request.

        :param request: with one hop more.
        :returns: tagged outcome.
        """
        ...

    def answer_recall(
        self, member: str, key: str, body_digest: bytes, asker: str
    ) -> RecallAnswer:
        """Say what is known of a key, and remember the question.

        :param member: owner of the key.
        :param key: idempotency key.
        :param body_digest: digest of the body.
        :param asker: daemon that asks.
        :returns: what is known.
        """
        ...


class PeerService(PeersBase):
    """Answers peers; holds no state of its own."""

    def __init__(
        self,
        dispatcher: ForwardedDispatcher,
        exchange: Callable[[PeerBeat], PeerBeat],
        bundle_payloads: Callable[[int], tuple[int, tuple[bytes, ...]]],
        time_line: TimeLine,
    ) -> None:
        """Wire the service.

        :param dispatcher: serves forwarded requests.
        :param exchange: takes a peer's heartbeat and gives the own one.
        :param bundle_payloads: version in force and its records, those newer
            than the given version only.
        :param time_line: where forwards are noted.
        """
        self._dispatcher = dispatcher
        self._exchange = exchange
        self._bundle_payloads = bundle_payloads
        self._time_line = time_line

    async def Exchange(self, stream: Stream[wire.Beat, wire.Beat]) -> None:
        """Exchange heartbeats.

        :param stream: the call.
        """
        beat = await stream.recv_message()
        if beat is None:
            return
        own = self._exchange(_convert.beat_from_wire(beat))
        await stream.send_message(_convert.beat_to_wire(own))

    async def Forward(
        self, stream: Stream[wire.ForwardRequest, wire.ForwardReply]
    ) -> None:
        """Serve a forwarded request.

        :param stream: the call.
        """
        message = await stream.recv_message()
        if message is None:
            return
        request = _convert.request_from_wire(message)
        taken = self._time_line.note(
            'forward.taken',
            f'request:{request.request_id}',
            message.cause.daemon,
            _convert.event_from_wire(message.cause),
        )
        outcome = await self._dispatcher.handle(request)
        reply = _convert.outcome_to_wire(request.request_id, outcome)
        reply.cause.CopyFrom(_convert.event_to_wire(taken))
        await stream.send_message(reply)

    async def Recall(
        self, stream: Stream[wire.RecallRequest, wire.RecallReply]
    ) -> None:
        """Say what is known of a key.

        :param stream: the call.
        """
        question = await stream.recv_message()
        if question is None:
            return
        answer = self._dispatcher.answer_recall(
            question.member,
            question.key,
            question.body_digest,
            question.asker,
        )
        await stream.send_message(_convert.recall_to_wire(answer))

    async def FetchBundle(
        self, stream: Stream[wire.FetchBundleRequest, wire.FetchBundleReply]
    ) -> None:
        """Hand the bundle in force over.

        :param stream: the call.
        """
        question = await stream.recv_message()
        if question is None:
            return
        version, payloads = self._bundle_payloads(question.after_version)
        await stream.send_message(
            wire.FetchBundleReply(version=version, payloads=payloads)
        )
