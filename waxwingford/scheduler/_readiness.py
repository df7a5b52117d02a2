"""HTTP server for readiness probes, metrics and explanations of placements."""

import time
from collections.abc import Callable
from http import HTTPStatus

from waxwingford.http_server import Handler, HttpServer, Request, Response
from waxwingford.inbound import Account

#: Paths of the metrics, and of the explanations of placements; any other path is a
#: readiness probe.
METRICS_PATH = '/metrics'
EXPLANATION_PATH = '/where'
#: Time for which rendered metrics are kept, in seconds.
RENDER_INTERVAL_S = 0.25


class ReadinessServer:
    """Answers probes with 200 or 503, ``/metrics`` and ``POST /where``."""

    def __init__(
        self,
        not_ready_reason: Callable[[], str],
        render_metrics: Callable[[], str],
        explain: Handler,
        account: Account | None = None,
    ) -> None:
        """Create the server; it listens nowhere yet.

        :param not_ready_reason: returns the reason why the daemon is not ready,
            empty if it is.
        :param render_metrics: returns the metrics in Prometheus text format.
        :param explain: answers where a job would go.
        :param account: budget of all connections, ``None`` for no bound.
        """
        self._not_ready_reason = not_ready_reason
        self._render_metrics = render_metrics
        self._explain = explain
        self._rendered = b''
        self._render_again_s: float = 0
        self._server = HttpServer(self._answer, account=account)

    async def serve(self, endpoint: str) -> None:
        """Listen on one more endpoint.

        :param endpoint: IP address and port.
        """
        await self._server.serve(endpoint)

    async def close(self) -> None:
        """Stop listening on all endpoints."""
        await self._server.close()

    def _rendered_metrics(self) -> bytes:
        """Render the metrics, at most once an interval."""
        now_s = time.monotonic()
        if now_s >= self._render_again_s:
            self._rendered = self._render_metrics().encode()
            self._render_again_s = now_s + RENDER_INTERVAL_S
        return self._rendered

    async def _answer(self, request: Request) -> Response:
        if request.path == METRICS_PATH:
            return Response(body=self._rendered_metrics())
        if request.path == EXPLANATION_PATH:
            if request.method == 'POST':
                return await self._explain(request)
            return Response(
                HTTPStatus.METHOD_NOT_ALLOWED, header_by_name={'Allow': 'POST'}
            )
        reason = self._not_ready_reason()
        status = HTTPStatus.SERVICE_UNAVAILABLE if reason else HTTPStatus.OK
        return Response(status, reason.encode())
