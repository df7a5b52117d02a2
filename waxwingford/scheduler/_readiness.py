"""Tells whether this daemon takes requests, and gives its metrics."""

from collections.abc import Callable

from aiohttp import web

#: Where metrics are read.
METRICS_PATH = '/metrics'
_READY = 200
_NOT_READY = 503


class Readiness:
    """Answers 200 when ready and 503 otherwise; metrics at ``/metrics``."""

    def __init__(
        self, missing: Callable[[], str], metrics: Callable[[], str]
    ) -> None:
        """Ask functions.

        :param missing: says what is missing, empty when ready.
        :param metrics: writes the metrics in the usual text format.
        """
        self._missing = missing
        self._metrics = metrics
        self._runners: list[web.ServerRunner] = []

    async def serve(self, endpoint: str) -> None:
        """Listen.

        :param endpoint: IP number and port.
        """
        runner = web.ServerRunner(web.Server(self._answer, access_log=None))
        self._runners.append(runner)
        await runner.setup()
        host, port = endpoint.rsplit(':', 1)
        await web.TCPSite(runner, host, int(port)).start()

    async def close(self) -> None:
        """Stop listening."""
        for runner in self._runners:
            await runner.cleanup()

    async def _answer(self, request: web.BaseRequest) -> web.Response:
        if request.path == METRICS_PATH:
            return web.Response(text=self._metrics())
        missing = self._missing()
        status = _NOT_READY if missing else _READY
        return web.Response(status=status, text=missing)
