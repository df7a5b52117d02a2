"""Actions on a virtual failure domain: their registry, and the work."""

import dataclasses
import random
from collections.abc import Callable

from waxwingford.ports import Resources
from waxwingford.records import JobSpec
from waxwingford_bench.virtual.domain import VirtualDomain
from waxwingford_bench.virtual.server import VirtualServer

_MEMBERS = ('qadri', 'svatbena')
_AGAIN_SHARE = 0.1
_FAIL_SHARE = 0.1
_LATE_JOBS = 6
_MOST_PENDING = 24
_SUBMIT_MS = 300


@dataclasses.dataclass(slots=True)
class Run:
    """A domain with what was submitted to it.

    :ivar domain: the domain.
    :ivar jobs: submitted jobs in order.
    """

    domain: VirtualDomain
    jobs: list[JobSpec] = dataclasses.field(default_factory=list)

    @property
    def rng(self) -> random.Random:
        """Share the domain's random numbers.

        :returns: the generator.
        """
        return self.domain.random

    def daemon(self) -> str:
        """Choose a daemon.

        :returns: its id.
        """
        return self.rng.choice(list(self.domain.daemon_by_id))

    def server(self) -> VirtualServer:
        """Choose a server.

        :returns: the server.
        """
        return self.rng.choice(list(self.domain.server_by_id.values()))


Action = Callable[[Run], None]

#: All actions by name, with their weights in randomised runs.
weight_by_action: dict[Action, int] = {}


def action(weight: int) -> Callable[[Action], Action]:
    """Let an action register itself.

    :param weight: how often randomised runs choose it.
    :returns: a decorator.
    """

    def _keep(call: Action) -> Action:
        weight_by_action[call] = weight
        return call

    return _keep


@action(12)
def submit(run: Run) -> None:
    """Submit a job, now and then one that was submitted before.

    :param run: what to act on.
    """
    # Four servers must be able to finish everything in the time at the end.
    if len(run.domain.fold.index.pending_by_id) > _MOST_PENDING:
        return
    if run.jobs and run.rng.random() < _AGAIN_SHARE:
        job = run.rng.choice(run.jobs[-_LATE_JOBS:])
    else:
        job = _new_job(run)
        run.jobs.append(job)
    run.domain.submit(run.daemon(), job)
    run.domain.run(_SUBMIT_MS)


@action(2)
def cancel(run: Run) -> None:
    """Cancel a late job.

    :param run: what to act on.
    """
    if run.jobs:
        job = run.rng.choice(run.jobs[-_LATE_JOBS:])
        run.domain.cancel(run.daemon(), job.job_id, job.member)


@action(1)
def cancel_wave(run: Run) -> None:
    """Cancel many jobs at once.

    :param run: what to act on.
    """
    for job in run.jobs[-_LATE_JOBS:]:
        run.domain.cancel(run.daemon(), job.job_id, job.member)


@action(6)
def evict(run: Run) -> None:
    """Evict something that runs.

    :param run: what to act on.
    """
    running = run.server().running()
    if running:
        run.domain.evict(run.rng.choice(running).key.task_id)


@action(2)
def evict_wave(run: Run) -> None:
    """Evict all that runs on a server.

    :param run: what to act on.
    """
    for start in run.server().running():
        run.domain.evict(start.key.task_id)


@action(40)
def wait(run: Run) -> None:
    """Let time pass.

    :param run: what to act on.
    """
    run.domain.run(run.rng.choice((50, 300, 1500, 6000, 15_000)))


def _new_job(run: Run) -> JobSpec:
    rng = run.rng
    member = rng.choice(_MEMBERS)
    run_ms = rng.choice((200, 2000, 20_000, 60_000))
    fails = 'true' if rng.random() < _FAIL_SHARE else 'false'
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
