"""The platform over plain HTTP, registered under its URL scheme."""

from waxwingford.adapters._http_directory import HttpDirectory
from waxwingford.adapters._http_log import HttpLog
from waxwingford.adapters._http_servers import HttpServers
from waxwingford.adapters._registry import platform_adapters


class HttpPlatform:
    """Opens ports that speak HTTP."""

    def open_log(self, url: str, timeout_ms: int) -> HttpLog:
        """Open the log.

        :param url: base URL.
        :param timeout_ms: for each call, in milliseconds.
        :returns: the port.
        """
        return HttpLog(url, timeout_ms)

    def open_directory(self, url: str, timeout_ms: int) -> HttpDirectory:
        """Open the list of VMs.

        :param url: base URL.
        :param timeout_ms: for each call, in milliseconds.
        :returns: the port.
        """
        return HttpDirectory(url, timeout_ms)

    def open_servers(self) -> HttpServers:
        """Open the way to backend servers.

        :returns: the port.
        """
        return HttpServers()


platform_adapters.register('http')(HttpPlatform())
