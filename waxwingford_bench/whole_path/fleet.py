"""A running deployment of real processes, as the whole path measures it."""

import asyncio
import contextlib
import json
import pathlib
import tempfile
import time
from collections.abc import AsyncIterator, Callable, Iterable
from typing import Any

import msgspec

from waxwingford.adapters import encode_json
from waxwingford.bundles import Bundle
from waxwingford.ports import Resources
from waxwingford.settings import Leases
from waxwingford.timeline import Event
from waxwingford_bench.whole_path.rows import MS_IN_S, NotReached, until
from waxwingford_standins.configs import LOCAL_LEASES, RunOptions
from waxwingford_standins.deployment import Deployment, load_deployment
from waxwingford_standins.layout import DaemonPlace
from waxwingford_standins.local_run import LocalRun, StartFailed, open_bundle
from waxwingford_standins.night import JobFields
from waxwingford_standins.operator import Operator
from waxwingford_standins.server_tasks import AttemptRun, Work
from waxwingford_standins.trial import read_servers

OK = 200
LEASES_BY_NAME = {'production': Leases(), 'local': LOCAL_LEASES}
_SOURCE = (
    pathlib.Path(__file__).resolve().parent.parent / 'deployments' / 'qadri'
)
_MEMBER = 'qadri'
_TEAM = 'archive'
_KIND = 'archive_rebuild'
_SETTLED_S = 60
#: Characters of a log.
_SHOWN = 2000
_events_decoder = msgspec.json.Decoder(list[Event])


class Fleet:
    """Polls and changes a running deployment.

    :ivar run: the processes.
    :ivar bundle: first bundle.
    :ivar leases: name of the lease settings.
    :ivar refused: calls that were refused.
    """

    def __init__(self, run: LocalRun, bundle: Bundle, leases: str) -> None:
        """Wrap.

        :param run: started processes.
        :param bundle: first bundle.
        :param leases: name of the lease settings.
        """
        self.run = run
        self.bundle = bundle
        self.leases = leases
        self.refused = 0
        self._operator = Operator(run)

    @property
    def daemons(self) -> tuple[DaemonPlace, ...]:
        """All daemons.

        :returns: their places.
        """
        return self.run.layout.daemons

    def domains(self) -> list[str]:
        """List failure domains.

        :returns: their names.
        """
        return [domain.name for domain in self.run.deployment.failure_domains]

    def beside(self, domain: str) -> list[DaemonPlace]:
        """List the daemons of a failure domain.

        :param domain: its name.
        :returns: their places.
        """
        return [
            daemon for daemon in self.daemons if daemon.failure_domain == domain
        ]

    async def status(self, daemon: DaemonPlace) -> dict[str, Any]:
        """Ask a daemon for its status.

        :param daemon: which.
        :returns: the answer, empty without one.
        """
        code, text = await self.run.switches.get(f'{daemon.url}/v1/status')
        return json.loads(text) if code == OK else {}

    async def held(self, daemon: DaemonPlace) -> set[str]:
        """Ask which servers a daemon commands.

        :param daemon: which.
        :returns: server ids under a lease that has not run out.
        """
        status = await self.status(daemon)
        return {
            server['server_id']
            for server in status.get('servers', ())
            if server['lease_left_ms'] > 0
        }

    async def held_by(self, daemons: Iterable[DaemonPlace]) -> set[str]:
        """Ask which servers some daemons command together.

        :param daemons: which.
        :returns: server ids.
        """
        return set().union(*await asyncio.gather(*map(self.held, daemons)))

    async def settle(self) -> None:
        """Wait until all daemons are ready and all servers commanded."""
        all_servers = {vm.server_id for vm in self.run.layout.vms}

        async def _is_settled() -> bool:
            is_ready = not await self.run.unready()
            return is_ready and await self.held_by(self.daemons) == all_servers

        await until(_is_settled, _SETTLED_S, 0.1)

    async def share(self) -> None:
        """Wait until every daemon commands some servers."""

        async def _all_hold() -> bool:
            return all(await asyncio.gather(*map(self.held, self.daemons)))

        await until(_all_hold, _SETTLED_S, 0.1)

    async def submit(
        self, daemon: DaemonPlace, job_id: str, work: Work, **fields: Any
    ) -> None:
        """Submit a job.

        :param daemon: where to.
        :param job_id: unique.
        :param work: what each task does.
        :param fields: of JobFields that differ from one small task.
        """
        usual = {
            'job_id': f'{_MEMBER}.{job_id}',
            'member': _MEMBER,
            'team': _TEAM,
            'kind': _KIND,
            'task_count': 1,
            'resources': Resources(1000, 1000),
            'run_ms': work.run_ms,
            'priority': 0,
            'finish_by_wall_ms': 0,
            'lost_after_ms': 0,
            'payload': encode_json(work).decode(),
            'submitted_wall_ms': int(time.time() * MS_IN_S),
        }
        status, text = await self._operator.post(
            _MEMBER,
            daemon,
            '/v1/jobs',
            encode_json(JobFields(**usual | fields)),
        )
        if status not in {OK, 201, 202}:
            raise NotReached(f'{job_id} was not taken: {status} {text}')

    async def attempts(self) -> list[AttemptRun]:
        """Ask the backend servers what ran.

        :returns: every attempt so far.
        """
        servers = await read_servers(self.run)
        return [run for server in servers for run in server.attempts]

    async def events(self, daemons: Iterable[DaemonPlace]) -> list[Event]:
        """Read time lines.

        :param daemons: whose.
        :returns: events, of all together.
        """
        events: list[Event] = []
        for daemon in daemons:
            code, text = await self.run.switches.get(
                f'{daemon.url}/v1/timeline?since=0'
            )
            if code == OK:
                events.extend(_events_decoder.decode(text))
        return events


