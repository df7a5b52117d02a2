"""Formats of configurations, registrations and submissions."""

import ipaddress
import re
from collections.abc import Iterable
from typing import Annotated, Literal

import msgspec

from waxwingford.platform._decoding import MAX_EXACT_NUMBER, decode_json
from waxwingford.ports import Resources
from waxwingford.scheduling import (
    MAX_STEPS,
    QueueTerms,
    ServerEntry,
    SpecFault,
    StepSpec,
    Terms,
)

_MAX_PORT = 65_535
#: Largest body if the configuration names no limit, in bytes.
DEFAULT_BODY_BYTES = 262_144
#: Times that a submission is in memory as text beside its body: as objects, as a row
#: and in the call to the owner or the store.
_ENCODED_COPIES = 3
#: Memory of a decoded step, and of a number in a list, in bytes.
_STEP_BYTES = 1200
_NUMBER_BYTES = 16
#: Longest registration that is decoded, in bytes; they have some hundred.
MAX_REGISTRATION_BYTES = 16_384
_EVACUATION_PREFIX = 'evacuate/'
_MAX_AMOUNT = 1_000_000_000
_Amount = Annotated[int, msgspec.Meta(ge=0, le=_MAX_AMOUNT)]
_UnixMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_EXACT_NUMBER)]
# IPv4 address and port; the address itself is checked after decoding.
_Endpoint = Annotated[str, msgspec.Meta(pattern=r'^[0-9.]{7,15}:[0-9]{1,5}$')]
# The first label of this form is the name of the worker's rack.
_RACK = re.compile(r'r\d+(-\d+)*')

_NO_DURATION = msgspec.Raw(b'0')


# Numbers of the operator.
_Whole = Annotated[int, msgspec.Meta(ge=-MAX_EXACT_NUMBER, le=MAX_EXACT_NUMBER)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_EXACT_NUMBER)]
_Factor = Annotated[float, msgspec.Meta(ge=0, le=MAX_EXACT_NUMBER)]


class _Advice(msgspec.Struct):
    """Present on routes whose steps need tickets of the advice service."""


class _Route(msgspec.Struct, rename='kebab'):
    name: str
    host: str
    path_prefix: str
    service: str = ''
    priority: _Whole = 0
    max_attempts: _Count = 1
    timeout_ms: _Count = 0
    stretch: _Factor = 1
    target_latency_ms: _Count = 0
    advice: _Advice | None = None


class _Limits(msgspec.Struct, rename='kebab', frozen=True):
    max_body_bytes: _Count = DEFAULT_BODY_BYTES


class _Config(msgspec.Struct):
    version: _Count
    routes: list[_Route]
    limits: _Limits = _Limits()


class _Capacity(msgspec.Struct, rename='kebab', frozen=True):
    # Millicores.
    cpu: _Amount = 0
    mem_mb: _Amount = 0
    gpu: _Amount = 0


class _Registration(
    msgspec.Struct,
    rename={'remaining_ms': 'remaining-ms', 'warm_up_ms': 'warmup-left-ms'},
):
    service: Annotated[str, msgspec.Meta(min_length=1)]
    address: _Endpoint
    zone: str
    state: Literal['ready', 'draining']
    capacity: _Capacity
    labels: list[str] = []
    # Unix time in ms at which the worker started.
    born: _UnixMs = 0
    # Durations as of the record. Each is decoded by itself: a registration whose
    # durations can't be used still names a server.
    remaining_ms: msgspec.Raw = _NO_DURATION
    warm_up_ms: msgspec.Raw = _NO_DURATION


class QueuePath(msgspec.Struct, frozen=True):
    """HTTP host and path prefix of a queue.

    :ivar host: host name in the ``Host`` header.
    :ivar prefix: path prefix, followed by the job id.
    :ivar timeout_ms: maximum time for one request, 0 for no limit.
    """

    host: str
    prefix: str
    queue: str
    timeout_ms: int


class Configuration(msgspec.Struct, frozen=True):
    """A decoded configuration.

    :ivar terms: version, and settings of each queue.
    :ivar paths: paths of the queues, longest prefix first.
    :ivar body_bytes: maximum size of a request body, in bytes.
    """

    terms: Terms
    paths: tuple[QueuePath, ...]
    body_bytes: int


class _Step(msgspec.Struct, rename='kebab'):
    count: int = 0
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    estimate_ms: int = 0
    depends_on: tuple[int, ...] = ()
    saves_progress: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ''
    preferred_rack: str = ''
    anti_affinity: int = 0
    allow_concurrent: bool = False
    # Tasks run until the job is cancelled.
    perpetual: bool = False
    image: str = ''
    target_ms: int = 0
    fills: bool = False
    max_unavailable: int = 0


class Submission(msgspec.Struct, rename='kebab'):
    """Body of a submission.

    :ivar spec: opaque text that is passed to the tasks unchanged.
    :ivar start_at_ms: earliest start, in ms of Unix time.
    :ivar interval_ms: time between repetitions, in ms.
    :ivar repeat_count: number of repetitions, 0 for none.
    """

    spec: str
    steps: list[_Step]
    start_at_ms: int = 0
    interval_ms: int = 0
    repeat_count: int = 0

    def step_specs(self) -> tuple[StepSpec, ...]:
        """Convert the steps to the scheduler's types."""
        return tuple(map(_step_spec, self.steps))


class _SubmissionShape(msgspec.Struct):
    steps: Annotated[list[msgspec.Raw], msgspec.Meta(max_length=MAX_STEPS)]


