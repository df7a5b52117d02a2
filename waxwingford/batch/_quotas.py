"""Hard limits of teams that may not borrow.

Each daemon enforces a limit on the claims that it has read.  Daemons that claim
concurrently may exceed it by their claims of one append interval.  The order of
tasks and borrowing are decided by the quota tracker.
"""

import copy
from collections.abc import Mapping

from waxwingford.batch._messages import BundleSettings
from waxwingford.ports import Resources, add_resources, fits_resources
from waxwingford.records import DomainState, TaskState, team_key

_NO_RESOURCES = Resources(0, 0, 0)


class TeamLimits:
    """Free quota of teams, counting the claims of this round."""

    def __init__(self, state: DomainState, bundle: BundleSettings) -> None:
        """Create the limits for a round.

        :param state: state replayed from the domain's stream.
        :param bundle: batch settings in force.
        """
        self._bundle = bundle
        self._used_by_team: Mapping[str, Resources] = state.index.used_by_team
        self._claimed_by_team: dict[str, Resources] = {}

    def copy(self) -> 'TeamLimits':
        """Copy the limits, to count tasks that are not claimed yet."""
        other = copy.copy(self)
        other._claimed_by_team = dict(self._claimed_by_team)
        return other

    def has_room(self, task: TaskState) -> bool:
        """Return whether a task fits in the quota of its team.

        :returns: true if it fits or the team has no limit.
        """
        return self.reason(task) == ''

    def reason(self, task: TaskState) -> str:
        """Explain which limit is exhausted.

        :returns: human-readable reason; empty if there is room.
        """
        team = team_key(task.job.spec)
        quota = self._bundle.quota_by_team.get(team)
        if quota is None or team in self._bundle.borrowing_teams:
            return ''
        used = add_resources(
            self._used_by_team.get(team, _NO_RESOURCES),
            self._claimed_by_team.get(team, _NO_RESOURCES),
        )
        if fits_resources(add_resources(used, task.resources), quota):
            return ''
        return f'quota of team {team}: {tuple(used)} of {tuple(quota)} used'

    def count_claim(self, task: TaskState) -> None:
        """Count a claim of this round."""
        team = team_key(task.job.spec)
        used = self._claimed_by_team.get(team, _NO_RESOURCES)
        self._claimed_by_team[team] = add_resources(used, task.resources)
