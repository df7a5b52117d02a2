"""Steps for crowds of clients at daemons that run as processes."""

import asyncio
import contextlib
import itertools
import pathlib
import random
import re
import ssl
import subprocess
import sys
import tempfile
from typing import NamedTuple

from behave import fixture, given, then, use_fixture, when

from waxwingford_standins.crowds.tests import crowd
from waxwingford_standins.run_certificates import (
    client_ssl_context,
    make_certificates,
)
from waxwingford_standins.tests import small_deployment as small
from waxwingford_standins.tests.review_standins import http_standin, world

SERVERS = 2
KB_PER_MB = 1000
START_S = 10
#: Time in seconds for a daemon to notice that a crowd has left.
LEAVE_S = 1
#: Time in seconds in which a daemon reports what is held.
REPORT_S = 3
#: Time in seconds in which all that a crowd held is given back.
GIVE_BACK_S = 60
KEY = 'AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA='
ENTRY_SETTINGS = """
[identity]
daemon_id = "entry-1"
failure_domain = "gulberg"
region = "lahore"
[listen]
http_port = {callers}
rpc_port = {peers}
[platform]
log_url = "http://127.0.0.1:1"
directory_url = "http://127.0.0.1:1"
[trust]
public_key_by_member = {{ qadri = "{key}" }}
[limits]
memory_mb = {memory_mb}
max_fds = {max_fds}
"""


class Target(NamedTuple):
    """A process under test.

    :ivar endpoint_by_listener: where it listens.
    :ivar tls: how its clients encrypt, None if they don't.
    """

    process: subprocess.Popen
    memory_mb: int
    max_fds: int
    endpoint_by_listener: dict[str, str]
    tls: ssl.SSLContext | None = None


class Daemon(small.Daemon):
    memory_mb = 0
    max_fds = 0

    def start(self):
        text = self.settings.read_text().replace(
            '[vm]',
            f'[vm]\nmemory_mb = {self.memory_mb}\nmax_fds = {self.max_fds}',
        )
        self.settings.write_text(text)
        super().start()

    def port(self, name):
        return re.search(rf'{name}_port = (\d+)', self.settings.read_text())[1]


@fixture
def scheduler_daemon(context, memory_mb, max_fds):
    kind = type(
        'LimitedDaemon', (Daemon,), {'memory_mb': memory_mb, 'max_fds': max_fds}
    )
    with (
        tempfile.TemporaryDirectory() as folder,
        contextlib.ExitStack() as stack,
    ):
        runner = stack.enter_context(asyncio.Runner())
        stack.enter_context(small.mock.patch.object(small, 'Daemon', kind))
        context.run = runner.run
        deployment = small.SmallDeployment(pathlib.Path(folder))
        context.deployment = deployment
        stack.callback(lambda: runner.run(deployment.close()))
        runner.run(deployment.start(SERVERS, 1))
        daemon = deployment.daemons[0]
        ports = {
            name: f'{http_standin.LOOPBACK}:{daemon.port(name)}'
            for name in ('peers', 'relays', 'metrics')
        }
        context.target = Target(
            daemon.process,
            memory_mb,
            max_fds,
            {'callers': daemon.callers, 'readiness': daemon.readiness, **ports},
        )
        yield


def make_tls(folder):
    """Create certificates.

    :returns: table of the settings, and how clients encrypt.
    """
    files = make_certificates(folder, ['entry-1'])['entry-1']
    rows = [f'{name} = "{path}"\n' for name, path in files]
    authority = pathlib.Path(files.authority_file)
    return ''.join(('[tls]\n', *rows)), client_ssl_context([authority])


@fixture
def entry_daemon(context, memory_mb, max_fds, *, encrypted=False):
    callers, peers = small.free_port(), small.free_port()
    with tempfile.TemporaryDirectory() as folder, asyncio.Runner() as runner:
        context.run = runner.run
        path = pathlib.Path(folder) / 'entry.toml'
        tls_table, tls = make_tls(path.parent) if encrypted else ('', None)
        text = ENTRY_SETTINGS.format(
            callers=callers,
            peers=peers,
            key=KEY,
            memory_mb=memory_mb,
            max_fds=max_fds,
        )
        path.write_text(f'{text}{tls_table}')
        command = ('-m', 'waxwingford.daemon.main', '--settings', str(path))
        with path.with_suffix('.log').open('wb') as log:
            process = subprocess.Popen(
                (sys.executable, *command),
                cwd=world.ROOT,
                stdout=log,
                stderr=log,
            )
        context.target = Target(
            process,
            memory_mb,
            max_fds,
            {
                'callers': f'{http_standin.LOOPBACK}:{callers}',
                'peers': f'{http_standin.LOOPBACK}:{peers}',
            },
            tls,
        )
        try:
            runner.run(wait_for_health(context.target))
            yield
        finally:
            process.kill()
            process.wait()


