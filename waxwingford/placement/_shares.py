"""Dominant resource shares of members and teams, relative to their quotas."""

from collections.abc import Mapping

from waxwingford.placement._fit import NO_RESOURCES, add
from waxwingford.placement._pending import TeamName
from waxwingford.ports import Resources

_DEFAULT_QUOTA = 1


class DominantShares:
    """Resource usage of members and teams, with shares updated on change."""

    def __init__(
        self,
        capacity: Resources,
        quota_by_member: Mapping[str, float] | None,
        quota_by_team: Mapping[TeamName, float] | None,
    ) -> None:
        """Create an instance without usage.

        :param capacity: total capacity for batch work.
        :param quota_by_member: relative quotas, positive; 1 if missing.
        :param quota_by_team: relative quotas within the member, positive; 1
            if missing.
        """
        self._capacity = capacity
        self._quota_by_member = dict(quota_by_member or {})
        self._quota_by_team = dict(quota_by_team or {})
        self._used_by_team: dict[TeamName, Resources] = {}
        self._used_by_member: dict[str, Resources] = {}
        self._share_by_team: dict[TeamName, float] = {}
        self._share_by_member: dict[str, float] = {}

    def charge(self, name: TeamName, allocated: Resources) -> None:
        """Add an allocation to the usage of a team and its member.

        :param allocated: resources allocated to a task; negative to release.
        """
        used = add(self._used_by_team.get(name, NO_RESOURCES), allocated)
        self._used_by_team[name] = used
        quota = self._quota_by_team.get(name, _DEFAULT_QUOTA)
        self._share_by_team[name] = self.dominant_share(used) / quota
        member = name.member
        used = add(self._used_by_member.get(member, NO_RESOURCES), allocated)
        self._used_by_member[member] = used
        quota = self._quota_by_member.get(member, _DEFAULT_QUOTA)
        self._share_by_member[member] = self.dominant_share(used) / quota

    def used_by_team(self) -> dict[TeamName, Resources]:
        """Copy the usage of all teams."""
        return dict(self._used_by_team)

    def of_team(self, name: TeamName) -> float:
        """Look up a team's dominant share, weighted by its quota.

        :returns: dominant share of the capacity divided by the quota.
        """
        return self._share_by_team.get(name, 0)

    def of_member(self, member: str) -> float:
        """Look up a member's dominant share, weighted by its quota.

        :returns: dominant share of the capacity divided by the quota.
        """
        return self._share_by_member.get(member, 0)

    def share_increments(
        self,
        name: TeamName,
        task_share: float,
    ) -> tuple[tuple[str, float], tuple[TeamName, float]]:
        """Compute how much one more task adds to its owners' shares.

        :returns: the member and the team, each with the increase of its
            quota-weighted share.
        """
        member_quota = self._quota_by_member.get(name.member, _DEFAULT_QUOTA)
        team_quota = self._quota_by_team.get(name, _DEFAULT_QUOTA)
        return (name.member, task_share / member_quota), (
            name,
            task_share / team_quota,
        )

    def dominant_share(self, used: Resources) -> float:
        """Compute the dominant share of a resource vector.

        :returns: largest fraction of the capacity over all dimensions.
        """
        return max(
            used_amount / max(total, 1)
            for used_amount, total in zip(used, self._capacity, strict=True)
        )
