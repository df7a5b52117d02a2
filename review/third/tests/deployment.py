"""A small deployment: daemons as the deploy file starts them, and stand-ins."""

import asyncio
import contextlib
import gc
import os
import pathlib
import re
import shlex
import socket
import sys
import tempfile
import time
import tomllib

from http_io import HOST, Answer, call
from store_standin import StoreStandin
from worker_standin import WorkerStandin

ROOT = pathlib.Path(__file__).resolve().parents[3]
QUEUE_HOST = 'desk.example'
PREFIX = '/jobs/'
#: Exit statuses; Python ends with 1 after any error, so that isn't one of them.
HELD = 0
NOT_RUN = 2
BROKEN = 10
READY_TIMEOUT_S = 30
#: Longest play, in seconds, which leaves some time to end all processes.
PLAY_TIMEOUT_S = 110
_SECTION = re.compile(r'\{\{#([\w.-]+)\}\}(.*?)\{\{/\1\}\}', re.DOTALL)
_PLACEHOLDER = re.compile(r'\{\{([\w.-]+)\}\}')
#: What the platform fills in for the small deployment of the pages.
_VALUE_BY_PLACEHOLDER = {
    'region': 'region-a',
    'ip': HOST,
    'bounds.max-hold-ms': '6000',
    'bounds.grace-s': '6',
    'limits.cpu-share': '0.43',
    'limits.cores': '1',
    'limits.link-mbps': '1000.0',
    'limits.memory-mb': '300',
    'limits.max-fds': '4100',
}


class CouldNotRunError(Exception):
    """The case could not be played."""


def free_ports(count: int) -> list[int]:
    """Find free ports."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for one in sockets:
            one.bind((HOST, 0))
        return [one.getsockname()[1] for one in sockets]


class Record:
    """The record of a play: what was sent, answered and run."""

    def __init__(self, path: pathlib.Path) -> None:
        self._began_s = time.monotonic()
        self._file = path.open('w')

    def now_s(self) -> float:
        """Time since the beginning of the play, in seconds."""
        return time.monotonic() - self._began_s

    def write(self, event: str, **details: object) -> None:
        """Write one line."""
        told = ' '.join(f'{name}={one}' for name, one in details.items())
        self._file.write(f'{self.now_s():8.3f} {event} {told}\n')
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def _render(template: str, value_by_placeholder: dict[str, str]) -> str:
    def section(found: re.Match[str]) -> str:
        return found[2] if value_by_placeholder.get(found[1]) else ''

    def placeholder(found: re.Match[str]) -> str:
        return value_by_placeholder[found[1]]

    return _PLACEHOLDER.sub(placeholder, _SECTION.sub(section, template))


class Daemon:
    """A process of the deployed program."""

    def __init__(
        self, name: str, folder: pathlib.Path, store: str, advice: str
    ) -> None:
        self.name = name
        ports = free_ports(5)
        self.front = f'{HOST}:{ports[0]}'
        self.ready = f'{HOST}:{ports[1]}'
        self.process: asyncio.subprocess.Process | None = None
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = deploy['roles']['scheduler']
        values = {
            **_VALUE_BY_PLACEHOLDER,
            'node': name,
            'zone': 'zone-a',
            'listen.front': self.front,
            'listen.ready': self.ready,
            'internal-ports.0': str(ports[2]),
            'internal-ports.1': str(ports[3]),
            'platform.address': store,
            'advice': advice,
        }
        text = _render((ROOT / role['template']).read_text(), values)
        text = text.replace('metrics_port = 9464', f'metrics_port = {ports[4]}')
        self._settings = folder / f'{name}.toml'
        self._settings.write_text(text)
        self._log = folder / f'{name}.log'
        self._command = _render(role['run'], values).replace(
            '/etc/waxwingford/boot.yaml', str(self._settings)
        )

    async def start(self) -> None:
        """Start the process."""
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        with self._log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *shlex.split(self._command),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def stop(self) -> None:
        """Kill the process."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()

    def log_text(self) -> str:
        """Read what the process has written."""
        return self._log.read_text() if self._log.exists() else ''


