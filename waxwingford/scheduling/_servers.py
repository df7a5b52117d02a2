"""State of the backend servers as seen by the owner of a shard."""

import dataclasses
import math
from typing import NamedTuple

from waxwingford.ports import (
    Resources,
    add_resources,
    subtract_resources,
)
from waxwingford.scheduling._backend_client import Address, RunKey, TaskKey
from waxwingford.scheduling._incarnations import Incarnation
from waxwingford.scheduling._losses import Crash
from waxwingford.scheduling._state import NEVER_MS, Run, RunPhase, Step

#: Maximum relative drift between the clocks of a server and of the owner. The
#: platform specifies 2 % for a server; the same is allowed for the owner.
CLOCK_DRIFT = 0.04
#: Members of a gang up to which those that wait for their start to be sent count as
#: starts in progress. Those of a wider one would leave no start to others for seconds.
MAX_COUNTED_MEMBERS = 64
_UNANSWERED = (RunPhase.sent, RunPhase.unresolved)


class ServerEntry(NamedTuple):
    """Registration of a backend server.

    :ivar server_id: identifier, the same after a restart in place.
    :ivar endpoint: IP address and port.
    :ivar service: service whose tasks it runs.
    :ivar failure_domain: failure domain of its VM.
    :ivar labels: labels, such as the kind of VM and the rack.
    :ivar capacity: total resources.
    :ivar draining: whether it is about to shut down.
    :ivar rack: rack of its VM, empty if unknown.
    :ivar started_ms: Unix time in ms at which the server started, 0 if it
        doesn't say.
    :ivar remaining_ms: time until it leaves as of the registration, in ms, 0 if
        unknown.
    :ivar warm_up_ms: time for which it stays slow as of the registration, in ms, 0
        if it isn't.
    """

    server_id: str
    endpoint: str
    service: str
    failure_domain: str
    labels: frozenset[str]
    capacity: Resources
    draining: bool
    rack: str = ''
    started_ms: int = 0
    remaining_ms: int = 0
    warm_up_ms: int = 0

    @property
    def incarnation(self) -> Incarnation:
        """Incarnation that the registration names."""
        return Incarnation(self.server_id, self.started_ms)


class SettledRuns(NamedTuple):
    """Runs that were settled as lost while their server was silent.

    :ivar count: number of these runs.
    :ivar suspected: tasks that were suspected because of it, the first ones.
    """

    count: int = 0
    suspected: tuple[TaskKey, ...] = ()


