"""Contexts of TLS from a daemon's settings, for grpclib and aiohttp."""

import enum
import ssl

from waxwingford.settings._model import Settings


class Alpn(enum.StrEnum):
    """Protocol that both ends agree on inside TLS."""

    rpc = 'h2'
    http = 'http/1.1'


def server_context(settings: Settings, alpn: Alpn) -> ssl.SSLContext | None:
    """Prepare the listening side.

    Callers and operators have no certificates (operators sign each request),
    but daemons do: without asking for them, anyone who reaches the port could
    pass as a peer and hand requests over or ask for what is remembered.

    :param settings: loaded settings, whose files were found.
    :param alpn: ``rpc`` for peers, ``http`` for callers and operators.
    :returns: context, or None without TLS.
    :raises ssl.SSLError: if the files don't hold a certificate and its key.
    """
    if settings.tls is None:
        return None
    context = ssl.create_default_context(
        ssl.Purpose.CLIENT_AUTH, cafile=settings.tls.authority_file
    )
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.load_cert_chain(
        settings.tls.certificate_file, settings.tls.key_file
    )
    context.set_alpn_protocols([alpn.value])
    if alpn is Alpn.rpc:
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def client_context(settings: Settings, alpn: Alpn) -> ssl.SSLContext | None:
    """Prepare the calling side; it checks the IP number in the certificate.

    :param settings: loaded settings, whose files were found.
    :param alpn: ``rpc`` to peers, ``http`` elsewhere.
    :returns: context, or None without TLS.
    :raises ssl.SSLError: if the files don't hold a certificate and its key.
    """
    if settings.tls is None:
        return None
    context = ssl.create_default_context(
        ssl.Purpose.SERVER_AUTH, cafile=settings.tls.authority_file
    )
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.load_cert_chain(
        settings.tls.certificate_file, settings.tls.key_file
    )
    context.set_alpn_protocols([alpn.value])
    return context
