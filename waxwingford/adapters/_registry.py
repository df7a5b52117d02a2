"""Registry of platform adapters by URL scheme."""

from typing import NamedTuple, Protocol
from urllib.parse import urlsplit

from waxwingford.kernel import Registry
from waxwingford.ports import BackendServerPort, DirectoryPort, LogPort


class Closable(Protocol):
    """An adapter that holds connections."""

    async def close(self) -> None:
        """Close all connections."""
        ...


class ClosableLog(LogPort, Closable, Protocol):
    """Log adapter."""


class ClosableDirectory(DirectoryPort, Closable, Protocol):
    """Adapter of the list of VMs."""


class ClosableServers(BackendServerPort, Closable, Protocol):
    """Adapter of backend servers."""


class PlatformAdapter(Protocol):
    """Opens the three ports of one kind of platform."""

    def open_log(self, url: str, timeout_ms: int) -> ClosableLog:
        """Open the log.

        :param url: base URL.
        :param timeout_ms: for each call, in milliseconds.
        :returns: the port.
        """
        ...

    def open_directory(self, url: str, timeout_ms: int) -> ClosableDirectory:
        """Open the list of VMs.

        :param url: base URL.
        :param timeout_ms: for each call, in milliseconds.
        :returns: the port.
        """
        ...

    def open_servers(self) -> ClosableServers:
        """Open the way to backend servers.

        :returns: the port.
        """
        ...


class PlatformPorts(NamedTuple):
    """The three ports, open.

    :ivar log: append-only log.
    :ivar directory: lagging list of VMs.
    :ivar servers: backend servers.
    """

    log: ClosableLog
    directory: ClosableDirectory
    servers: ClosableServers

    async def close(self) -> None:
        """Close all connections of the three."""
        await self.log.close()
        await self.directory.close()
        await self.servers.close()


#: Adapters by the scheme of ``log_url``, for example ``http``.
platform_adapters: Registry[PlatformAdapter] = Registry('platform adapter')


def open_platform(
    log_url: str, directory_url: str, timeout_ms: int
) -> PlatformPorts:
    """Open all ports of a platform.

    :param log_url: base URL of the log; its scheme chooses the adapter.
    :param directory_url: base URL of the list.
    :param timeout_ms: for each call to log and list, in milliseconds.
    :returns: the ports; close them when done.
    :raises UnknownPlugin: if no adapter speaks the scheme.
    """
    adapter = platform_adapters.get(urlsplit(log_url).scheme)
    return PlatformPorts(
        adapter.open_log(log_url, timeout_ms),
        adapter.open_directory(directory_url, timeout_ms),
        adapter.open_servers(),
    )
