"""Model of the settings file of a scheduler daemon."""

from typing import Annotated

from pydantic import AfterValidator, Field

from waxwingford.settings._model import (
    IpAddress,
    Logging,
    Millis,
    Port,
    StrictModel,
    validate_ip_address,
)

_MAX_PORT = 65_535
_MAX_NAME_LENGTH = 128


def _validate_endpoint(text: str) -> str:
    host, separator, port = text.rpartition(':')
    if not separator or not port.isdecimal() or int(port) > _MAX_PORT:
        raise ValueError('ADDRESS:PORT')
    validate_ip_address(host)
    return text


Endpoint = Annotated[str, AfterValidator(_validate_endpoint)]
PlainName = Annotated[str, Field(min_length=1, max_length=_MAX_NAME_LENGTH)]


class SchedulerIdentity(StrictModel):
    """Identity of the daemon."""

    daemon_id: PlainName
    failure_domain: PlainName
    region: PlainName


class SchedulerListen(StrictModel):
    """Addresses that the daemon listens on.

    :ivar host: IP address for the ports of peers and metrics.
    :ivar callers: address and port for callers.
    :ivar readiness: address and port of the readiness check.
    :ivar peers_port: port for queries of other daemons.
    :ivar metrics_port: port for metrics, None to serve none there.
    """

    host: IpAddress
    callers: Endpoint
    readiness: Endpoint
    peers_port: Port
    metrics_port: Port | None = None


class SchedulerStore(StrictModel):
    """Shared log that stores the scheduler's state, and its adapter.

    :ivar adapter: name of the plug-in module that connects to the platform.
    :ivar address: address and port of the shared log.
    :ivar advice_address: address and port of the advice service, None if
        there is none.
    """

    adapter: PlainName
    address: Endpoint
    advice_address: Endpoint | None = None


class SchedulerBounds(StrictModel):
    """Guarantees of the platform that the scheduler relies on.

    :ivar longest_lease_ms: longest lease that the platform permits, in
        milliseconds.
    :ivar stop_grace_s: time between the stop signal and the kill, in seconds.
    """

    longest_lease_ms: Millis
    stop_grace_s: Annotated[float, Field(gt=0)]


class SchedulerVm(StrictModel):
    """CPU of the daemon's VM.

    :ivar core_share: share of one core.
    :ivar core_speed: speed of that core relative to a reference core.
    """

    core_share: Annotated[float, Field(gt=0, le=1)] = 1
    core_speed: Annotated[float, Field(gt=0)] = 1

    @property
    def cores(self) -> float:
        """CPU capacity of the daemon.

        :returns: capacity in reference cores.
        """
        return self.core_share * self.core_speed


class SchedulerSettings(StrictModel):
    """Settings file of a scheduler daemon."""

    identity: SchedulerIdentity
    listen: SchedulerListen
    store: SchedulerStore
    bounds: SchedulerBounds
    vm: SchedulerVm = SchedulerVm()
    logging: Logging = Logging()