def qadri() -> tuple[Deployment, Bundle]:
    """Read the deployment.

    :returns: it, and its first bundle.
    :raises NotReached: if its files are wrong.
    """
    deployment = load_deployment(_SOURCE / 'deployment.toml')
    bundle = open_bundle(_SOURCE / 'bundle.toml')
    if isinstance(deployment, tuple) or isinstance(bundle, str):
        raise NotReached(f'{deployment} {bundle}')
    return deployment, bundle


@contextlib.asynccontextmanager
async def started(
    leases: str, say: Callable[[str], None], median_ms: float | None = None
) -> AsyncIterator[Fleet]:
    """Run the deployment.

    :param leases: name of the lease settings.
    :param say: takes progress lines.
    :param median_ms: fixed time of the service, None for the deployment's.
    :yields: the settled fleet.
    """
    deployment, bundle = qadri()
    if median_ms is not None:
        update = {'median_ms': median_ms, 'sigma': 0}
        service = deployment.service.model_copy(update=update)
        deployment = deployment.model_copy(update={'service': service})
    options = RunOptions(LEASES_BY_NAME[leases])
    with tempfile.TemporaryDirectory() as directory:
        run = LocalRun(
            deployment, bundle, pathlib.Path(directory), say, options
        )
        try:
            yield await _settled(run, bundle, leases)
        finally:
            await run.stop()


async def _settled(run: LocalRun, bundle: Bundle, leases: str) -> Fleet:
    outcome = await run.start()
    if isinstance(outcome, StartFailed):
        raise NotReached(f'{outcome.reason}\n{_last_lines(run)}')
    fleet = Fleet(run, bundle, leases)
    await fleet.settle()
    return fleet


def _last_lines(run: LocalRun) -> str:
    # The directory goes with the run, and with it why a process ended.
    names = (line.partition(' ')[0] for line in run.processes.ended())
    return ''.join(run.processes.output(name)[-_SHOWN:] for name in names)
