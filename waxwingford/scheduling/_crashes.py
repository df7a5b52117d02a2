"""Tasks that crash the servers that start them.

A server that crashes takes all of its runs along, and no server lists how they
ended. Which of them made it crash shows only by when they began: a task that
crashes its server does so at once. All that began just before are suspects, and a
suspect starts alone (see ``Isolation``): when the next server crashes as well, no
other task can have been the cause, and its job has failed. A server that lives on
clears it.
"""

from waxwingford.scheduling._book import Book
from waxwingford.scheduling._runners import TaskKey
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._state import JobPhase, Run, RunPhase, Step, Task

#: A server has outlived a start when it answers so long after it, by its clock, in
#: ms. It bounds how long a suspect keeps others from its server.
OUTLIVED_MS = 300
#: Crashes after which a task is given up: when the last server is known to have
#: crashed, as another incarnation has answered, and when it was only silent until
#: its leases were over, as one that is cut off would be.
MOST_CRASHES = 2
MOST_SILENCES = 4


def find_suspects(server: Server) -> list[Run]:
    """List the runs that may have made a server crash.

    :param server: that was lost.
    :returns: those that it isn't known to have outlived, and that may have begun.
    """
    return [
        server.run_by_key[key]
        for key in server.fresh
        if server.run_by_key[key].phase is not RunPhase.planned
    ]


def count_crash(book: Book, server: Server, suspects: list[Run]) -> None:
    """Count a crash against each task that may have caused it.

    :param book: of the shard.
    :param server: that was lost.
    :param suspects: runs that may have made it crash.
    """
    most = MOST_CRASHES if server.gone else MOST_SILENCES
    for run in suspects:
        found = book.find(run.key)
        if found is None:
            continue
        task, step = found
        task.crashes += 1
        book.mark(step)
        book.notes.add(
            'task.suspected',
            task.key,
            run=run.key.run,
            server=run.server_id,
            crashes=task.crashes,
            suspects=len(suspects),
            replaced=server.gone,
        )
        if task.crashes >= most:
            book.notes.add('task.given_up', task.key, crashes=task.crashes)
            book.finish(step.job, JobPhase.failed)


def clear_outlived(book: Book, server: Server) -> None:
    """Clear the tasks whose start a server has outlived.

    :param book: of the shard.
    :param server: that has just answered.
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
            book.outlived_by_name[step.name] = step
            if task.crashes:
                book.notes.add('task.cleared', key.task, crashes=task.crashes)
                task.crashes = 0


def mark_outlived(book: Book) -> None:
    """Mark the steps to be stored that have starts which servers have outlived.

    :param book: of the shard.
    """
    for step in book.outlived_by_name.values():
        book.mark(step)
    book.outlived_by_name.clear()


def is_suspect(task: Task, step: Step) -> bool:
    """Tell whether a task is suspected to crash its servers.

    :param task: which.
    :param step: its step.
    :returns: whether it is, or another member of its gang.
    """
    if step.spec.gang:
        return any(member.crashes for member in step.tasks)
    return task.crashes > 0


def cause_of(key: TaskKey, step: Step) -> TaskKey:
    """Name what starts as one; the members of a gang do.

    :param key: of the task.
    :param step: its step.
    :returns: the task, or the first one of its gang.
    """
    return step.tasks[0].key if step.spec.gang else key
