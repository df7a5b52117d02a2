"""A small deployment: daemons as processes, and stand-ins of all else."""

import asyncio
import contextlib
import json
import os
import pathlib
import re
import socket
import subprocess
import tempfile
import time
from collections.abc import AsyncIterator, Coroutine

from http_standin import LOOPBACK, Reply, send
from store_standin import StoreStandin
from worker_standin import Event, Settings, WorkerStandin, registration

ROOT = pathlib.Path(__file__).resolve().parents[3]
HOST = 'reports.example'
PREFIX = '/jobs/'
SERVICE = 'report-desk'
ZONE = 'gulberg'
REGISTRATION_S = 1.5
DEADLINE_MS = 3000
ATTEMPTS = 5
RETRY_S = 0.5
#: How often processes are looked at, and the delay before one is started again.
SUPERVISION_S = 0.02
RESTART_S = 0.5


def free_port() -> int:
    """Find a port on which nothing listens."""
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return probe.getsockname()[1]


def _fill_template(value_by_placeholder: dict[str, str]) -> str:
    """Fill in the template of the settings, without an advice service."""
    text = (ROOT / 'deploy' / 'scheduler.toml').read_text()
    text = re.sub('{{#advice}}.*{{/advice}}', '', text, flags=re.DOTALL)
    text = text.replace('9464', str(free_port()))
    for placeholder, value in value_by_placeholder.items():
        text = text.replace(f'{{{{{placeholder}}}}}', value)
    return text