_NAME_BY_FIELD = {
    'first_due_ms': 'start-at-ms',
    'every_ms': 'interval-ms',
    'times': 'repeat-count',
    'processors_milli': 'cpu',
    'memory_mb': 'mem-mb',
    'accelerators': 'gpu',
    'estimate_ms': 'estimate-ms',
    'after': 'depends-on',
    'max_per_server': 'anti-affinity',
    'target_ms': 'target-ms',
    'max_unavailable': 'max-unavailable',
}
_config_decoder = msgspec.json.Decoder(_Config)
_registration_decoder = msgspec.json.Decoder(_Registration)
_duration_decoder = msgspec.json.Decoder(int | float)
_shape_decoder = msgspec.json.Decoder(_SubmissionShape)
_submission_decoder = msgspec.json.Decoder(Submission)


def decode_configuration(raw: bytes) -> Configuration:
    """Decode a configuration.

    :param raw: JSON as stored by the operator.
    :raises msgspec.MsgspecError: if it is no valid configuration.
    """
    config = decode_json(_config_decoder, raw)
    queue_by_name = {
        route.name: QueueTerms(
            route.name,
            route.service,
            route.priority,
            route.max_attempts,
            route.advice is not None,
            route.stretch,
            route.target_latency_ms,
        )
        for route in config.routes
    }
    paths = sorted(
        (
            QueuePath(
                route.host, route.path_prefix, route.name, route.timeout_ms
            )
            for route in config.routes
        ),
        key=lambda path: -len(path.prefix),
    )
    return Configuration(
        Terms(config.version, queue_by_name),
        tuple(paths),
        config.limits.max_body_bytes,
    )


def evacuated_domains(keys: Iterable[str]) -> frozenset[str]:
    """Find the failure domains under evacuation.

    :param keys: keys of the operator's records; the value of such a record says
        nothing.
    """
    return frozenset(
        key.removeprefix(_EVACUATION_PREFIX)
        for key in keys
        if key.startswith(_EVACUATION_PREFIX)
    )


def decode_registration(server_id: str, raw: bytes) -> ServerEntry:
    """Decode a worker's registration.

    :param server_id: id of the worker, the key of the record.
    :param raw: JSON as stored by the worker.
    :raises ValueError: if it is no valid registration or too long, its address is
        no IPv4 address and port, or its id can't be sent in a header.
    """
    _check_id(server_id)
    if len(raw) > MAX_REGISTRATION_BYTES:
        raise ValueError(
            f'{len(raw)} bytes, expected at most {MAX_REGISTRATION_BYTES}'
        )
    registration = decode_json(_registration_decoder, raw)
    _check_endpoint(registration.address)
    return ServerEntry(
        server_id,
        registration.address,
        registration.service,
        registration.zone,
        frozenset(registration.labels),
        Resources(
            registration.capacity.cpu,
            registration.capacity.mem_mb,
            registration.capacity.gpu,
        ),
        registration.state == 'draining',
        next(filter(_RACK.fullmatch, registration.labels), ''),
        registration.born,
        _duration_ms(registration.remaining_ms),
        _duration_ms(registration.warm_up_ms),
    )


def estimate_decoded_bytes(raw: bytes) -> int:
    """Estimate the memory of a submission while it is decoded and stored.

    :param raw: body of the request, JSON.
    :returns: size in bytes, without that of the body.
    """
    steps = min(raw.count(b'{'), MAX_STEPS + 1)
    return (
        len(raw) * _ENCODED_COPIES
        + steps * _STEP_BYTES
        + raw.count(b',') * _NUMBER_BYTES
    )


def decode_submission(raw: bytes) -> Submission:
    """Decode a submission.

    :param raw: body of the request, JSON.
    :raises msgspec.MsgspecError: if it is no valid submission.
    """
    if raw.count(b'{') > MAX_STEPS:
        # Steps that are too many aren't decoded, as each takes far more memory then.
        decode_json(_shape_decoder, raw)
    return decode_json(_submission_decoder, raw)


def describe_fault(fault: SpecFault) -> str:
    """Describe a fault of a submission by the names that clients use."""
    named = _NAME_BY_FIELD.get(fault.field, fault.field)
    return str(fault._replace(field=named))


def _duration_ms(raw: msgspec.Raw) -> int:
    """Read a duration that a registration may name.

    :returns: duration in ms, 0 if it is no number that can be one.
    """
    try:
        listed = _duration_decoder.decode(raw)
    except msgspec.MsgspecError:
        return 0
    return int(listed) if 0 <= listed <= _MAX_AMOUNT else 0


def _check_id(server_id: str) -> None:
    """Check that an id is the same after it was sent in a header.

    Spaces around it would be dropped there, and an empty one may count as none.
    The server would then take the calls for another id as meant for it.

    :raises ValueError: if it isn't.
    """
    sendable = server_id.isascii() and server_id.isprintable()
    if not sendable or not server_id or server_id != server_id.strip():
        raise ValueError(
            f'id {server_id!r}: expected printable ASCII without spaces around it'
        )


def _check_endpoint(address: str) -> None:
    """Check that an address can be connected to.

    :raises ValueError: if it is no IPv4 address, or its port is out of range.
    """
    host, _, port = address.rpartition(':')
    ipaddress.IPv4Address(host)
    if not 0 < int(port) <= _MAX_PORT:
        raise ValueError(f'{address}: expected a port from 1 to {_MAX_PORT}')


def _step_spec(step: _Step) -> StepSpec:
    return StepSpec(
        step.count,
        Resources(step.cpu, step.mem_mb, step.gpu),
        step.estimate_ms,
        step.depends_on,
        step.saves_progress,
        step.gang,
        step.same_rack,
        step.required_label,
        step.preferred_rack,
        step.anti_affinity,
        step.allow_concurrent,
        step.perpetual,
        step.image,
        step.target_ms,
        step.fills,
        step.max_unavailable,
    )
