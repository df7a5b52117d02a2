"""Platform adapter for the URL scheme ``http``."""

from waxwingford.adapters._http_directory import HttpDirectory
from waxwingford.adapters._http_log import HttpLog
from waxwingford.adapters._http_servers import HttpServers
from waxwingford.adapters._registry import platform_adapters


class HttpPlatform:
    """Opens the HTTP adapters of the platform ports."""

    def open_log(self, url: str, timeout_ms: int) -> HttpLog:
        """Open the log.

        :param url: base URL.
        :param timeout_ms: timeout of each call, in milliseconds.
        """
        return HttpLog(url, timeout_ms)

    def open_directory(self, url: str, timeout_ms: int) -> HttpDirectory:
        """Open the VM list.

        :param url: base URL.
        :param timeout_ms: timeout of each call, in milliseconds.
        """
        return HttpDirectory(url, timeout_ms)

    def open_servers(self) -> HttpServers:
        """Open the client of the backend servers."""
        return HttpServers()


platform_adapters.register('http')(HttpPlatform())
