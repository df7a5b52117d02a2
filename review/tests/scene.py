"""The scene of a case: store, workers, daemons, operator and clients."""

import asyncio
import contextlib
import json
import os
import pathlib
import re
import secrets
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Callable, Coroutine
from http import HTTPStatus

from review.tests.http_service import Answer, request
from review.tests.store import Store
from review.tests.workers import Fleet

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST_HEADER = 'nony24.example'
CANNOT_RUN = 2
#: Failed runs after which a submission is given up, as configured for each queue.
MAX_ATTEMPTS = 3
MS_PER_S = 1000
_PLACEHOLDER = re.compile(r'\{\{([a-z0-9.-]+)\}\}')
_SECTION = re.compile(r'\{\{#advice\}\}.*?\{\{/advice\}\}', re.DOTALL)


def trouble() -> bool:
    """Tell whether the disruption takes place."""
    return os.environ.get('TROUBLE', '1') != '0'


def free_ports(host: str, count: int) -> list[int]:
    """Find free ports of an address."""
    with contextlib.ExitStack() as stack:
        sockets = [
            stack.enter_context(contextlib.closing(socket.socket()))
            for _ in range(count)
        ]
        for one in sockets:
            one.bind((host, 0))
        return [one.getsockname()[1] for one in sockets]