class Deployment:
    """Store, workers and daemons of one play."""

    def __init__(self, folder: pathlib.Path, record: Record) -> None:
        self.record = record
        self.store = StoreStandin()
        #: Address of the advice service, empty for none.
        self.advice_address = ''
        self.daemons: list[Daemon] = []
        self.workers: list[WorkerStandin] = []
        self._folder = folder

    async def start(
        self, daemons: int = 1, workers: int = 4, **queue: object
    ) -> None:
        """Start everything, and wait until all daemons are ready.

        :param queue: settings of the queue that differ.
        """
        self.write_configuration(1, **queue)
        for _ in range(workers):
            await self.add_worker()
        for number in range(daemons):
            await self.add_daemon(f'front-{number + 1}')
        await self.wait_ready()

    def write_configuration(self, version: int, **queue: object) -> None:
        """Write a configuration with one queue, as the operator does."""
        route = {
            'name': 'desk-queue',
            'host': QUEUE_HOST,
            'path-prefix': PREFIX,
            'service': 'desk',
            'priority': 0,
            'max-attempts': 3,
            'stretch': 2.0,
            'target-latency-ms': 1000,
            **queue,
        }
        self.store.write(
            'op',
            'config',
            {
                'version': version,
                'routes': [route],
                'services': [{'name': 'desk', 'admission-check': True}],
                'limits': {'max-body-bytes': 262_144},
            },
        )

    async def add_worker(self) -> WorkerStandin:
        """Start a worker."""
        worker = WorkerStandin(self.store, self.record.write)
        await worker.start()
        self.workers.append(worker)
        return worker

    async def add_daemon(self, name: str) -> Daemon:
        """Start a daemon."""
        store = await self.store.open_port(name)
        daemon = Daemon(name, self._folder, store, self.advice_address)
        await daemon.start()
        self.daemons.append(daemon)
        return daemon

    async def wait_ready(self) -> None:
        """Wait until all daemons are ready.

        :raises CouldNotRunError: if they aren't in time.
        """
        for daemon in self.daemons:
            deadline_s = time.monotonic() + READY_TIMEOUT_S
            while not await _is_ready(daemon):
                if time.monotonic() > deadline_s:
                    raise CouldNotRunError(f'{daemon.name} is not ready')
                await asyncio.sleep(0.1)
        self.record.write('all daemons are ready')

    async def send(
        self,
        daemon: Daemon,
        method: str,
        job_id: str,
        content: object = None,
        budget_s: float = 3,
        leave_after_s: float | None = None,
    ) -> Answer:
        """Send a request of a client.

        :param budget_s: time budget that the client names.
        :param leave_after_s: time after which it leaves, by default the budget.
        """
        headers = {
            'Host': QUEUE_HOST,
            'X-Deadline-Ms': str(int(budget_s * 1000)),
        }
        self.record.write(
            'client sends', daemon=daemon.name, method=method, job=job_id
        )
        answer = await call(
            daemon.front,
            method,
            PREFIX + job_id,
            headers,
            content,
            budget_s if leave_after_s is None else leave_after_s,
        )
        self.record.write(
            'client got',
            daemon=daemon.name,
            method=method,
            job=job_id,
            status=answer.status,
            content=answer.content,
        )
        return answer

    def runs_of(self, job_id: str) -> int:
        """Count the runs of a submission that have begun."""
        return sum(
            number
            for worker in self.workers
            for task, number in worker.starts_by_task.items()
            if task.startswith(job_id)
        )

    def is_running(self, job_id: str) -> bool:
        """Whether a run of a submission is present on a worker."""
        return any(
            task.startswith(job_id)
            for worker in self.workers
            for task in worker.run_by_task
        )

    def is_done(self, job_id: str, steps: int) -> bool:
        """Whether a submission with one task a step has ended ``done``."""
        done = {task for worker in self.workers for task in worker.done_tasks}
        return all(f'{job_id}.0.{step}.0' in done for step in range(steps))

    async def close(self) -> None:
        """End everything."""
        for daemon in self.daemons:
            await daemon.stop()
        for worker in self.workers:
            worker.crash()
        self.store.close()


async def _is_ready(daemon: Daemon) -> bool:
    answer = await call(daemon.ready, 'GET', '/api/ready', {'Host': 'x'})
    return answer.status == 200


def has_trouble() -> bool:
    """Whether the play has its disruption: it has none with ``TROUBLE=0``."""
    return os.environ.get('TROUBLE', '1') != '0'


class Failures:
    """Errors in tasks of the stand-ins, which would spoil a verdict unseen."""

    def __init__(self) -> None:
        self.errors: list[str] = []

    def note(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, object]
    ) -> None:
        """Note an error that nothing has handled."""
        self.errors.append(repr(context.get('exception', context['message'])))

    def judge(self, status: int, record: Record) -> int:
        """Return the status of a play, ``NOT_RUN`` if a stand-in has failed."""
        # Errors of tasks are told when these are freed.
        gc.collect()
        if not self.errors:
            return status
        record.write('a stand-in failed', errors=self.errors[:3])
        return NOT_RUN


async def _play(
    play, folder: pathlib.Path, record: Record, failures: Failures
) -> int:
    asyncio.get_running_loop().set_exception_handler(failures.note)
    deployment = Deployment(folder, record)
    try:
        return await asyncio.wait_for(play(deployment), PLAY_TIMEOUT_S)
    finally:
        await deployment.close()


def main(play) -> None:
    """Play a case, and exit with ``BROKEN``, ``HELD`` or ``NOT_RUN``.

    :param play: coroutine function that plays it in a deployment.
    """
    record = Record(pathlib.Path(sys.argv[1]) / 'record.txt')
    status = NOT_RUN
    failures = Failures()
    with tempfile.TemporaryDirectory() as name:
        try:
            status = asyncio.run(
                _play(play, pathlib.Path(name), record, failures)
            )
        except (Exception, KeyboardInterrupt) as error:
            record.write('could not run', error=repr(error))
    status = failures.judge(status, record)
    record.write('exit', status=status)
    record.close()
    sys.exit(status)
