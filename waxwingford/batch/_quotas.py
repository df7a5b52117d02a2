"""Hard limits of teams that may not borrow.

A limit bounds what one daemon claims, counting everything that it has read.
Daemons that claim at the same time may together exceed one by what they claim
within one interval of appends; capacity of servers is not under this bound.
Who is next, and what is borrowed, is the quota tracker's.
"""

import copy
from collections.abc import Mapping

from waxwingford.batch._messages import BundleSettings
from waxwingford.ports import Resources, add_resources, fits_resources
from waxwingford.records import DomainState, TaskState, team_key

_NOTHING = Resources(0, 0, 0)


class Limits:
    """Room of teams, counting what is claimed in this round."""

    def __init__(self, state: DomainState, bundle: BundleSettings) -> None:
        """Start a round.

        :param state: state replayed from the domain's stream.
        :param bundle: batch settings in force.
        """
        self._bundle = bundle
        self._used_by_team: Mapping[str, Resources] = state.index.used_by_team
        self._claimed_by_team: dict[str, Resources] = {}

    def copy(self) -> 'Limits':
        """Copy, to count what is only listed.

        :returns: limits with the same room.
        """
        other = copy.copy(self)
        other._claimed_by_team = dict(self._claimed_by_team)
        return other

    def has_room(self, task: TaskState) -> bool:
        """Tell whether the task's team may use so much more.

        :param task: the task.
        :returns: true without a limit.
        """
        return self.reason(task) == ''

    def reason(self, task: TaskState) -> str:
        """Say which limit is used up.

        :param task: the task.
        :returns: human-readable reason; empty if there is room.
        """
        team = team_key(task.job.spec)
        quota = self._bundle.quota_by_team.get(team)
        if quota is None or team in self._bundle.borrowing_teams:
            return ''
        used = add_resources(
            self._used_by_team.get(team, _NOTHING),
            self._claimed_by_team.get(team, _NOTHING),
        )
        if fits_resources(add_resources(used, task.resources), quota):
            return ''
        return f'quota of team {team}: {tuple(used)} of {tuple(quota)} used'

    def count_claim(self, task: TaskState) -> None:
        """Count a claim of this round.

        :param task: its task.
        """
        team = team_key(task.job.spec)
        used = self._claimed_by_team.get(team, _NOTHING)
        self._claimed_by_team[team] = add_resources(used, task.resources)
