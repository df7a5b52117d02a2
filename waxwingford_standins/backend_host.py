"""HTTP front end of a simulated backend server, with fault injection."""

import asyncio
import contextlib
import dataclasses
import random

import msgspec
from aiohttp import web

from waxwingford.adapters import (
    DEADLINE_HEADER,
    NOT_RUN_HEADER,
    REQUEST_ID_HEADER,
    decode_control_request,
    encode_control_reply,
)
from waxwingford.kernel import Clock
from waxwingford.ports import ServiceCall
from waxwingford_standins.backend_server import BackendServerCore
from waxwingford_standins.server_service import CallRefused, CallStarted
from waxwingford_standins.serving import start_site

_MS_PER_S = 1000
_MAX_BODY_BYTES = 8_388_608
_JSON = 'application/json'
_SERVICE_UNAVAILABLE = 503
_TRUNCATION_DIVISOR = 2


class ServerFault(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /fault``; omitted fields keep their values.

    :ivar server_id: id of the server; empty for any server.
    :ivar failure_domain: name of the failure domain; empty for any.
    :ivar frozen: whether responses are withheld.
    :ivar fails_starts: whether each started task fails immediately.
    :ivar leave: whether to enter the leaving state.
    :ivar die: whether to crash, losing all state, and restart.
    :ivar down_ms: time between crash and restart, in milliseconds.
    :ivar usage_lag_ms: delay of usage reports, in milliseconds.
    :ivar lost_control_share: fraction of control responses dropped after the
        request was executed.
    :ivar cut_share: fraction of service responses truncated half way.
    :ivar foreign_share: fraction of service responses that carry the id of
        another request.
    """

    server_id: str = ''
    failure_domain: str = ''
    frozen: bool | None = None
    fails_starts: bool | None = None
    leave: bool = False
    die: bool = False
    down_ms: int = 0
    usage_lag_ms: int | None = None
    lost_control_share: float | None = None
    cut_share: float | None = None
    foreign_share: float | None = None


@dataclasses.dataclass(slots=True)
class _ResponseFaults:
    lost_control_share: float = 0
    cut_share: float = 0
    foreign_share: float = 0


class ServerHost:
    """HTTP server of one simulated backend server.

    :ivar core: state machine of the server.
    :ivar down: whether the server is crashed.
    """

    def __init__(self, core: BackendServerCore, clock: Clock) -> None:
        self.core = core
        self.down = False
        self._clock = clock
        self._faults = _ResponseFaults()
        self._random = random.Random(core.vm.port)
        self._unfrozen = asyncio.Event()
        self._unfrozen.set()
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Start listening."""
        app = web.Application(client_max_size=_MAX_BODY_BYTES)
        app.add_routes(
            (
                web.post('/control', self.control),
                web.post('/services/{service}/{path:.*}', self.serve),
            )
        )
        self._runner = await start_site(
            app, self.core.vm.host, self.core.vm.port
        )
        self.down = False

    async def stop(self) -> None:
        """Abort all connections and stop listening."""
        self.down = True
        self._unfrozen.set()
        if self._runner is not None:
            for protocol in self._connections():
                if protocol.transport is not None:
                    protocol.transport.abort()
            await self._runner.cleanup()
            self._runner = None

    async def control(self, request: web.Request) -> web.StreamResponse:
        """Handle a control request.

        :param request: HTTP request with an encoded control request as body.
        :returns: encoded control reply; 400 if the body is malformed.
        """
        body = await request.read()
        await self._unfrozen.wait()
        try:
            exchange = decode_control_request(body)
        except msgspec.DecodeError as error:
            return web.Response(status=400, text=str(error))
        reply = self.core.control(exchange, self._clock.monotonic_ms())
        if self._random.random() < self._faults.lost_control_share:
            _abort_connection(request)
        return web.Response(
            body=encode_control_reply(reply), content_type=_JSON
        )

    async def serve(self, request: web.Request) -> web.StreamResponse:
        """Handle a service request.

        :param request: HTTP request whose URL names the service and the path.
        :returns: response of the service, or 503 if it was not executed.
        """
        call = await _read_call(request)
        if not self._within_connection_limit(request):
            return _not_run_response(call, 'too many connections')
        await self._unfrozen.wait()
        outcome = self.core.begin_call(call, self._clock.monotonic_ms())
        match outcome:
            case CallRefused(reason):
                return _not_run_response(call, reason)
            case CallStarted(number, duration_ms):
                await asyncio.sleep(duration_ms / _MS_PER_S)
                self.core.end_call(number, self._clock.monotonic_ms())
        await self._unfrozen.wait()
        return await self._respond(request, call)

    async def apply(self, fault: ServerFault) -> None:
        """Apply persistent and one-time faults."""
        now_ms = self._clock.monotonic_ms()
        if fault.frozen is not None:
            self._set_frozen(frozen=fault.frozen)
        if fault.fails_starts is not None:
            self.core.attempts.fails_starts = fault.fails_starts
        if fault.usage_lag_ms is not None:
            self.core.usage = self.core.usage._replace(
                lag_ms=fault.usage_lag_ms
            )
        if fault.leave:
            self.core.leave(now_ms)
        self._set_shares(fault)
        if fault.die:
            await self._die(fault.down_ms)

    def _set_shares(self, fault: ServerFault) -> None:
        for field in dataclasses.fields(_ResponseFaults):
            share = getattr(fault, field.name)
            if share is not None:
                setattr(self._faults, field.name, share)

    def _set_frozen(self, *, frozen: bool) -> None:
        if frozen:
            self._unfrozen.clear()
        else:
            self._unfrozen.set()

    async def _die(self, down_ms: int) -> None:
        await self.stop()
        self.core.die(self._clock.monotonic_ms())
        await asyncio.sleep(down_ms / _MS_PER_S)
        await self.start()

    def _connections(self) -> list:
        if self._runner is None or self._runner.server is None:
            return []
        return list(self._runner.server.connections)

    def _within_connection_limit(self, request: web.Request) -> bool:
        allowed = self._connections()[: self.core.vm.connections]
        return request.protocol in allowed

    async def _respond(
        self, request: web.Request, call: ServiceCall
    ) -> web.StreamResponse:
        body = self.core.answer(call)
        request_id = call.request_id
        if self._random.random() < self._faults.foreign_share:
            request_id = f'{request_id}-other'
        headers = {REQUEST_ID_HEADER: request_id, 'Content-Type': _JSON}
        if self._random.random() < self._faults.cut_share:
            return await _respond_truncated(request, headers, body)
        return web.Response(body=body, headers=headers)


async def _read_call(request: web.Request) -> ServiceCall:
    body = await request.read()
    return ServiceCall(
        request.headers.get(REQUEST_ID_HEADER, ''),
        request.match_info['service'],
        request.match_info['path'],
        body,
        int(request.headers.get(DEADLINE_HEADER, 0)),
    )


def _not_run_response(call: ServiceCall, reason: str) -> web.Response:
    return web.Response(
        status=_SERVICE_UNAVAILABLE,
        text=reason,
        headers={NOT_RUN_HEADER: '1', REQUEST_ID_HEADER: call.request_id},
    )


async def _respond_truncated(
    request: web.Request, headers: dict[str, str], body: bytes
) -> web.StreamResponse:
    """Send half of a response and close the connection."""
    response = web.StreamResponse(headers=headers)
    response.content_length = len(body)
    await response.prepare(request)
    await response.write(body[: len(body) // _TRUNCATION_DIVISOR])
    if request.transport is not None:
        # close() flushes the written half first; abort() would discard it.
        request.transport.close()
    with contextlib.suppress(ConnectionError):
        await response.write_eof()
    return response


def _abort_connection(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()
