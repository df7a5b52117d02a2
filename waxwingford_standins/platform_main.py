"""Process that simulates the platform: log and VM list over HTTP.

Routes: ``POST /v1/log/append``, ``GET /v1/log/read``, ``GET /v1/vms``,
``POST /v1/vms/heartbeats``, ``POST /fault``, ``GET /audit``.
"""

import argparse
import asyncio
import contextlib
import math
from typing import Any

import msgspec
from aiohttp import web

from waxwingford.adapters import (
    NOT_RUN_HEADER,
    RETRY_AFTER_MS_HEADER,
    AppendReply,
    encode_json,
    encode_log_read,
)
from waxwingford.kernel import Clock, SystemClock
from waxwingford.ports import (
    Appended,
    AppendOutcomeUnknown,
    AppendRefused,
    LogRead,
    LogUnavailable,
    Vm,
    VmList,
    VmListUnavailable,
)
from waxwingford_standins.platform_list import VmListCore
from waxwingford_standins.platform_log import (
    OUT_OF_SERVICE,
    RATE_CAP,
    TOO_LARGE,
    LogCore,
    LogLimits,
    Outage,
)
from waxwingford_standins.platform_messages import (
    PlatformCounts,
    PlatformFault,
)
from waxwingford_standins.serving import run_process, start_site

_MS_PER_S = 1000
_HANG_CHECK_S = 0.05
_MAX_WAIT_MS = 30_000
_MAX_BODY_BYTES = 2_097_152
_CREATED = 201
_SERVICE_UNAVAILABLE = 503
_STATUS_BY_REASON = {RATE_CAP: 429, TOO_LARGE: 413, OUT_OF_SERVICE: 503}


