"""Scheduler of a shard: turns events into records and orders.

It performs no I/O and reads no clock, so that the daemon and simulations run
the same code. The caller stores each batch before it sends the starts in it.
"""

import math
from collections.abc import Iterable, Iterator

from waxwingford.ports import Resources
from waxwingford.scheduling._backend_client import (
    OrderAccepted,
    OrderOutcome,
    PollOutcome,
)
from waxwingford.scheduling._backlog import Decision
from waxwingford.scheduling._crashes import mark_outlived
from waxwingford.scheduling._evacuations import Evacuations
from waxwingford.scheduling._interference import InterferenceModel
from waxwingford.scheduling._lease_withholding import LeaseWithholding
from waxwingford.scheduling._migration import Migrator
from waxwingford.scheduling._order_factory import OrderFactory
from waxwingford.scheduling._orders import Batch, Start
from waxwingford.scheduling._pacing import FULL_PERCENT, Pacer
from waxwingford.scheduling._penalties import (
    STALLED_RUN_PENALTY,
    decay_penalty,
    penalize_server,
    readmit_last_servers,
)
from waxwingford.scheduling._placing import Placer
from waxwingford.scheduling._recovery import InheritedLeases, StateRecovery
from waxwingford.scheduling._rows import (
    INTERFERENCE_KEY,
    LOSSES_KEY,
    OBSOLETE_INTERFERENCE_KEY,
)
from waxwingford.scheduling._servers import Server, ServerEntry
from waxwingford.scheduling._settle import Settler
from waxwingford.scheduling._shard_state import ShardState
from waxwingford.scheduling._specs import JobSpec, Terms
from waxwingford.scheduling._state import Job, JobPhase, Run, RunPhase, Step
from waxwingford.scheduling._stops import Stopper

#: A run is stopped after this time without progress, in ms. Progress is listed
#: in percent, and the shortest tasks take some hundred ms.
STALLED_RUN_TIMEOUT_MS = 2500
#: The same for a best-effort task, in ms, which may be starved of CPU for a
#: while.
STALLED_BEST_EFFORT_TIMEOUT_MS = 6000
#: The same for a long-running task that isn't ready, in ms.
STALLED_LONG_RUNNING_TIMEOUT_MS = 4000
#: Interval between updates of the stored interference of best-effort tasks, in
#: ms. A new owner has to learn again what isn't stored, and each pair of images
#: interferes once more meanwhile.
STORE_INTERFERENCE_INTERVAL_MS = 2000
#: Interval between checks of all servers for expired leases, stalled runs and
#: stops to send, in ms. None of them is urgent, while a decision, with placement,
#: follows each answer of a server.
MAINTENANCE_INTERVAL_MS = 50
#: Interval between stores of outlived starts, in ms. Without them, a new owner
#: would suspect the latest starts on a server that crashes along with the
#: owner.
MARK_OUTLIVED_INTERVAL_MS = 200
#: Longest lease that servers accept unless it is configured, in ms.
MAX_LEASE_MS = 10_000
#: Progress of a long-running task that is ready, in percent.
READY_PERCENT = 100
_NOTHING = Resources(0, 0, 0)


