"""Identity, settings and ports of an owner."""

import dataclasses
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from waxwingford.scheduling import (
    MAX_LEASE_MS,
    NO_FEATURES,
    BackendClient,
    Features,
)
from waxwingford.shard._advice_port import AdviceClient
from waxwingford.shard._clocks import boottime_ms
from waxwingford.shard._log_port import SharedLog
from waxwingford.shard._observer import Observer
from waxwingford.shard._registration_port import RegistrationSource

if TYPE_CHECKING:
    from waxwingford.scheduling import PlacementView
    from waxwingford.shard._load_report import LoadReport


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerSettings:
    """Identity and settings of an owner.

    :ivar endpoint: IP address and port at which it answers other daemons.
    :ivar relay_endpoint: IP address and port at which it accepts relays, empty if
        it accepts none.
    :ivar metrics_endpoint: IP address and port at which it explains placements, empty
        if it serves no metrics.
    :ivar lease_ms: length of the leases that it grants, in ms.
    :ivar max_lease_ms: longest lease that servers accept, in ms.
    :ivar cores: processor of its VM, in reference cores.
    :ivar max_job_bytes: memory for jobs that have not ended, in bytes; 0 for no bound.
    :ivar features: optional decisions of its engine.
    """

    daemon_id: str
    failure_domain: str
    endpoint: str
    lease_ms: int
    cores: float
    max_lease_ms: int = MAX_LEASE_MS
    relay_endpoint: str = ''
    metrics_endpoint: str = ''
    features: Features = NO_FEATURES
    max_job_bytes: int = 0


class OwnerView(NamedTuple):
    """What explanations of placements read of an owner.

    :ivar load_report: returns which jobs are refused.
    """

    placement: 'PlacementView'
    load_report: Callable[[], 'LoadReport']


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerPorts:
    """Ports through which an owner acts.

    :ivar directory: registrations of backend servers.
    :ivar since_boot_ms: clock in ms that includes time in suspension.
    """

    log: SharedLog
    backend_client: BackendClient
    directory: RegistrationSource
    advice_client: AdviceClient
    observer: Observer
    since_boot_ms: Callable[[], int] = boottime_ms
