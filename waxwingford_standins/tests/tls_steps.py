"""Steps for daemons that authenticate each other by TLS certificates."""

import asyncio
import functools
import pathlib
import secrets
import sys
import tempfile

import msgspec
from behave import given, then

from waxwingford.commands._command import ExitCode
from waxwingford.commands._keys import create_private_file, private_pem
from waxwingford.commands.main import run as run_command
from waxwingford.kernel import SystemClock
from waxwingford.peers import PeerClients, PeerHeartbeat
from waxwingford.routing import Answered, Request, Urgency
from waxwingford.settings import Alpn, client_context, load_settings
from waxwingford.timeline import Timeline
from waxwingford_standins.configs import RunOptions
from waxwingford_standins.deployment import DomainPlan, load_deployment
from waxwingford_standins.local_run import LocalRun, open_bundle

SMALL = pathlib.Path(__file__).parent / 'small'
DOMAIN = 'gulberg'
TRUSTED = ('tls-1', 'tls-2')
UNTRUSTED = 'tls-3'
TIMEOUT_S = 20
HEARTBEAT_S = 1
TIMEOUT_MS = 2000
#: Deployment shared by both scenarios, since starting it is slow.
shared = {}


def create_run(directory):
    deployment = load_deployment(SMALL / 'deployment.toml')
    # With a single server, the daemon that does not hold it must forward.
    domain = DomainPlan(name=DOMAIN, daemons=(*TRUSTED, UNTRUSTED), racks=(1,))
    return LocalRun(
        deployment.model_copy(update={'failure_domains': (domain,)}),
        open_bundle(SMALL / 'bundle.toml'),
        directory,
        sys.stdout.write,
        RunOptions(tls=True, untrusted_daemons=frozenset((UNTRUSTED,))),
    )


def daemon_address(daemon_id):
    return next(
        daemon
        for daemon in shared['run'].layout.daemons
        if daemon.daemon_id == daemon_id
    )


def load_daemon_settings(daemon_id):
    path = shared['run'].files.settings_by_daemon[daemon_id]
    return load_settings(path).settings


async def fetch_status(daemon_id):
    url = f'{daemon_address(daemon_id).url}/v1/status'
    code, text = await shared['run'].switches.get(url)
    return msgspec.json.decode(text) if code == 200 else {}


async def alive_peers(daemon_id):
    status = await fetch_status(daemon_id)
    return {peer['daemon_id'] for peer in status['peers'] if peer['alive']}


async def poll(check):
    async with asyncio.timeout(TIMEOUT_S):
        while not await check():
            await asyncio.sleep(0.1)


async def trusted_are_ready():
    statuses = [await fetch_status(daemon_id) for daemon_id in TRUSTED]
    return all(status.get('ready') for status in statuses)


async def one_holds_server():
    statuses = [await fetch_status(daemon_id) for daemon_id in TRUSTED]
    ready = all(status.get('ready') for status in statuses)
    return ready and any(status['servers'] for status in statuses)


async def untrusted_runs():
    # It never becomes ready, as it has neither a server nor a usable peer.
    status = await fetch_status(UNTRUSTED)
    return status.get('bundle', {}).get('version')


def trust_first_authority():
    """Add the trusted authority to those of the untrusted daemon.

    Rejections are then due to the certificate checks of the other daemons.
    """
    untrusted = pathlib.Path(load_daemon_settings(UNTRUSTED).tls.authority_file)
    trusted = pathlib.Path(load_daemon_settings(TRUSTED[0]).tls.authority_file)
    untrusted.write_bytes(untrusted.read_bytes() + trusted.read_bytes())


async def start_all():
    run = shared['run']
    trust_first_authority()
    for step in (run.start_stand_ins, run.publish_bundle):
        reason = await step()
        assert not reason, reason
    for daemon_id in TRUSTED:
        await run.start_daemon(daemon_id)
    # Started last, as it could otherwise acquire the only server.
    await poll(one_holds_server)
    await run.start_daemon(UNTRUSTED)
    await poll(untrusted_runs)


def run_sync(coroutine):
    return shared['runner'].run(coroutine)


def stop_all():
    with shared['directory']:
        run_sync(shared['run'].stop())
        shared['runner'].close()
    shared.clear()


@given('two trusted daemons and an untrusted daemon run')
def certified_daemons(context):
    if shared:
        return
    directory = tempfile.TemporaryDirectory()
    path = pathlib.Path(directory.name)
    shared.update(runner=asyncio.Runner(), directory=directory, path=path)
    shared['run'] = create_run(path)
    context.add_cleanup(stop_all, layer='feature')
    run_sync(start_all())


@then('the trusted daemons receive heartbeats from each other')
def hear_each_other(context):
    async def _heard():
        seen = [await alive_peers(daemon_id) for daemon_id in TRUSTED]
        return TRUSTED[1] in seen[0] and TRUSTED[0] in seen[1]

    run_sync(poll(_heard))


@then('the untrusted daemon exchanges no heartbeats for {rounds:d} rounds')
def untrusted_not_heard(context, rounds):
    async def _watch():
        for _ in range(rounds):
            await asyncio.sleep(HEARTBEAT_S)
            for daemon_id in TRUSTED:
                alive = await alive_peers(daemon_id)
                assert UNTRUSTED not in alive, (daemon_id, alive)
            assert not await alive_peers(UNTRUSTED)

    run_sync(_watch())


