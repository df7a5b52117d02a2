"""Blame of backend servers for runs that failed there or stood still.

A server with much blame gets no starts for a while, unless it is the last one for
a task that waits.
"""

from waxwingford.ports import fits_resources
from waxwingford.scheduling._book import Book
from waxwingford.scheduling._eligibility import eligible, suits
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._state import Step

#: Blame of a server for one failed run and for one that stood still; what is
#: at or over the threshold bars it for `BLAMED_BAR_MS`.
BLAME_FAILED = 1.0
BLAME_STUCK = 2.0
BLAME_THRESHOLD = 2.5
BLAMED_BAR_MS = 4000
#: The same for the last server that is left for a task, in ms: a task that may
#: wait 3 s is there in time, and one that fails at once isn't started all the time.
LAST_BAR_MS = 1000
#: A run that ended well takes this share of the blame away.
PRAISE_FACTOR = 0.6
#: Time in which half of the blame is gone, in ms. Failures that lie 15 s apart
#: never add up to the threshold: lasting tasks fail now and then by their own
#: fault, and never end well. A server that fails all that it starts fails several
#: runs within the seconds in between.
BLAME_HALF_LIFE_MS = 20_000


def blame_server(server: Server, blame: float, now_ms: int) -> None:
    """Count a failure against a server, and bar it when there are many.

    A job that fails everywhere must not bar good servers, so one failure is
    never enough; a server that fails all it starts reaches the threshold with
    few tasks lost.

    :param server: where it happened.
    :param blame: how much.
    :param now_ms: steady time.
    """
    fade_blame(server, now_ms)
    server.blame += blame
    if server.blame >= BLAME_THRESHOLD:
        server.blamed_until_ms = now_ms + BLAMED_BAR_MS
        server.blame = BLAME_THRESHOLD / 2


def fade_blame(server: Server, now_ms: int) -> None:
    """Let blame go with time.

    :param server: whose.
    :param now_ms: steady time.
    """
    passed_ms = now_ms - server.faded_ms
    server.faded_ms = now_ms
    if server.blame:
        server.blame *= 0.5 ** (passed_ms / BLAME_HALF_LIFE_MS)


def spare_last_servers(book: Book, now_ms: int) -> None:
    """Lift the bar of a server that is the last one for a task, after a second.

    Of several that are barred only the one with least blame is let up.

    :param book: of the shard.
    :param now_ms: steady time.
    """
    alive = [
        server for server in book.server_by_id.values() if server.takes_part
    ]
    barred = [
        server
        for server in alive
        if server.refused_until_ms <= now_ms < server.blamed_until_ms
        and server.blamed_until_ms - now_ms <= BLAMED_BAR_MS - LAST_BAR_MS
    ]
    if not barred:
        return
    free = [server for server in alive if server.barred_until_ms <= now_ms]
    for step in _waiting_steps(book):
        # First the few that are barred: this is asked often, and hundreds of
        # steps may wait.
        spared = _with_room(book, step, barred)
        if spared and not _is_left(book, step, free):
            least = min(spared, key=lambda server: server.blame)
            least.blamed_until_ms = now_ms
            barred.remove(least)
            free.append(least)


def _waiting_steps(book: Book) -> list[Step]:
    step_by_name: dict[str, Step] = {}
    for task in book.ready_by_key.values():
        job = book.job_by_id.get(task.key.job_id)
        if job is not None and job.ended is None:
            step = job.steps_by_occurrence[task.key.occurrence][task.key.step]
            step_by_name[step.name] = step
    return list(step_by_name.values())


def _is_left(book: Book, step: Step, free: list[Server]) -> bool:
    """Tell whether a step's tasks can wait for a server that isn't barred.

    Tasks that end make room within a short time, those that last don't.

    :param book: of the shard.
    :param step: that waits.
    :param free: servers that take part and aren't barred.
    :returns: whether bars may stand.
    """
    if step.spec.lasting:
        return bool(_with_room(book, step, free))
    service = book.queue_of(step.job).service
    return any(
        suits(step, service, server)
        and fits_resources(step.spec.takes, server.entry.capacity)
        for server in free
    )


def _with_room(book: Book, step: Step, servers: list[Server]) -> list[Server]:
    service = book.queue_of(step.job).service
    return [
        server
        for server in eligible(step, service, servers)
        if fits_resources(step.spec.takes, server.room)
    ]
