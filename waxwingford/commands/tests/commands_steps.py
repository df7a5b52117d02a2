"""Steps for the command-line tool and signed requests."""

import asyncio
import contextlib
import io
import pathlib
import shutil
import socket
import tempfile
import threading

from aiohttp import web
from behave import fixture, given, then, use_fixture, when

from waxwingford.bundles import (
    FRESH_MS,
    NonceCache,
    Unverified,
    Verified,
    sign_request,
    verify_request,
)
from waxwingford.bundles.tests.consortium import KEY_BY_MEMBER, TRUST
from waxwingford.commands._keys import private_pem
from waxwingford.commands.main import run
from waxwingford.kernel import SystemClock
from waxwingford_standins.platform_list import VmListCore
from waxwingford_standins.platform_log import LogCore, Outage
from waxwingford_standins.platform_main import PlatformService

ROOT = pathlib.Path(__file__).resolve().parents[3]
NOW_MS = 1_800_000_000_000


@fixture
def served(context, application):
    """Serve from a thread, for commands run their own loop."""
    loop = asyncio.new_event_loop()

    async def start():
        runner = web.AppRunner(application)
        await runner.setup()
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        return runner

    runner = loop.run_until_complete(start())
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    yield runner.addresses[0][1]
    asyncio.run_coroutine_threadsafe(runner.cleanup(), loop).result()
    loop.call_soon_threadsafe(loop.stop)
    thread.join()
    loop.close()


@fixture
def absent(context):
    with socket.socket() as unused:
        # Bound, but not listening: a connection is refused.
        unused.bind(('127.0.0.1', 0))
        yield unused.getsockname()[1]


def answering(context, kind):
    """Make a daemon that checks the signature and answers one way."""

    async def answer(request):
        body = await request.read()
        verdict = verify_request(
            TRUST,
            request.headers,
            request.method,
            request.path_qs,
            body,
            SystemClock().wall_ms(),
            NonceCache(),
        )
        context.asked.append(verdict)
        if kind == 'broken':
            request.transport.abort()
            return web.Response()
        return web.Response(status=int(kind), text=f'answer {kind}')

    application = web.Application()
    application.add_routes([web.post('/v1/jobs', answer)])
    return application


@given('two daemons that answer "{first}" and "{second}"')
def two_daemons(context, first, second):
    use_fixture(operators_directory, context)
    context.asked = []
    ports = [
        use_fixture(absent, context)
        if kind == 'absent'
        else use_fixture(served, context, answering(context, kind))
        for kind in (first, second)
    ]
    context.addresses = ','.join(f'127.0.0.1:{port}' for port in ports)
    key = context.directory / 'qadri.pem'
    key.write_bytes(private_pem(KEY_BY_MEMBER['qadri']))


@when('qadri submits a job to both')
def submit_job(context):
    type_command(
        context,
        'jobs submit night --team deposits --kind archive --member qadri --key',
        context.directory / 'qadri.pem',
        '--daemons',
        context.addresses,
    )


@then('{count:d} daemons were asked with a signature that holds')
def were_asked(context, count):
    assert len(context.asked) == count, context.asked
    assert set(context.asked) == {Verified('qadri')}, context.asked


@fixture
def operators_directory(context):
    with tempfile.TemporaryDirectory() as directory:
        context.directory = pathlib.Path(directory)
        yield


def type_command(context, words, *arguments):
    output = io.StringIO()
    with (
        contextlib.redirect_stdout(output),
        contextlib.redirect_stderr(output),
    ):
        context.code = run([*words.split(), *map(str, arguments)])
    context.output = output.getvalue()
    return context.output


def make_key(context, member):
    return type_command(
        context, 'keys make --member', member, '--directory', context.directory
    )


def sign(context, member):
    type_command(
        context,
        'bundle sign --member',
        member,
        context.source,
        '--key',
        context.directory / f'{member}.pem',
        '--signatures',
        context.directory / 'signatures.json',
    )


def publish(context):
    type_command(
        context,
        'bundle publish',
        context.source,
        '--fleet',
        context.fleet,
        '--signatures',
        context.directory / 'signatures.json',
    )


