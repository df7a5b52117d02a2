"""Steps for settings files."""

import base64
import copy
import pathlib
import tempfile
import tomllib

from behave import fixture, given, then, use_fixture, when

from waxwingford.settings import (
    SettingsInvalid,
    SettingsLoaded,
    load_settings,
    render_settings_page,
)

ROOT = pathlib.Path(__file__).resolve().parents[3]
PUBLIC_KEY = base64.b64encode(bytes(32)).decode()
VALID_SETTINGS = f"""
identity = {{daemon_id = "qadri-1", failure_domain = "gulberg", region = "lahore"}}
listen = {{host = "127.0.0.1", http_port = 8001, rpc_port = 8002}}
platform = {{log_url = "http://127.0.0.1:9000", directory_url = "http://127.0.0.1:9000"}}
trust = {{public_key_by_member = {{qadri = "{PUBLIC_KEY}"}}}}
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


def format_toml_value(value):
    """Format a value as inline TOML."""
    match value:
        case dict():
            inner = (
                f'{key} = {format_toml_value(nested)}'
                for key, nested in value.items()
            )
            return f'{{{", ".join(inner)}}}'
        case list():
            return f'[{", ".join(map(format_toml_value, value))}]'
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


def load_document(context, document):
    path = context.directory / 'settings.toml'
    path.write_text(
        '\n'.join(
            f'{key} = {format_toml_value(value)}'
            for key, value in document.items()
        )
    )
    return load_settings(path)


@given('the settings of a daemon')
def create_valid_settings(context):
    use_fixture(settings_directory, context)
    context.document = tomllib.loads(VALID_SETTINGS)


@when('settings key "{key}" is set to {value}')
def set_key(context, key, value):
    context.document = copy.deepcopy(context.document)
    section = context.document
    *parents, last = key.split('.')
    for parent in parents:
        section = section[int(parent) if parent.isdigit() else parent]
    section[last] = tomllib.loads(f'value = {value}')['value']


@then('the settings are loaded')
def check_loaded(context):
    outcome = load_document(context, context.document)
    assert isinstance(outcome, SettingsLoaded), outcome


@then('the first settings problem is at "{place}" and expects "{expected}"')
def check_first_problem(context, place, expected):
    outcome = load_document(context, context.document)
    assert isinstance(outcome, SettingsInvalid), outcome
    found = outcome.problems[0]
    assert found.key == place, outcome.problems
    assert expected in found.expected, found
    assert found.file.endswith('settings.toml'), found


@then('docs/settings.md matches the settings model')
def check_settings_page(context):
    page = (ROOT / 'docs' / 'settings.md').read_text()
    assert page == render_settings_page()
