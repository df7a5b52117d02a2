"""Certificates of the daemons of one local run."""

import datetime
import pathlib
import ssl
from collections.abc import Iterable

from waxwingford.commands._certificates import make_certificate
from waxwingford.settings import Tls
from waxwingford_standins.layout import HOST

_AUTHORITY_FILE = 'authority.crt'


def make_certificates(
    directory: pathlib.Path, daemon_ids: Iterable[str]
) -> dict[str, Tls]:
    """Make an authority and a certificate for each daemon.

    The same function as behind ``waxwingford keys make --tls``, so that a run
    also shows that daemons take what operators make.

    :param directory: of the authority; made if it is missing.
    :param daemon_ids: daemons.
    :returns: settings by daemon, with full paths.
    :raises RuntimeError: if a certificate of that name is there already.
    """
    now = datetime.datetime.now(datetime.UTC)
    tls_by_daemon = {}
    for daemon_id in daemon_ids:
        error = make_certificate(directory, daemon_id, HOST, now)
        if error:
            raise RuntimeError(error)
        tls_by_daemon[daemon_id] = Tls(
            certificate_file=str(directory / f'{daemon_id}.crt'),
            key_file=str(directory / f'{daemon_id}.key'),
            authority_file=str(directory / _AUTHORITY_FILE),
        )
    return tls_by_daemon


def client_ssl_context(
    authorities: Iterable[pathlib.Path],
) -> ssl.SSLContext | bool:
    """Prepare a caller's side.

    :param authorities: certificates of authorities to trust.
    :returns: context; the usual checks without any authority.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    has_authority = False
    for authority in authorities:
        context.load_verify_locations(authority)
        has_authority = True
    return context if has_authority else True