@given('keys of two members, a log, and the bundle of "{name}"')
def operators(context, name):
    context.core = LogCore()
    service = PlatformService(context.core, VmListCore(), SystemClock())
    port = use_fixture(served, context, service.application())
    use_fixture(operators_directory, context)
    trust = '[trust.public_key_by_member]\n'
    for member in ('qadri', 'svatbena'):
        output = make_key(context, member)
        trust = f'{trust}{output.splitlines()[-1]}\n'
    context.fleet = context.directory / 'fleet.toml'
    context.fleet.write_text(f'log_url = "http://127.0.0.1:{port}"\n{trust}')
    context.source = context.directory / 'bundle.toml'
    shutil.copy(ROOT / 'deployments' / name / 'bundle.toml', context.source)


@when('both members sign it and it is published')
def both_publish(context):
    sign(context, 'qadri')
    sign(context, 'svatbena')
    publish(context)


@when('only qadri signs it and it is published')
def one_publishes(context):
    sign(context, 'qadri')
    publish(context)


@when('the log goes away, both members sign it and it is published')
def publish_without_log(context):
    context.core.faults.outage = Outage.refuse
    both_publish(context)


@when('the same bundle is published again')
def publish_again(context):
    publish(context)


@when("the bundle's head is asked for")
def ask_head(context):
    type_command(context, 'bundle head --json --fleet', context.fleet)


def put(context, old, new):
    context.source.write_text(context.source.read_text().replace(old, new))


@when('the source changes between two sign-offs')
def change_between(context):
    sign(context, 'qadri')
    put(context, 'target_p99_ms = 120', 'target_p99_ms = 900')
    sign(context, 'svatbena')


@when('a share of 7 is put into it and it is checked')
def check_bad(context):
    put(context, 'qadri.share = 0.7', 'qadri.share = 7')
    type_command(context, 'bundle check', context.source)


@when("qadri's key is made again")
def make_key_again(context):
    make_key(context, 'qadri')


@when('the status of a daemon that is not there is asked for')
def ask_absent(context):
    port = use_fixture(absent, context)
    type_command(context, 'status --daemons', f'127.0.0.1:{port}')


@then('the command ends with {code:d} and says: {text}')
def ends_with(context, code, text):
    assert context.code == code, (context.code, context.output)
    assert text in context.output, context.output


@given('a request that qadri signed')
def signed_request(context):
    context.call = {
        'headers': sign_request(
            KEY_BY_MEMBER['qadri'], 'qadri', 'POST', '/v1/jobs', b'{}', NOW_MS
        ),
        'method': 'POST',
        'path': '/v1/jobs',
        'body': b'{}',
        'now_wall_ms': NOW_MS + 5,
        'nonces': NonceCache(),
    }


def in_name_of(context, member):
    headers = {**context.call['headers'], 'X-Waxwingford-Member': member}
    context.call['headers'] = headers


def full_cache():
    cache = NonceCache(1)
    cache.fault('other', NOW_MS)
    return cache


ARRIVALS = {
    'as it was sent': lambda context: None,
    'twice': lambda context: verify_request(TRUST, **context.call),
    '61 seconds late': lambda context: context.call.update(
        now_wall_ms=NOW_MS + FRESH_MS + 1000
    ),
    'with another body': lambda context: context.call.update(body=b'[]'),
    'for another path': lambda context: context.call.update(path='/v1/drain'),
    "in svatbena's name": lambda context: in_name_of(context, 'svatbena'),
    "in a stranger's name": lambda context: in_name_of(context, 'stranger'),
    'when the cache is full of fresh ones': lambda context: context.call.update(
        nonces=full_cache()
    ),
}


@when('the signed request arrives {how}')
def arrives(context, how):
    ARRIVALS[how](context)
    context.verdict = verify_request(TRUST, **context.call)


@then('the signed request is verified')
def is_verified(context):
    assert context.verdict == Verified('qadri'), context.verdict


@then('the signed request is unverified: {reason}')
def is_unverified(context, reason):
    assert isinstance(context.verdict, Unverified), context.verdict
    assert reason in context.verdict.reason, context.verdict
