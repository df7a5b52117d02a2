"""Tells the platform whether this daemon takes requests."""

from collections.abc import Callable

from aiohttp import web

_READY = 200
_NOT_READY = 503


class Readiness:
    """Answers each request at its address: 200 when ready, 503 otherwise."""

    def __init__(self, missing: Callable[[], str]) -> None:
        """Ask a function.

        :param missing: says what is missing, empty when ready.
        """
        self._missing = missing
        self._runner: web.ServerRunner | None = None

    async def serve(self, endpoint: str) -> None:
        """Listen.

        :param endpoint: IP number and port.
        """
        self._runner = web.ServerRunner(
            web.Server(self._answer, access_log=None)
        )
        await self._runner.setup()
        host, port = endpoint.rsplit(':', 1)
        await web.TCPSite(self._runner, host, int(port)).start()

    async def close(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _answer(self, request: web.BaseRequest) -> web.Response:
        missing = self._missing()
        status = _NOT_READY if missing else _READY
        return web.Response(status=status, text=missing)
