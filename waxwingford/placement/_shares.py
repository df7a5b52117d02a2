"""Dominant shares of members and teams against their quotas."""

from collections.abc import Mapping

from waxwingford.placement._fit import NOTHING, add
from waxwingford.placement._pending import TeamName
from waxwingford.ports import Resources

_DEFAULT_QUOTA = 1


class Shares:
    """What members and teams use, kept as shares so that reading is cheap."""

    def __init__(
        self,
        capacity: Resources,
        quota_by_member: Mapping[str, float] | None,
        quota_by_team: Mapping[TeamName, float] | None,
    ) -> None:
        """Start with nothing used.

        :param capacity: all that batch work may use.
        :param quota_by_member: relative quotas, above 0; 1 if missing.
        :param quota_by_team: relative quotas within the member, above 0; 1 if
            missing.
        """
        self._capacity = capacity
        self._quota_by_member = dict(quota_by_member or {})
        self._quota_by_team = dict(quota_by_team or {})
        self._used_by_team: dict[TeamName, Resources] = {}
        self._used_by_member: dict[str, Resources] = {}
        self._share_by_team: dict[TeamName, float] = {}
        self._share_by_member: dict[str, float] = {}

    def charge(self, name: TeamName, given: Resources) -> None:
        """Count what a task is given; negative when it ends.

        :param name: its team.
        :param given: its size.
        """
        used = add(self._used_by_team.get(name, NOTHING), given)
        self._used_by_team[name] = used
        quota = self._quota_by_team.get(name, _DEFAULT_QUOTA)
        self._share_by_team[name] = self.dominant(used) / quota
        member = name.member
        used = add(self._used_by_member.get(member, NOTHING), given)
        self._used_by_member[member] = used
        quota = self._quota_by_member.get(member, _DEFAULT_QUOTA)
        self._share_by_member[member] = self.dominant(used) / quota

    def used_by_team(self) -> dict[TeamName, Resources]:
        """List what teams use.

        :returns: sizes in use, by team.
        """
        return dict(self._used_by_team)

    def of_team(self, name: TeamName) -> float:
        """Tell a team's dominant share against its quota.

        :param name: the team.
        :returns: largest share over the dimensions, divided by the quota.
        """
        return self._share_by_team.get(name, 0)

    def of_member(self, member: str) -> float:
        """Tell a member's dominant share against its quota.

        :param member: the member.
        :returns: largest share over the dimensions, divided by the quota.
        """
        return self._share_by_member.get(member, 0)

    def steps(
        self,
        name: TeamName,
        step: float,
    ) -> tuple[tuple[str, float], tuple[TeamName, float]]:
        """Tell what one more task adds to its member's and team's share.

        :param name: its team.
        :param step: dominant share of the task.
        :returns: member and team, each with what is added.
        """
        member_quota = self._quota_by_member.get(name.member, _DEFAULT_QUOTA)
        team_quota = self._quota_by_team.get(name, _DEFAULT_QUOTA)
        return (name.member, step / member_quota), (name, step / team_quota)

    def dominant(self, used: Resources) -> float:
        """Compute the largest share over the dimensions.

        :param used: a size.
        :returns: its dominant share of the capacity.
        """
        return max(
            amount / max(whole, 1)
            for amount, whole in zip(used, self._capacity, strict=True)
        )
