"""A failure domain in virtual time: real controllers, small fakes at ports.

The fakes at the interfaces are the log and backend servers of
:mod:`waxwingford_standins`, and links that can fail.  All delays come from
one seeded generator.
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
_LIST_EVERY_MS = 1000
_POLL_MS = 200
_TICK_MS = 100
_CONTACT_MS = 500

ChangeSettings = Callable[[BatchSettings], BatchSettings]


def _keep_settings(settings: BatchSettings) -> BatchSettings:
    return settings


class VirtualDomain:
    """Daemons, servers and a log.

    :ivar time: virtual time.
    :ivar random: decides all delays and faults.
    :ivar network: links and the log.
    :ivar daemon_by_id: the daemons.
    :ivar server_by_id: the backend servers.
    :ivar oracle: checks what truly runs.
    :ivar listed_lag_ms: lag of the platform's list.
    :ivar unlisted: servers that the list does not show.
    :ivar bundle: settings that daemons get when they boot.
    """

    def __init__(
        self,
        seed: int,
        daemons: int = 3,
        servers: int = 4,
        settings: ChangeSettings = _keep_settings,
        size: Resources = SERVER_SIZE,
    ) -> None:
        """Boot everything at time 0.

        :param seed: of all delays and faults.
        :param daemons: how many.
        :param servers: how many.
        :param settings: changes the settings of each daemon.
        :param size: of each VM.
        """
        self.time = VirtualTime()
        self.random = random.Random(seed)
        self.oracle = Oracle()
        self.listed_lag_ms = 500
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
            self._begin(daemon)

    @property
    def now_ms(self) -> int:
        """Read virtual time.

        :returns: milliseconds since the start.
        """
        return self.time.now_ms

    @property
    def fold(self) -> DomainState:
        """Show what the domain's stream folds into.

        :returns: the state at the head of the log.
        """
        return self.network.fold

    def run(self, span_ms: int) -> None:
        """Let virtual time pass.

        :param span_ms: how much.
        """
        self.time.run(span_ms)
        self.check()

    def check(self) -> None:
        """Let the oracle look at all servers."""
        for server in self.server_by_id.values():
            server.advance(self.now_ms)
        self.oracle.check(self.server_by_id.values(), self.now_ms)

    def submit(self, daemon_id: str, job: JobSpec) -> int:
        """Submit a job.

        :param daemon_id: to whom.
        :param job: the job.
        :returns: id under which the oracle keeps the outcome.
        """
        submission_id = next(self._submission_id)
        self.oracle.note_submitted(submission_id, job)
        daemon = self.daemon_by_id[daemon_id]
        daemon.deliver(SubmitJob(submission_id, job))
        return submission_id

    def cancel(self, daemon_id: str, job_id: str, member: str) -> int:
        """Give a job up.

        :param daemon_id: to whom.
        :param job_id: which job.
        :param member: who asks.
        :returns: id under which the oracle keeps the outcome.
        """
        submission_id = next(self._submission_id)
        message = CancelJob(submission_id, job_id, member)
        self.daemon_by_id[daemon_id].deliver(message)
        return submission_id

    def evict(self, task_id: str) -> None:
        """Evict a task, whoever holds its server.

        :param task_id: which task.
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

    def _begin(self, daemon: VirtualDaemon) -> None:
        daemon.boot()
        first_ms = self.random.randrange(1, _TICK_MS)
        time = self.time
        time.every(_TICK_MS, first_ms, daemon.tick)
        time.every(_POLL_MS, first_ms, daemon.poll)
        time.every(_LIST_EVERY_MS, 1, lambda: self._list(daemon))
        time.every(_CONTACT_MS, 2, lambda: self._contact(daemon))

    def _list(self, daemon: VirtualDaemon) -> None:
        vms = tuple(
            server.listed(self.now_ms, self.listed_lag_ms)
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
