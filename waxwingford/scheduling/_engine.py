"""Scheduler of a shard: turns events into records and orders.

It performs no I/O and reads no clock, so that the daemon and simulations run
the same code. The caller stores each batch before it sends the starts in it.
"""

import functools
import math
from collections.abc import Iterable, Iterator

from waxwingford.scheduling._backend_client import (
    OrderAccepted,
    OrderOutcome,
    PollOutcome,
)
from waxwingford.scheduling._backlog import Decision
from waxwingford.scheduling._containment import attempt
from waxwingford.scheduling._disruption_budget import DisruptionBudget
from waxwingford.scheduling._evacuations import Evacuations
from waxwingford.scheduling._features import NO_FEATURES, Features
from waxwingford.scheduling._interference import InterferenceModel
from waxwingford.scheduling._lease_withholding import LeaseWithholding
from waxwingford.scheduling._maintenance import Maintenance
from waxwingford.scheduling._order_factory import OrderFactory
from waxwingford.scheduling._orders import Batch, Start
from waxwingford.scheduling._pacing import Pacer
from waxwingford.scheduling._placement import Placement
from waxwingford.scheduling._recovery import InheritedLeases, StateRecovery
from waxwingford.scheduling._rows import (
    INTERFERENCE_KEY,
    LOSSES_KEY,
    OBSOLETE_INTERFERENCE_KEY,
    InvalidSpecError,
)
from waxwingford.scheduling._server_registry import ServerRegistry
from waxwingford.scheduling._servers import Server, ServerEntry
from waxwingford.scheduling._settle import Settler
from waxwingford.scheduling._shard_state import ShardState, remove_ended_jobs
from waxwingford.scheduling._specs import JobSpec, Terms
from waxwingford.scheduling._state import EndReason, JobPhase, Run

#: Interval between updates of the stored interference of best-effort tasks, in
#: ms. A new owner has to learn again what isn't stored, and each pair of images
#: interferes once more meanwhile.
STORE_INTERFERENCE_INTERVAL_MS = 2000
#: Longest lease that servers accept unless it is configured, in ms.
MAX_LEASE_MS = 10_000


