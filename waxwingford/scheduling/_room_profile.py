"""Free resources of a server now and after each expected end of its runs."""

import copy
import operator
from typing import NamedTuple, Self

from waxwingford.ports import Resources, add_resources, fits_resources
from waxwingford.scheduling._backend_client import RunKey
from waxwingford.scheduling._job_estimates import expected_run_time_ms
from waxwingford.scheduling._run_times import RunTimes
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._state import Run, RunPhase, Step

#: Time after a stop in which a run is expected to end, in ms; servers don't tell
#: their ``stop-timeout``.
STOP_MS = 1000
#: Time after its expected end from which on a run is overdue, in ms. Progress is
#: listed in whole percent, and an end is known only with the next poll.
OVERDUE_RUN_MS = 300
#: Progress from which on a run's own speed tells more than its step's run time, in
#: percent.
MIN_OWN_PERCENT = 30
#: Time after which a profile is made again although no run was added or removed, in
#: ms: about the interval of polls, which list progress.
MAX_PROFILE_AGE_MS = 250
_FULL_PERCENT = 100


class Release(NamedTuple):
    """Resources that a run is expected to release.

    :ivar end_ms: expected end, in ms of the owner's monotonic clock.
    """

    end_ms: float
    resources: Resources
    key: RunKey


class RoomProfile(NamedTuple):
    """Free resources of a server, now and later.

    :ivar free: free resources now.
    :ivar releases: expected releases, the first one first. Runs of unknown end are
        left out.
    """

    free: Resources
    releases: tuple[Release, ...]

    def at(self, at_ms: float, now_ms: int) -> Resources:
        """Compute the free resources at a later time.

        :param at_ms: monotonic time in ms.
        :param now_ms: current monotonic time, in ms.
        """
        room = self.free
        for release in self.releases:
            if release.end_ms > at_ms:
                break
            if release.end_ms + OVERDUE_RUN_MS >= now_ms:
                room = add_resources(room, release.resources)
        return room

    def first_fit(self, takes: Resources, now_ms: int) -> float | None:
        """Find the time from which on resources are free.

        :param now_ms: current monotonic time, in ms.
        :returns: monotonic time in ms, ``None`` if it is unknown.
        """
        room = self.free
        if fits_resources(takes, room):
            return now_ms
        for release in self.releases:
            if release.end_ms + OVERDUE_RUN_MS < now_ms:
                continue
            room = add_resources(room, release.resources)
            if fits_resources(takes, room):
                return max(now_ms, release.end_ms)
        return None


def expected_end_ms(
    run: Run, step: Step, run_times: RunTimes, now_ms: int
) -> float | None:
    """Predict when a run ends.

    :param now_ms: current monotonic time, in ms.
    :returns: monotonic time in ms, ``None`` if it is unknown: of long-running tasks
        and of runs below full speed.
    """
    if run.stopping:
        stopped_ms = run.stop_acknowledged_ms or run.stop_sent_ms or now_ms
        return stopped_ms + STOP_MS
    if step.spec.long_running or run.pace is None or run.pace < _FULL_PERCENT:
        return None
    present = run.phase is RunPhase.present
    began_ms = run.phase_since_ms if present else run.planned_ms
    run_time_ms = expected_run_time_ms(step, run_times)
    if not run.listed_ms:
        return began_ms + run_time_ms
    share = min(1, run.percent / _FULL_PERCENT)
    steady = not (run.adopted or run.checkpoint or run.paced_ms)
    if present and steady and run.percent >= MIN_OWN_PERCENT:
        run_time_ms = (run.listed_ms - began_ms) / share
    return run.listed_ms + (1 - share) * run_time_ms


def make_profile(
    server: Server, run_times: RunTimes, now_ms: int
) -> RoomProfile:
    """Compute the profile of a server.

    :param now_ms: current monotonic time, in ms.
    """
    releases = []
    for key, run in server.run_by_key.items():
        step = server.step_by_run[key]
        end_ms = expected_end_ms(run, step, run_times, now_ms)
        if end_ms is not None:
            takes = step.spec.reserved_resources
            releases.append(Release(end_ms, takes, key))
    releases.sort(key=operator.itemgetter(0))
    return RoomProfile(server.free_resources, tuple(releases))


class _CachedProfile(NamedTuple):
    version: tuple[Server, int, Resources]
    made_ms: int
    profile: RoomProfile


class RoomProfiles:
    """Profiles of servers, made again when runs were added or removed."""

    def __init__(self, run_times: RunTimes) -> None:
        self._run_times = run_times
        self._cached_by_id: dict[str, _CachedProfile] = {}

    def preview(self) -> Self:
        """Copy the profiles that are known now."""
        copied = copy.copy(self)
        copied._cached_by_id = self._cached_by_id.copy()
        return copied

    def profile_of(self, server: Server, now_ms: int) -> RoomProfile:
        """Return the profile of a server.

        :param now_ms: current monotonic time, in ms.
        """
        server_id = server.entry.server_id
        # The free resources also change with the registration.
        version = server, server.change_count, server.free_resources
        cached = self._cached_by_id.get(server_id)
        if (
            cached is not None
            and cached.version == version
            and now_ms - cached.made_ms <= MAX_PROFILE_AGE_MS
        ):
            return cached.profile
        made = make_profile(server, self._run_times, now_ms)
        self._cached_by_id[server_id] = _CachedProfile(version, now_ms, made)
        return made

    def clear(self) -> None:
        """Forget all profiles."""
        self._cached_by_id.clear()
