"""Interface to the VM list of the platform, which may be out of date."""

import dataclasses
import enum
from typing import NamedTuple, Protocol


class VmState(enum.StrEnum):
    """State of a VM as published in the list."""

    live = 'live'
    leaving = 'leaving'


class Resources(NamedTuple):
    """Resource vector.

    :ivar processors_milli: CPU, in millicores.
    :ivar memory_mb: memory, in mebibytes.
    :ivar accelerators: number of accelerator devices.
    """

    processors_milli: int
    memory_mb: int
    accelerators: int = 0


class Vm(NamedTuple):
    """Entry of the VM list: a VM that runs a backend server.

    :ivar host: IP address.
    :ivar port: TCP port of the control and service interface.
    :ivar state: live, or leaving if it is about to be removed.
    :ivar slots: maximum number of concurrent service requests.
    :ivar connections: maximum number of TCP connections.
    :ivar service: name of the latency-critical service that runs on the VM.
    """

    server_id: str
    failure_domain: str
    rack: str
    host: str
    port: int
    state: VmState
    resources: Resources
    slots: int
    connections: int
    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class VmList:
    """VM list as last published.

    :ivar vms: all VMs, in no particular order.
    """

    vms: tuple[Vm, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class VmListUnavailable:
    """The VM list could not be read.

    :ivar reason: human-readable cause.
    """

    reason: str


class DirectoryPort(Protocol):
    """Reads the VM list."""

    async def read(self) -> VmList | VmListUnavailable:
        """Read the VM list."""
        ...
