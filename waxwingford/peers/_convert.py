"""Conversion between domain types and their protobuf messages."""

from waxwingford.peers import peers_pb2 as wire
from waxwingford.peers._membership import PeerHeartbeat
from waxwingford.routing import (
    Answered,
    KeyLookupAnswer,
    KeyLookupState,
    Outcome,
    Refused,
    Rejected,
    Request,
    Unknown,
    Urgency,
)
from waxwingford.timeline import EventId


def beat_to_wire(beat: PeerHeartbeat) -> wire.Beat:
    """Encode a heartbeat."""
    return wire.Beat(**beat._asdict())


def beat_from_wire(beat: wire.Beat) -> PeerHeartbeat:
    """Decode a heartbeat."""
    return PeerHeartbeat(
        daemon_id=beat.daemon_id,
        incarnation=beat.incarnation,
        failure_domain=beat.failure_domain,
        bundle_version=beat.bundle_version,
        spare_by_service=dict(beat.spare_by_service),
        expected_ms_by_service=dict(beat.expected_ms_by_service),
        draining=beat.draining,
        released=tuple(beat.released),
        distance_ms=beat.distance_ms,
    )


def request_to_wire(request: Request) -> wire.ForwardRequest:
    """Encode a request for forwarding; its hop count is incremented."""
    return wire.ForwardRequest(
        request_id=request.request_id,
        member=request.member,
        service=request.service,
        path=request.path,
        body=request.body,
        urgency=request.urgency.value,
        idempotent=request.idempotent,
        key=request.key,
        attempt=request.attempt,
        deadline_ms=request.deadline_ms,
        hops=request.hops + 1,
    )


def request_from_wire(request: wire.ForwardRequest) -> Request:
    """Decode a forwarded request.

    :raises ValueError: if the urgency is not a known value.
    """
    return Request(
        request_id=request.request_id,
        member=request.member,
        service=request.service,
        path=request.path,
        body=request.body,
        urgency=Urgency(request.urgency),
        idempotent=request.idempotent,
        key=request.key,
        attempt=request.attempt,
        deadline_ms=request.deadline_ms,
        hops=request.hops,
    )


def outcome_to_wire(request_id: str, outcome: Outcome) -> wire.ForwardReply:
    """Encode the outcome of a forwarded request."""
    match outcome:
        case Answered():
            return wire.ForwardReply(
                request_id=request_id, answered=_answered_to_wire(outcome)
            )
        case Refused(reason, retry_after_ms):
            refused = wire.NotAnswered(
                reason=reason, retry_after_ms=retry_after_ms
            )
            return wire.ForwardReply(request_id=request_id, refused=refused)
        case Unknown(reason, retry_after_ms):
            unknown = wire.NotAnswered(
                reason=reason, retry_after_ms=retry_after_ms
            )
            return wire.ForwardReply(request_id=request_id, unknown=unknown)
        case Rejected(reason, status):
            rejected = wire.NotAnswered(reason=reason, status=status)
            return wire.ForwardReply(request_id=request_id, rejected=rejected)


def outcome_from_wire(reply: wire.ForwardReply) -> Outcome:
    """Decode the outcome of a forwarded request.

    A reply without an outcome does not prove that the request was not
    executed, so it decodes to ``Unknown``.
    """
    match reply.WhichOneof('outcome'):
        case 'answered':
            return _answered_from_wire(reply.answered)
        case 'refused':
            return Refused(reply.refused.reason, reply.refused.retry_after_ms)
        case 'rejected':
            return Rejected(reply.rejected.reason, reply.rejected.status)
        case _:
            return Unknown(
                reply.unknown.reason or 'peer reply has no outcome',
                reply.unknown.retry_after_ms,
            )


def event_to_wire(event_id: EventId) -> wire.EventRef:
    """Encode a reference to a timeline event."""
    return wire.EventRef(**event_id._asdict())


def event_from_wire(event: wire.EventRef) -> EventId | None:
    """Decode a reference to a timeline event.

    :returns: event reference, or None if the field is unset.
    """
    if not event.daemon:
        return None
    return EventId(event.daemon, event.incarnation, event.sequence)


def recall_to_wire(answer: KeyLookupAnswer) -> wire.RecallReply:
    """Encode the state of an idempotency key.

    :param answer: state of the key at this daemon.
    """
    answered = answer.outcome and _answered_to_wire(answer.outcome)
    return wire.RecallReply(
        state=answer.state.value, up_ms=answer.up_ms, answered=answered
    )


def recall_from_wire(reply: wire.RecallReply) -> KeyLookupAnswer:
    """Decode the state of an idempotency key at a peer.

    :returns: state of the key at the peer.
    :raises ValueError: if the state is not a known value.
    """
    outcome = None
    if reply.HasField('answered'):
        outcome = _answered_from_wire(reply.answered)
    return KeyLookupAnswer(KeyLookupState(reply.state), reply.up_ms, outcome)


def _answered_to_wire(answered: Answered) -> wire.Answered:
    return wire.Answered(
        status=answered.status,
        content_type=answered.content_type,
        body=answered.body,
        server_id=answered.server_id,
    )


def _answered_from_wire(answered: wire.Answered) -> Answered:
    return Answered(
        answered.status,
        answered.content_type,
        answered.body,
        answered.server_id,
    )
