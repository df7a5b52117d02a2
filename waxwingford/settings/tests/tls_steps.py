"""Steps for TLS between daemons, over memory, without sockets."""

import datetime
import pathlib
import ssl
import tempfile

from behave import fixture, given, then, use_fixture, when

from waxwingford.commands._certificates import make_certificate
from waxwingford.settings import (
    Alpn,
    Settings,
    client_context,
    server_context,
)
from waxwingford.settings.tests.settings_steps import KEY


def settings_with(directory, name):
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
            'trust': {'public_key_by_member': {'qadri': KEY}},
            'tls': files,
        }
    )


@fixture
def authorities(context):
    with (
        tempfile.TemporaryDirectory() as ours,
        tempfile.TemporaryDirectory() as theirs,
    ):
        context.ours = pathlib.Path(ours)
        context.theirs = pathlib.Path(theirs)
        yield


@given('certificates of two daemons by one authority')
def two_certificates(context):
    use_fixture(authorities, context)
    now = datetime.datetime.now(datetime.UTC)
    for directory, name in (
        (context.ours, 'qadri-1'),
        (context.ours, 'qadri-2'),
        (context.theirs, 'stranger'),
    ):
        assert not make_certificate(directory, name, '127.0.0.1', now)


def context_of(context, client, alpn):
    if client == 'no one known':
        return ssl.create_default_context(
            cafile=str(context.ours / 'authority.crt')
        )
    if client == 'the second':
        return client_context(settings_with(context.ours, 'qadri-2'), alpn)
    # Trusts our authority, yet has a certificate by another one.
    stranger = client_context(settings_with(context.theirs, 'stranger'), alpn)
    stranger.load_verify_locations(context.ours / 'authority.crt')
    return stranger


def shake_hands(server, client, host):
    """Pass bytes between both ends until both are content.

    :returns: names of what went wrong, empty if nothing did.
    """
    pipes = [ssl.MemoryBIO() for _ in range(2)]
    ends = [
        server.wrap_bio(pipes[0], pipes[1], server_side=True),
        client.wrap_bio(pipes[1], pipes[0], server_hostname=host),
    ]
    faults = [go_on(end) for _ in range(8) for end in ends]
    return [fault for fault in faults if fault]


def go_on(end):
    try:
        end.do_handshake()
    except ssl.SSLWantReadError:
        return ''
    except ssl.SSLError as error:
        return str(error)
    return ''


@when('{client} calls the {alpn} port of the first daemon at {host}')
def connect(context, client, alpn, host):
    chosen = Alpn[alpn]
    server = server_context(settings_with(context.ours, 'qadri-1'), chosen)
    context.faults = shake_hands(
        server, context_of(context, client, chosen), host
    )


@then('the TLS connection is made')
def is_made(context):
    assert not context.faults, context.faults


@then('the TLS connection is refused')
def is_refused(context):
    assert context.faults, 'a handshake that had to fail went through'
