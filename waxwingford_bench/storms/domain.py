"""A metered virtual failure domain of eight daemons with job submitters."""

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
#: Time until the platform's VM list drops a failed VM.
_LIST_LAG_MS = 5000


class StormDomain(VirtualDomain):
    """Eight metered daemons with submitters that retry refused jobs.

    :ivar meter: counts messages, bytes, processor time and retries.
    :ivar pauses: pauses of the daemons' loops.
    :ivar submitters: clients that submit jobs.
    :ivar is_vm_list_unavailable: whether reads of the platform's VM list fail.
    :ivar failed_ms_by_server: virtual time of failure by id of failed server.
    """

    def __init__(
        self, seed: int, servers: int, pauses: Pauses, tick_ms: int = TICK_MS
    ) -> None:
        """Create the domain and schedule the boot of its daemons.

        :param seed: seed of all random delays.
        :param servers: number of backend servers.
        :param pauses: pauses of the daemons' loops.
        :param tick_ms: interval between ticks of a daemon, in milliseconds.
        """
        super().__init__(seed, daemons=0, servers=servers)
        self.meter = Meter()
        self._tick_ms = tick_ms
        self.pauses = pauses
        self.is_vm_list_unavailable = False
        self.failed_ms_by_server: dict[str, int] = {}
        self.network = MeteredNetwork(
            self.time, self.random, self.oracle, self.server_by_id
        )
        self.network.meter = self.meter
        self.submitters = Submitters(self, servers)
        for number in range(DAEMONS):
            daemon = StormDaemon(f'd{number}', self, pauses.adjust_settings)
            self.daemon_by_id[daemon.daemon_id] = daemon
        for daemon in self.daemon_by_id.values():
            self.time.at(
                self.random.randrange(_BOOT_WITHIN_MS), _starter(self, daemon)
            )

    def list_vms(self) -> tuple:
        """Read the platform's VM list.

        :returns: VMs, including those that failed within the lag of the list.
        """
        return tuple(
            server.vm
            for server_id, server in self.server_by_id.items()
            if self.now_ms
            < self.failed_ms_by_server.get(server_id, self.now_ms)
            + _LIST_LAG_MS
        )

    def register_submission(self, job: JobSpec) -> int:
        """Register a submission before it is sent.

        The reply may arrive while the submission is being sent.

        :param job: the job.
        :returns: id of the submission.
        """
        submission_id = next(self._submission_id)
        self.oracle.note_submitted(submission_id, job)
        return submission_id

    def send_submission(
        self, daemon_id: str, submission_id: int, job: JobSpec
    ) -> None:
        """Send a registered submission to a daemon.

        :param daemon_id: id of the daemon.
        :param submission_id: from ``register_submission``.
        :param job: the job.
        """
        self.daemon_by_id[daemon_id].deliver(SubmitJob(submission_id, job))

    def waiting_tasks(self) -> int:
        """Count accepted tasks that have neither ended nor are running.

        :returns: number of tasks.
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

    def unleased_servers(self) -> int:
        """Count live servers whose control lease no daemon holds.

        :returns: number of servers.
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
        return len(
            self.server_by_id.keys() - held - self.failed_ms_by_server.keys()
        )

    def start_daemon(self, daemon: StormDaemon) -> None:
        """Boot a daemon and schedule its ticks and heartbeats.

        :param daemon: the daemon.
        """
        daemon.boot()
        first_ms = self.random.randrange(1, self._tick_ms)
        self.time.every(self._tick_ms, first_ms, daemon.tick)
        first_ms = self.random.randrange(1, _CONTACT_MS)
        self.time.every(_CONTACT_MS, first_ms, lambda: self._contact(daemon))


def _starter(domain: StormDomain, daemon: StormDaemon) -> Callable[[], None]:
    return lambda: domain.start_daemon(daemon)
