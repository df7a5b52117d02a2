"""A virtual failure domain of eight daemons, metered, with submitters."""

from collections.abc import Callable

from waxwingford.batch import SubmitJob
from waxwingford.records import JobSpec
from waxwingford_bench.storms.daemon import StormDaemon
from waxwingford_bench.storms.meter import Meter
from waxwingford_bench.storms.network import MeteredNetwork
from waxwingford_bench.storms.pauses import Pauses
from waxwingford_bench.storms.submitters import Submitters
from waxwingford_bench.virtual.domain import VirtualDomain

DAEMONS = 8
TICK_MS = 50
_CONTACT_MS = 500
_BOOT_WITHIN_MS = 1000
#: The platform's list drops a VM that died after so long.
_LIST_LAG_MS = 5000


class StormDomain(VirtualDomain):
    """Eight daemons, metered, with submitters that come back as told.

    :ivar meter: counts.
    :ivar pauses: of the daemons' loops.
    :ivar submitters: who submits jobs.
    :ivar list_is_away: whether the platform's list is.
    :ivar dead_since_ms: by server that is down, since when.
    """

    def __init__(
        self, seed: int, servers: int, pauses: Pauses, tick_ms: int = TICK_MS
    ) -> None:
        """Boot everything at time 0.

        :param seed: of all delays.
        :param servers: how many.
        :param pauses: of the daemons' loops.
        :param tick_ms: between two ticks of a daemon.
        """
        super().__init__(seed, daemons=0, servers=servers)
        self.meter = Meter()
        self._tick_ms = tick_ms
        self.pauses = pauses
        self.list_is_away = False
        self.dead_since_ms: dict[str, int] = {}
        self.network = MeteredNetwork(
            self.time, self.random, self.oracle, self.server_by_id
        )
        self.network.meter = self.meter
        self.submitters = Submitters(self, servers)
        for number in range(DAEMONS):
            daemon = StormDaemon(f'd{number}', self, pauses.settings)
            self.daemon_by_id[daemon.daemon_id] = daemon
        for daemon in self.daemon_by_id.values():
            self.time.at(
                self.random.randrange(_BOOT_WITHIN_MS), _starter(self, daemon)
            )

    def listed(self) -> tuple:
        """Show the platform's list.

        :returns: VMs; one that died is dropped late.
        """
        return tuple(
            server.vm
            for server_id, server in self.server_by_id.items()
            if self.now_ms
            < self.dead_since_ms.get(server_id, self.now_ms) + _LIST_LAG_MS
        )

    def next_submission(self, job: JobSpec) -> int:
        """Number a submission before it is made: the reply may come at once.

        :param job: the job.
        :returns: its id.
        """
        submission_id = next(self._submission_id)
        self.oracle.note_submitted(submission_id, job)
        return submission_id

    def deliver(self, daemon_id: str, submission_id: int, job: JobSpec) -> None:
        """Submit a job.

        :param daemon_id: to whom.
        :param submission_id: from ``next_submission``.
        :param job: the job.
        """
        self.daemon_by_id[daemon_id].deliver(SubmitJob(submission_id, job))

    def waiting(self) -> int:
        """Count open tasks that do not run.

        :returns: tasks accepted, not ended in the stream, and running nowhere.
        """
        running = {
            start.key.task_id
            for server in self.server_by_id.values()
            for start in server.running()
        }
        return sum(
            task.stage <= 1 and task.task_id not in running
            for job in self.fold.jobs_by_id.values()
            for task in job.tasks
        )

    def not_held(self) -> int:
        """Count live servers of which no daemon holds the control lease.

        :returns: how many.
        """
        held = {
            server_id
            for daemon in self.daemon_by_id.values()
            if daemon.controller is not None
            for server_id, server in (
                daemon.controller.fleet.server_by_id.items()
            )
            if server.lease.is_valid(self.now_ms)
        }
        return len(self.server_by_id.keys() - held - self.dead_since_ms.keys())

    def begin(self, daemon: StormDaemon) -> None:
        """Boot a daemon and let time pass in it.

        :param daemon: which.
        """
        daemon.boot()
        first_ms = self.random.randrange(1, self._tick_ms)
        self.time.every(self._tick_ms, first_ms, daemon.tick)
        first_ms = self.random.randrange(1, _CONTACT_MS)
        self.time.every(_CONTACT_MS, first_ms, lambda: self._contact(daemon))


def _starter(domain: StormDomain, daemon: StormDaemon) -> Callable[[], None]:
    return lambda: domain.begin(daemon)
