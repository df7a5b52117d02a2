"""Steps for settings files."""

import base64
import copy
import pathlib
import tempfile
import tomllib

from behave import fixture, given, then, use_fixture, when

from waxwingford.settings import (
    Loaded,
    SettingsInvalid,
    load_settings,
    settings_page,
)

ROOT = pathlib.Path(__file__).resolve().parents[3]
KEY = base64.b64encode(bytes(32)).decode()
RIGHT = f"""
identity = {{daemon_id = "qadri-1", failure_domain = "gulberg", region = "lahore"}}
listen = {{host = "127.0.0.1", http_port = 8001, rpc_port = 8002}}
platform = {{log_url = "http://127.0.0.1:9000", directory_url = "http://127.0.0.1:9000"}}
trust = {{public_key_by_member = {{qadri = "{KEY}"}}}}
leases = {{control_ms = 6000}}
tls = {{certificate_file = "a.pem", key_file = "a.pem", authority_file = "a.pem"}}
[[peers]]
daemon_id = "qadri-1"
failure_domain = "gulberg"
host = "127.0.0.1"
rpc_port = 8002
http_port = 8001
[[peers]]
daemon_id = "qadri-2"
failure_domain = "gulberg"
host = "127.0.0.1"
rpc_port = 8004
http_port = 8003
"""


def toml_value(value):
    """Write a value as inline TOML."""
    match value:
        case dict():
            inner = (
                f'{key} = {toml_value(below)}' for key, below in value.items()
            )
            return f'{{{", ".join(inner)}}}'
        case list():
            return f'[{", ".join(map(toml_value, value))}]'
        case str():
            return f'"{value}"'
        case _:
            return str(value)


@fixture
def settings_directory(context):
    with tempfile.TemporaryDirectory() as directory:
        context.directory = pathlib.Path(directory)
        (context.directory / 'a.pem').touch()
        yield


def load(context, document):
    path = context.directory / 'settings.toml'
    path.write_text(
        '\n'.join(
            f'{key} = {toml_value(value)}' for key, value in document.items()
        )
    )
    return load_settings(path)


@given('the settings of a daemon')
def right_settings(context):
    use_fixture(settings_directory, context)
    context.document = tomllib.loads(RIGHT)


@when('settings key "{key}" is set to {value}')
def set_key(context, key, value):
    context.document = copy.deepcopy(context.document)
    section = context.document
    *parents, last = key.split('.')
    for parent in parents:
        section = section[int(parent) if parent.isdigit() else parent]
    section[last] = tomllib.loads(f'value = {value}')['value']


@then('the settings are loaded')
def are_loaded(context):
    outcome = load(context, context.document)
    assert isinstance(outcome, Loaded), outcome


@then('the settings problem is at "{place}" and expects "{expected}"')
def problem_is(context, place, expected):
    outcome = load(context, context.document)
    assert isinstance(outcome, SettingsInvalid), outcome
    found = outcome.problems[0]
    assert found.key == place, outcome.problems
    assert expected in found.expected, found
    assert found.file.endswith('settings.toml'), found


@then('docs/settings.md is what the model gives')
def page_is_current(context):
    page = (ROOT / 'docs' / 'settings.md').read_text()
    assert page == settings_page()
