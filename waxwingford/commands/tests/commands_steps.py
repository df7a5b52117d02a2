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
    MAX_CLOCK_SKEW_MS,
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
def serve_application(context, application):
    """Serve from a thread, since commands run their own event loop."""
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
def unused_port(context):
    with socket.socket() as unused:
        # Bound but not listening: connections are refused.
        unused.bind(('127.0.0.1', 0))
        yield unused.getsockname()[1]


def make_daemon_stub(context, kind):
    """Make a daemon that verifies signatures and always responds alike."""

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
        context.verification_results.append(verdict)
        if kind == 'broken':
            request.transport.abort()
            return web.Response()
        return web.Response(status=int(kind), text=f'answer {kind}')

    application = web.Application()
    application.add_routes([web.post('/v1/jobs', answer)])
    return application


@given('two daemons that respond with "{first}" and "{second}"')
def two_daemons(context, first, second):
    use_fixture(temporary_directory, context)
    context.verification_results = []
    ports = [
        use_fixture(unused_port, context)
        if kind == 'absent'
        else use_fixture(
            serve_application, context, make_daemon_stub(context, kind)
        )
        for kind in (first, second)
    ]
    context.addresses = ','.join(f'127.0.0.1:{port}' for port in ports)
    key = context.directory / 'qadri.pem'
    key.write_bytes(private_pem(KEY_BY_MEMBER['qadri']))


@when('qadri submits a job to both daemons')
def submit_job(context):
    run_command(
        context,
        'jobs submit night --team deposits --kind archive --member qadri --key',
        context.directory / 'qadri.pem',
        '--daemons',
        context.addresses,
    )


@then('{count:d} daemons received a request with a valid signature')
def check_requested_daemons(context, count):
    assert len(context.verification_results) == count, (
        context.verification_results
    )
    assert set(context.verification_results) == {Verified('qadri')}, (
        context.verification_results
    )


@fixture
def temporary_directory(context):
    with tempfile.TemporaryDirectory() as directory:
        context.directory = pathlib.Path(directory)
        yield


def run_command(context, words, *arguments):
    output = io.StringIO()
    with (
        contextlib.redirect_stdout(output),
        contextlib.redirect_stderr(output),
    ):
        context.code = run([*words.split(), *map(str, arguments)])
    context.output = output.getvalue()
    return context.output


def make_key(context, member):
    return run_command(
        context, 'keys make --member', member, '--directory', context.directory
    )


def sign(context, member):
    run_command(
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
    run_command(
        context,
        'bundle publish',
        context.source,
        '--fleet',
        context.fleet,
        '--signatures',
        context.directory / 'signatures.json',
    )


@given('keys of two members, a log, and the bundle of "{name}"')
def make_operator_files(context, name):
    context.core = LogCore()
    service = PlatformService(context.core, VmListCore(), SystemClock())
    port = use_fixture(serve_application, context, service.application())
    use_fixture(temporary_directory, context)
    trust = '[trust.public_key_by_member]\n'
    for member in ('qadri', 'svatbena'):
        output = make_key(context, member)
        trust = f'{trust}{output.splitlines()[-1]}\n'
    context.fleet = context.directory / 'fleet.toml'
    context.fleet.write_text(f'log_url = "http://127.0.0.1:{port}"\n{trust}')
    context.source = context.directory / 'bundle.toml'
    shutil.copy(ROOT / 'deployments' / name / 'bundle.toml', context.source)


@when('both members sign it and it is published')
def publish_with_both_signatures(context):
    sign(context, 'qadri')
    sign(context, 'svatbena')
    publish(context)


@when('only qadri signs it and it is published')
def publish_with_one_signature(context):
    sign(context, 'qadri')
    publish(context)


@when('both members sign it and it is published while the log is unavailable')
def publish_without_log(context):
    context.core.faults.outage = Outage.refuse
    publish_with_both_signatures(context)


@when('the same bundle is published again')
def publish_again(context):
    publish(context)


@when('the head of the log is requested')
def show_bundle_head(context):
    run_command(context, 'bundle head --json --fleet', context.fleet)


def replace_in_source(context, old, new):
    context.source.write_text(context.source.read_text().replace(old, new))


@when('the source changes between two signatures')
def change_source_between_signatures(context):
    sign(context, 'qadri')
    replace_in_source(context, 'target_p99_ms = 120', 'target_p99_ms = 900')
    sign(context, 'svatbena')


@when('a bundle with a share of 7 is checked')
def check_invalid_bundle(context):
    replace_in_source(context, 'qadri.share = 0.7', 'qadri.share = 7')
    run_command(context, 'bundle check', context.source)


@when("qadri's key is made again")
def make_key_again(context):
    make_key(context, 'qadri')


@when('the status of an unreachable daemon is requested')
def show_status_of_absent_daemon(context):
    port = use_fixture(unused_port, context)
    run_command(context, 'status --daemons', f'127.0.0.1:{port}')


@then('the command exits with {code:d} and prints: {text}')
def check_exit_code_and_output(context, code, text):
    assert context.code == code, (context.code, context.output)
    assert text in context.output, context.output


@given('a request that qadri signed')
def signed_request(context):
    context.request_arguments = {
        'headers': sign_request(
            KEY_BY_MEMBER['qadri'], 'qadri', 'POST', '/v1/jobs', b'{}', NOW_MS
        ),
        'method': 'POST',
        'path': '/v1/jobs',
        'body': b'{}',
        'now_wall_ms': NOW_MS + 5,
        'nonces': NonceCache(),
    }


def claim_member(context, member):
    headers = {
        **context.request_arguments['headers'],
        'X-Waxwingford-Member': member,
    }
    context.request_arguments['headers'] = headers


def full_cache():
    cache = NonceCache(1)
    cache.fault('other', NOW_MS)
    return cache


REQUEST_CHANGES = {
    'unchanged': lambda context: None,
    'twice': lambda context: verify_request(TRUST, **context.request_arguments),
    '61 seconds late': lambda context: context.request_arguments.update(
        now_wall_ms=NOW_MS + MAX_CLOCK_SKEW_MS + 1000
    ),
    'with another body': lambda context: context.request_arguments.update(
        body=b'[]'
    ),
    'for another path': lambda context: context.request_arguments.update(
        path='/v1/drain'
    ),
    'as svatbena': lambda context: claim_member(context, 'svatbena'),
    'as an unknown member': lambda context: claim_member(context, 'stranger'),
    'with a full nonce cache': lambda context: context.request_arguments.update(
        nonces=full_cache()
    ),
}


@when('the signed request is received {how}')
def verify_changed_request(context, how):
    REQUEST_CHANGES[how](context)
    context.verdict = verify_request(TRUST, **context.request_arguments)


@then('the signed request is verified')
def is_verified(context):
    assert context.verdict == Verified('qadri'), context.verdict


@then('the signed request is unverified: {reason}')
def is_unverified(context, reason):
    assert isinstance(context.verdict, Unverified), context.verdict
    assert reason in context.verdict.reason, context.verdict
