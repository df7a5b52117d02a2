"""Allocates the ports and addresses of a local run."""

import itertools
import random
import socket
from collections.abc import Iterator
from typing import NamedTuple

from waxwingford.ports import Vm, VmState
from waxwingford_standins.deployment import Deployment, DomainPlan
from waxwingford_standins.relay_main import Link

HOST = '127.0.0.1'
PLATFORM = 'platform'
#: Below the ephemeral port range, so that no outgoing connection takes an
#: allocated port before its process listens on it.
_FIRST_PORT = 12_000
_LAST_PORT = 31_000


class DaemonPlace(NamedTuple):
    """Address of a daemon.

    :ivar http_port: port for callers and operators.
    :ivar rpc_port: port for peers.
    :ivar scheme: URL scheme, ``https`` if the daemons have certificates.
    """

    daemon_id: str
    failure_domain: str
    http_port: int
    rpc_port: int
    scheme: str = 'http'

    @property
    def url(self) -> str:
        """Base URL for callers."""
        return f'{self.scheme}://{HOST}:{self.http_port}'


class Layout(NamedTuple):
    """Addresses of all processes of a run.

    :ivar platform_port: port of the platform's log and VM list.
    :ivar backend_admin_port: admin port of the backend server process.
    """

    platform_port: int
    backend_admin_port: int
    relay_admin_port: int
    vms: tuple[Vm, ...]
    daemons: tuple[DaemonPlace, ...]
    links: tuple[Link, ...]

    def port_from(self, domain: str, target_port: int) -> int:
        """Find the port at which a failure domain reaches a target port.

        :param domain: failure domain of the client.
        :param target_port: port of the server.
        :returns: port of the relay, or the target port if it is not relayed.
        """
        relayed = (
            link.listen_port
            for link in self.links
            if link.source == domain and link.target_port == target_port
        )
        return next(relayed, target_port)


def free_ports() -> Iterator[int]:
    """Find unused TCP ports of this machine.

    :yields: distinct ports that can be bound.
    """
    span = _LAST_PORT - _FIRST_PORT
    start = random.SystemRandom().randrange(span)
    for step in range(span):
        port = _FIRST_PORT + (start + step) % span
        if _can_bind(port):
            yield port


def allocate_layout(deployment: Deployment, scheme: str = 'http') -> Layout:
    """Allocate the ports of a run.

    :param scheme: URL scheme of the daemons.
    """
    ports = free_ports()
    platform_port, backend_port, relay_port = itertools.islice(ports, 3)
    vms = tuple(
        itertools.chain.from_iterable(
            _allocate_vms(deployment, domain, ports)
            for domain in deployment.failure_domains
        )
    )
    daemons = tuple(
        DaemonPlace(daemon_id, domain.name, next(ports), next(ports), scheme)
        for domain in deployment.failure_domains
        for daemon_id in domain.daemons
    )
    links = tuple(_allocate_links(deployment, daemons, platform_port, ports))
    return Layout(platform_port, backend_port, relay_port, vms, daemons, links)


def _allocate_vms(
    deployment: Deployment, domain: DomainPlan, ports: Iterator[int]
) -> Iterator[Vm]:
    servers = deployment.servers
    for rack, size in enumerate(domain.racks, 1):
        for number in range(1, size + 1):
            yield Vm(
                f'{domain.name}-r{rack}-s{number}',
                domain.name,
                f'{domain.name}-r{rack}',
                HOST,
                next(ports),
                VmState.live,
                servers.resources(),
                servers.slots,
                servers.connections,
                deployment.service.name,
            )


def _allocate_links(
    deployment: Deployment,
    daemons: tuple[DaemonPlace, ...],
    platform_port: int,
    ports: Iterator[int],
) -> Iterator[Link]:
    delay_ms = deployment.network.between_domains_ms
    for domain in deployment.failure_domains:
        yield Link(next(ports), platform_port, domain.name, PLATFORM, delay_ms)
        elsewhere = (
            daemon for daemon in daemons if daemon.failure_domain != domain.name
        )
        for daemon in elsewhere:
            for target_port in (daemon.rpc_port, daemon.http_port):
                yield Link(
                    next(ports),
                    target_port,
                    domain.name,
                    daemon.failure_domain,
                    delay_ms,
                )


def _can_bind(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True
