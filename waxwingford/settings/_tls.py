"""TLS contexts for grpclib and aiohttp, built from a daemon's settings."""

import enum
import ssl

from waxwingford.settings._model import Settings


class Alpn(enum.StrEnum):
    """Application protocols negotiated during the TLS handshake."""

    rpc = 'h2'
    http = 'http/1.1'


def server_context(settings: Settings, alpn: Alpn) -> ssl.SSLContext | None:
    """Create the TLS context of a server socket.

    The RPC port requires client certificates; without them any client that
    reaches the port could act as a peer.  The HTTP port does not, since
    callers and operators have none; operators sign their requests.

    :param settings: settings of the daemon, with existing TLS files.
    :param alpn: ``rpc`` for peers, ``http`` for callers and operators.
    :returns: TLS context, or None if TLS is not configured.
    :raises ssl.SSLError: if the files hold no certificate and matching key.
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
    """Create the TLS context of a client.

    The client verifies that the server's certificate is for the IP address it
    connects to.

    :param settings: settings of the daemon, with existing TLS files.
    :param alpn: ``rpc`` for calls to peers, ``http`` for all other calls.
    :returns: TLS context, or None if TLS is not configured.
    :raises ssl.SSLError: if the files hold no certificate and matching key.
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