async def wait_for_health(target):
    async with asyncio.timeout(START_S):
        while not await is_healthy(target):
            await asyncio.sleep(0.1)


async def is_healthy(target):
    endpoint = target.endpoint_by_listener['callers']
    request = b'GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n'
    try:
        status, _ = await exchange(endpoint, [request], target.tls)
    except (OSError, EOFError):
        return False
    return status == 200


@given(
    '{memory_mb:d} MB of memory and {max_fds:d} descriptors for each process'
)
def set_limits(context, memory_mb, max_fds):
    context.limits = memory_mb, max_fds


@given('a daemon of the scheduler as a process')
def start_scheduler_daemon(context):
    context.path = ''
    use_fixture(scheduler_daemon, context, *context.limits)


@given('an entry daemon with TLS as a process')
def start_encrypted_daemon(context):
    use_fixture(entry_daemon, context, *context.limits, encrypted=True)


@given('an entry daemon as a process')
def start_entry_daemon(context):
    context.path = '/v1/jobs'
    use_fixture(entry_daemon, context, *context.limits)


def gather_crowd(context, listener, deed, path):
    context.crowd = crowd.Crowd(context.target.endpoint_by_listener[listener])
    context.add_cleanup(context.crowd.close)
    context.run(context.crowd.act(deed, path))


@when('a crowd of clients {deed}')
def gather_callers(context, deed):
    gather_crowd(context, 'callers', deed, '')


@when('a crowd at the listener of {listener} does this: {deed}')
def gather_at_listener(context, listener, deed):
    path = '/metrics' if listener == 'metrics' else '/where'
    gather_crowd(context, listener, deed, path)


@when('a crowd at /{path} does this: {deed}')
def gather_at_path(context, path, deed):
    gather_crowd(context, 'callers', deed, f'/{path}')


@when('a crowd does each of these things in turn, and leaves')
def visit(context):
    for deed in crowd.PARTS_BY_DEED:
        gather_crowd(context, 'callers', deed, context.path)
        context.crowd.close()


@when('{count:d} random crowds with seed {seed:d} come and go at all listeners')
def visit_randomly(context, count, seed):
    rng = random.Random(seed)
    listeners = sorted(context.target.endpoint_by_listener.items())
    deeds = sorted(crowd.PARTS_BY_DEED)
    crowds = [
        (crowd.Crowd(endpoint), rng.choice(deeds), name)
        for name, endpoint in rng.choices(listeners, k=count)
    ]

    async def _visit(one, deed, name):
        path = '' if name == 'callers' else '/where'
        await one.act(deed, path)
        await asyncio.sleep(rng.random())
        one.close()

    async def _visit_all():
        await asyncio.gather(*itertools.starmap(_visit, crowds))

    context.run(_visit_all())


@then('its metrics tell that clients hold at most {size:d} bytes')
def check_given_back(context, size):
    endpoints = context.target.endpoint_by_listener
    endpoint = endpoints.get('metrics', endpoints['callers'])
    held = context.run(wait_given_back(endpoint, size))
    assert held <= size, held


