"""HTTP server for readiness probes, metrics and explanations of placements."""

from collections.abc import Callable
from http import HTTPStatus

from waxwingford.http_server import Handler, HttpServer, Request, Response

#: Paths of the metrics, and of the explanations of placements; any other path is a
#: readiness probe.
METRICS_PATH = '/metrics'
EXPLANATION_PATH = '/where'


class ReadinessServer:
    """Answers probes with 200 or 503, ``/metrics`` and ``POST /where``."""

    def __init__(
        self,
        not_ready_reason: Callable[[], str],
        render_metrics: Callable[[], str],
        explain: Handler,
    ) -> None:
        """Create the server; it listens nowhere yet.

        :param not_ready_reason: returns the reason why the daemon is not ready,
            empty if it is.
        :param render_metrics: returns the metrics in Prometheus text format.
        :param explain: answers where a job would go.
        """
        self._not_ready_reason = not_ready_reason
        self._render_metrics = render_metrics
        self._explain = explain
        self._server = HttpServer(self._answer)

    async def serve(self, endpoint: str) -> None:
        """Listen on one more endpoint.

        :param endpoint: IP address and port.
        """
        await self._server.serve(endpoint)

    async def close(self) -> None:
        """Stop listening on all endpoints."""
        await self._server.close()

    async def _answer(self, request: Request) -> Response:
        if request.path == METRICS_PATH:
            return Response(body=self._render_metrics().encode())
        if request.path == EXPLANATION_PATH:
            if request.method == 'POST':
                return await self._explain(request)
            return Response(
                HTTPStatus.METHOD_NOT_ALLOWED, header_by_name={'Allow': 'POST'}
            )
        reason = self._not_ready_reason()
        status = HTTPStatus.SERVICE_UNAVAILABLE if reason else HTTPStatus.OK
        return Response(status, reason.encode())
