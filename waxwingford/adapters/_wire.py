"""Encoding of messages on the wire, in JSON and msgpack.

Commands are encoded as ``[tag, fields]``, since dataclasses carry no tag.
"""

from collections.abc import Callable
from typing import Any

import msgspec

from waxwingford.ports import (
    AttemptKey,
    CheckpointTask,
    ControlDenied,
    ControlGranted,
    ControlRequest,
    ForgetTask,
    LogRead,
    ServerCommand,
    StartTask,
    StopTask,
    ThrottleTask,
    Vm,
    VmList,
)

REQUEST_ID_HEADER = 'Waxwingford-Request-Id'
DEADLINE_HEADER = 'Waxwingford-Deadline-Ms'
#: ``1`` if the server guarantees that it did not run the request.
NOT_RUN_HEADER = 'Waxwingford-Not-Run'
#: Retry-After in milliseconds.
RETRY_AFTER_MS_HEADER = 'Waxwingford-Retry-After-Ms'

_TYPE_BY_TAG: dict[str, type[Any]] = {
    'start': StartTask,
    'checkpoint': CheckpointTask,
    'throttle': ThrottleTask,
    'stop': StopTask,
    'forget': ForgetTask,
}
_TAG_BY_TYPE = {command_type: tag for tag, command_type in _TYPE_BY_TAG.items()}


class _WireRequest(msgspec.Struct, frozen=True):
    holder: str
    epoch: int
    lease_ms: int
    renew: tuple[AttemptKey, ...]
    task_lease_ms: int
    commands: tuple[tuple[str, msgspec.Raw], ...]
    stamp_ms: int = 0
    good_for_ms: int = 0
    known: int = 0
    renew_except: tuple[AttemptKey, ...] | None = None


class _WireReply(msgspec.Struct, frozen=True, omit_defaults=True):
    granted: ControlGranted | None = None
    denied: ControlDenied | None = None


class AppendReply(msgspec.Struct, frozen=True):
    """Reply to an append.

    :ivar offset: offset of the new entry.
    """

    offset: int


encode_json: Callable[[Any], bytes] = msgspec.json.Encoder().encode
_request_decoder = msgspec.json.Decoder(_WireRequest)
_reply_decoder = msgspec.json.Decoder(_WireReply)
_msgpack_encoder = msgspec.msgpack.Encoder()
_log_read_decoder = msgspec.msgpack.Decoder(LogRead)
_vm_list_decoder = msgspec.json.Decoder(VmList)
_vm_decoder = msgspec.json.Decoder(Vm)
decode_append_reply = msgspec.json.Decoder(AppendReply).decode


def encode_control_request(request: ControlRequest) -> bytes:
    """Encode a control request.

    :returns: JSON encoding.
    """
    return encode_json(
        _WireRequest(
            request.holder,
            request.epoch,
            request.lease_ms,
            request.renew,
            request.task_lease_ms,
            tuple(_encode_command(command) for command in request.commands),
            request.stamp_ms,
            request.good_for_ms,
            request.known,
            request.renew_except,
        )
    )


def decode_control_request(body: bytes) -> ControlRequest:
    """Decode a control request.

    :param body: JSON encoding.
    :raises msgspec.DecodeError: if the body is not a valid control request.
    """
    message = _request_decoder.decode(body)
    return ControlRequest(
        message.holder,
        message.epoch,
        message.lease_ms,
        message.renew,
        message.task_lease_ms,
        tuple(_decode_command(tag, raw) for tag, raw in message.commands),
        message.stamp_ms,
        message.good_for_ms,
        message.known,
        message.renew_except,
    )


def encode_control_reply(reply: ControlGranted | ControlDenied) -> bytes:
    """Encode the server's reply to a control request.

    :returns: JSON encoding.
    """
    match reply:
        case ControlGranted():
            return encode_json(_WireReply(granted=reply))
        case ControlDenied():
            return encode_json(_WireReply(denied=reply))


def decode_control_reply(body: bytes) -> ControlGranted | ControlDenied:
    """Decode the server's reply to a control request.

    :param body: JSON encoding.
    :raises msgspec.DecodeError: if the body is not a valid reply.
    """
    message = _reply_decoder.decode(body)
    reply = message.granted or message.denied
    if reply is None:
        raise msgspec.DecodeError('reply is neither granted nor denied')
    return reply


def encode_log_read(entries: LogRead) -> bytes:
    """Encode entries of a stream.

    :returns: msgpack encoding, with payloads as bytes.
    """
    return _msgpack_encoder.encode(entries)


def decode_log_read(body: bytes) -> LogRead:
    """Decode entries of a stream.

    :param body: msgpack encoding.
    :raises msgspec.DecodeError: if the body is not a valid log read.
    """
    return _log_read_decoder.decode(body)


def decode_vm_list(body: bytes) -> VmList:
    """Decode the VM list.

    :param body: JSON encoding.
    :raises msgspec.DecodeError: if the body is not a valid VM list.
    """
    return _vm_list_decoder.decode(body)


def decode_vm(body: bytes) -> Vm:
    """Decode one VM, as sent in a heartbeat.

    :param body: JSON encoding.
    :raises msgspec.DecodeError: if the body is not a valid VM.
    """
    return _vm_decoder.decode(body)


def _encode_command(command: ServerCommand) -> tuple[str, msgspec.Raw]:
    return _TAG_BY_TYPE[type(command)], msgspec.Raw(encode_json(command))


def _decode_command(tag: str, raw: msgspec.Raw) -> ServerCommand:
    command_type = _TYPE_BY_TAG.get(tag)
    if command_type is None:
        known = ', '.join(sorted(_TYPE_BY_TAG))
        raise msgspec.ValidationError(
            f'unknown command {tag!r}; known: {known}'
        )
    return msgspec.json.decode(raw, type=command_type)
