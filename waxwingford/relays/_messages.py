"""Messages between the owner of a shard and a relay.

A frame is a MessagePack list of messages.  The payload of a job is sent to a relay
once, ahead of the first start that needs it.
"""

from collections.abc import Iterable, Iterator

import msgspec

from waxwingford.relays._frames import MAX_FRAME_BYTES, FrameError
from waxwingford.scheduling import (
    Address,
    EndReport,
    OrderAccepted,
    OrderNotSent,
    OrderOutcome,
    OrderOutcomeUnknown,
    OrderRefused,
    PollOrder,
    PollOutcome,
    PollResult,
    RefusalReason,
    RunKey,
    RunningReport,
    ServerReplaced,
)


class Hello(msgspec.Struct, tag='h', array_like=True):
    """First message of a relay."""

    daemon_id: str


class Leaving(msgspec.Struct, tag='l', array_like=True):
    """The relay is about to stop; it answers the calls that it has."""


class Sent(msgspec.Struct, tag='t', array_like=True):
    """First message of each frame of the owner.

    :ivar sent_ms: owner's clock since its boot, which also advances while it is
        suspended, in ms.
    """

    sent_ms: int


class Payload(msgspec.Struct, tag='y', array_like=True):
    """Payload of a job, for the starts of its tasks."""

    job_id: str
    payload: str


class StartCall(msgspec.Struct, tag='s', array_like=True):
    """A ``StartOrder`` without the payload."""

    number: int
    address: Address
    run: RunKey
    lease_until_ms: int
    fencing_token: int
    checkpoint: str = ''
    ticket: str = ''


class StopCall(msgspec.Struct, tag='x', array_like=True):
    """An order to stop a run."""

    number: int
    address: Address
    run: RunKey
    fencing_token: int


class PaceCall(msgspec.Struct, tag='c', array_like=True):
    """An order to limit the speed of a run."""

    number: int
    address: Address
    run: RunKey
    percent: int
    fencing_token: int


class PollCall(msgspec.Struct, tag='p', array_like=True):
    """A poll."""

    number: int
    address: Address
    order: PollOrder


class Accepted(msgspec.Struct, tag='a', array_like=True):
    """See ``OrderAccepted``."""

    number: int
    clock_ms: int


class Polled(msgspec.Struct, tag='o', array_like=True):
    """See ``PollResult``."""

    number: int
    clock_ms: int
    running: tuple[RunningReport, ...]
    ended: tuple[EndReport, ...]
    started_ms: int
    acknowledged_end: int


class Refused(msgspec.Struct, tag='r', array_like=True):
    """See ``OrderRefused``."""

    number: int
    reason: RefusalReason


class Replaced(msgspec.Struct, tag='g', array_like=True):
    """See ``ServerReplaced``."""

    number: int


class NotSent(msgspec.Struct, tag='n', array_like=True):
    """See ``OrderNotSent``."""

    number: int
    reason: str


class PayloadMissing(msgspec.Struct, tag='m', array_like=True):
    """The relay doesn't have the payload of a start, which it has not sent."""

    number: int


class OutcomeUnknown(msgspec.Struct, tag='u', array_like=True):
    """See ``OrderOutcomeUnknown``."""

    number: int
    reason: str
    connection_lost: bool = False


#: Longest message, and messages that are joined into a frame, in bytes.
MAX_MESSAGE_BYTES = MAX_FRAME_BYTES // 2

Call = StartCall | StopCall | PaceCall | PollCall
Answer = Accepted | Polled | Refused | Replaced | NotSent | OutcomeUnknown
OwnerMessage = Sent | Payload | Call
RelayMessage = Hello | Leaving | PayloadMissing | Answer
Outcome = OrderOutcome | PollOutcome

_encoder = msgspec.msgpack.Encoder()
_owner_decoder = msgspec.msgpack.Decoder(list[OwnerMessage])
_relay_decoder = msgspec.msgpack.Decoder(list[RelayMessage])


def encode_message(message: OwnerMessage | RelayMessage) -> msgspec.Raw:
    """Encode a message for ``join_frames``.

    :raises FrameError: if it can't be encoded, or is too long for a frame.
    """
    try:
        raw = _encoder.encode(message)
    except (ValueError, OverflowError, RecursionError) as error:
        raise FrameError(f'message not encoded: {error}') from error
    if len(raw) > MAX_MESSAGE_BYTES:
        raise FrameError(
            f'message has {len(raw)} bytes, expected at most {MAX_MESSAGE_BYTES}'
        )
    return msgspec.Raw(raw)


def join_frames(
    messages: Iterable[msgspec.Raw], first: OwnerMessage | None = None
) -> Iterator[bytes]:
    """Join messages into as few frames as their sizes allow.

    :param first: message at the beginning of each frame, ``None`` for none.
    """
    head = [] if first is None else [encode_message(first)]
    joined = head.copy()
    size = 0
    for message in messages:
        if size and size + len(message) > MAX_MESSAGE_BYTES:
            yield _encoder.encode(joined)
            joined = head.copy()
            size = 0
        joined.append(message)
        size += len(message)
    if joined:
        yield _encoder.encode(joined)


def decode_owner_frame(frame: bytes) -> list[OwnerMessage]:
    """Decode a frame of the owner.

    :raises FrameError: if the frame is malformed.
    """
    try:
        return _owner_decoder.decode(frame)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise FrameError(f'frame not decoded: {error}') from error


def decode_relay_frame(frame: bytes) -> list[RelayMessage]:
    """Decode a frame of a relay.

    :raises FrameError: if the frame is malformed.
    """
    try:
        return _relay_decoder.decode(frame)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise FrameError(f'frame not decoded: {error}') from error


def encode_outcome(number: int, outcome: Outcome) -> Answer:
    """Convert the outcome of a call to a message.

    :param number: number of the call.
    """
    match outcome:
        case PollResult():
            return Polled(
                number,
                outcome.clock_ms,
                outcome.running,
                outcome.ended,
                outcome.started_ms,
                outcome.acknowledged_end,
            )
        case OrderAccepted(clock_ms):
            return Accepted(number, clock_ms)
        case OrderRefused(reason):
            return Refused(number, reason)
        case ServerReplaced():
            return Replaced(number)
        case OrderNotSent(reason):
            return NotSent(number, reason)
        case OrderOutcomeUnknown(reason, connection_lost):
            return OutcomeUnknown(number, reason, connection_lost)


def decode_outcome(answer: Answer) -> Outcome:
    """Convert a message to the outcome of a call."""
    match answer:
        case Polled():
            return PollResult(
                answer.clock_ms,
                answer.running,
                answer.ended,
                answer.started_ms,
                answer.acknowledged_end,
            )
        case Accepted():
            return OrderAccepted(answer.clock_ms)
        case Refused():
            return OrderRefused(answer.reason)
        case Replaced():
            return ServerReplaced()
        case NotSent():
            return OrderNotSent(answer.reason)
        case OutcomeUnknown():
            return OrderOutcomeUnknown(answer.reason, answer.connection_lost)
