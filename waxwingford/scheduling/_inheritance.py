"""What a new owner takes over from the rows of its predecessor."""

import collections
from typing import NamedTuple

from waxwingford.scheduling import _gangs as gangs
from waxwingford.scheduling._book import Book, steps_of
from waxwingford.scheduling._rows import (
    ENDED_PREFIX,
    apply_step_row,
    decode_end,
    parse_step_key,
)
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._state import Job, JobPhase, Run, Step


class InheritedLeases(NamedTuple):
    """When the leases that former owners gave are over, steady time.

    :ivar until_ms: on servers that are not named.
    :ivar until_by_server: on servers that were silent for the former owner.
    """

    until_ms: int
    until_by_server: dict[str, int]

    def until(self, server_id: str) -> int:
        """Find the bound for a server.

        :param server_id: which.
        :returns: steady time at which nothing of former owners runs there.
        """
        server_until_ms = self.until_by_server.get(server_id, self.until_ms)
        return min(self.until_ms, server_until_ms)


class StateRecovery:
    """Rows of the store on their way into a book.

    :ivar orphans_by_server: recorded runs on servers that aren't known yet.
    """

    def __init__(self, book: Book) -> None:
        """Work on a book.

        :param book: of the shard.
        """
        self.orphans_by_server: dict[str, list[tuple[Run, Step]]] = (
            collections.defaultdict(list)
        )
        self._book = book
        self._row_by_key: dict[str, bytes] = {}
        self._held_job_ids: set[str] = set()

    def restore(self, payload_by_key: dict[str, bytes]) -> None:
        """Keep the rows of the store for the jobs that are still to come.

        :param payload_by_key: newest rows by key.
        """
        for key, raw in payload_by_key.items():
            if key.startswith(ENDED_PREFIX):
                self._restore_end(key, raw)
            else:
                self._row_by_key[key] = raw

    def apply(self, now_ms: int, wall_ms: int) -> None:
        """Put the kept rows into their jobs, once all jobs are known.

        :param now_ms: steady time.
        :param wall_ms: Unix time.
        """
        for key, raw in self._row_by_key.items():
            try:
                self._apply_row(key, raw, now_ms, wall_ms)
            except ValueError as error:
                self._hold_job(key, error)
        self._row_by_key.clear()
        for job_id in self._held_job_ids & self._book.job_by_id.keys():
            self._book.job_by_id[job_id].held = True
        for job in self._book.job_by_id.values():
            self._update_remaining(job)
            self._find_orphans(job)

    def _restore_end(self, key: str, raw: bytes) -> None:
        job_id = key.removeprefix(ENDED_PREFIX)
        try:
            self._book.end_by_job[job_id] = decode_end(raw)
        except ValueError as error:
            self._hold_job(key, error)

    def _apply_row(
        self, key: str, raw: bytes, now_ms: int, wall_ms: int
    ) -> None:
        name = parse_step_key(key)
        job = self._book.job_by_id.get(name.job_id)
        if job is not None:
            apply_step_row(job, name, raw, now_ms, wall_ms)
            if job.ended is None:
                job.shown = JobPhase.running

    def _hold_job(self, key: str, error: ValueError) -> None:
        """Start nothing more of a job of which a row can't be read.

        What it says of runs and ends is not known: a task that runs, or is done,
        would be started once more.

        :param key: of the row.
        :param error: what is wrong with it.
        """
        self._held_job_ids.add(key.removeprefix(ENDED_PREFIX).partition('.')[0])
        self._book.notes.add_unreadable(key, error)

    def adopt(self, server: Server) -> None:
        """Give a server the runs that are recorded on it.

        :param server: just found.
        """
        for run, step in self.orphans_by_server.pop(server.entry.server_id, ()):
            server.add(run, step)

    def _update_remaining(self, job: Job) -> None:
        """Count the repetitions that are left; end a job that has none.

        That is asked again only when a run of the job ends, and of a job of
        which all is done none ever does: it would be shown as running for good.

        :param job: which.
        """
        job.occurrences_left = job.spec.occurrences - sum(
            not any(step.left for step in steps)
            for steps in job.steps_by_occurrence.values()
        )
        if not job.occurrences_left:
            self._book.finish(job, JobPhase.completed)

    def _find_orphans(self, job: Job) -> None:
        for step in steps_of(job):
            runs = (
                run
                for task in step.tasks
                for run in task.run_by_number.values()
            )
            for run in runs:
                # The cancelling of a job is read before its rows: what runs
                # of it was not known yet when the job was ended.
                run.stopping = job.ended is not None
                self.orphans_by_server[run.server_id].append((run, step))
            if step.spec.gang:
                gangs.stop_broken(step)