class Engine:
    """Makes the decisions of one owner of a shard.

    :ivar placement_view: what explanations of placements read.
    :ivar round_work: work of the latest placement round.
    :ivar admission: which jobs are refused for lack of room.
    """

    def __init__(
        self,
        token: int,
        lease_ms: int,
        inherited: InheritedLeases,
        max_lease_ms: int = MAX_LEASE_MS,
        features: Features = NO_FEATURES,
    ) -> None:
        """Create an engine without jobs or servers.

        :param token: fencing token of the owner.
        :param lease_ms: length of the leases granted to servers, in ms.
        :param max_lease_ms: longest lease that a server accepts, in ms.
        :param features: optional decisions.
        """
        self.features = features
        self.state = ShardState()
        self.state.crash_records.lease_ms = lease_ms
        self.orders = OrderFactory(self.state, token, lease_ms)
        self.recovery = StateRecovery(self.state)
        self.settler = Settler(self.state, max_lease_ms)
        self._registry = ServerRegistry(
            self.state, self.recovery, self.settler.restarts, inherited
        )
        self.lease_withholding = LeaseWithholding(self.state)
        self._harm = InterferenceModel()
        budget = DisruptionBudget(self.state, features.notice_ms)
        self._placement = Placement(self.state, self._harm, budget, features)
        self._placer = self._placement.placer
        self.round_work = self._placer.work
        self.placement_view = self._placement.view
        self.pacer = Pacer(self.state, self._harm)
        self._maintenance = Maintenance(
            self.state, self.settler, self._placer, budget
        )
        self.admission = self._placement.admission
        self.timely = True
        self._interference_stored_ms = 0
        self._evacuations = Evacuations(self.state)

    def submit(self, spec: JobSpec, now_ms: int) -> bool:
        """Add a stored job; known jobs are ignored.

        :param now_ms: current monotonic time, in ms.
        :returns: whether the job is new.
        """
        if not self.state.submit(spec, now_ms):
            return False
        self._placement.release.add(self.state.job_by_id[spec.job_id])
        if spec.job_id in self.state.past.cancelled_early:
            self.cancel(spec.job_id)
        return True

    def set_aside(self, job_id: str, key: str, error: Exception) -> None:
        """Start nothing of a stored job that can't be used.

        A record that can be read, and says what can't be scheduled, fails its job
        unless an owner, of another version, has started it. One that can't be read
        says nothing, so its job is left as it is.

        :param key: key of its record, for the log.
        :param error: why it can't be used.
        """
        state = self.state
        state.notes.add_unreadable(key, error)
        told = {'record': key, 'error': str(error)}
        match error:
            case _ if job_id in state.past.cancelled_early:
                state.finish_unscheduled(
                    job_id, JobPhase.cancelled, EndReason.cancelled
                )
            case InvalidSpecError() if not self.recovery.has_rows(job_id):
                state.finish_unscheduled(
                    job_id, JobPhase.failed, EndReason.invalid, **told
                )
            case _ if state.phase(job_id) is None:
                state.past.unread.add(job_id)
                state.notes.add('job.unread', job_id, **told)

    def cancel(self, job_id: str) -> None:
        """Apply a stored cancellation.

        :param job_id: identifier of the job, which may be submitted later.
        """
        job = self.state.job_by_id.get(job_id)
        if job_id in self.state.past.unread.phase_by_job:
            self.state.finish_unscheduled(
                job_id, JobPhase.cancelled, EndReason.cancelled
            )
        if job is None:
            if job_id not in self.state.past.phase_by_job:
                self.state.past.cancelled_early.add(job_id)
            return
        self.state.past.cancelled_early.discard(job_id)
        self.state.finish(job, JobPhase.cancelled, EndReason.cancelled)

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
                self._harm.pairs.restore(harm)
            except Exception as error:
                self.state.notes.add_unreadable(INTERFERENCE_KEY, error)
        losses = rows.pop(LOSSES_KEY, None)
        if losses is not None:
            try:
                self.state.crash_records.losses.restore(losses)
            except Exception as error:
                self.state.notes.add_unreadable(LOSSES_KEY, error)
        self.recovery.restore(rows)

    def inherit(self, now_ms: int, wall_ms: int) -> None:
        """Apply the restored rows at once, see ``inherit_in_parts``."""
        list(self.inherit_in_parts(now_ms, wall_ms))

    def inherit_in_parts(self, now_ms: int, wall_ms: int) -> Iterator[int]:
        """Apply the restored rows, once all jobs are submitted.

        :param now_ms: current monotonic time, in ms.
        :param wall_ms: current Unix time, in ms.
        :yields: the number of tasks that were gone over, after each part of the work.
        """
        self.state.wall_offset_ms = wall_ms - now_ms
        yield from self.recovery.apply(now_ms, wall_ms)
        for job in self.state.job_by_id.values():
            self._placement.release.add(job)

    def register(self, entries: Iterable[ServerEntry], now_ms: int) -> None:
        """Apply the newest registrations of backend servers.

        :param entries: all current registrations.
        :param now_ms: current monotonic time, in ms.
        """
        self._registry.register(entries, now_ms)
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
        learn = functools.partial(self._learn, server, now_ms)
        attempt(self.state.notes, 'learn', server.entry.server_id, learn)

    def _learn(self, server: Server, now_ms: int) -> None:
        self._harm.learn(server, now_ms)
        if self.pacer.needs_frequent_polls(server):
            if (
                now_ms - self._interference_stored_ms
                >= STORE_INTERFERENCE_INTERVAL_MS
            ):
                self._interference_stored_ms = now_ms
                self.state.learned.interference_row = self._harm.pairs.encode()
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
            adjust = functools.partial(self.pacer.adjust_paces, server, now_ms)
            attempt(self.state.notes, 'pace', server.entry.server_id, adjust)

    def decide(
        self,
        now_ms: int,
        wall_ms: int,
        max_starts: float = math.inf,
        timely: bool = True,
        overloaded: bool = False,
        late: bool = False,
    ) -> Decision:
        """Check servers and runs, release due steps and place tasks.

        :param now_ms: current monotonic time, in ms.
        :param wall_ms: current Unix time, in ms, for timed jobs.
        :param max_starts: number of runs that may be planned now.
        :param timely: whether answers of servers are read in time, so that
            silence means that they don't answer.
        :param overloaded: whether the owner's processor limits the starts.
        :param late: whether the owner reads the answers of servers late.
        """
        self.timely = timely
        _note_interruption(self.state, self.orders.token, now_ms, wall_ms)
        self.state.wall_offset_ms = wall_ms - now_ms
        attempt(self.state.notes, 'evacuate', '', self._evacuations.update)
        self._maintenance.check_due(now_ms, timely)
        records = self.state.crash_records
        if records.unjudged or records.undecided:
            judge = functools.partial(
                self._maintenance.judge_losses, now_ms, late
            )
            attempt(self.state.notes, 'judge losses', '', judge)
        self._placement.release.release(now_ms, wall_ms)
        if not self.state.terms.version:
            # Neither the services of the queues nor evacuations are known yet.
            max_starts = 0
        decision = self._placement.place(now_ms, max_starts, overloaded, timely)
        return decision._replace(returned=self.settler.take_returned())

    def take_batch(self) -> Batch:
        """Remove and return everything that has to be stored."""
        batch = self.state.take_batch()
        batch.payload_by_key.update(remove_ended_jobs(self.state))
        return batch

    def reject_rows(self, keys: Iterable[str]) -> None:
        """Fail the jobs whose rows the store never accepts.

        A job of which something isn't stored could run twice with the next owner.

        :param keys: keys of rows in the last batches.
        """
        for key in keys:
            self.state.notes.add('record.rejected', key)
            job = self.state.job_by_id.get(key.partition('.')[0])
            if job is not None:
                self.state.finish(
                    job, JobPhase.failed, EndReason.rejected, record=key
                )

    def stored(self, batch: Batch) -> list[Start]:
        """Apply the actions of a stored batch.

        :param batch: batch that was stored.
        :returns: starts to send now.
        """
        for job, _ in batch.shown:
            self._placement.release.add(job)
        return self.state.stored(batch)


def _note_interruption(
    state: ShardState, epoch: int, now_ms: int, wall_ms: int
) -> None:
    interruptions = state.crash_records.interruptions
    interruption = interruptions.note_decision(now_ms, wall_ms)
    if interruption is not None:
        state.notes.add(
            'owner.interrupted', '', epoch=epoch, **interruption._asdict()
        )
