"""What operators and workers write to the store: configuration, registrations."""

import re
from typing import Annotated, Literal

import msgspec

from waxwingford.ports import Resources
from waxwingford.scheduling import QueueTerms, ServerEntry, StepSpec, Terms

_MOST_PORT = 65_535
_MOST_AMOUNT = 1_000_000_000
_Amount = Annotated[int, msgspec.Meta(ge=0, le=_MOST_AMOUNT)]
# IP number and port.
_Endpoint = Annotated[str, msgspec.Meta(pattern=r'^[0-9.]+:[0-9]{1,5}$')]
# Among a worker's labels the one of this form names its rack.
_RACK = re.compile(r'r\d+(-\d+)*')


class _Advice(msgspec.Struct):
    """Only whether there is one counts: tickets say how long they are valid."""


class _Route(msgspec.Struct, rename='kebab'):
    name: str
    host: str
    path_prefix: str
    service: str = ''
    priority: int = 0
    max_attempts: int = 1
    timeout_ms: int = 0
    stretch: float = 1
    target_latency_ms: int = 0
    advice: _Advice | None = None


class _Limits(msgspec.Struct, rename='kebab', frozen=True):
    max_body_bytes: int = 262_144


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    limits: _Limits = _Limits()


class _Capacity(msgspec.Struct, rename='kebab', frozen=True):
    # Thousandths of a core.
    cpu: _Amount = 0
    mem_mb: _Amount = 0
    gpu: _Amount = 0


class _Beat(msgspec.Struct):
    service: Annotated[str, msgspec.Meta(min_length=1)]
    address: _Endpoint
    zone: str
    state: Literal['ready', 'draining']
    capacity: _Capacity
    labels: list[str] = []


class EntryPath(msgspec.Struct, frozen=True):
    """Where callers reach a queue.

    :ivar host: name in the request.
    :ivar prefix: beginning of the path.
    :ivar queue: name of the queue.
    :ivar timeout_ms: longest time for one request, 0 for none.
    """

    host: str
    prefix: str
    queue: str
    timeout_ms: int


class Configuration(msgspec.Struct, frozen=True):
    """A configuration, decoded.

    :ivar terms: queues.
    :ivar paths: where callers reach them, longest prefix first.
    :ivar body_bytes: longest body of a request.
    """

    terms: Terms
    paths: tuple[EntryPath, ...]
    body_bytes: int


class _Task(msgspec.Struct, rename='kebab'):
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
    # The tasks run until the job is cancelled.
    perpetual: bool = False
    image: str = ''
    target_ms: int = 0
    fills: bool = False
    max_unavailable: int = 0


class Submission(msgspec.Struct, rename='kebab'):
    """Body of a submission.

    :ivar spec: passed to the tasks unchanged.
    :ivar steps: what to run.
    :ivar start_at_ms: when it is first due, Unix time.
    :ivar interval_ms: time between repetitions.
    :ivar repeat_count: repetitions, 0 for none.
    """

    spec: str
    steps: list[_Task]
    start_at_ms: int = 0
    interval_ms: int = 0
    repeat_count: int = 0

    def step_specs(self) -> tuple[StepSpec, ...]:
        """Translate the steps.

        :returns: steps in the product's terms.
        """
        return tuple(map(_step_spec, self.steps))


_config_decoder = msgspec.json.Decoder(_Config)
_beat_decoder = msgspec.json.Decoder(_Beat)
_submission_decoder = msgspec.json.Decoder(Submission)


def decode_configuration(raw: bytes) -> Configuration:
    """Read the operator's configuration.

    :param raw: as it lies in the store.
    :returns: the configuration.
    :raises msgspec.MsgspecError: if it can't be read.
    """
    config = _config_decoder.decode(raw)
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
            EntryPath(
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


def decode_registration(server_id: str, raw: bytes) -> ServerEntry:
    """Read a worker's report about itself.

    :param server_id: its key.
    :param raw: as it lies in the store.
    :returns: the registration.
    :raises ValueError: if it can't be read, or names no server as it stands.
    """
    beat = _beat_decoder.decode(raw)
    if not 0 < int(beat.address.rpartition(':')[2]) <= _MOST_PORT:
        raise ValueError(
            f'{beat.address}: expected a port of 1 to {_MOST_PORT}'
        )
    return ServerEntry(
        server_id,
        beat.address,
        beat.service,
        beat.zone,
        frozenset(beat.labels),
        Resources(beat.capacity.cpu, beat.capacity.mem_mb, beat.capacity.gpu),
        beat.state == 'draining',
        next(filter(_RACK.fullmatch, beat.labels), ''),
    )


def decode_submission(raw: bytes) -> Submission:
    """Read a submission.

    :param raw: body of the request.
    :returns: the submission.
    :raises msgspec.MsgspecError: if it can't be read.
    """
    return _submission_decoder.decode(raw)


def _step_spec(task: _Task) -> StepSpec:
    return StepSpec(
        task.count,
        Resources(task.cpu, task.mem_mb, task.gpu),
        task.estimate_ms,
        task.depends_on,
        task.saves_progress,
        task.gang,
        task.same_rack,
        task.required_label,
        task.preferred_rack,
        task.anti_affinity,
        task.allow_concurrent,
        task.perpetual,
        task.image,
        task.target_ms,
        task.fills,
        task.max_unavailable,
    )
