"""Recovery of a new owner from the rows of previous owners."""

import collections
from collections.abc import Iterator
from typing import NamedTuple

from waxwingford.scheduling import _gangs as gangs
from waxwingford.scheduling._crashes import hold_suspects, note_suspicion
from waxwingford.scheduling._rows import (
    ENDED_PREFIX,
    TASKS_PER_ROW,
    apply_step_row,
    decode_end,
    parse_step_key,
    tells_begun,
)
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._shard_state import ShardState, steps_of
from waxwingford.scheduling._state import (
    EndReason,
    Job,
    JobPhase,
    Run,
    Step,
)


class InheritedLeases(NamedTuple):
    """Latest ends of the leases granted by previous owners.

    :ivar until_ms: latest end for any server, as monotonic time in ms.
    :ivar until_by_server: earlier times for servers that the previous owner
        reported as silent, by server id.
    """

    until_ms: int
    until_by_server: dict[str, int]

    def until(self, server_id: str) -> int:
        """Latest end of the leases on a server.

        :param server_id: identifier of the server; the bound holds for all of its
            incarnations.
        :returns: monotonic time in ms from which on no run of a previous owner
            is active there.
        """
        server_until_ms = self.until_by_server.get(server_id, self.until_ms)
        return min(self.until_ms, server_until_ms)


class StateRecovery:
    """Restores the state of a shard from the rows in the store.

    :ivar orphans_by_server: recorded runs on servers that have not been added
        to the state yet.
    """

    def __init__(self, state: ShardState) -> None:
        self.orphans_by_server: dict[str, list[tuple[Run, Step]]] = (
            collections.defaultdict(list)
        )
        self._state = state
        self._row_by_key: dict[str, bytes] = {}
        self._held_job_ids: set[str] = set()

    def restore(self, payload_by_key: dict[str, bytes]) -> None:
        """Read the rows of the store; those of steps are applied later.

        :param payload_by_key: newest rows by key.
        """
        for key, raw in payload_by_key.items():
            if key.startswith(ENDED_PREFIX):
                self._restore_end(key, raw)
            else:
                self._row_by_key[key] = raw

    def has_rows(self, job_id: str) -> bool:
        """Whether restored rows of a job's steps are still to be applied."""
        return any(key.startswith(f'{job_id}.') for key in self._row_by_key)

    def apply(self, now_ms: int, wall_ms: int) -> Iterator[int]:
        """Apply the rows of steps, once all jobs are submitted.

        :param now_ms: current monotonic time, in ms.
        :param wall_ms: current Unix time, in ms.
        :yields: the number of tasks that were gone over, after each part of the work.
        """
        # The first rows come first: those of earlier versions may hold tasks of
        # later rows, which are newer.
        for key, raw in sorted(self._row_by_key.items(), key=_part_order):
            try:
                self._apply_row(key, raw, now_ms, wall_ms)
            except Exception as error:
                self._hold_job(key, error)
            yield TASKS_PER_ROW
        self._row_by_key.clear()
        for job_id in self._held_job_ids & self._state.job_by_id.keys():
            # The row was written for a planned run, and most planned runs begin.
            job = self._state.job_by_id[job_id]
            job.blocked = True
            job.begun = True
        for job in self._state.job_by_id.values():
            if job.begun and job.ended is None:
                job.reported_phase = JobPhase.running
            self._update_remaining(job)
            for step in steps_of(job):
                self._find_orphans(job, step)
                self._restore_suspects(step)
                yield step.spec.count
            yield 1

    def _restore_end(self, key: str, raw: bytes) -> None:
        job_id = key.removeprefix(ENDED_PREFIX)
        try:
            self._state.past.phase_by_job[job_id] = decode_end(raw)
        except ValueError as error:
            self._hold_job(key, error)

    def _apply_row(
        self, key: str, raw: bytes, now_ms: int, wall_ms: int
    ) -> None:
        step_key = parse_step_key(key)
        job = self._state.job_by_id.get(step_key.job_id)
        if step_key.job_id in self._state.past.unread.phase_by_job:
            if tells_begun(raw):
                self._state.past.unread.note_begun(step_key.job_id)
            return
        if job is None:
            # The job has ended, and its owner before it had deleted the row.
            self._state.past.delete_row(key)
            return
        if apply_step_row(job, step_key, raw, now_ms, wall_ms):
            steps = job.steps_by_occurrence[step_key.occurrence]
            self._state.mark(steps[step_key.index])

    def _hold_job(self, key: str, error: Exception) -> None:
        """Start no more tasks of a job with an unreadable row.

        A task that runs or is done according to that row would run twice.

        :param error: error of the decoder, or an unexpected one.
        """
        self._held_job_ids.add(key.removeprefix(ENDED_PREFIX).partition('.')[0])
        self._state.notes.add_unreadable(key, error)

    def adopt(self, server: Server) -> None:
        """Add the recorded runs of a server to it.

        :param server: server that was just added.
        """
        for run, step in self.orphans_by_server.pop(server.entry.server_id, ()):
            server.add(run, step)

    def _update_remaining(self, job: Job) -> None:
        """Count the repetitions left, and end a job without any.

        The count is otherwise checked only when a run ends, which never happens
        in a job whose tasks are all done.
        """
        job.occurrences_left = job.spec.occurrences - sum(
            not any(step.unfinished for step in steps)
            for steps in job.steps_by_occurrence.values()
        )
        if not job.occurrences_left:
            self._state.finish(job, JobPhase.completed, EndReason.done)

    def _find_orphans(self, job: Job, step: Step) -> None:
        runs = (
            (run, task)
            for task in step.tasks
            for run in task.run_by_number.values()
        )
        for run, task in runs:
            # A cancellation is applied before the rows, so it could not
            # stop these runs. Another run of a done task may be a copy, or
            # have one, whose stop the previous owner hadn't seen carried out.
            outdone = task.done and not step.spec.gang
            run.stopping = job.ended is not None or outdone
            self.orphans_by_server[run.server_id].append((run, step))
        if step.spec.gang:
            gangs.stop_incomplete(step)

    def _restore_suspects(self, step: Step) -> None:
        for task in step.tasks:
            if task.suspected_crashes:
                note_suspicion(task, step)
                self._state.crash_records.add_suspect(task, step)
                hold_suspects(self._state, task, step)


def _part_order(row: tuple[str, bytes]) -> int:
    try:
        return parse_step_key(row[0]).part
    except ValueError:
        # Applying it tells why.
        return 0