async def wait_given_back(endpoint, size):
    """Wait until clients hold little, for as long as a slow daemon takes.

    :returns: what they hold, in bytes.
    """
    held = size + 1
    for _ in range(GIVE_BACK_S // REPORT_S):
        await asyncio.sleep(REPORT_S)
        headers = {'Host': 'x'}
        reply = await http_standin.send(endpoint, 'GET', '/metrics', headers)
        if reply is not None:
            text = reply.body.decode()
            found = re.search(r'inbound_bytes{listener="callers"} (\d+)', text)
            held = int(found[1])
        if held <= size:
            break
    return held


async def exchange(endpoint, parts, tls=None):
    """Send the parts of one request.

    :returns: status and headers of the response.
    """
    host, port = endpoint.rsplit(':', 1)
    async with asyncio.timeout(http_standin.CALL_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(host, int(port), ssl=tls)
        writer.writelines(parts)
        first, header_by_name, _ = await http_standin.read_message(reader)
    writer.close()
    return int(first.split(' ')[1]), header_by_name


def send_parts(context, parts):
    endpoint = context.target.endpoint_by_listener['callers']
    context.reply = context.run(exchange(endpoint, parts))


@when('a client submits a job in a body of {size:d} bytes')
def submit_large_job(context, size):
    path = crowd.job_path()
    body = crowd.padded(crowd.submission(), size)
    send_parts(context, [crowd.announced(path, size), body])


@when('{count:d} jobs of {tasks:d} tasks are submitted')
def submit_wide_jobs(context, count, tasks):
    step = b'{"count":%d,"cpu":1000,"mem-mb":64,"estimate-ms":900}' % tasks
    body = b'{"spec":"900","steps":[%s]}' % step
    context.replies = []
    for _ in range(count):
        parts = [crowd.announced(crowd.job_path(), len(body)), body]
        send_parts(context, parts)
        context.replies.append(context.reply)
    context.run(asyncio.sleep(LEAVE_S))


@when('{count:d} jobs with specs of {size:d} bytes are submitted and cancelled')
def cancel_jobs(context, count, size):
    body = crowd.submission(b'9' * size)
    context.replies = []
    for _ in range(count):
        path = crowd.job_path()
        send_parts(context, [crowd.announced(path, len(body)), body])
        context.replies.append(context.reply)
        send_parts(context, [crowd.head(path, method='DELETE')])


@then('each of them was accepted, or refused with 503 or 429 and Retry-After')
def check_replies(context):
    for reply in context.replies:
        check_reply(reply)


@when(
    'a client sends only a part of a body: the announcement of {size:d} bytes'
)
def announce_body(context, size):
    send_parts(context, [crowd.announced(crowd.job_path(), size)])


@when('a client sends only a part of a body: chunks of {size:d} bytes')
def send_chunks(context, size):
    head = crowd.head(crowd.job_path(), 'Transfer-Encoding: chunked')
    count = size // crowd.CHUNK_BYTES
    send_parts(context, [head, *itertools.repeat(crowd.chunk(), count)])


@then('it receives the status {status:d}')
def check_status(context, status):
    assert context.reply[0] == status, context.reply


@then('it receives the status 200, or 503 or 429 with Retry-After')
def check_refusal(context):
    check_reply(context.reply)


def check_reply(reply):
    status, header_by_name = reply
    refused = status in {503, 429} and int(header_by_name['retry-after']) > 0
    assert status == 200 or refused, reply


@then('the process lives within its memory and descriptors')
def check_process(context):
    target = context.target
    assert target.process.poll() is None, target.process.returncode
    process = pathlib.Path('/proc') / str(target.process.pid)
    peak_kb = int(
        re.search(r'VmHWM:\s+(\d+)', (process / 'status').read_text())[1]
    )
    descriptors = len(list((process / 'fd').iterdir()))
    assert peak_kb <= target.memory_mb * KB_PER_MB, peak_kb
    assert descriptors <= target.max_fds, descriptors


@then('an ordinary submission is accepted, and the daemon is ready')
def check_submission(context):
    step = {'count': 1, 'cpu': 1000, 'mem-mb': 64, 'estimate-ms': 900}
    job = crowd.job_path().rpartition('/')[2]
    status = context.run(context.deployment.submit(job, '900', [step]))
    assert status == 200, status
    endpoint = context.target.endpoint_by_listener['readiness']
    reply = context.run(http_standin.send(endpoint, 'GET', '/api/ready', {}))
    assert reply is not None and reply.status == 200, reply


@then('the entry daemon answers a health check')
def check_health(context):
    assert context.run(is_healthy(context.target))


def dismiss_crowd(context):
    context.crowd.close()
    context.run(asyncio.sleep(LEAVE_S))


@then('the same holds once the crowd has left')
def check_scheduler_afterwards(context):
    dismiss_crowd(context)
    check_submission(context)
    check_process(context)


@then('it does so once the crowd has left')
def check_entry_afterwards(context):
    dismiss_crowd(context)
    check_health(context)
    check_process(context)