class Engine:
    """Makes the decisions of one owner of a shard."""

    def __init__(
        self,
        token: int,
        lease_ms: int,
        inherited: InheritedLeases,
        max_lease_ms: int = MAX_LEASE_MS,
    ) -> None:
        """Create an engine without jobs or servers.

        :param token: fencing token of the owner.
        :param lease_ms: length of the leases granted to servers, in ms.
        :param max_lease_ms: longest lease that a server accepts, in ms.
        """
        self.state = ShardState()
        self.orders = OrderFactory(self.state, token, lease_ms)
        self.recovery = StateRecovery(self.state)
        self._inherited_leases = inherited
        self.settler = Settler(self.state, max_lease_ms)
        self._stopper = Stopper(self.state)
        self.lease_withholding = LeaseWithholding(self.state)
        self._harm = InterferenceModel()
        self._placer = Placer(self.state, self._harm)
        self.pacer = Pacer(self.state, self._harm)
        self._migrator = Migrator(self.state, self._placer)
        self._cancelled: set[str] = set()
        self._maintained_ms = 0
        self.timely = True
        self._interference_stored_ms = 0
        self._outlived_marked_ms = 0
        self._jobs_to_release: dict[str, Job] = {}
        self._timed_job_by_id: dict[str, Job] = {}
        self._evacuations = Evacuations(self.state)

    def submit(self, spec: JobSpec, now_ms: int) -> bool:
        """Add a stored job; known jobs are ignored.

        :param now_ms: current monotonic time, in ms.
        :returns: whether the job is new.
        """
        if not self.state.submit(spec, now_ms):
            return False
        job = self.state.job_by_id[spec.job_id]
        self._jobs_to_release[spec.job_id] = job
        if spec.times:
            self._timed_job_by_id[spec.job_id] = job
        if spec.job_id in self._cancelled:
            self.cancel(spec.job_id)
        return True

    def set_aside(self, job_id: str, key: str, error: Exception) -> None:
        """Fail a stored job that can't be read, without starting anything of it.

        :param key: key of its record, for the log.
        :param error: why it can't be read.
        """
        self.state.fail_unread(job_id)
        self.state.notes.add_unreadable(key, error)

    def cancel(self, job_id: str) -> None:
        """Apply a stored cancellation.

        :param job_id: identifier of the job, which may be submitted later.
        """
        job = self.state.job_by_id.get(job_id)
        if job is None:
            if job_id not in self.state.final_phase_by_job:
                self._cancelled.add(job_id)
            return
        self._cancelled.discard(job_id)
        self.state.finish(job, JobPhase.cancelled)

    def configure(self, terms: Terms) -> None:
        """Apply what operators have set unless a newer version is in force."""
        if terms.version >= self.state.terms.version:
            self.state.terms = terms

    def restore(self, rows: dict[str, bytes]) -> None:
        """Read the rows of previous owners, before any job is submitted.

        :param rows: newest rows by key.
        """
        rows.pop(OBSOLETE_INTERFERENCE_KEY, None)
        harm = rows.pop(INTERFERENCE_KEY, None)
        if harm is not None:
            try:
                self._harm.restore(harm)
            except ValueError as error:
                self.state.notes.add_unreadable(INTERFERENCE_KEY, error)
        losses = rows.pop(LOSSES_KEY, None)
        if losses is not None:
            try:
                self.state.crash_records.losses.restore(losses)
            except ValueError as error:
                self.state.notes.add_unreadable(LOSSES_KEY, error)
        self.recovery.restore(rows)

    def inherit(self, now_ms: int, wall_ms: int) -> None:
        """Apply the restored rows, once all jobs are submitted.

        :param now_ms: current monotonic time, in ms.
        :param wall_ms: current Unix time, in ms.
        """
        self.state.wall_offset_ms = wall_ms - now_ms
        self.recovery.apply(now_ms, wall_ms)
        self._jobs_to_release.update(self.state.job_by_id)

    def register(self, entries: Iterable[ServerEntry], now_ms: int) -> None:
        """Apply the newest registrations of backend servers.

        :param entries: all current registrations.
        :param now_ms: current monotonic time, in ms.
        """
        entry_by_id = {entry.server_id: entry for entry in entries}
        for server_id, entry in entry_by_id.items():
            server = self.state.server_by_id.get(server_id)
            if server is None:
                self._add(entry, now_ms)
            else:
                self.settler.restarts.registered(server, entry, now_ms)
        for server_id, server in self.state.server_by_id.items():
            if server_id not in entry_by_id:
                server.registered = False
        for server_id in list(self.recovery.orphans_by_server):
            self._add_unlisted(server_id, now_ms)
        self.pacer.count()

    def poll_answered(
        self, server: Server, sent_ms: int, now_ms: int, outcome: PollOutcome
    ) -> None:
        """Apply the outcome of a poll.

        :param sent_ms: monotonic time in ms at which the poll was sent.
        :param now_ms: current monotonic time, in ms.
        """
        server = self.settler.poll_answered(server, sent_ms, now_ms, outcome)
        if server.polled_ms != sent_ms:
            return
        self._harm.learn(server, now_ms)
        if self.pacer.needs_frequent_polls(server):
            if (
                now_ms - self._interference_stored_ms
                >= STORE_INTERFERENCE_INTERVAL_MS
            ):
                self._interference_stored_ms = now_ms
                self.state.learned.interference_row = self._harm.encode()
            self.pacer.adjust_paces(server, now_ms)

    def start_answered(
        self, server: Server, run: Run, now_ms: int, outcome: OrderOutcome
    ) -> None:
        """Apply the outcome of a start order.

        A best-effort task starts at full speed; if it is known to harm the
        tasks on its server, it is slowed at once instead of after the next
        poll.

        :param now_ms: current monotonic time, in ms.
        """
        self.settler.start_answered(server, run, now_ms, outcome)
        if isinstance(
            outcome, OrderAccepted
        ) and self.pacer.needs_frequent_polls(server):
            self.pacer.adjust_paces(server, now_ms)

    def decide(
        self,
        now_ms: int,
        wall_ms: int,
        max_starts: float = math.inf,
        timely: bool = True,
        overloaded: bool = False,
    ) -> Decision:
        """Check servers and runs, release due steps and place tasks.

        :param now_ms: current monotonic time, in ms.
        :param wall_ms: current Unix time, in ms, for timed jobs.
        :param max_starts: number of runs that may be planned now.
        :param timely: whether answers of servers are read in time, so that
            silence means that they don't answer.
        :param overloaded: whether the owner's processor limits the starts.
        """
        self.timely = timely
        self.state.wall_offset_ms = wall_ms - now_ms
        self._evacuations.update()
        if now_ms - self._maintained_ms >= MAINTENANCE_INTERVAL_MS:
            self._maintained_ms = now_ms
            for server in list(self.state.server_by_id.values()):
                self._maintain(server, now_ms)
            self._migrator.migrate(now_ms)
            readmit_last_servers(self.state, now_ms)
            if now_ms - self._outlived_marked_ms >= MARK_OUTLIVED_INTERVAL_MS:
                self._outlived_marked_ms = now_ms
                mark_outlived(self.state)
        to_release = {**self._jobs_to_release, **self._timed_job_by_id}
        self._jobs_to_release = {}
        for job_id, job in to_release.items():
            self._placer.release_tasks(job, now_ms, wall_ms)
            if job.ended is not None:
                self._timed_job_by_id.pop(job_id, None)
        if not self.state.terms.version:
            # Neither the services of the queues nor evacuations are known yet.
            max_starts = 0
        decision = self._placer.place(now_ms, max_starts, overloaded)
        return decision._replace(returned=self.settler.take_returned())

    def take_batch(self) -> Batch:
        """Remove and return everything that has to be stored."""
        batch = self.state.take_batch()
        batch.payload_by_key.update(self.state.remove_ended_jobs())
        return batch

    def stored(self, batch: Batch) -> list[Start]:
        """Apply the actions of a stored batch.

        :param batch: batch that was stored.
        :returns: starts to send now.
        """
        for job, _ in batch.shown:
            self._jobs_to_release[job.spec.job_id] = job
        return self.state.stored(batch)

    def _add(self, entry: ServerEntry, now_ms: int) -> None:
        server = Server(entry)
        self.state.server_by_id[entry.server_id] = server
        if entry.server_id in self.recovery.orphans_by_server:
            server.inherited_lease_until_ms = self._inherited_leases.until(
                entry.server_id
            )
            self.recovery.adopt(server)

    def _add_unlisted(self, server_id: str, now_ms: int) -> None:
        entry = ServerEntry(
            server_id, '', '', '', frozenset(), _NOTHING, draining=True
        )
        self._add(entry, now_ms)
        self.state.server_by_id[server_id].registered = False

    def _maintain(self, server: Server, now_ms: int) -> None:
        decay_penalty(server, now_ms)
        if server.starts_in_doubt:
            self.settler.restarts.forget_old_doubts(server, now_ms)
        if _may_be_lost(server, self.timely):
            self.settler.settle_expired(server, now_ms)
        for run, step in _stalled_runs(server):
            run.stopping = True
            self.state.notes.add(
                'run.stuck',
                run.key.task,
                run=run.key.run,
                server=run.server_id,
                percent=run.percent,
                still_ms=server.polled_ms - run.progress_changed_ms,
            )
            found = self.state.find(run.key)
            if found is not None:
                found[0].avoided.add(server.incarnation)
            if not step.spec.long_running:
                penalize_server(server, STALLED_RUN_PENALTY, now_ms)
        if server.entry.draining and server.registered:
            _stop_movable_runs(server)
        owes_stops = server.unknown_runs or server.stops_owed
        if owes_stops or _may_need_stops(server):
            self.settler.settle_unsent(server, now_ms)
            self._stopper.order_due(server, now_ms)
        if not server.registered and not server.run_by_key:
            self.state.server_by_id.pop(server.entry.server_id, None)


