"""Schema of a configuration bundle and checks across its fields."""

from collections.abc import Iterator
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, model_validator

from waxwingford.settings import Millis, Name

#: Maximum size of a canonical body, in bytes.
MAX_BUNDLE_BYTES = 524_288

_DIGEST_PATTERN = '^([0-9a-f]{64})?$'
#: Largest integer that JSON parsers with 64-bit floats read exactly.
_MAX_VERSION = 9_007_199_254_740_991
_MAX_AMOUNT = 1_000_000_000_000
_MAX_CONCURRENCY = 1_000_000
#: Two names of at most 64 characters and the slash.
_MAX_TEAM_NAME_LENGTH = 129
#: Rounding tolerance for sums of shares.
_SHARE_TOLERANCE = 1e-9

Share = Annotated[float, Field(ge=0, le=1)]
Amount = Annotated[int, Field(ge=0, le=_MAX_AMOUNT)]
Digest = Annotated[str, Field(pattern=_DIGEST_PATTERN)]
TeamName = Annotated[
    str,
    Field(
        pattern='^[a-z][a-z0-9_-]*/[a-z][a-z0-9_-]*$',
        max_length=_MAX_TEAM_NAME_LENGTH,
    ),
]


class _StrictModel(BaseModel):
    model_config = ConfigDict(
        extra='forbid', frozen=True, strict=True, allow_inf_nan=False
    )


class MemberEntitlement(_StrictModel):
    """Entitlement of a member.

    :ivar share: share of the backend servers' capacity, 0 to 1.
    """

    share: Share


class FailureDomain(_StrictModel):
    """A failure domain.

    :ivar daemons: ids of the daemons in it.
    """

    region: Name
    daemons: tuple[Name, ...]


class ResourceAmounts(_StrictModel):
    """A vector of resources.

    :ivar processors_milli: thousandths of a core.
    :ivar memory_mb: mebibytes.
    :ivar accelerators: number of devices.
    """

    processors_milli: Amount
    memory_mb: Amount
    accelerators: Amount = 0


class Service(_StrictModel):
    """A latency-critical service.

    :ivar member: organisation that owns the service.
    :ivar failure_domains: names of the failure domains where it runs; empty
        for all.
    :ivar target_p99_ms: target of the 99th percentile of latency, in
        milliseconds.
    :ivar tail_weight: weight of tail latency in placement, 0 to 1.
    :ivar eviction_weight: weight of evictions in placement, 0 to 1.
    :ivar reserved: resources reserved for it on each backend server.
    :ivar concurrency_by_member: maximum concurrent requests, by member.
    :ivar retry_budget_share: maximum retries as a share of requests, 0 to 1.
    """

    member: Name
    failure_domains: tuple[Name, ...] = ()
    target_p99_ms: Millis
    tail_weight: Share
    eviction_weight: Share
    reserved: ResourceAmounts
    concurrency_by_member: dict[
        Name, Annotated[int, Field(ge=0, le=_MAX_CONCURRENCY)]
    ]
    retry_budget_share: Share = 0.1


class TeamQuota(ResourceAmounts):
    """Resource quota of a team, named ``<member>/<team>``.

    :ivar may_borrow: whether it may use idle quota of other teams.
    """

    may_borrow: bool = True


class BatchKind(_StrictModel):
    """A kind of batch work.

    :ivar member: organisation that may submit jobs of this kind.
    """

    member: Name


class Batch(_StrictModel):
    """Parameters of batch scheduling.

    :ivar probation_ms: duration of a quarantine, in milliseconds.
    :ivar quarantine_share: maximum share of servers in quarantine, 0 to 1.
    :ivar cooldown_ms: minimum time between two evictions of one task, in
        milliseconds.
    :ivar failures_before_quarantine: consecutive failures after which a
        server is quarantined.
    :ivar attempts: maximum attempts of a task that fails on every server.
    """

    probation_ms: Millis = 60_000
    quarantine_share: Share = 0.2
    cooldown_ms: Millis = 30_000
    failures_before_quarantine: Annotated[int, Field(ge=1, le=1000)] = 4
    attempts: Annotated[int, Field(ge=1, le=1000)] = 6
    kinds: dict[Name, BatchKind] = {}


