"""Body of a configuration bundle, and the limits that it must respect."""

from collections.abc import Iterator
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, model_validator

from waxwingford.settings import Millis, Name

#: Canonical body and record are refused above this size, in bytes.
MAX_BUNDLE_BYTES = 524_288

_DIGEST_PATTERN = '^([0-9a-f]{64})?$'
#: Largest integer that every JSON library reads right.
_MAX_VERSION = 9_007_199_254_740_991
_MAX_AMOUNT = 1_000_000_000_000
_MAX_CONCURRENCY = 1_000_000
#: Two names and the slash.
_MAX_TEAM_NAME = 129
#: Sums of shares may miss 1 by rounding.
_SHARE_SLACK = 1e-9

Share = Annotated[float, Field(ge=0, le=1)]
Amount = Annotated[int, Field(ge=0, le=_MAX_AMOUNT)]
Digest = Annotated[str, Field(pattern=_DIGEST_PATTERN)]
TeamName = Annotated[
    str,
    Field(
        pattern='^[a-z][a-z0-9_-]*/[a-z][a-z0-9_-]*$', max_length=_MAX_TEAM_NAME
    ),
]


class _Strict(BaseModel):
    model_config = ConfigDict(
        extra='forbid', frozen=True, strict=True, allow_inf_nan=False
    )


class MemberTerms(_Strict):
    """What a member is entitled to.

    :ivar share: share of the backend servers' capacity, 0 to 1.
    """

    share: Share


class FailureDomain(_Strict):
    """A failure domain.

    :ivar region: its region.
    :ivar daemons: ids of its daemons.
    """

    region: Name
    daemons: tuple[Name, ...]


class ServerSize(_Strict):
    """A vector of resources.

    :ivar processors_milli: thousandths of a core.
    :ivar memory_mb: mebibytes.
    :ivar accelerators: whole devices.
    """

    processors_milli: Amount
    memory_mb: Amount
    accelerators: Amount = 0


class Service(_Strict):
    """A latency-critical service.

    :ivar member: organisation that answers for it.
    :ivar failure_domains: where it runs; empty for everywhere.
    :ivar target_p99_ms: target of its 99th percentile, in milliseconds.
    :ivar tail_weight: weight of tail latency in placement, 0 to 1.
    :ivar eviction_weight: weight of evictions in placement, 0 to 1.
    :ivar reserved: kept for it on each backend server.
    :ivar concurrency_by_member: requests of a member at once, by member.
    :ivar retry_budget_share: retries as a share of requests, 0 to 1.
    """

    member: Name
    failure_domains: tuple[Name, ...] = ()
    target_p99_ms: Millis
    tail_weight: Share
    eviction_weight: Share
    reserved: ServerSize
    concurrency_by_member: dict[
        Name, Annotated[int, Field(ge=0, le=_MAX_CONCURRENCY)]
    ]
    retry_budget_share: Share = 0.1


class TeamQuota(ServerSize):
    """Quota of a team, named ``<member>/<team>``.

    :ivar may_borrow: whether it may use what others leave idle.
    """

    may_borrow: bool = True


class BatchKind(_Strict):
    """A kind of batch work.

    :ivar member: organisation whose jobs may be of this kind.
    """

    member: Name


class Batch(_Strict):
    """Figures of batch scheduling.

    :ivar probation_ms: time that a quarantined server stays out.
    :ivar quarantine_share: share of servers in quarantine at most, 0 to 1.
    :ivar cooldown_ms: least time between two evictions of one task.
    :ivar failures_before_quarantine: failures in a row on one server.
    :ivar attempts: attempts of a task that fails everywhere.
    :ivar kinds: kinds of batch work by name.
    """

    probation_ms: Millis = 60_000
    quarantine_share: Share = 0.2
    cooldown_ms: Millis = 30_000
    failures_before_quarantine: Annotated[int, Field(ge=1, le=1000)] = 4
    attempts: Annotated[int, Field(ge=1, le=1000)] = 6
    kinds: dict[Name, BatchKind] = {}


class Switches(_Strict):
    """Mechanisms that can be turned off to measure what they are worth.

    :ivar colocation_throttle: throttle before evicting.
    :ivar colocation_evict: evict when throttling does not help.
    :ivar outlier_ejection: leave slow backend servers out for a while.
    :ivar request_spill: forward to peers when there is no room.
    :ivar quarantine: leave out servers that fail everything.
    """

    colocation_throttle: bool = True
    colocation_evict: bool = True
    outlier_ejection: bool = True
    request_spill: bool = True
    quarantine: bool = True


class Bundle(_Strict):
    """Everything that operators decide together.

    :ivar version: counts up by one.
    :ivar predecessor: hex SHA-256 of the canonical body of the version
        before; empty for version 1.
    :ivar members: terms by member.
    :ivar failure_domains: by name.
    :ivar largest_server: largest backend server that exists; nothing may
        reserve more.
    :ivar services: by name.
    :ivar teams: quotas by ``<member>/<team>``.
    :ivar policy: name of the colocation policy.
    :ivar routing: name of the routing policy.
    :ivar batch: figures of batch scheduling.
    :ivar switches: mechanisms turned on.
    """

    version: Annotated[int, Field(ge=1, le=_MAX_VERSION)]
    predecessor: Digest
    members: Annotated[dict[Name, MemberTerms], Field(min_length=1)]
    failure_domains: Annotated[dict[Name, FailureDomain], Field(min_length=1)]
    largest_server: ServerSize
    services: dict[Name, Service]
    teams: dict[TeamName, TeamQuota] = {}
    policy: Name = 'learned'
    routing: Name = 'two_choices'
    batch: Batch = Batch()
    switches: Switches = Switches()

    @model_validator(mode='after')
    def check_limits(self) -> 'Bundle':
        """Check what one key alone can't show.

        :returns: the bundle itself.
        :raises ValueError: naming every limit that is impossible.
        """
        faults = list(limit_faults(self))
        if faults:
            raise ValueError('; '.join(faults))
        return self


def limit_faults(bundle: Bundle) -> Iterator[str]:
    """Find impossible limits.

    :param bundle: with each key right by itself.
    :returns: one text for each fault, naming key and expected value.
    """
    yield from _link_faults(bundle)
    yield from _member_faults(bundle)
    yield from _domain_faults(bundle)
    yield from _reserve_faults(bundle)


def _link_faults(bundle: Bundle) -> Iterator[str]:
    if (bundle.version == 1) == bool(bundle.predecessor):
        yield (
            'predecessor: expected a digest from version 2 on, '
            'and none in version 1'
        )


def _member_faults(bundle: Bundle) -> Iterator[str]:
    total = sum(terms.share for terms in bundle.members.values())
    if total > 1 + _SHARE_SLACK:
        yield f'members: shares add up to {total:.3f}, expected at most 1'
    owners = [
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
        for key, member in owners
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
        twice = sorted(seen.intersection(domain.daemons))
        if twice:
            yield f'failure_domains.{name}.daemons: {twice} are elsewhere too'
        seen.update(domain.daemons)


def _reserve_faults(bundle: Bundle) -> Iterator[str]:
    largest = bundle.largest_server.model_dump()
    yield from (
        f'services.{name}.reserved.{dimension}: {amount}, '
        f'expected at most {largest[dimension]} (largest_server)'
        for name, service in bundle.services.items()
        for dimension, amount in service.reserved
        if amount > largest[dimension]
    )
