"""Region of dispatchers and fake servers on one virtual event loop."""

import asyncio
import collections
import contextvars
import random
import weakref

from waxwingford.metrics import Metrics
from waxwingford.routing import (
    DispatchLimits,
    DispatchPorts,
    LeasedServer,
    PeerView,
    Request,
    RequestDispatcher,
    Urgency,
)
from waxwingford.routing.tests.fakes import FakePeers, FakeServers, sleep_ms
from waxwingford.routing.tests.virtual_loop import (
    LoopClock,
    VirtualLoop,
    end_loop,
)
from waxwingford.timeline import Timeline

#: Process that a task belongs to; killing the process cancels its tasks.
PROCESS = contextvars.ContextVar('process', default='')
MEMBER = 'svatbena'


def held_server(server, lease_until_ms=None):
    return LeasedServer(
        server_id=server.server_id,
        rack='rack-1',
        service=server.service,
        host=server.server_id,
        port=1,
        slots=server.slots,
        connections=server.connections,
        predicted_ms=10.0,
        leaving=server.leaving,
        lease_until_ms=lease_until_ms or server.lease_until_ms,
        boot_id=server.boot_id,
    )


class Region:
    """Daemons of a region and the servers that they hold."""

    def __init__(self, servers_by_daemon, limits=None, past_startup=True):
        self.loop = VirtualLoop()
        self.loop.set_task_factory(self._make_task)
        self._tasks_by_process = collections.defaultdict(weakref.WeakSet)
        self.limits = limits or DispatchLimits()
        self.servers_by_daemon = servers_by_daemon
        self.server_by_id = {
            server.server_id: server
            for servers in servers_by_daemon.values()
            for server in servers
        }
        self.clock_by_id = {}
        self.metrics_by_id = {}
        self.dispatcher_by_id = {}
        self.incarnation_by_id = dict.fromkeys(servers_by_daemon, 0)
        self.cut_links = set()
        self._numbers = iter(range(1, 1_000_000))
        for daemon_id in servers_by_daemon:
            self.start(daemon_id)
        if past_startup:
            self.run_for_ms(self.limits.key_memory_ms + 1000)
        self.refresh()

    def start(self, daemon_id):
        """Start a daemon with empty state."""
        self.incarnation_by_id[daemon_id] += 1
        clock = self.clock_by_id.setdefault(daemon_id, LoopClock(self.loop))
        metrics = self.metrics_by_id.setdefault(daemon_id, Metrics())
        ports = DispatchPorts(
            FakeServers(self.server_by_id.values()),
            FakePeers(daemon_id, self),
            clock,
            Timeline(daemon_id, 'test', clock, 100),
            metrics,
        )
        self.dispatcher_by_id[daemon_id] = RequestDispatcher(
            daemon_id=daemon_id,
            failure_domain='centre',
            ports=ports,
            rng=random.Random(daemon_id),
            limits=self.limits,
        )

    def kill(self, daemon_id):
        """Kill the process of a daemon and cancel its tasks."""
        process = self.process(daemon_id)
        for task in tuple(self._tasks_by_process.pop(process, ())):
            task.cancel()
        self.dispatcher_by_id[daemon_id] = None

    def process(self, daemon_id):
        return f'{daemon_id}#{self.incarnation_by_id[daemon_id]}'

    def refresh(self, lease_ms=10_000_000, suspended=''):
        """Update servers and peers as control exchanges and heartbeats do."""
        for daemon_id, dispatcher in self.dispatcher_by_id.items():
            if dispatcher is not None and daemon_id != suspended:
                until_ms = self.clock_by_id[daemon_id].monotonic_ms() + lease_ms
                servers = self.servers_by_daemon[daemon_id]
                dispatcher.set_servers(
                    tuple(held_server(one, until_ms) for one in servers)
                )
                dispatcher.set_peers(self._views(daemon_id))

    def request(self, daemon_id, **fields):
        given = {
            'request_id': '/'.join(
                (
                    daemon_id,
                    str(self.incarnation_by_id[daemon_id]),
                    str(next(self._numbers)),
                )
            ),
            'member': MEMBER,
            'service': 'dispatcher',
            'path': 'reserve',
            'body': b'kettle',
            'urgency': Urgency.normal,
            'idempotent': True,
            'key': '',
            'attempt': 1,
            'deadline_ms': 1000,
        }
        return Request(**{**given, **fields})

    def begin(self, daemon_id, request):
        """Handle a request in the process of a daemon."""
        context = contextvars.copy_context()
        context.run(PROCESS.set, self.process(daemon_id))
        return self.loop.create_task(
            self.dispatcher_by_id[daemon_id].handle(request), context=context
        )

    def call(self, daemon_id, **fields):
        """Send a request and wait for its outcome."""
        task = self.begin(daemon_id, self.request(daemon_id, **fields))
        return self.loop.run_until_complete(task)

    def retry(self, daemon_id, key, **fields):
        fields = {'attempt': 2, 'age_ms': 1000, **fields}
        return self.call(daemon_id, idempotent=False, key=key, **fields)

    def advance_ms(self, duration_ms):
        self.loop.run_until_complete(sleep_ms(duration_ms))

    def run_for_ms(self, duration_ms, suspended=''):
        """Advance time with updates to all daemons but the suspended one."""
        for _ in range(0, duration_ms, 1000):
            self.refresh(suspended=suspended)
            self.advance_ms(min(duration_ms, 1000))

    def metric_total(self, daemon_id, name):
        prefix = f'waxwingford_{name}'
        return sum(
            float(line.split()[-1])
            for line in self.metrics_by_id[daemon_id].render().splitlines()
            if line.startswith(prefix)
        )

    def executed_ids(self):
        """List the ids of executed requests, in no order."""
        servers = self.server_by_id.values()
        return [
            request_id
            for server in servers
            for request_id in server.executed_ids
        ]

    def close(self):
        end_loop(self.loop)

    def _make_task(self, loop, coroutine, context=None):
        if context is None:
            context = contextvars.copy_context()
        task = asyncio.Task(coroutine, loop=loop, context=context)
        self._tasks_by_process[context.get(PROCESS, '')].add(task)
        return task

    def _views(self, daemon_id):
        return tuple(
            PeerView(
                daemon_id=peer_id,
                failure_domain='centre',
                alive=dispatcher is not None
                and (peer_id, daemon_id) not in self.cut_links,
                spare_by_service=dispatcher.spare_by_service()
                if dispatcher
                else {},
                expected_ms_by_service={},
                distance_ms=1.0,
            )
            for peer_id, dispatcher in self.dispatcher_by_id.items()
            if peer_id != daemon_id
        )
