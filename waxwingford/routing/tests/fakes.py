"""Fake backend servers and peers that record the executed requests."""

import asyncio
import contextvars
import dataclasses

from waxwingford.ports import (
    ServiceAnswer,
    ServiceNotRun,
    ServiceOutcomeUnknown,
)
from waxwingford.routing import (
    KeyLookupAnswer,
    KeyLookupState,
    Refused,
    Unknown,
)

_MS_IN_S = 1000
_LEASE_MS = 100_000_000
_NETWORK_DELAY_MS = 1


async def sleep_ms(duration_ms):
    await asyncio.sleep(duration_ms / _MS_IN_S)


@dataclasses.dataclass
class FakeServer:
    """Backend server that also completes abandoned calls."""

    server_id: str
    service: str = 'dispatcher'
    slots: int = 8
    connections: int = 64
    latency_ms: float = 10
    refuses_calls: bool = False
    loses_answers: bool = False
    suspended: bool = False
    wrong_request_id: bool = False
    raises: bool = False
    drops_connection: bool = False
    overrun_ms: float = 0
    late_ms: float = 0
    leaving: bool = False
    lease_until_ms: int = _LEASE_MS
    boot_id: str = 'boot-1'
    in_flight: int = 0
    peak_in_flight: int = 0
    rejected_calls: int = 0
    executed_ids: list = dataclasses.field(default_factory=list)

    async def serve(self, call):
        if self.raises:
            raise ValueError('error in the adapter')
        if self.refuses_calls:
            return ServiceNotRun('connection refused')
        if self.in_flight >= self.slots:
            self.rejected_calls += 1
            return ServiceNotRun('server is full')
        # The server continues after its client has stopped waiting.
        running = asyncio.get_running_loop().create_task(
            self._run(call), context=contextvars.Context()
        )
        if self.drops_connection:
            await sleep_ms(_NETWORK_DELAY_MS)
            return ServiceOutcomeUnknown('connection reset')
        return await asyncio.shield(running)

    async def _run(self, call):
        self.in_flight += 1
        self.peak_in_flight = max(self.peak_in_flight, self.in_flight)
        self.executed_ids.append(call.request_id.rpartition('.')[0])
        is_lost = self.loses_answers or self.suspended
        max_run_ms = call.deadline_ms + self.overrun_ms
        run_ms = max_run_ms if self.suspended else self.latency_ms
        await sleep_ms(min(run_ms, max_run_ms))
        self.in_flight -= 1
        await sleep_ms(self.late_ms)
        if is_lost:
            return ServiceOutcomeUnknown('connection lost')
        request_id = 'other/1/1.0' if self.wrong_request_id else call.request_id
        return ServiceAnswer(request_id, 200, 'text/plain', call.body)


class FakeServers:
    """Client for the fake servers; the host is the server id."""

    def __init__(self, servers):
        self._server_by_id = {server.server_id: server for server in servers}

    async def serve(self, host, port, call):
        return await self._server_by_id[host].serve(call)


class FakePeers:
    """Network between dispatchers; a link can be cut in one direction."""

    def __init__(self, own_id, region):
        self._own_id = own_id
        self._region = region

    async def forward(self, peer_id, request, timeout_ms):
        if self._is_cut(self._own_id, peer_id):
            return Refused('not connected', 100)
        await sleep_ms(_NETWORK_DELAY_MS)
        dispatcher = self._region.dispatcher_by_id[peer_id]
        if dispatcher is None:
            return Unknown('connection lost', 100)
        forwarded = dataclasses.replace(request, hops=request.hops + 1)
        served = self._region.begin(peer_id, forwarded)
        done, _ = await asyncio.wait((served,), timeout=timeout_ms / _MS_IN_S)
        is_lost = (
            not done
            or served.cancelled()
            or self._is_cut(peer_id, self._own_id)
        )
        return (
            Unknown('no answer of the peer', 100)
            if is_lost
            else served.result()
        )

    async def look_up_key(self, member, key, body_digest):
        peers = [
            name
            for name in self._region.dispatcher_by_id
            if name != self._own_id
        ]
        answers = await asyncio.gather(
            *(self._look_up(name, member, key, body_digest) for name in peers)
        )
        return dict(zip(peers, answers, strict=True))

    async def _look_up(self, peer_id, member, key, body_digest):
        await sleep_ms(_NETWORK_DELAY_MS)
        dispatcher = self._region.dispatcher_by_id[peer_id]
        if dispatcher is None or self._is_cut(self._own_id, peer_id):
            return KeyLookupAnswer(KeyLookupState.unreachable, 0)
        answer = dispatcher.answer_key_lookup(
            member, key, body_digest, self._own_id
        )
        await sleep_ms(_NETWORK_DELAY_MS)
        if self._is_cut(peer_id, self._own_id):
            return KeyLookupAnswer(KeyLookupState.unreachable, 0)
        return answer

    def _is_cut(self, sender, receiver):
        return (sender, receiver) in self._region.cut_links
