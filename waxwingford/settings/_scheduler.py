"""Model of the settings file of a scheduler daemon."""

import os
from typing import Annotated

import msgspec

from waxwingford.settings._addresses import (
    validate_endpoint,
    validate_ip_address,
)
from waxwingford.settings._documents import read_document
from waxwingford.settings._problem import SettingsInvalid
from waxwingford.settings._tables import read_tables

#: Table that occurs only in the settings of a scheduler daemon.
_SCHEDULER_TABLE = 'store'
_MAX_PORT = 65_535
_MAX_NAME_LENGTH = 128
_MS_PER_DAY = 86_400_000
_MAX_MEMORY_MB = 16_777_216
_MAX_DESCRIPTORS = 1_048_576

Endpoint = Annotated[str, msgspec.Meta(extra={'validate': validate_endpoint})]
IpAddress = Annotated[
    str, msgspec.Meta(extra={'validate': validate_ip_address})
]
PlainName = Annotated[
    str, msgspec.Meta(min_length=1, max_length=_MAX_NAME_LENGTH)
]
Port = Annotated[int, msgspec.Meta(ge=0, le=_MAX_PORT)]
Millis = Annotated[int, msgspec.Meta(ge=1, le=_MS_PER_DAY)]
PositiveNumber = Annotated[float, msgspec.Meta(gt=0)]
Share = Annotated[float, msgspec.Meta(gt=0, le=1)]
Megabytes = Annotated[int, msgspec.Meta(ge=0, le=_MAX_MEMORY_MB)]
Descriptors = Annotated[int, msgspec.Meta(ge=0, le=_MAX_DESCRIPTORS)]


class SchedulerIdentity(msgspec.Struct, frozen=True):
    """Identity of the daemon."""

    daemon_id: PlainName
    failure_domain: PlainName
    region: PlainName


class SchedulerListen(msgspec.Struct, frozen=True):
    """Addresses that the daemon listens on.

    :ivar host: IP address for the ports of peers and metrics.
    :ivar callers: address and port for callers.
    :ivar readiness: address and port of the readiness check.
    :ivar peers_port: port for queries of other daemons.
    :ivar relays_port: port for daemons that carry out calls for the owner, None to
        accept none.
    :ivar metrics_port: port for metrics, None to serve none there.
    """

    host: IpAddress
    callers: Endpoint
    readiness: Endpoint
    peers_port: Port
    relays_port: Port | None = None
    metrics_port: Port | None = None


class SchedulerStore(msgspec.Struct, frozen=True):
    """Shared log that stores the scheduler's state, and its adapter.

    :ivar adapter: name of the plug-in module that connects to the platform.
    :ivar address: address and port of the shared log.
    :ivar advice_address: address and port of the advice service, None if
        there is none.
    """

    adapter: PlainName
    address: Endpoint
    advice_address: Endpoint | None = None


class SchedulerBounds(msgspec.Struct, frozen=True):
    """Guarantees of the platform that the scheduler relies on.

    :ivar longest_lease_ms: longest lease that the platform permits, in
        milliseconds.
    :ivar stop_grace_s: time between the stop signal and the kill, in seconds.
    :ivar notice_ms: time for which a task may be away before its absence counts as an
        interruption, in milliseconds.
    """

    longest_lease_ms: Millis
    stop_grace_s: PositiveNumber
    notice_ms: Millis = 4500


class SchedulerVm(msgspec.Struct, frozen=True):
    """Resources of the VM that the daemon may use.

    :ivar core_share: share of one core.
    :ivar core_speed: speed of that core relative to a reference core.
    :ivar link_mbps: rate of the link in each direction, in Mbit/s; 0 if unknown.
    :ivar memory_mb: memory of the process, in MB; 0 for that of the machine.
    :ivar max_fds: descriptors of the process; 0 for the limit of the process.
    """

    core_share: Share = 1
    core_speed: PositiveNumber = 1
    link_mbps: Annotated[float, msgspec.Meta(ge=0)] = 0
    memory_mb: Megabytes = 0
    max_fds: Descriptors = 0

    @property
    def cores(self) -> float:
        """CPU capacity of the daemon.

        :returns: capacity in reference cores.
        """
        return self.core_share * self.core_speed


class SchedulerFeatures(msgspec.Struct, frozen=True):
    """Optional decisions of the daemon that owns the shard.

    :ivar admission: refuse jobs that the servers have no room for in time.
    :ivar preemption: stop runs of lower priority for tasks that wait.
    :ivar copies: start second runs of stragglers where their step permits it.
    :ivar look_ahead: place with regard to what waits and what will end soon.
    """

    admission: bool = False
    preemption: bool = False
    copies: bool = False
    look_ahead: bool = False


class SchedulerLogging(msgspec.Struct, frozen=True):
    """Format of log lines."""

    form: Annotated[str, msgspec.Meta(pattern='^(json|text)$')] = 'json'
    level: Annotated[
        str, msgspec.Meta(pattern='^(debug|info|warning|error)$')
    ] = 'info'


class SchedulerSettings(msgspec.Struct, frozen=True):
    """Settings file of a scheduler daemon."""

    identity: SchedulerIdentity
    listen: SchedulerListen
    store: SchedulerStore
    bounds: SchedulerBounds
    vm: SchedulerVm = SchedulerVm()
    scheduling: SchedulerFeatures = SchedulerFeatures()
    logging: SchedulerLogging = SchedulerLogging()


def load_scheduler_settings(
    path: str | os.PathLike[str],
) -> SchedulerSettings | SettingsInvalid:
    """Load the settings of a scheduler daemon.

    :param path: path of the TOML file.
    :returns: the settings, or all problems found in the file.
    """
    document = read_document(path)
    if isinstance(document, dict):
        loaded = read_tables(str(path), document, SchedulerSettings)
        if isinstance(loaded, SchedulerSettings):
            return loaded
        return SettingsInvalid(loaded)
    return SettingsInvalid(document)


def is_scheduler_settings(path: str | os.PathLike[str]) -> bool:
    """Check whether a file holds the settings of a scheduler daemon.

    :param path: path of the TOML file.
    :returns: whether the file has a table that only a scheduler daemon has;
        False if the file cannot be read or parsed.
    """
    return _SCHEDULER_TABLE in read_document(path)
