"""Steps for TLS handshakes between daemons, in memory without sockets."""

import datetime
import pathlib
import ssl
import tempfile

from behave import fixture, given, then, use_fixture, when

from waxwingford.commands._certificates import issue_certificate
from waxwingford.settings import (
    Alpn,
    Settings,
    client_context,
    server_context,
)
from waxwingford.settings.tests.settings_steps import PUBLIC_KEY


def make_settings(directory, name):
    files = {
        'certificate_file': str(directory / f'{name}.crt'),
        'key_file': str(directory / f'{name}.key'),
        'authority_file': str(directory / 'authority.crt'),
    }
    return Settings.model_validate(
        {
            'identity': {
                'daemon_id': name,
                'failure_domain': 'gulberg',
                'region': 'lahore',
            },
            'listen': {'http_port': 1, 'rpc_port': 2},
            'platform': {
                'log_url': 'http://127.0.0.1:9',
                'directory_url': 'http://127.0.0.1:9',
            },
            'trust': {'public_key_by_member': {'qadri': PUBLIC_KEY}},
            'tls': files,
        }
    )


@fixture
def authority_directories(context):
    with (
        tempfile.TemporaryDirectory() as trusted,
        tempfile.TemporaryDirectory() as untrusted,
    ):
        context.trusted = pathlib.Path(trusted)
        context.untrusted = pathlib.Path(untrusted)
        yield


@given('certificates of two daemons from one authority')
def create_certificates(context):
    use_fixture(authority_directories, context)
    now = datetime.datetime.now(datetime.UTC)
    for directory, name in (
        (context.trusted, 'qadri-1'),
        (context.trusted, 'qadri-2'),
        (context.untrusted, 'untrusted'),
    ):
        assert not issue_certificate(directory, name, '127.0.0.1', now)


def make_client_context(context, client, alpn):
    if client == 'a client without certificate':
        return ssl.create_default_context(
            cafile=str(context.trusted / 'authority.crt')
        )
    if client == 'the second daemon':
        return client_context(make_settings(context.trusted, 'qadri-2'), alpn)
    # Trusts the authority, but has a certificate of another one.
    untrusted_context = client_context(
        make_settings(context.untrusted, 'untrusted'), alpn
    )
    untrusted_context.load_verify_locations(context.trusted / 'authority.crt')
    return untrusted_context


def perform_handshake(server, client, host):
    """Run the handshake between a server and a client context.

    :returns: messages of the TLS errors, empty if the handshake succeeded.
    """
    buffers = [ssl.MemoryBIO() for _ in range(2)]
    ends = [
        server.wrap_bio(buffers[0], buffers[1], server_side=True),
        client.wrap_bio(buffers[1], buffers[0], server_hostname=host),
    ]
    errors = [advance_handshake(end) for _ in range(8) for end in ends]
    return [error for error in errors if error]


def advance_handshake(end):
    try:
        end.do_handshake()
    except ssl.SSLWantReadError:
        return ''
    except ssl.SSLError as error:
        return str(error)
    return ''


@when('{client} calls the {alpn} port of the first daemon at {host}')
def connect(context, client, alpn, host):
    protocol = Alpn[alpn]
    server = server_context(make_settings(context.trusted, 'qadri-1'), protocol)
    context.errors = perform_handshake(
        server, make_client_context(context, client, protocol), host
    )


@then('the TLS connection is established')
def check_established(context):
    assert not context.errors, context.errors


@then('the TLS connection is refused')
def check_refused(context):
    assert context.errors, 'the handshake succeeded, but should have failed'
