"""Model of the settings file of an entry daemon.

Configuration that operators change at run time belongs to the bundle instead.
"""

import base64
import binascii
from typing import Annotated
from urllib.parse import urlsplit

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

from waxwingford.settings._addresses import validate_ip_address

_KEY_BYTES = 32


def _validate_service_url(url: str) -> str:
    parts = urlsplit(url)
    if parts.scheme not in {'http', 'https'} or not parts.hostname:
        raise ValueError('http://ADDRESS:PORT or https://ADDRESS:PORT')
    validate_ip_address(parts.hostname)
    return url


def _validate_public_key(text: str) -> str:
    try:
        raw = base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError):
        raise ValueError('a base64-encoded Ed25519 public key') from None
    if len(raw) != _KEY_BYTES:
        raise ValueError(f'base64 of {_KEY_BYTES} bytes, got {len(raw)}')
    return text


Port = Annotated[int, Field(ge=0, le=65535)]
IpAddress = Annotated[str, AfterValidator(validate_ip_address)]
ServiceUrl = Annotated[str, AfterValidator(_validate_service_url)]
PublicKey = Annotated[str, AfterValidator(_validate_public_key)]
Name = Annotated[str, Field(pattern='^[a-z][a-z0-9_-]*$', max_length=64)]
Millis = Annotated[int, Field(ge=1, le=86_400_000)]


class StrictModel(BaseModel):
    """Table of a settings file; unknown keys are errors."""

    model_config = ConfigDict(extra='forbid', frozen=True)


class PeerAddress(StrictModel):
    """Address of a daemon; may include this one."""

    daemon_id: Name
    failure_domain: Name
    host: IpAddress
    rpc_port: Port
    http_port: Port


class Identity(StrictModel):
    """Identity of the daemon."""

    daemon_id: Name
    failure_domain: Name
    region: Name


class Listen(StrictModel):
    """Addresses that the daemon listens on."""

    host: IpAddress = '127.0.0.1'
    http_port: Port
    rpc_port: Port


class Platform(StrictModel):
    """Addresses of the platform's services."""

    log_url: ServiceUrl
    directory_url: ServiceUrl
    log_timeout_ms: Millis = 2000


class Trust(StrictModel):
    """Ed25519 public keys in base64, by member name."""

    public_key_by_member: Annotated[dict[Name, PublicKey], Field(min_length=1)]


class Leases(StrictModel):
    """Lengths of leases, all in milliseconds.

    :ivar control_ms: shortest control lease requested.
    :ivar renew_every_ms: shortest interval of exchanges with a held server.
    :ivar task_ms: shortest task lease requested.
    :ivar margin_ms: margin for clock drift, and longest time that a control
        request may take to arrive after its sender has given it up.
    :ivar exchange_every_ms: shortest mean interval between exchanges with any
        held servers.
    :ivar longest_renew_ms: longest interval of exchanges with a held server.
    """

    control_ms: Millis = 6000
    renew_every_ms: Millis = 2000
    task_ms: Millis = 20_000
    margin_ms: Millis = 500
    exchange_every_ms: Millis = 100
    longest_renew_ms: Millis = 10_000


class Limits(StrictModel):
    """Limits on the resources that callers and the log can use.

    :ivar body_bytes: largest request body.
    :ivar header_bytes: largest header line or request line.
    :ivar connections: largest number of open connections, and of requests in
        progress.
    :ivar outbox_records: largest number of records waiting to be appended to
        the log.
    :ivar time_line_events: number of events that the timeline retains.
    :ivar drain_ms: time limit of each step of a drain.
    :ivar default_deadline_ms: deadline of a request that names none.
    :ivar key_memory_ms: how long an idempotency key is kept after its request
        has ended.
    :ivar delivery_ms: longest time that a request may spend in transit between
        caller and daemon; 0 if no intermediary can delay it.
    :ivar memory_mb: memory of the process; 0 for that of the machine.
    :ivar max_fds: descriptors of the process; 0 for the limit of the process.
    """

    body_bytes: Annotated[int, Field(ge=1024, le=64 << 20)] = 1 << 20
    header_bytes: Annotated[int, Field(ge=1024, le=65_536)] = 16_384
    connections: Annotated[int, Field(ge=8, le=65_536)] = 1024
    outbox_records: Annotated[int, Field(ge=16)] = 20_000
    time_line_events: Annotated[int, Field(ge=64, le=1 << 20)] = 8192
    drain_ms: Millis = 20_000
    default_deadline_ms: Millis = 10_000
    key_memory_ms: Millis = 120_000
    delivery_ms: Annotated[int, Field(ge=0, le=60_000)] = 5000
    memory_mb: Annotated[int, Field(ge=0, le=1 << 24)] = 0
    max_fds: Annotated[int, Field(ge=0, le=1 << 20)] = 0


class Tls(StrictModel):
    """Files of the daemon's certificate, relative to the settings file."""

    certificate_file: str
    key_file: str
    authority_file: str


class Logging(StrictModel):
    """Format of log lines."""

    form: Annotated[str, Field(pattern='^(json|text)$')] = 'json'
    level: Annotated[str, Field(pattern='^(debug|info|warning|error)$')] = (
        'info'
    )


class Settings(StrictModel):
    """Settings file of an entry daemon."""

    identity: Identity
    listen: Listen
    platform: Platform
    trust: Trust
    peers: tuple[PeerAddress, ...] = ()
    leases: Leases = Leases()
    limits: Limits = Limits()
    logging: Logging = Logging()
    tls: Tls | None = None
