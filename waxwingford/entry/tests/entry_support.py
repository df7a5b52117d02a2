"""HTTP interface on loopback with a fake dispatcher and job service."""

import asyncio
from collections.abc import Mapping
from typing import NamedTuple

from aiohttp import ClientSession, web

from waxwingford.batch import JobAcceptedOutcome, JobCancelledOutcome, JobView
from waxwingford.bundles import Unverified, Verified
from waxwingford.entry import (
    HttpLimits,
    HttpServer,
    JobRoutesConfig,
    ServiceRoutesConfig,
    job_routes,
    service_routes,
)
from waxwingford.kernel import SystemClock
from waxwingford.routing import Answered, Refused, Rejected, Unknown

LIMITS = HttpLimits(
    body_bytes=2500,
    all_bodies_bytes=5000,
    connections=4,
    read_ms=300,
    write_ms=300,
    idle_ms=300,
)
_POLL_INTERVAL_S = 0.02
_TIMEOUT_S = 20
OUTCOMES = {
    'answered': Answered(200, 'text/plain', b'report', 'server-1'),
    'refused': Refused('no server has room', 1500),
    'unknown': Unknown('no answer', 1500),
    'rejected': Rejected('other body', 422),
}


class Response(NamedTuple):
    status: int
    headers: Mapping[str, str]
    body: bytes


class FakeDispatcher:
    """Records requests; the path of a request is the size of the response."""

    def __init__(self):
        self.requests = []
        self.outcome = None

    async def handle(self, request):
        self.requests.append(request)
        size = int(request.path) if request.path.isdecimal() else 0
        sized_answer = Answered(200, 'text/plain', bytes(size), 'server-1')
        return self.outcome or sized_answer


class FakeJobService:
    """Has one job of one member; records requested changes."""

    def __init__(self):
        self.changes = []

    async def submit(self, job):
        self.changes.append(job)
        return JobAcceptedOutcome(job.job_id)

    async def cancel(self, job_id, member):
        self.changes.append(job_id)
        return JobCancelledOutcome(job_id)

    def evict(self, task_id):
        self.changes.append(task_id)
        return True

    def jobs(self, member):
        return [JobView('qadri.night', member, 'open', {})]

    def job(self, job_id, member):
        known = (job_id, member) == ('qadri.night', 'qadri')
        return JobView(job_id, member, 'open', {}) if known else None


def verify(headers, method, path, body):
    member = headers.get('Signed-By')
    return Verified(member) if member else Unverified('not signed')


class EntryOnLoopback:
    """HTTP interface and event loop of one scenario."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.dispatcher = FakeDispatcher()
        self.jobs = FakeJobService()
        clock = SystemClock()
        members = {'dispatcher': {'qadri'}, 'gifts': {'svatbena'}}
        entry = ServiceRoutesConfig(
            daemon_id='gulberg-1',
            incarnation='1',
            dispatcher=self.dispatcher,
            clock=clock,
            members_by_service=lambda: members,
            not_ready=str,
            limits=LIMITS,
        )
        app = web.Application()
        app.add_routes(service_routes(entry))
        app.add_routes(
            job_routes(JobRoutesConfig(self.jobs, verify, clock, LIMITS))
        )
        self.site = HttpServer(app, LIMITS)
        self.run(self.site.start('127.0.0.1', 0))

    def run(self, coroutine):
        return self.loop.run_until_complete(
            asyncio.wait_for(coroutine, _TIMEOUT_S)
        )

    def close(self):
        self.run(self.site.stop())
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.run(asyncio.sleep(0))
        self.loop.close()

    def send_request(self, method, path, **options):
        return self.run(self._send_request(method, path, options))

    def open(self):
        """Open a TCP connection; returns its reader and writer."""
        return self.run(asyncio.open_connection('127.0.0.1', self.site.port))

    def wait_until(self, condition):
        return self.run(self._wait_until(condition))

    async def _send_request(self, method, path, options):
        url = f'http://127.0.0.1:{self.site.port}{path}'
        async with ClientSession() as session:
            async with session.request(method, url, **options) as response:
                body = await response.read()
                return Response(response.status, response.headers, body)

    async def _wait_until(self, condition):
        async with asyncio.timeout(_TIMEOUT_S):
            while not condition():
                await asyncio.sleep(_POLL_INTERVAL_S)
