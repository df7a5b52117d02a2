"""Steps for the launcher, run as a process."""

import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading

import msgspec
from behave import fixture, given, then, use_fixture, when

from waxwingford.settings import SettingsInvalid, load_settings
from waxwingford_standins.backend_main import BackendConfig
from waxwingford_standins.deployment import load_deployment
from waxwingford_standins.relay_main import RelayConfig

TESTS = pathlib.Path(__file__).parent
TIMEOUT_S = 40


@fixture
def launcher_process(context):
    """Run a launcher in a temporary directory."""
    with tempfile.TemporaryDirectory() as directory:
        context.output = pathlib.Path(directory)
        context.launcher = subprocess.Popen(
            (
                sys.executable,
                '-m',
                'waxwingford_standins.launcher',
                '--deployments',
                str(TESTS),
                '--deployment',
                'small',
                '--output',
                directory,
            ),
            stderr=subprocess.PIPE,
            stdout=subprocess.DEVNULL,
            text=True,
        )
        # Keeps a launcher that stops writing output from blocking the test.
        watchdog = threading.Timer(TIMEOUT_S, context.launcher.terminate)
        watchdog.start()
        yield
        watchdog.cancel()
        context.launcher.terminate()
        context.launcher.wait(TIMEOUT_S)
        context.launcher.stderr.close()


@given('a launcher of the small deployment')
def launcher_of_small(context):
    use_fixture(launcher_process, context)


@given('a deployment file with "{text}" replaced by "{other}"')
def invalid_deployment(context, text, other):
    source = (TESTS / 'small' / 'deployment.toml').read_text()
    context.deployment_text = source.replace(text, other)


@when('it prints "{text}" and receives SIGTERM')
def prints_and_receives_sigterm(context, text):
    context.output_lines = []
    for line in context.launcher.stderr:
        context.output_lines.append(line)
        if text in line:
            context.launcher.send_signal(signal.SIGTERM)


@when('the deployment file is read')
def deployment_read(context):
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory) / 'deployment.toml'
        path.write_text(context.deployment_text)
        problems = load_deployment(path)
    context.problems = [str(problem) for problem in problems]


@then('it exits with code {code:d}')
def exits_with(context, code):
    assert context.launcher.wait(TIMEOUT_S) == code, context.output_lines


@then('no port of the deployment is open')
def no_port_open(context):
    ports = all_ports(context.output / 'config')
    assert ports
    for port in ports:
        with socket.socket() as probe:
            assert probe.connect_ex(('127.0.0.1', port)), port


@then('it is rejected with "{text}"')
def rejected_with(context, text):
    assert any(text in problem for problem in context.problems), (
        context.problems
    )


def all_ports(config):
    """Read the ports of all processes from their configuration."""
    backends = msgspec.json.decode(
        (config / 'backends.json').read_bytes(), type=BackendConfig
    )
    relay = msgspec.json.decode(
        (config / 'relay.json').read_bytes(), type=RelayConfig
    )
    ports = [backends.admin_port, relay.admin_port]
    ports.extend(hosted.vm.port for hosted in backends.servers)
    ports.extend(link.listen_port for link in relay.links)
    for path in config.glob('*.toml'):
        loaded = load_settings(path)
        assert not isinstance(loaded, SettingsInvalid), loaded
        listen = loaded.settings.listen
        ports.extend((listen.http_port, listen.rpc_port))
    return ports
