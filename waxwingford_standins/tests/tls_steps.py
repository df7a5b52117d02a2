"""Steps for real daemons with certificates."""

import asyncio
import functools
import pathlib
import secrets
import sys
import tempfile

import msgspec
from behave import given, then

from waxwingford.commands._command import ExitCode
from waxwingford.commands._keys import private_pem, write_private
from waxwingford.commands.main import run as run_command
from waxwingford.kernel import SystemClock
from waxwingford.peers import PeerBeat, PeerLinks
from waxwingford.routing import Answered, Request, Urgency
from waxwingford.settings import Alpn, client_context, load_settings
from waxwingford.timeline import TimeLine
from waxwingford_standins.configs import RunOptions
from waxwingford_standins.deployment import DomainPlan, load_deployment
from waxwingford_standins.local_run import LocalRun, open_bundle

SMALL = pathlib.Path(__file__).parent / 'small'
DOMAIN = 'gulberg'
GOOD = ('tls-1', 'tls-2')
STRANGER = 'tls-3'
CAP_S = 20
BEAT_S = 1
TIMEOUT_MS = 2000
#: One deployment serves both scenarios: its start is most of their cost.
shared = {}


def certified_run(directory):
    deployment = load_deployment(SMALL / 'deployment.toml')
    # One server, so that the daemon without it has to forward.
    domain = DomainPlan(name=DOMAIN, daemons=(*GOOD, STRANGER), racks=(1,))
    return LocalRun(
        deployment.model_copy(update={'failure_domains': (domain,)}),
        open_bundle(SMALL / 'bundle.toml'),
        directory,
        sys.stdout.write,
        RunOptions(tls=True, strangers=frozenset((STRANGER,))),
    )


def place(daemon_id):
    return next(
        daemon
        for daemon in shared['run'].layout.daemons
        if daemon.daemon_id == daemon_id
    )


def settings_of(daemon_id):
    path = shared['run'].files.settings_by_daemon[daemon_id]
    return load_settings(path).settings


async def status_of(daemon_id):
    url = f'{place(daemon_id).url}/v1/status'
    code, text = await shared['run'].switches.get(url)
    return msgspec.json.decode(text) if code == 200 else {}


async def alive_for(daemon_id):
    status = await status_of(daemon_id)
    return {peer['daemon_id'] for peer in status['peers'] if peer['alive']}


async def poll(check):
    async with asyncio.timeout(CAP_S):
        while not await check():
            await asyncio.sleep(0.1)


async def good_are_ready():
    statuses = [await status_of(daemon_id) for daemon_id in GOOD]
    return all(status.get('ready') for status in statuses)


async def one_holds():
    statuses = [await status_of(daemon_id) for daemon_id in GOOD]
    ready = all(status.get('ready') for status in statuses)
    return ready and any(status['servers'] for status in statuses)


async def stranger_runs():
    # Never ready: it holds no server and hears of no peer that has room.
    status = await status_of(STRANGER)
    return status.get('bundle', {}).get('version')


def trust_first_authority():
    """Let the stranger trust the others, so that only they can refuse."""
    stranger = pathlib.Path(settings_of(STRANGER).tls.authority_file)
    good = pathlib.Path(settings_of(GOOD[0]).tls.authority_file)
    stranger.write_bytes(stranger.read_bytes() + good.read_bytes())


async def start_all():
    run = shared['run']
    trust_first_authority()
    for step in (run.start_stand_ins, run.publish_bundle):
        reason = await step()
        assert not reason, reason
    for daemon_id in GOOD:
        await run.start_daemon(daemon_id)
    # The stranger comes later: alone, it would take the only server.
    await poll(one_holds)
    await run.start_daemon(STRANGER)
    await poll(stranger_runs)


def now(coroutine):
    """Run a coroutine to its end."""
    return shared['runner'].run(coroutine)


def stop_all():
    with shared['directory']:
        now(shared['run'].stop())
        shared['runner'].close()
    shared.clear()


@given('daemons with certificates run, and a stranger beside them')
def certified_daemons(context):
    if shared:
        return
    directory = tempfile.TemporaryDirectory()
    path = pathlib.Path(directory.name)
    shared.update(runner=asyncio.Runner(), directory=directory, path=path)
    shared['run'] = certified_run(path)
    context.add_cleanup(stop_all, layer='feature')
    now(start_all())


@then('the daemons with certificates hear each other')
def hear_each_other(context):
    async def _heard():
        seen = [await alive_for(daemon_id) for daemon_id in GOOD]
        return GOOD[1] in seen[0] and GOOD[0] in seen[1]

    now(poll(_heard))