class FeatureSwitches(_StrictModel):
    """Feature switches for mechanisms that can be disabled individually.

    :ivar colocation_throttle: throttle batch tasks before evicting them.
    :ivar colocation_evict: evict batch tasks if throttling does not suffice.
    :ivar outlier_ejection: temporarily stop routing to slow backend servers.
    :ivar request_spill: forward requests to peers when there is no local capacity.
    :ivar quarantine: stop placing tasks on servers where every task fails.
    """

    colocation_throttle: bool = True
    colocation_evict: bool = True
    outlier_ejection: bool = True
    request_spill: bool = True
    quarantine: bool = True


class Bundle(_StrictModel):
    """Configuration that all members sign together.

    :ivar version: version number, one above that of the predecessor.
    :ivar predecessor: hex SHA-256 of the predecessor's canonical body; empty
        for version 1.
    :ivar largest_server: capacity of the largest backend server; upper bound
        of each service's reservation.
    :ivar teams: quotas by ``<member>/<team>``.
    :ivar policy: name of the colocation policy.
    :ivar routing: name of the routing policy.
    """

    version: Annotated[int, Field(ge=1, le=_MAX_VERSION)]
    predecessor: Digest
    members: Annotated[dict[Name, MemberEntitlement], Field(min_length=1)]
    failure_domains: Annotated[dict[Name, FailureDomain], Field(min_length=1)]
    largest_server: ResourceAmounts
    services: dict[Name, Service]
    teams: dict[TeamName, TeamQuota] = {}
    policy: Name = 'learned'
    routing: Name = 'two_choices'
    batch: Batch = Batch()
    switches: FeatureSwitches = FeatureSwitches()

    @model_validator(mode='after')
    def check_limits(self) -> 'Bundle':
        """Check constraints between fields.

        :raises ValueError: listing every violated constraint.
        """
        faults = list(limit_faults(self))
        if faults:
            raise ValueError('; '.join(faults))
        return self


def limit_faults(bundle: Bundle) -> Iterator[str]:
    """Find violated constraints between fields.

    :param bundle: bundle whose fields are valid individually.
    :returns: one message per fault, with the key and the expected value.
    """
    yield from _predecessor_faults(bundle)
    yield from _member_faults(bundle)
    yield from _domain_faults(bundle)
    yield from _reservation_faults(bundle)


def _predecessor_faults(bundle: Bundle) -> Iterator[str]:
    if (bundle.version == 1) == bool(bundle.predecessor):
        yield (
            'predecessor: expected a digest from version 2 on, '
            'and none in version 1'
        )


def _member_faults(bundle: Bundle) -> Iterator[str]:
    total = sum(terms.share for terms in bundle.members.values())
    if total > 1 + _SHARE_TOLERANCE:
        yield f'members: shares add up to {total:.3f}, expected at most 1'
    references = [
        *(
            (f'services.{name}.member', service.member)
            for name, service in bundle.services.items()
        ),
        *(
            (f'services.{name}.concurrency_by_member', member)
            for name, service in bundle.services.items()
            for member in service.concurrency_by_member
        ),
        *((f'teams.{name}', name.split('/')[0]) for name in bundle.teams),
        *(
            (f'batch.kinds.{name}.member', kind.member)
            for name, kind in bundle.batch.kinds.items()
        ),
    ]
    known = ', '.join(sorted(bundle.members))
    yield from (
        f'{key}: unknown member {member!r}, expected one of {known}'
        for key, member in references
        if member not in bundle.members
    )


def _domain_faults(bundle: Bundle) -> Iterator[str]:
    known = ', '.join(sorted(bundle.failure_domains))
    yield from (
        f'services.{name}.failure_domains: unknown {domain!r}, '
        f'expected one of {known}'
        for name, service in bundle.services.items()
        for domain in service.failure_domains
        if domain not in bundle.failure_domains
    )
    seen: set[str] = set()
    for name, domain in bundle.failure_domains.items():
        duplicates = sorted(seen.intersection(domain.daemons))
        if duplicates:
            yield (
                f'failure_domains.{name}.daemons: {duplicates} are also in '
                'another failure domain'
            )
        seen.update(domain.daemons)


def _reservation_faults(bundle: Bundle) -> Iterator[str]:
    largest = bundle.largest_server.model_dump()
    yield from (
        f'services.{name}.reserved.{dimension}: {amount}, '
        f'expected at most {largest[dimension]} (largest_server)'
        for name, service in bundle.services.items()
        for dimension, amount in service.reserved
        if amount > largest[dimension]
    )
