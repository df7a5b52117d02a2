"""A running deployment of real processes."""

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
from waxwingford_bench.whole_path.rows import (
    MS_PER_S,
    MeasurementFailed,
    wait_until,
)
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
DEPLOYMENT_DIRECTORY = (
    pathlib.Path(__file__).resolve().parents[2] / 'deployments' / 'qadri'
)
_MEMBER = 'qadri'
_TEAM = 'archive'
_KIND = 'archive_rebuild'
_SETTLE_TIMEOUT_S = 60
_OUTPUT_TAIL_CHARS = 2000
_events_decoder = msgspec.json.Decoder(list[Event])


class Fleet:
    """Queries and controls a running deployment.

    :ivar run: running processes.
    :ivar bundle: initial bundle.
    :ivar leases: name of the lease settings.
    :ivar refusals: number of refused service calls.
    """

    def __init__(self, run: LocalRun, bundle: Bundle, leases: str) -> None:
        """Create an interface to running processes.

        :param run: running processes.
        :param bundle: initial bundle.
        :param leases: name of the lease settings.
        """
        self.run = run
        self.bundle = bundle
        self.leases = leases
        self.refusals = 0
        self._operator = Operator(run)

    @property
    def daemons(self) -> tuple[DaemonPlace, ...]:
        """All daemons of the deployment.

        :returns: their places in the layout.
        """
        return self.run.layout.daemons

    def domain_names(self) -> list[str]:
        """List failure domains.

        :returns: names of the failure domains.
        """
        return [domain.name for domain in self.run.deployment.failure_domains]

    def daemons_in_domain(self, domain: str) -> list[DaemonPlace]:
        """List the daemons of a failure domain.

        :param domain: name of the failure domain.
        :returns: places of its daemons in the layout.
        """
        return [
            daemon for daemon in self.daemons if daemon.failure_domain == domain
        ]

    async def status(self, daemon: DaemonPlace) -> dict[str, Any]:
        """Fetch the status of a daemon.

        :param daemon: the daemon.
        :returns: the decoded status; empty if the request failed.
        """
        code, text = await self.run.switches.get(f'{daemon.url}/v1/status')
        return json.loads(text) if code == OK else {}

    async def leased_servers(self, daemon: DaemonPlace) -> set[str]:
        """Fetch the servers that a daemon holds.

        :param daemon: the daemon.
        :returns: ids of servers whose lease has not expired.
        """
        status = await self.status(daemon)
        return {
            server['server_id']
            for server in status.get('servers', ())
            if server['lease_left_ms'] > 0
        }

    async def servers_leased_by(
        self, daemons: Iterable[DaemonPlace]
    ) -> set[str]:
        """Fetch the servers that any of several daemons holds.

        :param daemons: the daemons.
        :returns: ids of servers whose lease has not expired.
        """
        return set().union(
            *await asyncio.gather(*map(self.leased_servers, daemons))
        )

    async def wait_until_settled(self) -> None:
        """Wait until all daemons are ready and all servers are held."""
        all_servers = {vm.server_id for vm in self.run.layout.vms}

        async def _is_settled() -> bool:
            is_ready = not await self.run.unready()
            return (
                is_ready
                and await self.servers_leased_by(self.daemons) == all_servers
            )

        await wait_until(_is_settled, _SETTLE_TIMEOUT_S, 0.1)

    async def wait_until_shared(self) -> None:
        """Wait until every daemon holds at least one server."""

        async def _all_hold() -> bool:
            return all(
                await asyncio.gather(*map(self.leased_servers, self.daemons))
            )

        await wait_until(_all_hold, _SETTLE_TIMEOUT_S, 0.1)

    async def submit(
        self, daemon: DaemonPlace, job_id: str, work: Work, **fields: Any
    ) -> None:
        """Submit a job.

        :param daemon: daemon to submit to.
        :param job_id: unique id, without the prefix of the member.
        :param work: work of each task.
        :param fields: fields of ``JobFields`` that override the defaults.
        :raises MeasurementFailed: if the daemon does not accept the job.
        """
        defaults = {
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
            'submitted_wall_ms': int(time.time() * MS_PER_S),
        }
        status, text = await self._operator.post(
            _MEMBER,
            daemon,
            '/v1/jobs',
            encode_json(JobFields(**defaults | fields)),
        )
        if status not in {OK, 201, 202}:
            raise MeasurementFailed(
                f'{job_id} was not accepted: {status} {text}'
            )

    async def attempts(self) -> list[AttemptRun]:
        """Fetch the attempts of all backend servers.

        :returns: running and ended attempts.
        """
        servers = await read_servers(self.run)
        return [run for server in servers for run in server.attempts]

    async def events(self, daemons: Iterable[DaemonPlace]) -> list[Event]:
        """Fetch the timelines of daemons.

        :param daemons: the daemons.
        :returns: events of all daemons that answered.
        """
        events: list[Event] = []
        for daemon in daemons:
            code, text = await self.run.switches.get(
                f'{daemon.url}/v1/timeline?since=0'
            )
            if code == OK:
                events.extend(_events_decoder.decode(text))
        return events


def load_qadri() -> tuple[Deployment, Bundle]:
    """Load the deployment ``qadri``.

    :returns: the deployment and its initial bundle.
    :raises MeasurementFailed: if one of its files is invalid.
    """
    deployment = load_deployment(DEPLOYMENT_DIRECTORY / 'deployment.toml')
    bundle = open_bundle(DEPLOYMENT_DIRECTORY / 'bundle.toml')
    if isinstance(deployment, tuple) or isinstance(bundle, str):
        raise MeasurementFailed(f'{deployment} {bundle}')
    return deployment, bundle


@contextlib.asynccontextmanager
async def run_fleet(
    leases: str,
    log_progress: Callable[[str], None],
    median_ms: float | None = None,
) -> AsyncIterator[Fleet]:
    """Run the deployment ``qadri``.

    :param leases: name of the lease settings.
    :param log_progress: called with each progress line.
    :param median_ms: fixed response time of the service in milliseconds, or
        None for the distribution of the deployment.
    :yields: the settled fleet.
    :raises MeasurementFailed: if the deployment does not start or settle.

    """
    deployment, bundle = load_qadri()
    if median_ms is not None:
        update = {'median_ms': median_ms, 'sigma': 0}
        service = deployment.service.model_copy(update=update)
        deployment = deployment.model_copy(update={'service': service})
    options = RunOptions(LEASES_BY_NAME[leases])
    with tempfile.TemporaryDirectory() as directory:
        run = LocalRun(
            deployment, bundle, pathlib.Path(directory), log_progress, options
        )
        try:
            yield await _start_fleet(run, bundle, leases)
        finally:
            await run.stop()


async def _start_fleet(run: LocalRun, bundle: Bundle, leases: str) -> Fleet:
    outcome = await run.start()
    if isinstance(outcome, StartFailed):
        raise MeasurementFailed(
            f'{outcome.reason}\n{_output_of_ended_processes(run)}'
        )
    fleet = Fleet(run, bundle, leases)
    await fleet.wait_until_settled()
    return fleet


def _output_of_ended_processes(run: LocalRun) -> str:
    # The output files are deleted together with the directory of the run.
    names = (line.partition(' ')[0] for line in run.processes.ended())
    return ''.join(
        run.processes.output(name)[-_OUTPUT_TAIL_CHARS:] for name in names
    )
