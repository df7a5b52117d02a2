"""Registry of actions on a virtual failure domain, and batch work."""

import dataclasses
import random
from collections.abc import Callable

from waxwingford.ports import Resources
from waxwingford.records import JobSpec
from waxwingford_bench.virtual.domain import VirtualDomain
from waxwingford_bench.virtual.server import VirtualServer

_MEMBERS = ('qadri', 'svatbena')
_RESUBMIT_SHARE = 0.1
_FAILING_SHARE = 0.1
_RECENT_JOBS = 6
_MAX_PENDING = 24
_PAUSE_AFTER_SUBMIT_MS = 300


@dataclasses.dataclass(slots=True)
class Run:
    """A randomised run of a virtual failure domain.

    :ivar domain: virtual failure domain.
    :ivar jobs: submitted jobs in order.
    """

    domain: VirtualDomain
    jobs: list[JobSpec] = dataclasses.field(default_factory=list)

    @property
    def rng(self) -> random.Random:
        """Return the random generator of the domain.

        :returns: seeded generator.
        """
        return self.domain.random

    def daemon(self) -> str:
        """Choose a random daemon.

        :returns: id of the daemon.
        """
        return self.rng.choice(list(self.domain.daemon_by_id))

    def server(self) -> VirtualServer:
        """Choose a random server.

        :returns: the server.
        """
        return self.rng.choice(list(self.domain.server_by_id.values()))


Action = Callable[[Run], None]

#: Weight of each registered action in randomised runs.
weight_by_action: dict[Action, int] = {}


def action(weight: int) -> Callable[[Action], Action]:
    """Register an action for randomised runs.

    :param weight: relative frequency of the action.
    :returns: decorator that registers the function.
    """

    def _register(call: Action) -> Action:
        weight_by_action[call] = weight
        return call

    return _register


@action(12)
def submit(run: Run) -> None:
    """Submit a new job or, occasionally, a recent one again.

    :param run: run to act on.
    """
    # Bounds the backlog so that all jobs can finish at the end of the run.
    if len(run.domain.fold.index.pending_by_id) > _MAX_PENDING:
        return
    if run.jobs and run.rng.random() < _RESUBMIT_SHARE:
        job = run.rng.choice(run.jobs[-_RECENT_JOBS:])
    else:
        job = _new_job(run)
        run.jobs.append(job)
    run.domain.submit(run.daemon(), job)
    run.domain.run(_PAUSE_AFTER_SUBMIT_MS)


@action(2)
def cancel(run: Run) -> None:
    """Cancel a recent job.

    :param run: run to act on.
    """
    if run.jobs:
        job = run.rng.choice(run.jobs[-_RECENT_JOBS:])
        run.domain.cancel(run.daemon(), job.job_id, job.member)


@action(1)
def cancel_wave(run: Run) -> None:
    """Cancel all recent jobs at once.

    :param run: run to act on.
    """
    for job in run.jobs[-_RECENT_JOBS:]:
        run.domain.cancel(run.daemon(), job.job_id, job.member)


@action(6)
def evict(run: Run) -> None:
    """Evict a running task.

    :param run: run to act on.
    """
    running = run.server().running()
    if running:
        run.domain.evict(run.rng.choice(running).key.task_id)


@action(2)
def evict_wave(run: Run) -> None:
    """Evict all running tasks of a server.

    :param run: run to act on.
    """
    for start in run.server().running():
        run.domain.evict(start.key.task_id)


@action(40)
def wait(run: Run) -> None:
    """Advance virtual time.

    :param run: run to act on.
    """
    run.domain.run(run.rng.choice((50, 300, 1500, 6000, 15_000)))


def _new_job(run: Run) -> JobSpec:
    rng = run.rng
    member = rng.choice(_MEMBERS)
    run_ms = rng.choice((200, 2000, 20_000, 60_000))
    fails = 'true' if rng.random() < _FAILING_SHARE else 'false'
    sizes = (
        Resources(2000, 4000),
        Resources(8000, 8000),
        Resources(20_000, 16_000, 1),
    )
    return JobSpec(
        f'{member}.j{len(run.jobs)}',
        member,
        rng.choice(('nightly', 'archive')),
        'archive_rebuild',
        rng.choice((1, 3, 12)),
        rng.choice(sizes),
        run_ms,
        priority=rng.randrange(3),
        lost_after_ms=rng.choice((0, 0, 10_000, 30_000)),
        payload=f'{{"run_ms":{run_ms},"fail":{fails}}}',
    )
