"""HTTP server for readiness probes and metrics."""

from collections.abc import Callable

from aiohttp import web

#: Path of the metrics; any other path is a readiness probe.
METRICS_PATH = '/metrics'
_READY = 200
_NOT_READY = 503


class ReadinessServer:
    """Answers probes with 200 or 503, and serves metrics at ``/metrics``."""

    def __init__(
        self,
        not_ready_reason: Callable[[], str],
        render_metrics: Callable[[], str],
    ) -> None:
        """Create the server; it listens nowhere yet.

        :param not_ready_reason: returns the reason why the daemon is not ready,
            empty if it is.
        :param render_metrics: returns the metrics in Prometheus text format.
        """
        self._not_ready_reason = not_ready_reason
        self._render_metrics = render_metrics
        self._backend_client: list[web.ServerRunner] = []

    async def serve(self, endpoint: str) -> None:
        """Listen on one more endpoint.

        :param endpoint: IP address and port.
        """
        runner = web.ServerRunner(web.Server(self._answer, access_log=None))
        self._backend_client.append(runner)
        await runner.setup()
        host, port = endpoint.rsplit(':', 1)
        await web.TCPSite(runner, host, int(port)).start()

    async def close(self) -> None:
        """Stop listening on all endpoints."""
        for runner in self._backend_client:
            await runner.cleanup()

    async def _answer(self, request: web.BaseRequest) -> web.Response:
        if request.path == METRICS_PATH:
            return web.Response(text=self._render_metrics())
        not_ready_reason = self._not_ready_reason()
        status = _NOT_READY if not_ready_reason else _READY
        return web.Response(status=status, text=not_ready_reason)