async def call_with(daemon_id, tls):
    """Send a heartbeat and a forwarded request to the first daemon."""
    settings = load_daemon_settings(TRUSTED[0])
    clock = SystemClock()
    timeline = Timeline(daemon_id, 'test', clock, 64)
    links = PeerClients(daemon_id, settings.peers, clock, timeline, tls)
    beat = PeerHeartbeat(daemon_id, 'test', DOMAIN, 1, {}, {})
    request = Request(
        request_id=f'{daemon_id}-forward',
        member='qadri',
        service='report_desk',
        path='check-in',
        body=b'{}',
        urgency=Urgency.urgent,
        idempotent=True,
        key='',
        attempt=1,
        deadline_ms=TIMEOUT_MS,
        hops=1,
    )
    try:
        return (
            await links.beat(TRUSTED[0], beat, TIMEOUT_MS),
            await links.forward(TRUSTED[0], request, TIMEOUT_MS),
        )
    finally:
        links.close()


async def fetch_events(daemon_id):
    url = f'{daemon_address(daemon_id).url}/v1/timeline?since=0'
    _, text = await shared['run'].switches.get(url)
    return msgspec.json.decode(text)


async def was_received(request_id):
    return any(
        event[3:5] == ['forward.taken', f'request:{request_id}']
        for event in await fetch_events(TRUSTED[0])
    )


@then('heartbeats and forwards with the untrusted certificate are rejected')
def untrusted_rejected(context):
    tls = client_context(load_daemon_settings(UNTRUSTED), Alpn.rpc)
    reply, outcome = run_sync(call_with(UNTRUSTED, tls))
    assert reply is None, reply
    assert not isinstance(outcome, Answered), outcome
    assert not run_sync(was_received(f'{UNTRUSTED}-forward'))


@then('heartbeats with a trusted certificate are answered')
def trusted_answered(context):
    tls = client_context(load_daemon_settings(TRUSTED[1]), Alpn.rpc)
    reply, _ = run_sync(call_with(TRUSTED[1], tls))
    assert reply is not None
    assert run_sync(was_received(f'{TRUSTED[1]}-forward'))


async def ask(daemon_id):
    token = secrets.token_hex(4)
    async with shared['run'].switches.client.post(
        f'{daemon_address(daemon_id).url}/v1/services/report_desk/check-in',
        data=msgspec.json.encode({'token': token}),
        headers={
            'Waxwingford-Member': 'qadri',
            'Waxwingford-Deadline-Ms': str(TIMEOUT_MS),
            'Waxwingford-Idempotent': 'true',
        },
    ) as answer:
        text = await answer.text()
        return answer.status == 200 and token in text


@then('a request to either trusted daemon is answered over https')
def answered_over_https(context):
    for daemon_id in TRUSTED:
        assert daemon_address(daemon_id).url.startswith('https://')
        run_sync(poll(functools.partial(ask, daemon_id)))


@then('one of the requests was forwarded between the trusted daemons')
def was_forwarded(context):
    kinds = {
        event[3]
        for daemon_id in TRUSTED
        for event in run_sync(fetch_events(daemon_id))
    }
    assert {'forward.sent', 'forward.taken', 'forward.answered'} <= kinds, kinds


@then('plain HTTP gets no answer from either port')
def no_plain_http(context):
    switches = shared['run'].switches
    daemon = daemon_address(TRUSTED[0])
    for port in (daemon.http_port, daemon.rpc_port):
        url = f'http://127.0.0.1:{port}/healthz'
        code, text = run_sync(switches.get(url))
        assert code == 0, (code, text)
    reply, _ = run_sync(call_with(TRUSTED[1], None))
    assert reply is None, reply


def fleet_file(daemon_ids):
    addresses = ', '.join(
        f'"127.0.0.1:{daemon_address(daemon_id).http_port}"'
        for daemon_id in daemon_ids
    )
    authority = load_daemon_settings(TRUSTED[0]).tls.authority_file
    path = shared['path'] / 'fleet.toml'
    path.write_text(
        f'daemons = [{addresses}]\nauthority_file = "{authority}"\n'
    )
    return str(path)


@then('the command-line tool reads the status and submits a job')
def tool_works(context):
    key = shared['path'] / 'qadri.pem'
    create_private_file(key, private_pem(shared['run'].key_by_member['qadri']))
    fleet = ('--fleet', fleet_file(TRUSTED))
    who = ('--member', 'qadri', '--key', str(key))
    what = ('--team', 'deposits', '--kind', 'checkout_comparison')
    submit = ('jobs', 'submit', 'night', *what, *who, *fleet)
    # The heartbeat that was sent under the second daemon's name reported no
    # free capacity; the first daemon is ready again after a real heartbeat.
    run_sync(poll(trusted_are_ready))
    assert run_command(('status', *fleet)) == ExitCode.ok
    assert run_command(submit) == ExitCode.ok
    assert run_command(('jobs', 'list', *who, *fleet)) == ExitCode.ok


@then('the command-line tool rejects the untrusted certificate')
def tool_refuses(context):
    exit_code = run_command(('status', '--fleet', fleet_file((UNTRUSTED,))))
    assert exit_code == ExitCode.unreachable, exit_code
