"""Detection of tasks that crash their servers.

A task is assumed to crash its server right after its start, so the runs that began
shortly before a crash are suspected. A suspect starts alone on its next server (see
``Isolation``). If that server crashes too, the job of the suspect fails; if the
server stays up, the suspect is cleared.
"""

from waxwingford.scheduling._backend_client import TaskKey
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._shard_state import Book
from waxwingford.scheduling._state import JobPhase, Run, RunPhase, Step, Task

#: Time by the server's clock after which a server has outlived a start, in ms. A
#: suspect occupies its server alone for this time.
OUTLIVED_MS = 300
#: Evidence added when a server is lost right after it started the task; less if many
#: servers are silent, as in a partition or if the owner couldn't extend their leases.
CRASH_EVIDENCE = 2
SILENCE_EVIDENCE = 1
#: Share of silent servers above which the smaller evidence is added.
MAX_SILENT_SHARE = 0.125
#: Evidence at which a task becomes a suspect and starts alone.
SUSPECT_EVIDENCE = 2
#: Evidence at which the job fails: if another incarnation proves that the server
#: crashed and there is no other suspect on it; and otherwise, because a silent server
#: may only be unreachable, and the latest knowledge of a previous owner may be lost.
CONFIRMED_FAIL_EVIDENCE = 4
UNCONFIRMED_FAIL_EVIDENCE = 8


def find_suspects(server: Server) -> list[Run]:
    """List the runs that may have crashed a server.

    :param server: lost server.
    :returns: runs that may have begun and that the server isn't known to have
        outlived.
    """
    return [
        run
        for run in map(server.run_by_key.__getitem__, server.fresh)
        if run.phase is not RunPhase.planned and not _was_outlived(server, run)
    ]


def add_evidence(book: Book, server: Server, suspects: list[Run]) -> None:
    """Add evidence to the tasks that may have crashed a server.

    A job fails as soon as the evidence against one of its tasks suffices.

    :param book: state of the shard.
    :param server: lost server.
    :param suspects: runs that may have crashed it.
    """
    if not suspects:
        return
    single_cause = len(_possible_causes(book, suspects)) == 1
    fail_evidence = (
        CONFIRMED_FAIL_EVIDENCE
        if server.gone and single_cause
        else UNCONFIRMED_FAIL_EVIDENCE
    )
    server_failed = server.gone or not server.listed or _few_are_silent(book)
    evidence = CRASH_EVIDENCE if server_failed else SILENCE_EVIDENCE
    for run in suspects:
        found = book.find(run.key)
        if found is None:
            continue
        task, step = found
        task.evidence += evidence
        book.mark(step)
        book.notes.add(
            'task.suspected',
            task.key,
            run=run.key.run,
            server=run.server_id,
            evidence=task.evidence,
            suspects=len(suspects),
            replaced=server.gone,
        )
        if task.evidence >= fail_evidence:
            book.notes.add('task.given_up', task.key, evidence=task.evidence)
            book.finish(step.job, JobPhase.failed)


def clear_outlived(book: Book, server: Server) -> None:
    """Clear the suspicion of tasks whose start a server has outlived.

    :param book: state of the shard.
    :param server: server that has just answered.
    """
    for key in list(server.fresh):
        run = server.run_by_key[key]
        lived_ms = server.outlived_ms(run)
        if lived_ms is None or lived_ms < OUTLIVED_MS:
            continue
        run.outlived = True
        server.fresh.discard(key)
        found = book.find(key)
        if found is not None:
            task, step = found
            book.outlived_step_by_name[step.name] = step
            if task.evidence:
                book.notes.add('task.cleared', key.task, evidence=task.evidence)
                task.evidence = 0
                book.mark(step)


def _possible_causes(book: Book, suspects: list[Run]) -> set[TaskKey]:
    found_by_key = {run.key: book.find(run.key) for run in suspects}
    return {
        cause_of(key.task, found[1])
        for key, found in found_by_key.items()
        if found is not None
    }


def _few_are_silent(book: Book) -> bool:
    servers = book.server_by_id.values()
    silent = sum(server.failing_ms is not None for server in servers)
    return silent <= max(1, len(servers) * MAX_SILENT_SHARE)


def _was_outlived(server: Server, run: Run) -> bool:
    """Whether the server lost its connections only after outliving the run.

    Its last answer may be much older, and runs that began since then would be
    suspected without need.
    """
    if server.connection_lost_ms is None or run.phase is not RunPhase.present:
        return False
    return server.connection_lost_ms - run.since_ms >= OUTLIVED_MS


def mark_outlived(book: Book) -> None:
    """Mark the steps with newly outlived starts to be stored.

    :param book: state of the shard.
    """
    for step in book.outlived_step_by_name.values():
        book.mark(step)
    book.outlived_step_by_name.clear()


def is_suspect(task: Task, step: Step) -> bool:
    """Whether a task is suspected of crashing its servers.

    :param task: task to check.
    :param step: step of the task.
    :returns: whether the task or another member of its gang is suspected.
    """
    if step.spec.gang:
        return any(one.evidence >= SUSPECT_EVIDENCE for one in step.tasks)
    return task.evidence >= SUSPECT_EVIDENCE


def cause_of(key: TaskKey, step: Step) -> TaskKey:
    """Key under which a task is suspected; members of a gang share one.

    :param key: key of the task.
    :param step: step of the task.
    :returns: key of the task, or of the first task of its gang.
    """
    return step.tasks[0].key if step.spec.gang else key