class Daemon:
    """A process of the scheduler, started as the deploy file says."""

    def __init__(self, name: str, host: str, store: str, folder: str) -> None:
        self.name = name
        self.host = host
        self._folder = pathlib.Path(folder)
        ports = free_ports(host, 4)
        self.front = host, ports[0]
        self.ready = host, ports[1]
        self._value_by_placeholder = {
            'node': name,
            'zone': 'gulberg',
            'region': 'lahore',
            'ip': host,
            'listen.front': f'{host}:{ports[0]}',
            'listen.ready': f'{host}:{ports[1]}',
            'internal-ports.0': str(ports[2]),
            'internal-ports.1': str(ports[3]),
            'platform.address': store,
            'bounds.max-hold-ms': '6000',
            'bounds.grace-s': '6',
            'limits.cpu-share': '0.43',
            'limits.cores': '1',
            'limits.link-mbps': '1000.0',
        }
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = deploy['roles']['scheduler']
        template = _SECTION.sub('', (ROOT / role['template']).read_text())
        settings = self._folder / f'{self.name}.toml'
        settings.write_text(
            _PLACEHOLDER.sub(
                lambda found: self._value_by_placeholder[found[1]], template
            )
        )
        words = shlex.split(role['run'])
        words[-1] = str(settings)
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        with (self._folder / f'{self.name}.log').open('ab') as log:
            self._process = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def kill(self, number: int = signal.SIGKILL) -> None:
        """Send a signal, and wait for the end after a kill."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)
            if number == signal.SIGKILL:
                self._process.wait()

    def has_ended(self) -> bool:
        """Tell whether the process has ended."""
        return self._process is not None and self._process.poll() is not None

    async def is_ready(self) -> bool:
        """Ask for readiness, as the platform does."""
        answer = await request(self.ready, 'GET', '/api/ready')
        return answer is not None and answer.status == HTTPStatus.OK

    def log_lines(self) -> list[dict[str, object]]:
        """Read the lines that the process has logged."""
        raw = (self._folder / f'{self.name}.log').read_text()
        return [json.loads(one) for one in raw.splitlines() if one[:1] == '{']


class Scene:
    """Everything that a case needs; ``open`` starts it."""

    def __init__(self, record_file: pathlib.Path, daemons: int) -> None:
        self._record_file = record_file.open('w', encoding='utf-8')
        self._began_s = time.monotonic()
        net = f'127.{secrets.randbelow(200) + 20}.{secrets.randbelow(200) + 20}'
        self.host = f'{net}.1'
        self._hosts = [f'{net}.{10 + number}' for number in range(daemons)]
        self.store = Store()
        self.fleet = Fleet(self.store, self.host, self.record)
        self.daemons: list[Daemon] = []
        self._version = 0

    def record(self, **fields: object) -> None:
        """Write a line of the record."""
        at_s = round(time.monotonic() - self._began_s, 3)
        line = json.dumps({'at_s': at_s, **fields})
        self._record_file.write(f'{line}\n')
        self._record_file.flush()

    @contextlib.asynccontextmanager
    async def open(self):
        """Start the store and the daemons, and end them."""
        with tempfile.TemporaryDirectory() as folder:
            address = await self.store.serve(self.host)
            self.daemons = [
                Daemon(f'front-{number}', host, address, folder)
                for number, host in enumerate(self._hosts, start=1)
            ]
            beat = asyncio.create_task(self.fleet.beat())
            try:
                yield self
            finally:
                beat.cancel()
                for daemon in self.daemons:
                    daemon.kill()

    def configure(self, routes: list[dict[str, object]]) -> int:
        """Write a configuration as the operator; the store acknowledges it."""
        self._version += 3
        names = sorted({route['service'] for route in routes})
        config = {
            'version': self._version,
            'routes': routes,
            'services': [
                {
                    'name': name,
                    'health-path': '/health',
                    'max-connections': 64,
                    'protocol': 'h1',
                    'tls': False,
                    'admission-check': True,
                    'standby': False,
                }
                for name in names
            ],
            'limits': {
                'max-header-bytes': 16384,
                'max-body-bytes': 262144,
                'header-timeout-ms': 3000,
                'idle-timeout-ms': 15000,
            },
        }
        self.store.put('op', 'config', json.dumps(config).encode())
        self.record(
            event='configuration acknowledged',
            version=self._version,
            service_by_route={
                route['name']: route['service'] for route in routes
            },
        )
        return self._version

    async def start_daemons(self, timeout_s: float = 20) -> None:
        """Start all daemons and wait until they are ready."""
        for daemon in self.daemons:
            daemon.start()
        await self.wait_ready(timeout_s)

    async def wait_ready(self, timeout_s: float = 20) -> None:
        """Wait until all daemons are ready."""
        until_s = time.monotonic() + timeout_s
        for daemon in self.daemons:
            while not await daemon.is_ready():
                if time.monotonic() > until_s:
                    give_up(f'{daemon.name} is not ready')
                await asyncio.sleep(0.1)
        self.record(event='all daemons are ready')

    async def call(
        self, daemon: Daemon, method: str, target: str, content: object = None
    ) -> Answer | None:
        """Send a request of a client, and record both."""
        answer = await request(
            daemon.front, method, target, HOST_HEADER, content
        )
        self.record(
            event='request',
            daemon=daemon.name,
            method=method,
            target=target,
            status=None if answer is None else answer.status,
            body='' if answer is None else answer.body.decode()[:200],
        )
        return answer

    def owner(self) -> Daemon | None:
        """Find the daemon that took the shard over last, by the logs."""
        epochs = [
            (int(line['epoch']), number)
            for number, daemon in enumerate(self.daemons)
            for line in daemon.log_lines()
            if line.get('event') == 'shard.taken_over'
        ]
        return self.daemons[max(epochs)[1]] if epochs else None


def route(name: str, prefix: str, service: str) -> dict[str, object]:
    """Describe a route of the configuration."""
    return {
        'name': name,
        'host': HOST_HEADER,
        'path-prefix': prefix,
        'kind': 'unsafe',
        'timeout-ms': 3000,
        'target-latency-ms': 250,
        'priority': 0,
        'service': service,
        'max-attempts': MAX_ATTEMPTS,
        'stretch': 1.5,
    }


def job_body(
    length_ms: int, more: dict[str, object] | None = None
) -> dict[str, object]:
    """Describe a submission of one step, and its work to the workers.

    :param more: further fields of the step.
    """
    step = {
        'count': 1,
        'cpu': 2000,
        'mem-mb': 256,
        'estimate-ms': length_ms,
        **(more or {}),
    }
    work = {'length-ms': length_ms, 'cpu': step['cpu']}
    if step.get('gang'):
        work['gang'] = step['count']
    return {'spec': json.dumps(work), 'steps': [step]}


def new_id() -> str:
    """Choose the id of a submission."""
    return secrets.token_hex(8)


def give_up(reason: str) -> None:
    """End the script: the case could not run."""
    sys.stdout.write(f'could not run: {reason}\n')
    sys.exit(CANNOT_RUN)


def play(main: Callable[[str], Coroutine[None, None, int]]) -> None:
    """Run a case and exit with its status; any error is a case that can't run.

    :param main: plays the case, and writes to the file that it is given.
    """
    try:
        status = asyncio.run(main(sys.argv[1]))
    except (Exception, KeyboardInterrupt):
        traceback.print_exc()
        status = CANNOT_RUN
    sys.exit(status)
