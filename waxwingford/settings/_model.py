"""Settings of a daemon: what it is, where it listens, whom it may ask.

Everything that operators change while the system runs is in the bundle, not
here.
"""

import base64
import binascii
import ipaddress
from typing import Annotated
from urllib.parse import urlsplit

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

_KEY_BYTES = 32


def ip_number(host: str) -> str:
    """Check that an address is a number, as daemons look no names up.

    :param host: text of the settings.
    :returns: the same text.
    :raises ValueError: if it is anything else.
    """
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise ValueError('an IP number, not a name') from None
    return host


def _service_url(url: str) -> str:
    parts = urlsplit(url)
    if parts.scheme not in {'http', 'https'} or not parts.hostname:
        raise ValueError('http://ADDRESS:PORT or https://ADDRESS:PORT')
    ip_number(parts.hostname)
    return url


def _public_key(text: str) -> str:
    try:
        raw = base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError):
        raise ValueError('base64 of an Ed25519 public key') from None
    if len(raw) != _KEY_BYTES:
        raise ValueError(f'base64 of {_KEY_BYTES} bytes, got {len(raw)}')
    return text


Port = Annotated[int, Field(ge=0, le=65535)]
IpNumber = Annotated[str, AfterValidator(ip_number)]
ServiceUrl = Annotated[str, AfterValidator(_service_url)]
PublicKey = Annotated[str, AfterValidator(_public_key)]
Name = Annotated[str, Field(pattern='^[a-z][a-z0-9_-]*$', max_length=64)]
Millis = Annotated[int, Field(ge=1, le=86_400_000)]


class Strict(BaseModel):
    """A table of a settings file: unknown keys are errors."""

    model_config = ConfigDict(extra='forbid', frozen=True)


class PeerAddress(Strict):
    """A daemon that this one may speak to (itself may be listed too)."""

    daemon_id: Name
    failure_domain: Name
    host: IpNumber
    rpc_port: Port
    http_port: Port


class Identity(Strict):
    """Who this daemon is."""

    daemon_id: Name
    failure_domain: Name
    region: Name


class Listen(Strict):
    """Where it listens, by IP number."""

    host: IpNumber = '127.0.0.1'
    http_port: Port
    rpc_port: Port


class Platform(Strict):
    """Addresses of the platform's services."""

    log_url: ServiceUrl
    directory_url: ServiceUrl
    log_timeout_ms: Millis = 2000


class Trust(Strict):
    """Public keys of the members, Ed25519, base64, by member name."""

    public_key_by_member: Annotated[dict[Name, PublicKey], Field(min_length=1)]


class Leases(Strict):
    """Lengths of leases, all in milliseconds."""

    control_ms: Millis = 6000
    renew_every_ms: Millis = 2000
    task_ms: Millis = 20_000
    margin_ms: Millis = 500
    exchange_every_ms: Millis = 100
    longest_renew_ms: Millis = 10_000


class Limits(Strict):
    """Bounds of what callers and the log can make this daemon hold."""

    body_bytes: Annotated[int, Field(ge=1024, le=64 << 20)] = 1 << 20
    header_bytes: Annotated[int, Field(ge=1024, le=65_536)] = 16_384
    connections: Annotated[int, Field(ge=8, le=65_536)] = 1024
    outbox_records: Annotated[int, Field(ge=16)] = 20_000
    time_line_events: Annotated[int, Field(ge=64, le=1 << 20)] = 8192
    drain_ms: Millis = 20_000
    default_deadline_ms: Millis = 10_000
    key_memory_ms: Millis = 120_000
    delivery_ms: Annotated[int, Field(ge=0, le=60_000)] = 5000


class Tls(Strict):
    """Files of this daemon's certificate; relative to the settings file."""

    certificate_file: str
    key_file: str
    authority_file: str


class Logging(Strict):
    """Form of the log lines."""

    form: Annotated[str, Field(pattern='^(json|text)$')] = 'json'
    level: Annotated[str, Field(pattern='^(debug|info|warning|error)$')] = (
        'info'
    )


class Settings(Strict):
    """One daemon's settings file."""

    identity: Identity
    listen: Listen
    platform: Platform
    trust: Trust
    peers: tuple[PeerAddress, ...] = ()
    leases: Leases = Leases()
    limits: Limits = Limits()
    logging: Logging = Logging()
    tls: Tls | None = None
