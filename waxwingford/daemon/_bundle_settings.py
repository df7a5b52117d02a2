"""Conversion of a bundle into settings for batch scheduling and routing."""

from collections.abc import Mapping

from waxwingford.batch import BundleSettings
from waxwingford.bundles import Bundle, ResourceAmounts
from waxwingford.placement import PolicyWeights, QuarantineLimits
from waxwingford.ports import Resources
from waxwingford.routing import ServiceLimits


def bundle_settings(bundle: Bundle) -> BundleSettings:
    """Extract the settings for batch scheduling.

    :returns: quotas, policy weights, reserved resources and the policy name.
    """
    return BundleSettings(
        quota_by_team={
            name: _resources(quota) for name, quota in bundle.teams.items()
        },
        weights_by_service={
            name: PolicyWeights(
                target_p99_ms=service.target_p99_ms,
                tail_weight=service.tail_weight,
                eviction_weight=service.eviction_weight,
            )
            for name, service in bundle.services.items()
        },
        reserved_by_service={
            name: _resources(service.reserved)
            for name, service in bundle.services.items()
        },
        policy=bundle.policy,
        borrowing_teams=frozenset(
            name for name, quota in bundle.teams.items() if quota.may_borrow
        ),
        share_by_member={
            name: member.share for name, member in bundle.members.items()
        },
        quarantine=_quarantine_limits(bundle),
    )


def service_limits(bundle: Bundle) -> Mapping[str, ServiceLimits]:
    """Extract the limits for request routing.

    :returns: limits by service.
    """
    weight_by_member = {
        name: member.share for name, member in bundle.members.items()
    }
    return {
        name: ServiceLimits(
            target_ms=service.target_p99_ms,
            concurrency_by_member=service.concurrency_by_member,
            weight_by_member=weight_by_member,
            retry_budget_share=service.retry_budget_share,
            may_spill=bundle.switches.request_spill,
        )
        for name, service in bundle.services.items()
    }


def members_by_service(bundle: Bundle) -> dict[str, frozenset[str]]:
    """List the members that may call each service.

    :returns: by service, its owner and all members with a concurrency limit.
    """
    return {
        name: frozenset((service.member, *service.concurrency_by_member))
        for name, service in bundle.services.items()
    }


def _quarantine_limits(bundle: Bundle) -> QuarantineLimits | None:
    # ``attempts`` is not taken from the bundle: daemons apply a bundle at
    # different times, but must agree at each offset on which tasks have ended.
    if not bundle.switches.quarantine:
        return None
    return QuarantineLimits(
        tasks_per_server=bundle.batch.failures_before_quarantine,
        max_quarantined_share=bundle.batch.quarantine_share,
        probation_ms=bundle.batch.probation_ms,
    )


def _resources(size: ResourceAmounts) -> Resources:
    return Resources(size.processors_milli, size.memory_mb, size.accelerators)
