"""Notes about runs and about servers that don't answer."""

from collections.abc import Iterable

from waxwingford.scheduling._backend_client import EndReport, TaskKey
from waxwingford.scheduling._notes import NoteBuffer
from waxwingford.scheduling._servers import Server, SettledRuns
from waxwingford.scheduling._state import Run, RunPhase

#: Silence after which the wait for the leases of a server to expire is noted,
#: in ms. Connections that were reset are restored within 200 ms.
AWAITED_NOTE_DELAY_MS = 1000
#: Largest number of suspected tasks that are told of when a server answers again.
MAX_TOLD_SUSPECTS = 8


def note_run(notes: NoteBuffer, event: str, run: Run, reason: str) -> None:
    """Add a note about a run."""
    notes.add(
        event,
        run.key.task,
        run=run.key.run,
        server=run.server_id,
        reason=reason,
    )


def note_silent(
    notes: NoteBuffer, server: Server, since_ms: int, reason: str
) -> None:
    """Mark a server as silent, so that it gets no starts, and note it once.

    :param since_ms: monotonic time in ms since which it hasn't answered.
    :param reason: error of the call.
    """
    if server.failing_since_ms is None:
        server.failing_since_ms = since_ms
        notes.add('server.silent', server.entry.server_id, reason=reason)


def keep_settled(
    server: Server, count: int, suspected: Iterable[TaskKey]
) -> None:
    """Keep which runs of a silent server were settled, in case it answers again.

    :param count: number of these runs.
    :param suspected: tasks that are suspected because of it.
    """
    former = server.settled_silent
    tasks = (*former.suspected, *suspected)
    server.settled_silent = SettledRuns(
        former.count + count, tasks[:MAX_TOLD_SUSPECTS]
    )


def note_answers(notes: NoteBuffer, server: Server, now_ms: int) -> None:
    """Note that a silent server answers again, and wasn't lost if it was settled.

    :param now_ms: current monotonic time, in ms.
    """
    if server.failing_since_ms is None:
        return
    server_id = server.entry.server_id
    silent_ms = now_ms - server.failing_since_ms
    notes.add('server.answers', server_id, silent_ms=silent_ms)
    settled = server.settled_silent
    if settled.count:
        server.settled_silent = SettledRuns()
        notes.add(
            'server.loss_refuted',
            server_id,
            started_ms=server.incarnation.started_ms,
            runs=settled.count,
            suspected=[str(key) for key in settled.suspected],
            silent_ms=silent_ms,
        )


def note_awaited(notes: NoteBuffer, server: Server, now_ms: int) -> None:
    """Note once that the tasks of a server wait for its leases to expire.

    No other note explains why these tasks are not restarted for several
    seconds.

    :param now_ms: current monotonic time, in ms.
    """
    since_ms = server.failing_since_ms
    silent_ms = AWAITED_NOTE_DELAY_MS if since_ms is None else now_ms - since_ms
    if (
        server.awaited
        or not server.run_by_key
        or silent_ms < AWAITED_NOTE_DELAY_MS
    ):
        return
    server.awaited = True
    runs = server.run_by_key.values()
    notes.add(
        'server.awaited',
        server.entry.server_id,
        runs=len(runs),
        inherited=sum(run.phase is RunPhase.inherited for run in runs),
        registered=server.registered,
        draining=server.registered and server.entry.draining,
        left_ms=int(server.lease_left_ms(now_ms)),
    )


def note_restart(notes: NoteBuffer, former: Server, server: Server) -> None:
    """Note that a server has restarted in place.

    :param former: former incarnation.
    """
    notes.add(
        'server.restarted',
        server.entry.server_id,
        started_ms=server.incarnation.started_ms,
        former_started_ms=former.incarnation.started_ms,
        runs=len(former.run_by_key),
        processed_end=former.processed_end,
        silent=former.failing_since_ms is not None,
    )


def note_skipped_end(notes: NoteBuffer, server: Server, end: EndReport) -> None:
    """Note an end of a present run that is skipped as already processed."""
    notes.add(
        'run.end_skipped',
        end.run.task,
        run=end.run.run,
        server=server.entry.server_id,
        how=end.kind.value,
        number=end.number,
        processed_end=server.processed_end,
    )
