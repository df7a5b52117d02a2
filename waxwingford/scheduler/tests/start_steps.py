"""Steps for the start of the scheduler daemon."""

import asyncio
import pathlib
import socket
import subprocess
import sys
import tempfile
import threading
from unittest import mock

import logbook
from aiohttp import ClientSession
from behave import given, then, when

from waxwingford.scheduler import _daemon
from waxwingford.scheduler.tests.logs_steps import (
    load_settings,
    render_settings,
)
from waxwingford_bench import start_cost

ROOT = pathlib.Path(__file__).resolve().parents[3]
HOST = '127.0.0.1'
TIMEOUT_S = 20
POLL_INTERVAL_S = 0.01
LOAD_SETTINGS = """
import sys
from waxwingford.settings import load_scheduler_settings
load_scheduler_settings(sys.argv[1])
print(*sys.modules)
"""


@when('the modules of a daemon that serves callers are imported')
def measure_start(context):
    context.start = start_cost.measure_start(start_cost.SERVING_MODULES)


@then('none of these packages is imported')
def check_packages(context):
    unneeded = {row['package'] for row in context.table}
    found = [
        module
        for module in context.start.modules
        for package in unneeded
        if module == package or module.startswith(f'{package}.')
    ]
    assert not found, found


@then('at most {count:d} modules are imported')
def check_module_count(context, count):
    # A probe that imports nothing would pass as well.
    assert 'waxwingford.platform._adapter' in context.start.modules
    assert len(context.start.modules) <= count, len(context.start.modules)


@when('settings are loaded without a problem')
def load_valid_settings(context):
    context.modules = modules_after_loading(context, '')


@when('settings are loaded with an unknown key')
def load_unknown_key(context):
    context.modules = modules_after_loading(context, 'idenity = 1\n')


def modules_after_loading(context, first_line):
    render_settings(context)
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory) / 'settings.toml'
        path.write_text(first_line + context.toml)
        finished = subprocess.run(
            (sys.executable, '-c', LOAD_SETTINGS, str(path)),
            cwd=ROOT,
            capture_output=True,
            check=True,
            text=True,
        )
    return finished.stdout.split()


@then('the module "{module}" is not imported')
def check_not_imported(context, module):
    assert module not in context.modules


@then('the module "{module}" is imported')
def check_imported(context, module):
    assert module in context.modules


def unused_ports(count):
    listeners = [socket.create_server((HOST, 0)) for _ in range(count)]
    ports = [listener.getsockname()[1] for listener in listeners]
    for listener in listeners:
        listener.close()
    return ports


@given('a daemon whose modules for an owner are not imported yet')
def create_starting_daemon(context):
    context.ports = unused_ports(4)
    callers, readiness, peers, store = context.ports
    render_settings(context)
    text = context.toml
    for address, port in (
        ('10.1.0.13:8161', callers),
        ('10.1.0.13:8167', readiness),
        ('10.200.1.7:8169', store),
    ):
        text = text.replace(address, f'{HOST}:{port}')
    text = text.replace('"10.1.0.13"', f'"{HOST}"')
    text = text.replace('7720', str(peers))
    text = text.replace('metrics_port = 9464', '')
    context.imported = threading.Event()

    import_modules = _daemon.import_owner_modules

    def import_when_told():
        assert context.imported.wait(TIMEOUT_S)
        import_modules()

    context.handler = logbook.TestHandler()
    context.handler.push_application()
    context.add_cleanup(context.handler.pop_application)
    context.runner = asyncio.Runner()
    context.add_cleanup(stop_daemon, context)
    context.daemon = _daemon.SchedulerDaemon(load_settings(text))
    context.patch = mock.patch.object(
        _daemon, 'import_owner_modules', import_when_told
    )
    context.patch.start()
    context.add_cleanup(context.patch.stop)


def stop_daemon(context):
    context.imported.set()
    context.daemon._stopping.set()
    context.runner.run(finish(context.running))
    context.runner.close()


async def finish(task):
    await task


@when('it is started')
def start_daemon(context):
    async def _start():
        context.running = asyncio.create_task(context.daemon.run())
        await until_accepted(context.ports[0])

    context.runner.run(_start())


async def until_accepted(port):
    async with asyncio.timeout(TIMEOUT_S):
        while not await is_accepted(port):
            await asyncio.sleep(POLL_INTERVAL_S)


async def is_accepted(port):
    try:
        streams = await asyncio.open_connection(HOST, port)
    except ConnectionRefusedError:
        return False
    streams[1].close()
    return True


@then('it answers callers with status {status:d}')
def check_callers(context, status):
    assert context.runner.run(get_status(context.ports[0])) == status


@then('it answers readiness with status {status:d}')
def check_readiness(context, status):
    assert context.runner.run(get_status(context.ports[1])) == status


@then('it answers a question where a job would go with status {status:d}')
def check_question(context, status):
    async def _ask():
        url = f'http://{HOST}:{context.ports[1]}/where'
        async with ClientSession() as session:
            async with session.post(url, data=b'{}') as response:
                return response.status, await response.json()

    assert context.runner.run(_ask()) == (
        status,
        {'reason': 'the shard has no owner that this daemon knows'},
    )


async def get_status(port):
    async with (
        ClientSession() as session,
        session.get(f'http://{HOST}:{port}/') as response,
    ):
        return response.status


@then('it does not accept other daemons, and claims nothing')
def check_not_prepared(context):
    assert not context.runner.run(is_accepted(context.ports[2]))
    assert not context.daemon._can_own.is_set()


@when('these modules are imported')
def finish_imports(context):
    context.imported.set()
    context.runner.run(until_accepted(context.ports[2]))


@then('it accepts other daemons, and may claim')
def check_prepared(context):
    assert context.runner.run(is_accepted(context.ports[2]))
    assert context.daemon._can_own.is_set()
