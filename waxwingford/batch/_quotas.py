"""Quotas of teams and members.

A quota bounds what one daemon claims, counting everything that it has read.
Daemons that claim at the same time may together exceed one by what they claim
within one interval of appends; capacity of servers is not under this bound.
"""

from collections.abc import Mapping

from waxwingford.batch._messages import BundleSettings
from waxwingford.ports import Resources
from waxwingford.records import (
    DomainState,
    TaskState,
    add_resources,
    fits_resources,
    team_key,
)

_NOTHING = Resources(0, 0, 0)


class Quotas:
    """Room of teams and members, counting what is claimed in this round."""

    def __init__(self, state: DomainState, bundle: BundleSettings) -> None:
        """Start a round.

        :param state: fold of the domain's stream.
        :param bundle: settings in force.
        """
        self._bundle = bundle
        self._used_by_team = state.index.used_by_team
        self._claimed_by_team: dict[str, Resources] = {}
        self._used_by_member = _sum_by_member(self._used_by_team, bundle)

    def has_room(self, task: TaskState) -> bool:
        """Tell whether the task's team and member may use so much more.

        :param task: the task.
        :returns: true without a quota.
        """
        return self.reason(task) == ''

    def reason(self, task: TaskState) -> str:
        """Say which quota is used up.

        :param task: the task.
        :returns: for people; empty if there is room.
        """
        spec = task.job.spec
        team = team_key(spec)
        quota = self._bundle.quota_by_team.get(team)
        used = add_resources(
            self._used_by_team.get(team, _NOTHING),
            self._claimed_by_team.get(team, _NOTHING),
        )
        if quota and not fits_resources(
            add_resources(used, spec.resources), quota
        ):
            return f'quota of team {team}: {tuple(used)} of {tuple(quota)} used'
        quota = self._bundle.quota_by_member.get(spec.member)
        used = self._used_by_member.get(spec.member, _NOTHING)
        if quota and not fits_resources(
            add_resources(used, spec.resources), quota
        ):
            return (
                f'quota of member {spec.member}: {tuple(used)} of '
                f'{tuple(quota)} used'
            )
        return ''

    def note_claimed(self, task: TaskState) -> None:
        """Count a claim of this round.

        :param task: its task.
        """
        spec = task.job.spec
        for used_by, name in (
            (self._claimed_by_team, team_key(spec)),
            (self._used_by_member, spec.member),
        ):
            used = used_by.get(name, _NOTHING)
            used_by[name] = add_resources(used, spec.resources)


def _sum_by_member(
    used_by_team: Mapping[str, Resources], bundle: BundleSettings
) -> dict[str, Resources]:
    used_by_member: dict[str, Resources] = {}
    if not bundle.quota_by_member:
        return used_by_member
    for team, used in used_by_team.items():
        member = team.partition('/')[0]
        before = used_by_member.get(member, _NOTHING)
        used_by_member[member] = add_resources(before, used)
    return used_by_member
