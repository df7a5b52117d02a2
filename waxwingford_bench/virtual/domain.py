"""Failure domain in virtual time: real controllers, fake log and servers.

The fakes come from :mod:`waxwingford_standins`; one seeded generator draws
all delays.
"""

import itertools
import random
from collections.abc import Callable

from waxwingford.batch import (
    AliveDaemons,
    BatchSettings,
    BundleSettings,
    CancelJob,
    EvictTask,
    SubmitJob,
    VmListRead,
)
from waxwingford.ports import Resources, Vm, VmList, VmState
from waxwingford.records import DomainState, JobSpec
from waxwingford_bench.virtual.daemon import VirtualDaemon
from waxwingford_bench.virtual.network import DOMAIN, VirtualNetwork
from waxwingford_bench.virtual.oracle import Oracle
from waxwingford_bench.virtual.server import VirtualServer
from waxwingford_bench.virtual.time import VirtualTime

SERVICE = 'report_desk'
RESERVED = Resources(8000, 32_000)
SERVER_SIZE = Resources(32_000, 128_000, 2)
BUNDLE = BundleSettings({}, {}, {SERVICE: RESERVED}, 'first_fit')
_LIST_INTERVAL_MS = 1000
_POLL_INTERVAL_MS = 200
_TICK_INTERVAL_MS = 100
_HEARTBEAT_INTERVAL_MS = 500

ChangeSettings = Callable[[BatchSettings], BatchSettings]


def _unchanged_settings(settings: BatchSettings) -> BatchSettings:
    return settings


class VirtualDomain:
    """Daemons, backend servers and a log, connected by a simulated network.

    :ivar time: virtual time.
    :ivar random: seeded generator of delays and faults.
    :ivar network: links and the log.
    :ivar daemon_by_id: daemons by id.
    :ivar server_by_id: backend servers by id.
    :ivar oracle: invariant checks.
    :ivar list_lag_ms: lag of the platform's VM list, in milliseconds.
    :ivar unlisted: ids of servers missing from the VM list.
    :ivar bundle: configuration passed to daemons when they boot.
    """

    def __init__(
        self,
        seed: int,
        daemons: int = 3,
        servers: int = 4,
        settings: ChangeSettings = _unchanged_settings,
        size: Resources = SERVER_SIZE,
    ) -> None:
        """Boot all daemons and servers at time 0.

        :param seed: seed of all delays and faults.
        :param daemons: number of daemons.
        :param servers: number of servers.
        :param settings: function that modifies the settings of each daemon.
        :param size: resources of each VM.
        """
        self.time = VirtualTime()
        self.random = random.Random(seed)
        self.oracle = Oracle()
        self.list_lag_ms = 500
        self.unlisted: set[str] = set()
        self.bundle = BUNDLE
        self._submission_id = itertools.count(1)
        vms = [_vm(number, size) for number in range(servers)]
        self.server_by_id = {
            vm.server_id: VirtualServer(vm, self.oracle) for vm in vms
        }
        self.network = VirtualNetwork(
            self.time, self.random, self.oracle, self.server_by_id
        )
        names = [f'd{number}' for number in range(daemons)]
        self.daemon_by_id = {
            name: VirtualDaemon(name, self, settings) for name in names
        }
        for daemon in self.daemon_by_id.values():
            self._start_daemon(daemon)

    @property
    def now_ms(self) -> int:
        """Return the virtual time.

        :returns: milliseconds since the start.
        """
        return self.time.now_ms

    @property
    def fold(self) -> DomainState:
        """Return the state folded from the domain's stream.

        :returns: state at the head of the stream.
        """
        return self.network.fold

    def run(self, span_ms: int) -> None:
        """Advance virtual time, then check all servers.

        :param span_ms: time to advance by, in milliseconds.
        :raises Violation: if an invariant is violated.
        """
        self.time.run(span_ms)
        self.check()

    def check(self) -> None:
        """Check the invariants on all servers.

        :raises Violation: if an invariant is violated.
        """
        for server in self.server_by_id.values():
            server.advance(self.now_ms)
        self.oracle.check(self.server_by_id.values(), self.now_ms)

    def submit(self, daemon_id: str, job: JobSpec) -> int:
        """Submit a job to a daemon.

        :param daemon_id: id of the daemon.
        :param job: job to submit.
        :returns: submission id under which the oracle records the outcome.
        """
        submission_id = next(self._submission_id)
        self.oracle.note_submitted(submission_id, job)
        daemon = self.daemon_by_id[daemon_id]
        daemon.deliver(SubmitJob(submission_id, job))
        return submission_id

    def cancel(self, daemon_id: str, job_id: str, member: str) -> int:
        """Cancel a job.

        :param daemon_id: id of the daemon that receives the request.
        :param job_id: id of the job.
        :param member: member that requests it.
        :returns: submission id under which the oracle records the outcome.
        """
        submission_id = next(self._submission_id)
        message = CancelJob(submission_id, job_id, member)
        self.daemon_by_id[daemon_id].deliver(message)
        return submission_id

    def evict(self, task_id: str) -> None:
        """Ask all daemons to evict a task.

        :param task_id: id of the task.
        """
        for daemon in self.daemon_by_id.values():
            daemon.deliver(EvictTask(task_id))

    def heal(self) -> None:
        """End all faults."""
        self.unlisted.clear()
        self.network.heal()
        for server in self.server_by_id.values():
            server.rejoin(self.now_ms)
        for daemon in self.daemon_by_id.values():
            daemon.thaw()
            if daemon.controller is None:
                daemon.boot()

    def _start_daemon(self, daemon: VirtualDaemon) -> None:
        daemon.boot()
        first_ms = self.random.randrange(1, _TICK_INTERVAL_MS)
        time = self.time
        time.every(_TICK_INTERVAL_MS, first_ms, daemon.tick)
        time.every(_POLL_INTERVAL_MS, first_ms, daemon.poll)
        time.every(_LIST_INTERVAL_MS, 1, lambda: self._deliver_vm_list(daemon))
        time.every(_HEARTBEAT_INTERVAL_MS, 2, lambda: self._contact(daemon))

    def _deliver_vm_list(self, daemon: VirtualDaemon) -> None:
        vms = tuple(
            server.listed(self.now_ms, self.list_lag_ms)
            for server_id, server in self.server_by_id.items()
            if server_id not in self.unlisted
        )
        daemon.deliver(VmListRead(VmList(vms)))

    def _contact(self, daemon: VirtualDaemon) -> None:
        alive = frozenset(
            name
            for name, other in self.daemon_by_id.items()
            if other.seems_alive()
            and not self.network.is_cut(daemon.daemon_id, name)
        )
        daemon.deliver(AliveDaemons(alive))


def _vm(number: int, size: Resources) -> Vm:
    return Vm(
        f's{number}',
        DOMAIN,
        f'rack{number // 2}',
        '127.0.0.1',
        20_000 + number,
        VmState.live,
        size,
        8,
        64,
        SERVICE,
    )