@then('nobody hears the stranger for {rounds:d} rounds of heartbeats')
def stranger_unheard(context, rounds):
    async def _watch():
        for _ in range(rounds):
            await asyncio.sleep(BEAT_S)
            for daemon_id in GOOD:
                alive = await alive_for(daemon_id)
                assert STRANGER not in alive, (daemon_id, alive)
            assert not await alive_for(STRANGER)

    now(_watch())


async def call_as(daemon_id, tls):
    """Exchange a heartbeat with the first daemon and forward a request."""
    settings = settings_of(GOOD[0])
    clock = SystemClock()
    time_line = TimeLine(daemon_id, 'test', clock, 64)
    links = PeerLinks(daemon_id, settings.peers, clock, time_line, tls)
    beat = PeerBeat(daemon_id, 'test', DOMAIN, 1, {}, {})
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
            await links.beat(GOOD[0], beat, TIMEOUT_MS),
            await links.forward(GOOD[0], request, TIMEOUT_MS),
        )
    finally:
        links.close()


async def events_of(daemon_id):
    url = f'{place(daemon_id).url}/v1/timeline?since=0'
    _, text = await shared['run'].switches.get(url)
    return msgspec.json.decode(text)


async def was_taken(request_id):
    return any(
        event[3:5] == ['forward.taken', f'request:{request_id}']
        for event in await events_of(GOOD[0])
    )


@then("heartbeats and forwards with the stranger's certificate are refused")
def stranger_refused(context):
    tls = client_context(settings_of(STRANGER), Alpn.rpc)
    heard, outcome = now(call_as(STRANGER, tls))
    assert heard is None, heard
    assert not isinstance(outcome, Answered), outcome
    assert not now(was_taken(f'{STRANGER}-forward'))


@then('heartbeats with a good certificate are answered')
def good_answered(context):
    tls = client_context(settings_of(GOOD[1]), Alpn.rpc)
    heard, _ = now(call_as(GOOD[1], tls))
    assert heard is not None
    assert now(was_taken(f'{GOOD[1]}-forward'))


async def ask(daemon_id):
    token = secrets.token_hex(4)
    async with shared['run'].switches.client.post(
        f'{place(daemon_id).url}/v1/services/report_desk/check-in',
        data=msgspec.json.encode({'token': token}),
        headers={
            'Waxwingford-Member': 'qadri',
            'Waxwingford-Deadline-Ms': str(TIMEOUT_MS),
            'Waxwingford-Idempotent': 'true',
        },
    ) as answer:
        text = await answer.text()
        return answer.status == 200 and token in text


@then('a request to either daemon is answered over https')
def answered_over_https(context):
    for daemon_id in GOOD:
        assert place(daemon_id).url.startswith('https://')
        now(poll(functools.partial(ask, daemon_id)))


@then('one of the requests was forwarded between the daemons')
def was_forwarded(context):
    kinds = {
        event[3] for daemon_id in GOOD for event in now(events_of(daemon_id))
    }
    assert {'forward.sent', 'forward.taken', 'forward.answered'} <= kinds, kinds


@then('plain HTTP gets no answer from either port')
def no_plain_http(context):
    switches = shared['run'].switches
    daemon = place(GOOD[0])
    for port in (daemon.http_port, daemon.rpc_port):
        url = f'http://127.0.0.1:{port}/healthz'
        code, text = now(switches.get(url))
        assert code == 0, (code, text)
    heard, _ = now(call_as(GOOD[1], None))
    assert heard is None, heard


def fleet_file(daemon_ids):
    addresses = ', '.join(
        f'"127.0.0.1:{place(daemon_id).http_port}"' for daemon_id in daemon_ids
    )
    authority = settings_of(GOOD[0]).tls.authority_file
    path = shared['path'] / 'fleet.toml'
    path.write_text(
        f'daemons = [{addresses}]\nauthority_file = "{authority}"\n'
    )
    return str(path)


@then('the command-line tool reads the status and submits a job')
def tool_works(context):
    key = shared['path'] / 'qadri.pem'
    write_private(key, private_pem(shared['run'].key_by_member['qadri']))
    fleet = ('--fleet', fleet_file(GOOD))
    who = ('--member', 'qadri', '--key', str(key))
    what = ('--team', 'deposits', '--kind', 'checkout_comparison')
    submit = ('jobs', 'submit', 'night', *what, *who, *fleet)
    # The heartbeat that was sent under the second daemon's name told of no
    # room; the first one is ready again once the real one is heard.
    now(poll(good_are_ready))
    assert run_command(('status', *fleet)) == ExitCode.ok
    assert run_command(submit) == ExitCode.ok
    assert run_command(('jobs', 'list', *who, *fleet)) == ExitCode.ok


@then("the command-line tool refuses the stranger's certificate")
def tool_refuses(context):
    told = run_command(('status', '--fleet', fleet_file((STRANGER,))))
    assert told == ExitCode.unreachable, told
