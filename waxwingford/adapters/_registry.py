"""Registry of platform adapters by URL scheme, and their interfaces."""

from typing import NamedTuple, Protocol
from urllib.parse import urlsplit

from waxwingford.kernel import Registry
from waxwingford.ports import BackendServerPort, DirectoryPort, LogPort


class Closable(Protocol):
    """Adapter that holds connections."""

    async def close(self) -> None:
        """Close all connections."""
        ...


class ClosableLog(LogPort, Closable, Protocol):
    """Adapter of the log."""


class ClosableDirectory(DirectoryPort, Closable, Protocol):
    """Adapter of the VM list."""


class ClosableServers(BackendServerPort, Closable, Protocol):
    """Adapter of the backend servers."""


class PlatformAdapter(Protocol):
    """Opens the ports of one kind of platform."""

    def open_log(self, url: str, timeout_ms: int) -> ClosableLog:
        """Open the log.

        :param url: base URL.
        :param timeout_ms: timeout of each call, in milliseconds.
        """
        ...

    def open_directory(self, url: str, timeout_ms: int) -> ClosableDirectory:
        """Open the VM list.

        :param url: base URL.
        :param timeout_ms: timeout of each call, in milliseconds.
        """
        ...

    def open_servers(self) -> ClosableServers:
        """Open the client of the backend servers."""
        ...


class PlatformPorts(NamedTuple):
    """Open ports of a platform.

    :ivar log: append-only log.
    :ivar directory: VM list, which may lag behind the actual state.
    """

    log: ClosableLog
    directory: ClosableDirectory
    servers: ClosableServers

    async def close(self) -> None:
        """Close the connections of all ports."""
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
    :param directory_url: base URL of the VM list.
    :param timeout_ms: timeout of each call to the log and the VM list, in
        milliseconds.
    :returns: the open ports; to be closed by the caller.
    :raises UnknownPlugin: if no adapter is registered for the scheme.
    """
    adapter = platform_adapters.get(urlsplit(log_url).scheme)
    return PlatformPorts(
        adapter.open_log(log_url, timeout_ms),
        adapter.open_directory(directory_url, timeout_ms),
        adapter.open_servers(),
    )
