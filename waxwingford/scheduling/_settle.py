"""Settlement of runs from the answers and the silence of backend servers.

A run is settled, so that its task may start again, only if the old run is known
not to be active: its end was listed; its start was never sent or was refused;
it is missing from a poll sent after its stop was acknowledged, or from the
first poll of a new owner, that lists all ends; another incarnation has replaced its server; or every
lease that it may hold has expired. Anything weaker could run a task twice.
"""

from waxwingford.scheduling import _crashes as crashes
from waxwingford.scheduling._backend_client import (
    EndReport,
    OrderAccepted,
    OrderNotSent,
    OrderOutcome,
    OrderOutcomeUnknown,
    OrderRefused,
    PollOutcome,
    PollResult,
    RefusalReason,
    RunKey,
    RunningReport,
    ServerReplaced,
)
from waxwingford.scheduling._job_failures import review_suspects
from waxwingford.scheduling._late_ends import note_lost, take_late_end
from waxwingford.scheduling._progress import observe_progress
from waxwingford.scheduling._restarts import Restarts
from waxwingford.scheduling._run_settlement import RunSettlement
from waxwingford.scheduling._server_notes import (
    keep_settled,
    note_answers,
    note_awaited,
    note_run,
    note_silent,
    note_skipped_end,
)
from waxwingford.scheduling._servers import CLOCK_DRIFT, Server
from waxwingford.scheduling._shard_state import ShardState
from waxwingford.scheduling._state import NEVER_MS, Run, RunPhase, Task
from waxwingford.scheduling._stops import STOP_RETRY_INTERVAL_MS

#: Delay before a task is placed again after a refused start, in ms.
REFUSED_RETRY_DELAY_MS = 60
#: The delay doubles with each start refused as invalid, up to this, in ms,
#: because other servers will probably refuse it as well.
MAX_RETRY_DELAY_MS = 2000
#: Time without starts for a server that refused one as unhealthy, in ms.
UNHEALTHY_BACKOFF_MS = 1500
#: Longest time for which the answer to an order may be on its way, in ms.
MAX_ANSWER_AGE_MS = 300
#: Time without starts for a server that refused one for lack of room, in ms.
NO_ROOM_BACKOFF_MS = 300


