"""Sizes of failure domains to measure, and their deployments."""

from typing import NamedTuple

from waxwingford_standins.deployment import (
    Deployment,
    DomainPlan,
    JobPlan,
    NetworkPlan,
    ServerPlan,
    ServicePlan,
)

_DOMAIN = 'gulberg'
_LONG_RUN_MS = 3_600_000
_SERVERS_PER_RACK = 24


class Size(NamedTuple):
    """Size of a failure domain.

    :ivar daemons: number of daemons.
    :ivar servers: number of backend servers.
    :ivar tasks: number of batch tasks on each server.
    """

    daemons: int
    servers: int
    tasks: int


#: Sizes by role; a single field varies within a role.
SIZES_BY_ROLE: dict[str, tuple[Size, ...]] = {
    'heartbeats, by daemons': (
        Size(2, 1, 0),
        Size(4, 1, 0),
        Size(8, 1, 0),
    ),
    'holder, by servers without tasks': (
        Size(1, 8, 0),
        Size(1, 24, 0),
        Size(1, 72, 0),
    ),
    'holder, by servers with 4 tasks each': (
        Size(1, 8, 4),
        Size(1, 24, 4),
        Size(1, 72, 4),
    ),
    'holder of 24 servers, by tasks on each': (
        Size(1, 24, 2),
        Size(1, 24, 8),
        Size(1, 24, 16),
    ),
}


def make_deployment(size: Size) -> Deployment:
    """Create a deployment of one failure domain without callers.

    :param size: size of the failure domain.
    :returns: the deployment.

    """
    racks = tuple(
        min(_SERVERS_PER_RACK, size.servers - start)
        for start in range(0, size.servers, _SERVERS_PER_RACK)
    )
    jobs = (
        JobPlan(
            name='steady',
            member='qadri',
            team='deposits',
            kind='checkout_comparison',
            tasks=size.tasks * size.servers,
            processors_milli=100,
            memory_mb=100,
            run_ms=_LONG_RUN_MS,
        ),
    )
    return Deployment(
        name='capacity',
        region='lahore',
        seed=1,
        failure_domains=(
            DomainPlan(
                name=_DOMAIN,
                daemons=tuple(f'cap-{index}' for index in range(size.daemons)),
                racks=racks,
            ),
        ),
        servers=ServerPlan(
            processors_milli=32_000,
            memory_mb=128_000,
            slots=8,
            connections=64,
        ),
        service=ServicePlan(
            name='report_desk',
            median_ms=60,
            sigma=0.4,
            slowdown_by_kind={'checkout_comparison': 0},
        ),
        network=NetworkPlan(between_domains_ms=1, client_ms=1),
        callers=(),
        jobs=jobs if size.tasks else (),
    )
