"""TLS certificates of the daemons of a local run."""

import datetime
import pathlib
import ssl
from collections.abc import Iterable

from waxwingford.commands._certificates import issue_certificate
from waxwingford.settings import Tls
from waxwingford_standins.layout import HOST

_AUTHORITY_FILE = 'authority.crt'


def make_certificates(
    directory: pathlib.Path, daemon_ids: Iterable[str]
) -> dict[str, Tls]:
    """Create a certificate authority and a certificate for each daemon.

    Uses the implementation of ``waxwingford keys make --tls``, so that a run
    also covers the certificates that operators create.

    :param directory: directory of the authority; created if missing.
    :returns: TLS settings by daemon, with paths of the files.
    :raises RuntimeError: if a certificate of a daemon exists already.
    """
    now = datetime.datetime.now(datetime.UTC)
    tls_by_daemon = {}
    for daemon_id in daemon_ids:
        error = issue_certificate(directory, daemon_id, HOST, now)
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
    """Create a TLS context that trusts the given authorities.

    :param authorities: paths of the authorities' certificates.
    :returns: TLS context; true, for default verification, if there are no
        authorities.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    has_authority = False
    for authority in authorities:
        context.load_verify_locations(authority)
        has_authority = True
    return context if has_authority else True
