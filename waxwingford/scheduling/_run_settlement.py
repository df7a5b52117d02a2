"""Settlement of single runs, and what their ends mean for tasks and jobs."""

from waxwingford.scheduling import _gangs as gangs
from waxwingford.scheduling._backend_client import EndKind, RunKey
from waxwingford.scheduling._copy_ends import keep_checkpoint, note_copy_end
from waxwingford.scheduling._crashes import clear_suspicion
from waxwingford.scheduling._disruption_budget import note_left_work
from waxwingford.scheduling._late_ends import note_lost
from waxwingford.scheduling._penalties import (
    FAILED_RUN_PENALTY,
    SUCCESS_PENALTY_FACTOR,
    penalize_server,
)
from waxwingford.scheduling._rows import MAX_CHECKPOINT_BYTES
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._shard_state import ShardState
from waxwingford.scheduling._state import (
    EndReason,
    JobPhase,
    Run,
    RunPhase,
    Step,
    Task,
)

#: Incarnations on which attempts of a task have failed that are stored, the latest.
MAX_FAILED_ON = 8


class RunSettlement:
    """Settles runs, and applies their ends to the state of a shard."""

    def __init__(self, state: ShardState) -> None:
        self._state = state
        self._returned = 0

    def take_returned(self) -> int:
        """Return how many tasks were requeued without a run since the last call."""
        returned = self._returned
        self._returned = 0
        return returned

    def settle(
        self,
        server: Server,
        run: Run,
        kind: EndKind | None,
        checkpoint: str,
        now_ms: int,
    ) -> None:
        """Settle a run, so that its task may start again.

        :param kind: how it ended, ``None`` if it isn't present without an end.
        :param checkpoint: checkpoint to resume from, empty to keep the former.
        :param now_ms: current monotonic time, in ms.
        """
        server.remove(run.key)
        if kind is None and run.phase is RunPhase.unresolved:
            server.starts_in_doubt[run.key] = now_ms
            # Another incarnation may carry it out, and list its end.
            note_lost(self._state, server, run)
        self._state.notes.add(
            'run.settled',
            run.key.task,
            run=run.key.run,
            server=run.server_id,
            how='absent' if kind is None else kind.value,
            was=run.phase.value,
            for_ms=now_ms - run.planned_ms,
            outlived_ms=server.outlived_ms(run),
        )
        found = self._state.find(run.key)
        if found is None:
            return
        task, step = found
        step.remove_run(task, run.key.run)
        note_left_work(run, task, kind, now_ms)
        began = kind is not None or run.accepted or run.outlived
        if began:
            step.job.last_run_ms = now_ms
        if kind is not None:
            # The server has survived the run, so the task didn't crash it.
            clear_suspicion(self._state, task, step)
        self._keep_checkpoint(task, step, run, checkpoint)
        note_copy_end(self._state, (task, step), run, kind, now_ms)
        if step.spec.gang and kind is not EndKind.done:
            gangs.stop_other_members(step, run.key.run)
        self._state.mark(step, task)
        self.apply_end_kind(server, run.key, kind, now_ms)
        if began or not task.pending_since_ms:
            # A start of which no run began doesn't interrupt the wait.
            task.pending_since_ms = now_ms
        requeued = _requeue(self._state, task, step)
        self._returned += requeued and not began
        task.copied &= not requeued

    def _keep_checkpoint(
        self, task: Task, step: Step, run: Run, checkpoint: str
    ) -> None:
        if step.checkpoint_to_share is not None:
            task.checkpoint = step.checkpoint_to_share
        former = task.checkpoint
        newest = self.newest_checkpoint(run, checkpoint, former)
        keep_checkpoint(task, run, newest)
        if step.spec.gang and task.checkpoint != former:
            self._state.learned.checkpoints.share(step, task.checkpoint)

    def newest_checkpoint(self, run: Run, checkpoint: str, former: str) -> str:
        """Choose the checkpoint to resume from.

        :param checkpoint: newest one of the run, empty for none. If it is too long
            to be stored, the one before is chosen.
        :param former: the one to keep without any of the run.
        """
        if not checkpoint:
            return former
        size = len(checkpoint.encode())
        if size <= MAX_CHECKPOINT_BYTES:
            return checkpoint
        self._state.notes.add_failure(
            'keep checkpoint',
            str(run.key.task),
            reason=f'{size} bytes, expected at most {MAX_CHECKPOINT_BYTES}',
        )
        return run.checkpoint or former

    def apply_end_kind(
        self,
        server: Server,
        key: RunKey,
        kind: EndKind | None,
        now_ms: int,
    ) -> None:
        """Apply how a run ended to its task and job.

        :param key: run of a known task.
        :param kind: how it ended, ``None`` if that isn't known.
        :param now_ms: current monotonic time, in ms.
        """
        found = self._state.find(key)
        if found is None:
            return
        task, step = found
        if kind is not None:
            step.job.note_begun(task)
        match kind:
            case EndKind.done:
                server.penalty *= SUCCESS_PENALTY_FACTOR
                self._apply_done(task, step)
            case EndKind.failed:
                task.failures += 1
                if step.spec.gang and not step.spec.long_running:
                    gangs.add_failed_run(task, key.run)
                self._penalize(server, step, key.run, now_ms)
                self._apply_failure(server, task, step, key.run)
            case _:
                pass

    def _apply_done(self, task: Task, step: Step) -> None:
        if task.done or step.spec.long_running:
            return
        # A gang is done as soon as one of its members is.
        ended = step.tasks if step.spec.gang else [task]
        for one in ended:
            one.done = True
            self._state.pending_by_key.discard(one.key)
        step.unfinished -= len(ended)
        if step.spec.gang:
            self._state.mark(step)
        for other in task.run_by_number.values():
            other.stopping = True
        if not step.unfinished:
            step.job.occurrences_to_release.add(step.occurrence)
            self._finish_occurrence(step)

    def _finish_occurrence(self, step: Step) -> None:
        job = step.job
        steps = job.steps_by_occurrence[step.occurrence]
        if any(other.unfinished for other in steps):
            return
        job.occurrences_left -= 1
        if not job.occurrences_left:
            self._state.finish(job, JobPhase.completed, EndReason.done)

    def _penalize(
        self, server: Server, step: Step, run_number: int, now_ms: int
    ) -> None:
        """Add the penalty for a failed run, once for all members of a gang."""
        if step.spec.gang:
            failed = step.name, run_number
            if server.penalized_gang == failed:
                return
            server.penalized_gang = failed
        penalize_server(server, FAILED_RUN_PENALTY, now_ms)

    def _apply_failure(
        self, server: Server, task: Task, step: Step, run_number: int
    ) -> None:
        task.avoided.add(server.incarnation)
        if step.spec.long_running or task.done:
            return
        if server.incarnation not in task.failed_on:
            task.failed_on.append(server.incarnation)
            del task.failed_on[:-MAX_FAILED_ON]
        if step.spec.gang:
            if step.judged_run == run_number:
                return
            step.judged_run = run_number
        failures = (
            gangs.count_failed_runs(step) if step.spec.gang else task.failures
        )
        most_attempts = self._state.queue_of(step.job).most_attempts
        if failures >= most_attempts and step.job.ended is None:
            counted: dict[str, object] = {
                'run': run_number,
                'gang': step.spec.gang,
                'failed_runs': failures,
                'most_attempts': most_attempts,
            }
            self._state.notes.add('task.exhausted', task.key, **counted)
            self._state.finish(
                step.job,
                JobPhase.failed,
                EndReason.attempts,
                task=str(task.key),
                **counted,
            )


def _requeue(state: ShardState, task: Task, step: Step) -> bool:
    """Make a task pending unless it is done, has another run or may not start."""
    job = step.job
    if task.done or task.run_by_number or job.ended is not None or job.blocked:
        return False
    state.pending_by_key.add(task)
    return True