@dataclasses.dataclass(slots=True, eq=False)
class Server:
    """An incarnation of a backend server, its runs and its lease.

    A restart in place makes a new object: nothing here outlasts an incarnation
    but what ``Restarts`` hands on.

    Times are monotonic times of the owner in milliseconds unless stated
    otherwise.

    :ivar entry: newest registration.
    :ivar incarnation: incarnation to which everything here belongs.
    :ivar superseded: start times of former incarnations, which may still be
        registered.
    :ivar crash: crash of the former incarnation, until this one has listed its
        runs; ``None`` for none.
    :ivar crash_suspects: runs that may have caused it, or may be present now.
    :ivar starts_in_doubt: starts without an answer whose runs are settled, with
        the time in ms. Another incarnation may still carry them out.
    :ivar stops_owed: starts in doubt at the former incarnation that this one
        hasn't been told to refuse, with the time in ms at which their stop was
        last sent.
    :ivar claimed_ms: start time in a registration of which only the next poll
        tells whether it is the newest, 0 for none.
    :ivar evacuated: whether nothing more is to start in its failure domain.
    :ivar described: whether the registration is of this incarnation, which may
        have other labels than the former one.
    :ivar run_by_key: runs that may be present.
    :ivar step_by_run: steps of these runs.
    :ivar serving: runs with a tail latency target, and their steps.
    :ivar best_effort: best-effort runs, and their steps.
    :ivar recent_starts: runs that the server isn't known to have outlived yet.
    :ivar reserved_for: task suspected of crashing servers that is to start
        alone here, ``None`` for none.
    :ivar unsent: runs whose start was not sent yet, without those of wide gangs.
    :ivar unanswered: runs whose start was sent and not confirmed.
    :ivar starts_in_progress: number of runs in ``unsent`` or ``unanswered``.
    :ivar used: resources reserved by runs, without the CPU of best-effort runs.
    :ivar free_resources: capacity less ``used``.
    :ivar best_effort_milli: CPU requested by best-effort tasks, in thousandths
        of a core.
    :ivar long_running_milli: CPU reserved by long-running tasks, in thousandths
        of a core.
    :ivar clock_offset_ms: offset of the server's clock from the owner's,
        ``None`` before the first answer.
    :ivar clock_updated_ms: time at which this offset was determined.
    :ivar latest_clock_ms: server clock in its latest answer, in ms.
    :ivar lease_until_ms: end of the longest lease that was sent, in ms of the
        server's clock.
    :ivar lease_sent_ms: time at which a lease was last sent, -1 for never.
    :ivar processed_end: highest sequence number of a processed end.
    :ivar acknowledged_end: highest sequence number of a stored end.
    :ivar forgotten_end: highest number that an answered poll has acknowledged.
    :ivar polled_ms: time at which the newest answered poll was sent, -1 for
        none.
    :ivar failing_since_ms: time since which calls have failed, ``None`` if it
        answers.
    :ivar connection_lost_ms: time at which a connection was first closed since
        the last answer, ``None`` if none was.
    :ivar lost_ms: time at which its runs were last settled as lost, -1 for never.
    :ivar replaced: whether another incarnation answered in its place.
    :ivar inherited_lease_until_ms: latest end of leases of previous owners.
    :ivar unknown_runs: unknown runs that the server lists, with the time at
        which their stop was last sent, ``NEVER_MS`` if they aren't to be stopped.
    :ivar unknown_stops_since_ms: time since which these stops are counted.
    :ivar unknown_stops: number of them that were sent since then.
    :ivar keeps_ends: whether it has listed an end of a job that this owner can't read,
        so that no end is acknowledged until a later owner takes note of it.
    :ivar refusal_backoff_until_ms: time until which it gets no starts because
        it refused one.
    :ivar excluded_until_ms: time until which it gets no starts because of
        failed runs.
    :ivar penalty: decaying score of runs that failed or made no progress.
    :ivar penalty_updated_ms: time at which this score last decayed.
    :ivar penalized_gang: step and run number of the gang whose failure was last
        added to this score, ``None`` for none.
    :ivar change_count: number of runs added or removed so far.
    :ivar leaves_ms: time at which it leaves, 0 if unknown.
    :ivar cold_until_ms: time until which it is slow, as it has just started.
    :ivar drain_noted: whether its present drain was noted.
    :ivar drain_stops_since_ms: time since which its present drain stops runs of
        steps with a disruption budget, 0 if it hasn't.
    :ivar awaited: whether the wait for the end of its leases was noted.
    :ivar settled_silent: runs that were settled as lost since it last answered; for
        the log only.
    """

    entry: ServerEntry
    registered: bool = True
    run_by_key: dict[RunKey, Run] = dataclasses.field(default_factory=dict)
    step_by_run: dict[RunKey, Step] = dataclasses.field(default_factory=dict)
    serving: dict[RunKey, tuple[Run, Step]] = dataclasses.field(
        default_factory=dict
    )
    best_effort: dict[RunKey, tuple[Run, Step]] = dataclasses.field(
        default_factory=dict
    )
    recent_starts: set[RunKey] = dataclasses.field(default_factory=set)
    reserved_for: TaskKey | None = None
    unsent: set[RunKey] = dataclasses.field(default_factory=set)
    unanswered: set[RunKey] = dataclasses.field(default_factory=set)
    starts_in_progress: int = 0
    used: Resources = Resources(0, 0, 0)
    free_resources: Resources = dataclasses.field(init=False)
    best_effort_milli: int = 0
    long_running_milli: int = 0
    clock_offset_ms: int | None = None
    clock_updated_ms: int = 0
    latest_clock_ms: int = 0
    lease_until_ms: int = 0
    lease_sent_ms: int = -1
    processed_end: int = 0
    acknowledged_end: int = 0
    forgotten_end: int = 0
    polled_ms: int = -1
    failing_since_ms: int | None = None
    connection_lost_ms: int | None = None
    lost_ms: int = -1
    replaced: bool = False
    inherited_lease_until_ms: int = 0
    unknown_runs: dict[RunKey, int] = dataclasses.field(default_factory=dict)
    unknown_stops_since_ms: int = 0
    unknown_stops: int = 0
    keeps_ends: bool = False
    refusal_backoff_until_ms: int = 0
    excluded_until_ms: int = 0
    penalty: float = 0
    penalty_updated_ms: int = 0
    penalized_gang: tuple[str, int] | None = None
    change_count: int = 0
    awaited: bool = False
    incarnation: Incarnation = dataclasses.field(init=False)
    superseded: frozenset[int] = frozenset()
    crash: Crash | None = None
    crash_suspects: tuple[Run, ...] = ()
    starts_in_doubt: dict[RunKey, int] = dataclasses.field(default_factory=dict)
    stops_owed: dict[RunKey, int] = dataclasses.field(default_factory=dict)
    claimed_ms: int = 0
    evacuated: bool = False
    described: bool = True
    leaves_ms: int = 0
    cold_until_ms: int = 0
    settled_silent: SettledRuns = SettledRuns()
    drain_noted: bool = False
    drain_stops_since_ms: int = 0

    def __post_init__(self) -> None:
        self.incarnation = self.entry.incarnation
        self._update_room()

    @property
    def address(self) -> Address:
        """Address to which orders are sent."""
        return Address(self.entry.server_id, self.entry.endpoint)

    @property
    def no_starts_until_ms(self) -> int:
        """Monotonic time in ms until which the server gets no starts."""
        return max(self.refusal_backoff_until_ms, self.excluded_until_ms)

    @property
    def is_available(self) -> bool:
        """Whether the server answers, isn't shutting down and isn't evacuated.

        :returns: whether tasks may be placed there, apart from
            ``no_starts_until_ms``.
        """
        answers = self.polled_ms >= 0 and self.failing_since_ms is None
        leaves = self.replaced or self.entry.draining or not self.registered
        return answers and not (leaves or self.evacuated)

    def register(self, entry: ServerEntry, now_ms: int) -> None:
        """Apply a newer registration of this incarnation.

        :param now_ms: current monotonic time, in ms.
        """
        changed = entry != self.entry or not self.described
        self.entry = entry
        self.registered = True
        self.described = True
        self._update_room()
        if changed:
            count_down(self, now_ms)

    def add(self, run: Run, step: Step) -> None:
        """Add a run and reserve its resources."""
        self.run_by_key[run.key] = run
        self.step_by_run[run.key] = step
        if step.spec.target_ms:
            self.serving[run.key] = run, step
        if step.spec.best_effort:
            self.best_effort[run.key] = run, step
        if not run.outlived:
            self.recent_starts.add(run.key)
        wide = step.spec.gang and step.spec.count > MAX_COUNTED_MEMBERS
        if run.phase is RunPhase.planned and not wide:
            self.unsent.add(run.key)
        self._count(step, 1)

    def remove(self, key: RunKey) -> None:
        """Remove a run, if present, and release its resources."""
        if self.run_by_key.pop(key, None) is not None:
            self.unsent.discard(key)
            self.unanswered.discard(key)
            self.recent_starts.discard(key)
            self.serving.pop(key, None)
            self.best_effort.pop(key, None)
            self._count(self.step_by_run.pop(key), -1)

    def enter(self, run: Run, phase: RunPhase, now_ms: int) -> None:
        """Set the phase of a run on this server.

        :param now_ms: current monotonic time, in ms.
        """
        run.enter(phase, now_ms)
        self.unsent.discard(run.key)
        if phase in _UNANSWERED:
            self.unanswered.add(run.key)
        else:
            self.unanswered.discard(run.key)
        self.starts_in_progress = len(self.unsent) + len(self.unanswered)

    def update_clock(self, clock_ms: int, now_ms: int) -> None:
        """Update the clock offset from an answer.

        :param clock_ms: server clock in the answer, in ms.
        :param now_ms: monotonic time in ms at which the answer arrived.
        """
        self.clock_offset_ms = clock_ms - now_ms
        self.clock_updated_ms = now_ms
        # Answers on different connections may arrive out of order.
        self.latest_clock_ms = max(self.latest_clock_ms, clock_ms)

    @property
    def next_acknowledgement(self) -> int:
        """Highest number of an end that the next poll acknowledges, 0 for none.

        Each end is acknowledged once: the next incarnation numbers its ends
        anew, and a repeated number would be taken for one of its own.
        """
        pending = self.acknowledged_end > self.forgotten_end
        return self.acknowledged_end if pending else 0

    def outlived_ms(self, run: Run) -> int | None:
        """Time for which the server is known to have stayed up since a start.

        :returns: duration in ms by the server's clock, ``None`` if the run
            isn't known to have begun.
        """
        if run.started_server_clock_ms is None:
            return None
        return max(0, self.latest_clock_ms - run.started_server_clock_ms)

    def grant_lease(self, now_ms: int, length_ms: int) -> int:
        """Compute the end of a new lease and record the longest one.

        The possible drift of the server's clock since its last answer is
        subtracted. Otherwise the lease could outlast the time that a new owner
        waits for, and a task would run twice.

        :param now_ms: current monotonic time, in ms.
        :param length_ms: maximum length of the lease, in ms.
        :returns: end of the lease in ms of the server's clock.
        """
        ahead_ms = self.clock_offset_ms or 0
        drift_ms = math.ceil((now_ms - self.clock_updated_ms) * CLOCK_DRIFT)
        until_ms = now_ms + ahead_ms - drift_ms + length_ms
        self.lease_until_ms = max(self.lease_until_ms, until_ms)
        self.lease_sent_ms = now_ms
        return until_ms

    def leases_expired(self, now_ms: int) -> bool:
        """Whether every lease of the server has certainly expired.

        An unreachable server continues its runs until the lease ends by its
        own clock, which may be slow. Restarting a task earlier would run it
        twice.

        :param now_ms: current monotonic time, in ms.
        """
        return self.lease_left_ms(now_ms) <= 0

    def lease_left_ms(self, now_ms: int) -> float:
        """Upper bound of the time for which runs may still be active there.

        :param now_ms: current monotonic time, in ms.
        :returns: time in ms until the leases expire unless they are extended, 0
            or less if all of them certainly have.
        """
        if self.replaced:
            return 0
        inherited_ms = max(0, self.inherited_lease_until_ms - now_ms)
        if self.clock_offset_ms is None:
            return inherited_ms
        elapsed_ms = (now_ms - self.clock_updated_ms) * (1 - CLOCK_DRIFT)
        clock_ms = self.clock_updated_ms + self.clock_offset_ms + elapsed_ms
        left_ms = (self.lease_until_ms + 1 - clock_ms) / (1 - CLOCK_DRIFT)
        return max(inherited_ms, left_ms)

    def _count(self, step: Step, sign: int) -> None:
        self.change_count += 1
        self.starts_in_progress = len(self.unsent) + len(self.unanswered)
        if step.spec.best_effort:
            self.best_effort_milli += sign * step.spec.needs.processors_milli
        elif step.spec.long_running:
            self.long_running_milli += sign * step.spec.needs.processors_milli
        count = add_resources if sign > 0 else subtract_resources
        self.used = count(self.used, step.spec.reserved_resources)
        self._update_room()

    def _update_room(self) -> None:
        # Stored because each placement round reads it for every server.
        self.free_resources = subtract_resources(self.entry.capacity, self.used)


def count_down(server: Server, now_ms: int) -> None:
    """Count the durations in a registration that was just read from now on.

    The same registration is read again and again, and its durations hold as of its
    record, so this is called only when it is new or has changed.

    :param now_ms: current monotonic time, in ms.
    """
    entry = server.entry
    noticed = entry.draining and entry.remaining_ms
    server.leaves_ms = now_ms + entry.remaining_ms if noticed else 0
    cold = entry.warm_up_ms
    server.cold_until_ms = now_ms + cold if cold else 0
    if not entry.draining:
        server.drain_noted = False
        server.drain_stops_since_ms = 0


def is_leaving(server: Server) -> bool:
    """Whether a server has registered that it is about to shut down."""
    return server.entry.draining and bool(server.entry.endpoint)


def owes_stops(server: Server) -> bool:
    """Whether a server lists untracked runs that are to be stopped."""
    return any(sent_ms < NEVER_MS for sent_ms in server.unknown_runs.values())


def keeps_runs(server: Server) -> bool:
    """Whether a server has runs that are to go on."""
    return bool(server.run_by_key) or any(
        sent_ms == NEVER_MS for sent_ms in server.unknown_runs.values()
    )