class PlatformService:
    """HTTP handlers of the log and the VM list.

    :ivar counts: counters reported by the audit.
    """

    def __init__(self, log: LogCore, vms: VmListCore, clock: Clock) -> None:
        self.counts = PlatformCounts()
        self._log = log
        self._vms = vms
        self._clock = clock
        self._data_available = asyncio.Event()

    def application(self) -> web.Application:
        """Create the web application."""
        app = web.Application(client_max_size=_MAX_BODY_BYTES)
        app.add_routes(
            (
                web.post('/v1/log/append', self.append),
                web.get('/v1/log/read', self.read),
                web.get('/v1/vms', self.list_vms),
                web.post('/v1/vms/heartbeats', self.heartbeats),
                web.post('/fault', self.set_fault),
                web.get('/audit', self.audit),
            )
        )
        return app

    async def append(self, request: web.Request) -> web.StreamResponse:
        """Append the request body to a stream.

        An append that hangs in an outage takes effect when the outage ends,
        even if its client has timed out by then.

        :param request: HTTP request with the query parameter ``stream``.
        :returns: 201 with the offset, or an error response.
        """
        payload = await request.read()
        await self._apply_delay_faults()
        stream = request.query['stream']
        match self._log.append(stream, payload, self._clock.monotonic_ms()):
            case Appended(offset):
                self._count_append(payload)
                return _json_response(AppendReply(offset), status=_CREATED)
            case AppendRefused(reason, retry_after_ms):
                self.counts.refused += 1
                return _refused_response(reason, retry_after_ms)
            case AppendOutcomeUnknown():
                self._count_append(payload)
                return _drop_response(request)

    async def read(self, request: web.Request) -> web.StreamResponse:
        """Read a stream by long polling.

        :param request: HTTP request with the query parameters ``stream``,
            ``from``, ``limit`` and ``wait_ms``.
        :returns: entries as msgpack; 503 in an outage.
        """
        await self._apply_delay_faults()
        hold_ms = min(int(request.query.get('wait_ms', 0)), _MAX_WAIT_MS)
        until_ms = self._clock.monotonic_ms() + hold_ms
        while True:
            data_available = self._data_available
            now_ms = self._clock.monotonic_ms()
            outcome = self._log.read(
                request.query['stream'],
                int(request.query['from']),
                int(request.query['limit']),
                now_ms,
            )
            if isinstance(outcome, LogUnavailable):
                return web.Response(
                    status=_SERVICE_UNAVAILABLE, text=outcome.reason
                )
            if outcome.entries or now_ms >= until_ms:
                return self._read_response(outcome)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    data_available.wait(), (until_ms - now_ms) / _MS_PER_S
                )

    async def list_vms(self, _: web.Request) -> web.StreamResponse:
        """Read the VM list.

        :returns: VM list as JSON; 503 in an outage.
        """
        match self._vms.read(self._clock.monotonic_ms()):
            case VmListUnavailable(reason):
                return web.Response(status=_SERVICE_UNAVAILABLE, text=reason)
            case VmList() as vm_list:
                return _json_response(vm_list)

    async def heartbeats(self, request: web.Request) -> web.StreamResponse:
        """Record heartbeats of VMs.

        :param request: HTTP request with a JSON array of VMs as body.
        :returns: empty response.
        """
        vms = msgspec.json.decode(await request.read(), type=list[Vm])
        for vm in vms:
            self._vms.heartbeat(vm, self._clock.monotonic_ms())
        return web.Response()

    async def set_fault(self, request: web.Request) -> web.StreamResponse:
        """Inject faults into the log and the VM list.

        :param request: HTTP request with a :class:`PlatformFault` as body.
        :returns: empty response; 400 if the body is malformed.
        """
        try:
            fault = msgspec.json.decode(
                await request.read(), type=PlatformFault
            )
        except msgspec.DecodeError as error:
            return web.Response(status=400, text=str(error))
        _set_if_given(self._log.faults, 'outage', fault.outage)
        _set_if_given(self._log.faults, 'slow_ms', fault.slow_ms)
        _set_if_given(self._log.faults, 'lost_share', fault.lost_share)
        _set_if_given(self._vms.faults, 'outage', fault.list_outage)
        _set_if_given(self._vms.faults, 'lag_ms', fault.list_lag_ms)
        self._wake_readers()
        return web.Response()

    async def audit(self, _: web.Request) -> web.StreamResponse:
        """Report the counters.

        :returns: counters as JSON.
        """
        return _json_response(self.counts)

    async def _apply_delay_faults(self) -> None:
        while self._log.faults.outage is Outage.hang:
            await asyncio.sleep(_HANG_CHECK_S)
        if self._log.faults.slow_ms:
            await asyncio.sleep(self._log.faults.slow_ms / _MS_PER_S)

    def _count_append(self, payload: bytes) -> None:
        self.counts.appends += 1
        self.counts.appended_bytes += len(payload)
        self._wake_readers()

    def _wake_readers(self) -> None:
        self._data_available.set()
        self._data_available = asyncio.Event()

    def _read_response(self, entries: LogRead) -> web.Response:
        body = encode_log_read(entries)
        self.counts.reads += 1
        self.counts.read_bytes += len(body)
        return web.Response(body=body, content_type='application/msgpack')


def _set_if_given(faults: object, name: str, setting: Any) -> None:
    if setting is not None:
        setattr(faults, name, setting)


def _json_response(content: Any, status: int = 200) -> web.Response:
    return web.Response(
        body=encode_json(content),
        status=status,
        content_type='application/json',
    )


def _refused_response(reason: str, retry_after_ms: int) -> web.Response:
    return web.Response(
        status=_STATUS_BY_REASON[reason],
        text=reason,
        headers={
            NOT_RUN_HEADER: '1',
            RETRY_AFTER_MS_HEADER: str(retry_after_ms),
            'Retry-After': str(math.ceil(retry_after_ms / _MS_PER_S)),
        },
    )


def _drop_response(request: web.Request) -> web.Response:
    """Abort the connection of a request, so that its response is lost."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


def main() -> None:
    """Run the process until it is stopped."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--seed', type=int, default=0)
    parser.add_argument('--appends-per-second', type=int, default=400)
    parser.add_argument('--retain-entries', type=int, default=1_000_000)
    parser.add_argument('--retain-ms', type=int, default=86_400_000)
    options = parser.parse_args()
    limits = LogLimits(
        options.appends_per_second, options.retain_entries, options.retain_ms
    )
    service = PlatformService(
        LogCore(limits, options.seed), VmListCore(), SystemClock()
    )

    async def _open(stack: contextlib.AsyncExitStack) -> None:
        runner = await start_site(
            service.application(), options.host, options.port
        )
        stack.push_async_callback(runner.cleanup)

    run_process(_open)


if __name__ == '__main__':
    main()
