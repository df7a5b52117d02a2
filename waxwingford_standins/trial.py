"""Load test of a running deployment, with audit and report."""

import asyncio
import pathlib
import secrets

import msgspec

from waxwingford.timeline import Event, merge_events, plot_timeline
from waxwingford_standins.backend_server import ServerAudit
from waxwingford_standins.load import Callers
from waxwingford_standins.local_run import LocalRun
from waxwingford_standins.night import DomainTracker, Night, read_tracker
from waxwingford_standins.report import RunReport, make_report, report_text

_POLL_S = 0.2
_JOBS_TIMEOUT_S = 15
_LABEL_BYTES = 3
_servers_decoder = msgspec.json.Decoder(list[ServerAudit])
_counts_decoder = msgspec.json.Decoder(dict[str, int])
_events_decoder = msgspec.json.Decoder(list[Event])


class LoadTest:
    """Request and batch load on a running deployment.

    :ivar callers: load generator with the completed calls.
    :ivar night: batch load with the submitted jobs.
    """

    def __init__(self, local_run: LocalRun) -> None:
        """Create a load test without starting the load.

        :param local_run: run with ready daemons.
        """
        label = secrets.token_hex(_LABEL_BYTES)
        self.callers = Callers(
            local_run.deployment,
            local_run.layout,
            label,
            local_run.switches.tls,
        )
        self.night = Night(local_run, label)
        self._run = local_run

    async def load(self, seconds: float) -> None:
        """Generate the request and batch load.

        :param seconds: duration in which calls are started, in seconds.
        """
        await asyncio.gather(self.callers.run(seconds), self.night.run())

    async def report(self, seconds: float) -> RunReport:
        """Wait for the jobs, up to a time limit, and audit the run.

        :param seconds: duration of the load, in seconds, for the report.
        """
        trackers = await _wait_for_jobs(self._run)
        switches = self._run.switches
        return make_report(
            self._run.deployment.name,
            seconds,
            self.callers,
            await read_servers(self._run),
            self.night.submitted,
            trackers,
            _counts_decoder.decode(await switches.platform_audit()),
        )


async def read_servers(local_run: LocalRun) -> list[ServerAudit]:
    """Read the audits of all backend servers."""
    return _servers_decoder.decode(await local_run.switches.server_audit())


async def write_results(
    local_run: LocalRun, report: RunReport, directory: pathlib.Path
) -> str:
    """Write the report and plot the timeline of the running daemons.

    :param local_run: run whose daemons are queried for their timelines.
    :returns: text of the report.
    """
    text = report_text(report)
    (directory / 'report.txt').write_text(text)
    (directory / 'report.json').write_bytes(
        msgspec.json.format(msgspec.json.encode(report))
    )
    picture = directory / 'timeline.svg'
    merged = merge_events(await _read_timelines(local_run))
    await asyncio.to_thread(plot_timeline, merged, str(picture))
    return text


async def _wait_for_jobs(local_run: LocalRun) -> list[DomainTracker]:
    """Wait until the log records no unfinished job, up to a time limit.

    :returns: replayed streams of all failure domains.
    """
    loop = asyncio.get_running_loop()
    until_s = loop.time() + _JOBS_TIMEOUT_S
    while True:
        trackers = [
            await read_tracker(local_run, domain.name)
            for domain in local_run.deployment.failure_domains
        ]
        is_open = any(tracker.state.jobs_by_id for tracker in trackers)
        if not is_open or loop.time() > until_s:
            return trackers
        await asyncio.sleep(_POLL_S)


async def _read_timelines(local_run: LocalRun) -> list[Event]:
    events: list[Event] = []
    for daemon in local_run.layout.daemons:
        status, text = await local_run.switches.get(
            f'{daemon.url}/v1/timeline?since=0'
        )
        if status:
            events.extend(_events_decoder.decode(text))
    return events