class Settler:
    """Applies outcomes of polls and orders to the state of a shard.

    :ivar restarts: restarts of servers in place.
    """

    def __init__(self, state: ShardState, max_lease_ms: int) -> None:
        """Create a settler.

        :param max_lease_ms: longest lease that a server accepts, in ms.
        """
        self._state = state
        self._settlement = RunSettlement(state)
        self.restarts = Restarts(state, self._settlement, max_lease_ms)

    def take_returned(self) -> int:
        """Return how many tasks were requeued without a run since the last call."""
        return self._settlement.take_returned()

    def poll_answered(
        self, server: Server, sent_ms: int, now_ms: int, outcome: PollOutcome
    ) -> Server:
        """Apply the outcome of a poll.

        :param sent_ms: monotonic time in ms at which the poll was sent.
        :param now_ms: current monotonic time, in ms.
        :returns: incarnation that answered, or the given one.
        """
        if server.replaced:
            # An answer that was on its way when the restart was found.
            return server
        match outcome:
            case PollResult():
                server = self.restarts.answered_by(server, outcome, now_ms)
                self._apply_listing(server, sent_ms, now_ms, outcome)
            case ServerReplaced():
                server.replaced = True
                if not server.run_by_key:
                    crashes.record_loss(self._state, server, [], now_ms)
                self.settle_expired(server, now_ms)
            case OrderRefused() | OrderNotSent() | OrderOutcomeUnknown():
                reason = str(outcome)
                note_silent(self._state.notes, server, sent_ms, reason)
                _note_connection_lost(server, outcome, now_ms)
        return server

    def start_answered(
        self, server: Server, run: Run, now_ms: int, outcome: OrderOutcome
    ) -> None:
        """Apply the outcome of a start order.

        :param now_ms: current monotonic time, in ms.
        """
        if run.key not in server.run_by_key:
            return
        match outcome:
            case OrderAccepted(clock_ms):
                self._note_begun(server, run)
                server.enter(run, RunPhase.present, now_ms)
                run.progress_changed_ms = now_ms
                if _matches_clock(server, clock_ms, now_ms):
                    server.update_clock(clock_ms, now_ms)
                    run.started_server_clock_ms = clock_ms
                    run.begun = True
            case OrderRefused(reason):
                self._apply_refusal(server, run, now_ms, reason)
            case ServerReplaced():
                server.replaced = True
                # The other incarnation refused it, so it never began.
                self._settlement.settle(server, run, None, '', now_ms)
                self.settle_expired(server, now_ms)
            case OrderNotSent(reason):
                # There is no lease to wait for, and no retry delay is needed:
                # the server gets no starts until it answers a poll.
                note_silent(self._state.notes, server, now_ms, reason)
                note_run(self._state.notes, 'run.not_sent', run, reason)
                self._settlement.settle(server, run, None, '', now_ms)
            case OrderOutcomeUnknown(reason):
                _note_connection_lost(server, outcome, now_ms)
                run.unconfirmed = not outcome.connection_lost
                server.enter(run, RunPhase.unresolved, now_ms)
                found = self._state.find(run.key)
                if outcome.unexpected and found is not None:
                    found[0].avoided.add(server.incarnation)
                note_run(self._state.notes, 'run.doubtful', run, reason)

    def stop_answered(
        self, server: Server, key: RunKey, now_ms: int, outcome: OrderOutcome
    ) -> None:
        """Apply the outcome of a stop order.

        :param now_ms: current monotonic time, in ms.
        """
        run = server.run_by_key.get(key)
        match outcome:
            case OrderAccepted():
                server.unknown_runs.pop(key, None)
                server.stops_owed.pop(key, None)
                if run is not None and not run.stop_acknowledged_ms:
                    run.stop_acknowledged_ms = now_ms
            case ServerReplaced():
                server.replaced = True
                self.settle_expired(server, now_ms)
            case _:
                pass

    def settle_unsent(self, server: Server, now_ms: int) -> None:
        """Settle runs that were stopped before their start was sent.

        :param now_ms: current monotonic time, in ms.
        """
        for run in list(server.run_by_key.values()):
            if run.phase is RunPhase.planned and run.stopping:
                self._settlement.settle(server, run, None, '', now_ms)

    def settle_expired(self, server: Server, now_ms: int) -> None:
        """Settle all runs of a server once its leases have expired.

        :param server: replaced or unreachable server.
        :param now_ms: current monotonic time, in ms.
        """
        if not server.leases_expired(now_ms):
            note_awaited(self._state.notes, server, now_ms)
            return
        if server.run_by_key:
            count = len(server.run_by_key)
            self._state.notes.add(
                'server.lost',
                server.entry.server_id,
                replaced=server.replaced,
                runs=count,
            )
            suspects = crashes.find_suspects(server)
            crash = crashes.record_loss(self._state, server, suspects, now_ms)
            server.lost_ms = now_ms
            self._settle_lost(server, now_ms)
            suspected = crashes.add_evidence(
                self._state, server, suspects, crash, now_ms
            )
            if not server.replaced:
                keep_settled(server, count, suspected)

    def _settle_lost(self, server: Server, now_ms: int) -> None:
        for run in list(server.run_by_key.values()):
            note_lost(self._state, server, run)
            self._settlement.settle(server, run, None, run.checkpoint, now_ms)

    def _apply_listing(
        self, server: Server, sent_ms: int, now_ms: int, answer: PollResult
    ) -> None:
        # The clock of an incarnation never goes back.
        goes_on = answer.clock_ms >= server.latest_clock_ms
        server.update_clock(answer.clock_ms, now_ms)
        note_answers(self._state.notes, server, now_ms)
        server.failing_since_ms = None
        server.connection_lost_ms = None
        server.awaited = False
        for end in answer.ended:
            self._apply_end(server, end, now_ms)
        listed = {report.run for report in answer.running}
        for report in answer.running:
            self._apply_running(server, report, now_ms)
        crashes.clear_outlived(self._state, server)
        if goes_on:
            review_suspects(self._state, server, sent_ms)
        if answer.lists_all_ends:
            self._apply_absences(server, answer, sent_ms, now_ms)
        server.unknown_runs = {
            key: sent_ms
            for key, sent_ms in server.unknown_runs.items()
            if key in listed
        }
        server.polled_ms = sent_ms

    def _apply_absences(
        self, server: Server, answer: PollResult, sent_ms: int, now_ms: int
    ) -> None:
        """Judge the runs that a server lists neither as running nor as ended.

        :param answer: answer that lists all ends. From any other, ends of these
            runs may be missing.
        """
        listed = {report.run for report in answer.running}
        if server.crash is not None:
            ended = {end.run for end in answer.ended}
            self.restarts.judge_crash(
                server, server.crash, listed | ended, now_ms
            )
        for run in list(server.run_by_key.values()):
            if run.key not in listed:
                self._apply_absence(server, run, sent_ms, now_ms)

    def _apply_running(
        self, server: Server, report: RunningReport, now_ms: int
    ) -> None:
        run = server.run_by_key.get(report.run)
        if run is None:
            self._apply_unknown(server, report.run, now_ms)
            return
        observe_progress(self._state, server, run, report.percent, now_ms)
        if run.phase is not RunPhase.present or report.percent != run.percent:
            # A run that is listed for the first time counts as having
            # progressed until now: a new owner may poll its server only after
            # seconds.
            run.percent = report.percent
            run.progress_changed_ms = now_ms
        if run.phase is not RunPhase.present:
            self._note_begun(server, run)
            server.enter(run, RunPhase.present, now_ms)
        self.restarts.note_listed(server, run)
        if run.started_server_clock_ms is None:
            run.started_server_clock_ms = server.latest_clock_ms
        run.checkpoint = self._settlement.newest_checkpoint(
            run, report.checkpoint, run.checkpoint
        )
        run.measured_value = report.measured_value

    def _apply_unknown(self, server: Server, key: RunKey, now_ms: int) -> None:
        """Have a run stopped that this owner doesn't track."""
        job_id = key.task.job_id
        if job_id in self._state.past.unread.phase_by_job:
            # It goes on, and the server gets no starts, as its needs are unknown.
            self._state.past.unread.note_begun(job_id)
            server.unknown_runs[key] = NEVER_MS
        elif server.unknown_runs.get(key, NEVER_MS) == NEVER_MS:
            # A delayed start of a run that was settled, or of a job that has
            # ended. It has to be stopped: it shares the lease of the other
            # runs there, which is extended.
            server.unknown_runs[key] = now_ms - STOP_RETRY_INTERVAL_MS
            self._state.notes.add(
                'run.unknown',
                key.task,
                run=key.run,
                server=server.entry.server_id,
            )

    def _note_begun(self, server: Server, run: Run) -> None:
        run.accepted = True
        step = server.step_by_run[run.key]
        task = step.tasks[run.key.task.index]
        suspected = task.suspected_crashes or task.lost_starts
        if suspected or (run.adopted and not task.begun):
            # The next owner has to know what has begun on a server that is lost
            # together with this owner. A former owner may have ended before it
            # stored that the task has begun.
            self._state.mark(step, task)
        task.begun = True
        step.job.begun = True

    def _apply_absence(
        self, server: Server, run: Run, sent_ms: int, now_ms: int
    ) -> None:
        match run.phase:
            case RunPhase.inherited:
                # The server has seen the new fencing token, so it refuses any
                # delayed start of the previous owner.
                self._settlement.settle(
                    server, run, None, run.checkpoint, now_ms
                )
            case RunPhase.present if sent_ms > run.phase_since_ms:
                if run.incarnation == server.incarnation:
                    run.stopping = True
                else:
                    # Accepted by the former incarnation.
                    self._settlement.settle(
                        server, run, None, run.checkpoint, now_ms
                    )
            case _:
                pass
        stopped = (
            run.stop_acknowledged_ms and sent_ms > run.stop_acknowledged_ms
        )
        if stopped and run.key in server.run_by_key:
            # The server refuses a stopped run even if its start arrives later.
            self._settlement.settle(server, run, None, run.checkpoint, now_ms)

    def _apply_refusal(
        self, server: Server, run: Run, now_ms: int, reason: RefusalReason
    ) -> None:
        match reason:
            case RefusalReason.unhealthy:
                server.refusal_backoff_until_ms = now_ms + UNHEALTHY_BACKOFF_MS
            case RefusalReason.no_room:
                server.refusal_backoff_until_ms = now_ms + NO_ROOM_BACKOFF_MS
            case _:
                pass
        note_run(self._state.notes, 'run.refused', run, reason.value)
        found = self._state.find(run.key)
        self._settlement.settle(server, run, None, '', now_ms)
        if found is not None:
            task = found[0]
            task.start_refused_ms = now_ms
            task.delay(now_ms + _refused_retry_delay_ms(task))
            task.invalid_starts += reason is RefusalReason.invalid

    def _apply_end(self, server: Server, end: EndReport, now_ms: int) -> None:
        if end.number <= server.processed_end:
            if end.run in server.run_by_key:
                note_skipped_end(self._state.notes, server, end)
            return
        server.processed_end = end.number
        if end.run.task.job_id in self._state.past.unread.phase_by_job:
            server.keeps_ends = True
        if not server.keeps_ends:
            self._state.acknowledge_end(server.incarnation, end.number)
        server.unknown_runs.pop(end.run, None)
        run = server.run_by_key.get(end.run)
        if run is not None:
            self._settlement.settle(
                server, run, end.kind, end.checkpoint, now_ms
            )
            return
        if take_late_end(self._state, server, end):
            self._settlement.apply_end_kind(server, end.run, end.kind, now_ms)


def _matches_clock(server: Server, clock_ms: int, now_ms: int) -> bool:
    """Whether a reading may be of the clock of this incarnation.

    The clock of the next incarnation starts anew, and answers to orders don't
    tell which incarnation gave them.

    :param clock_ms: server clock in the answer to an order, in ms.
    :param now_ms: monotonic time in ms at which the answer arrived.
    """
    if server.clock_offset_ms is None:
        return False
    elapsed_ms = now_ms - server.clock_updated_ms
    expected_ms = now_ms + server.clock_offset_ms
    tolerance_ms = MAX_ANSWER_AGE_MS + elapsed_ms * CLOCK_DRIFT
    return abs(clock_ms - expected_ms) <= tolerance_ms


def _refused_retry_delay_ms(task: Task) -> int:
    return min(
        MAX_RETRY_DELAY_MS, REFUSED_RETRY_DELAY_MS << task.invalid_starts
    )


def _note_connection_lost(
    server: Server, outcome: PollOutcome | OrderOutcome, now_ms: int
) -> None:
    connection_lost = (
        isinstance(outcome, OrderOutcomeUnknown) and outcome.connection_lost
    )
    if connection_lost and server.connection_lost_ms is None:
        server.connection_lost_ms = now_ms