def _may_be_lost(server: Server, timely: bool) -> bool:
    """Whether the runs of a server are settled once its leases have expired.

    The answers of a server that seems silent to an overloaded owner may be
    unread, and list its runs as done.

    :param timely: whether answers of servers are read in time.
    """
    unreachable = (
        server.failing_since_ms is not None or not server.entry.endpoint
    )
    return server.replaced or (unreachable and timely)


def _may_need_stops(server: Server) -> bool:
    # A loop, as a call for each run of all servers takes several times as long.
    unresolved = RunPhase.unresolved
    for run in server.run_by_key.values():
        if run.stopping or run.phase is unresolved:
            return True
    return False


def _stalled_runs(server: Server) -> Iterator[tuple[Run, Step]]:
    changed_before_ms = server.polled_ms - STALLED_RUN_TIMEOUT_MS
    for key, run in server.run_by_key.items():
        # The cheapest and most selective checks come first.
        if (
            run.progress_changed_ms >= changed_before_ms
            or run.phase is not RunPhase.present
        ):
            continue
        stalled_ms = server.polled_ms - run.progress_changed_ms
        step = server.step_by_run[key]
        exempt = run.stopping or run.pace != FULL_PERCENT
        if not exempt and stalled_ms > _stall_timeout_ms(run, step):
            yield run, step


def _stall_timeout_ms(run: Run, step: Step) -> float:
    if step.spec.long_running:
        ready = run.percent >= READY_PERCENT
        return math.inf if ready else STALLED_LONG_RUNNING_TIMEOUT_MS
    return (
        STALLED_BEST_EFFORT_TIMEOUT_MS
        if step.spec.best_effort
        else STALLED_RUN_TIMEOUT_MS
    )


def _stop_movable_runs(server: Server) -> None:
    """Stop long-running tasks and tasks with checkpoints on a draining server.

    Otherwise they would be restarted elsewhere only after the server has exited
    and its lease has expired, several seconds later.
    """
    for key, run in server.run_by_key.items():
        spec = server.step_by_run[key].spec
        if run.phase is RunPhase.present and (
            spec.long_running or spec.writes_checkpoints
        ):
            run.stopping = True
