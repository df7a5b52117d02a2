"""Form of the messages on the wire: JSON and msgpack by msgspec.

Requests carry commands as ``[tag, fields]``, since plain dataclasses have no
tag of their own.  Shared by the adapters and by whoever answers them.
"""

from collections.abc import Callable
from typing import Any

import msgspec

from waxwingford.ports import (
    CheckpointTask,
    ControlDenied,
    ControlGranted,
    ControlRequest,
    ForgetTask,
    LogRead,
    ServerCommand,
    StartTask,
    StopTask,
    TaskKey,
    ThrottleTask,
    Vm,
    VmList,
)

REQUEST_ID_HEADER = 'Waxwingford-Request-Id'
DEADLINE_HEADER = 'Waxwingford-Deadline-Ms'
#: With value ``1``: the server promises that the request was not run.
NOT_RUN_HEADER = 'Waxwingford-Not-Run'
#: Like Retry-After, in milliseconds instead of seconds.
RETRY_AFTER_MS_HEADER = 'Waxwingford-Retry-After-Ms'

_TYPE_BY_TAG: dict[str, type[Any]] = {
    'start': StartTask,
    'checkpoint': CheckpointTask,
    'throttle': ThrottleTask,
    'stop': StopTask,
    'forget': ForgetTask,
}
_TAG_BY_TYPE = {kind: tag for tag, kind in _TYPE_BY_TAG.items()}


class _WireRequest(msgspec.Struct, frozen=True):
    holder: str
    epoch: int
    lease_ms: int
    renew: tuple[TaskKey, ...]
    task_lease_ms: int
    commands: tuple[tuple[str, msgspec.Raw], ...]
    stamp_ms: int = 0
    good_for_ms: int = 0
    known: int = 0
    renew_except: tuple[TaskKey, ...] | None = None


class _WireReply(msgspec.Struct, frozen=True, omit_defaults=True):
    granted: ControlGranted | None = None
    denied: ControlDenied | None = None


class AppendReply(msgspec.Struct, frozen=True):
    """Answer to an append.

    :ivar offset: offset of the new entry.
    """

    offset: int


encode_json: Callable[[Any], bytes] = msgspec.json.Encoder().encode
_request_decoder = msgspec.json.Decoder(_WireRequest)
_reply_decoder = msgspec.json.Decoder(_WireReply)
_pack = msgspec.msgpack.Encoder()
_log_read_decoder = msgspec.msgpack.Decoder(LogRead)
_vm_list_decoder = msgspec.json.Decoder(VmList)
_vm_decoder = msgspec.json.Decoder(Vm)
decode_append_reply = msgspec.json.Decoder(AppendReply).decode


def encode_control_request(request: ControlRequest) -> bytes:
    """Write a control request.

    :param request: the exchange.
    :returns: JSON.
    """
    return encode_json(
        _WireRequest(
            request.holder,
            request.epoch,
            request.lease_ms,
            request.renew,
            request.task_lease_ms,
            tuple(_tagged(command) for command in request.commands),
            request.stamp_ms,
            request.good_for_ms,
            request.known,
            request.renew_except,
        )
    )


def decode_control_request(body: bytes) -> ControlRequest:
    """Read a control request back.

    :param body: JSON.
    :returns: the exchange.
    :raises msgspec.DecodeError: if it is not one.
    """
    wire = _request_decoder.decode(body)
    return ControlRequest(
        wire.holder,
        wire.epoch,
        wire.lease_ms,
        wire.renew,
        wire.task_lease_ms,
        tuple(_untagged(tag, raw) for tag, raw in wire.commands),
        wire.stamp_ms,
        wire.good_for_ms,
        wire.known,
        wire.renew_except,
    )


def encode_control_reply(reply: ControlGranted | ControlDenied) -> bytes:
    """Write the server's reply.

    :param reply: granted or denied.
    :returns: JSON.
    """
    match reply:
        case ControlGranted():
            return encode_json(_WireReply(granted=reply))
        case ControlDenied():
            return encode_json(_WireReply(denied=reply))


def decode_control_reply(body: bytes) -> ControlGranted | ControlDenied:
    """Read the server's reply back.

    :param body: JSON.
    :returns: granted or denied.
    :raises msgspec.DecodeError: if it is neither.
    """
    wire = _reply_decoder.decode(body)
    reply = wire.granted or wire.denied
    if reply is None:
        raise msgspec.DecodeError('reply is neither granted nor denied')
    return reply


def encode_log_read(entries: LogRead) -> bytes:
    """Write entries of a stream.

    :param entries: what was read.
    :returns: msgpack, payloads as bytes.
    """
    return _pack.encode(entries)


def decode_log_read(body: bytes) -> LogRead:
    """Read entries of a stream back.

    :param body: msgpack.
    :returns: what was read.
    :raises msgspec.DecodeError: if it is not that.
    """
    return _log_read_decoder.decode(body)


def decode_vm_list(body: bytes) -> VmList:
    """Read the list of VMs.

    :param body: JSON.
    :returns: the list.
    :raises msgspec.DecodeError: if it is not one.
    """
    return _vm_list_decoder.decode(body)


def decode_vm(body: bytes) -> Vm:
    """Read one VM, as in a heartbeat.

    :param body: JSON.
    :returns: the VM.
    :raises msgspec.DecodeError: if it is not one.
    """
    return _vm_decoder.decode(body)


def _tagged(command: ServerCommand) -> tuple[str, msgspec.Raw]:
    return _TAG_BY_TYPE[type(command)], msgspec.Raw(encode_json(command))


def _untagged(tag: str, raw: msgspec.Raw) -> ServerCommand:
    kind = _TYPE_BY_TAG.get(tag)
    if kind is None:
        known = ', '.join(sorted(_TYPE_BY_TAG))
        raise msgspec.ValidationError(f'command {tag!r}; known: {known}')
    return msgspec.json.decode(raw, type=kind)