class Daemon:
    """A process of the scheduler, started as the deploy file says."""

    def __init__(self, name: str, folder: pathlib.Path, store: str) -> None:
        self.name = name
        self.folder = folder
        self.callers = f'{LOOPBACK}:{free_port()}'
        self.readiness = f'{LOOPBACK}:{free_port()}'
        self.process: subprocess.Popen | None = None
        value_by_placeholder = {
            'node': name,
            'zone': ZONE,
            'region': 'lahore',
            'ip': LOOPBACK,
            'listen.front': self.callers,
            'listen.ready': self.readiness,
            'internal-ports.0': str(free_port()),
            'internal-ports.1': str(free_port()),
            'platform.address': store,
            'bounds.max-hold-ms': '6000',
            'bounds.grace-s': '6',
            'limits.cpu-share': '0.43',
            'limits.cores': '1',
            'limits.link-mbps': '1000.0',
        }
        text = _fill_template(value_by_placeholder)
        self.settings = folder / f'{name}.toml'
        self.settings.write_text(text)
        self.log = folder / f'{name}.log'

    def start(self) -> None:
        """Start the process."""
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(
                [
                    'python3',
                    '-P',
                    '-m',
                    'waxwingford.scheduler.main',
                    '--settings',
                    str(self.settings),
                ],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def send(self, signal_number: int) -> None:
        """Send a signal to the process."""
        self.process.send_signal(signal_number)

    def end(self) -> None:
        """Kill the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def events(self) -> list[dict]:
        """Read the lines of its log."""
        rows = []
        for line in self.log.read_text().splitlines():
            with contextlib.suppress(ValueError):
                rows.append(json.loads(line))
        return rows


class World:
    """Store, workers, daemons and callers.

    :ivar events: starts and ends of runs at all workers.
    :ivar calls: calls of callers, with their answers.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.store = StoreStandin()
        self.workers: list[WorkerStandin] = []
        self.daemons: list[Daemon] = []
        self.events: list[Event] = []
        self.calls: list[tuple] = []
        self.notes: list[tuple[float, str]] = []
        self.needs_of: dict[str, dict] = {}
        self.began_s = time.monotonic()
        self._tasks: list[asyncio.Task] = []
        self._turn = 0

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self.notes.append((time.monotonic(), text))

    async def start(self, workers: int, daemons: int, **changes: int) -> None:
        """Start everything and wait until a daemon owns the shard."""
        await self.store.http.start()
        await self.store.put('op', 'config', _configuration())
        self.spawn(self.store.expire_servers())
        for number in range(workers):
            settings = Settings(f'i-{number:08x}', SERVICE, ZONE, **changes)
            worker = WorkerStandin(settings, self.needs_of, self.events)
            await worker.http.start()
            self.workers.append(worker)
            self.spawn(worker.run())
            self.spawn(self._register(worker))
        for number in range(daemons):
            daemon = Daemon(
                f'front-{number}', self.folder, self.store.http.address
            )
            daemon.start()
            self.daemons.append(daemon)
            self.spawn(self._supervise(daemon))
        for daemon in self.daemons:
            await _wait_ready(daemon)

    async def close(self) -> None:
        """End all processes and stand-ins."""
        for task in self._tasks:
            task.cancel()
        for daemon in self.daemons:
            daemon.end()

    def spawn(self, work: Coroutine[None, None, None]) -> None:
        """Run something beside the case; if it fails, the case shows nothing."""
        self._tasks.append(asyncio.create_task(work))

    def _check_standins(self) -> None:
        servers = [self.store, *self.workers]
        failures = [error for one in servers for error in one.http.failures]
        failures += [
            task.exception() or RuntimeError('a stand-in has ended')
            for task in self._tasks
            if task.done()
        ]
        if failures:
            raise RuntimeError('a stand-in has failed') from failures[0]

    async def _supervise(self, daemon: Daemon) -> None:
        """Start a process again that has ended, as the platform does."""
        while True:
            await asyncio.sleep(SUPERVISION_S)
            if daemon.process.poll() is not None:
                self.note(f'{daemon.name} has ended')
                await asyncio.sleep(RESTART_S)
                daemon.start()
                self.note(f'{daemon.name} starts again')

    async def _register(self, worker: WorkerStandin) -> None:
        sequence = 0
        while True:
            sequence += 1
            content = registration(worker, sequence)
            key = worker.settings.worker_id
            await self.store.put('servers', key, content)
            await asyncio.sleep(REGISTRATION_S)

    def owner(self) -> Daemon:
        """Find the daemon that owns the shard, by the newest heartbeat."""
        newest = self.store.topic('keyed.owners').newest_by_key['owner'][1]
        return next(
            daemon for daemon in self.daemons if daemon.name.encode() in newest
        )

    async def call(
        self, method: str, job: str, content: object = None
    ) -> Reply | None:
        """Call a daemon that runs, in turn."""
        running = [
            daemon for daemon in self.daemons if daemon.process.poll() is None
        ]
        self._turn += 1
        daemon = running[self._turn % len(running)]
        body = b'' if content is None else json.dumps(content).encode()
        headers = {
            'Host': HOST,
            'Content-Type': 'application/json',
            'X-Deadline-Ms': str(DEADLINE_MS),
        }
        sent_s = time.monotonic()
        reply = await send(
            daemon.callers,
            method,
            PREFIX + job,
            headers,
            body,
            DEADLINE_MS / 1000,
        )
        status = 0 if reply is None else reply.status
        text = '' if reply is None else reply.body.decode()
        self.calls.append(
            (sent_s, time.monotonic(), daemon.name, method, job, status, text)
        )
        return reply

    async def submit(self, job: str, spec: str, steps: list[dict]) -> int:
        """Submit a job, again if the answer allows or demands it.

        :param spec: see ``work_end_s``.
        :returns: status of the last answer, 0 for none.
        """
        for index, step in enumerate(steps):
            self.needs_of[f'{job}.0.{index}'] = _needs(step)
        content = {'spec': spec, 'steps': steps}
        status = 0
        for _ in range(ATTEMPTS):
            reply = await self.call('POST', job, content)
            status = 0 if reply is None else reply.status
            if status not in {0, 429, 502, 503, 504}:
                break
            await asyncio.sleep(RETRY_S)
        return status

    async def state(self, job: str) -> str:
        """Ask for the state of a job; empty without an answer."""
        reply = await self.call('GET', job)
        if reply is None or reply.status != 200:
            return ''
        return json.loads(reply.body)['state']

    def write_record(self, path: pathlib.Path) -> None:
        """Write what was sent, answered and run.

        :raises RuntimeError: if a stand-in has failed, so that nothing is shown.
        """
        rows = [(at_s, f'note {text}') for at_s, text in self.notes]
        rows += [
            (
                call[0],
                f'call {call[3]} {call[4]} at {call[2]}: status {call[5]} '
                f'{call[6][:100]} after {call[1] - call[0]:.3f} s',
            )
            for call in self.calls
        ]
        rows += [
            (event.at_s, _describe(event, self.began_s))
            for event in self.events
        ]
        rows.sort()
        lines = [f'{at_s - self.began_s:8.3f} {text}\n' for at_s, text in rows]
        path.write_text(''.join(lines))
        self._check_standins()


def _describe(event: Event, began_s: float) -> str:
    acked = ''
    if event.acked_s is not None:
        acked = f', acknowledged at {event.acked_s - began_s:.3f}'
    run = f'{event.task} {event.run}'
    return f'run {run} {event.how} at {event.worker}{acked}'


async def _wait_ready(daemon: Daemon) -> None:
    for _ in range(200):
        reply = await send(daemon.readiness, 'GET', '/api/ready', {})
        if reply is not None and reply.status == 200:
            return
        await asyncio.sleep(0.1)
    raise RuntimeError(f'{daemon.name} is not ready')


def _needs(step: dict) -> dict:
    serves = bool(step.get('target-ms'))
    return {
        'cpu': step.get('cpu', 0),
        'mem-mb': step.get('mem-mb', 0),
        'fills': step.get('fills', False),
        'perpetual': step.get('perpetual', False),
        # Tail in ms of what serves, CPU in use of all else.
        'measured': step['target-ms'] // 4 if serves else step.get('cpu', 0),
    }


def _configuration() -> bytes:
    return json.dumps(
        {
            'version': 7,
            'routes': [
                {
                    'name': 'r-jobs',
                    'host': HOST,
                    'path-prefix': PREFIX,
                    'kind': 'unsafe',
                    'timeout-ms': 3000,
                    'target-latency-ms': 1000,
                    'priority': 0,
                    'service': SERVICE,
                    'max-attempts': 3,
                    'stretch': 2.0,
                }
            ],
            'services': [
                {
                    'name': SERVICE,
                    'health-path': '/health',
                    'max-connections': 64,
                    'protocol': 'h1',
                    'tls': False,
                    'admission-check': True,
                    'standby': False,
                }
            ],
            'limits': {'max-header-bytes': 16384, 'max-body-bytes': 262144},
        }
    ).encode()


@contextlib.asynccontextmanager
async def running_world(
    workers: int, daemons: int, **changes: int
) -> AsyncIterator[World]:
    """Start a world, and end it with all of its processes."""
    if not (ROOT / 'target' / 'deps' / 'waxwingford').is_dir():
        raise RuntimeError('target/ is not built')
    with tempfile.TemporaryDirectory() as name:
        world = World(pathlib.Path(name))
        try:
            await world.start(workers, daemons, **changes)
            yield world
        finally:
            await world.close()


def note_logs(world: World) -> None:
    """Add to the record how often owners have changed or failed."""
    for daemon in world.daemons:
        names = [row.get('event') for row in daemon.events()]
        for name in ('shard.claimed', 'part of the owner failed'):
            world.note(f'log of {daemon.name}: {names.count(name)} x {name}')
