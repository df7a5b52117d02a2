"""Fake backend servers and peers that keep account of what ran."""

import asyncio
import contextvars
import dataclasses

from waxwingford.ports import ServiceAnswer, ServiceNotRun, ServiceUnknown
from waxwingford.routing import RecallAnswer, RecallState, Refused, Unknown

_MS_IN_S = 1000
_LEASE_MS = 100_000_000
_DELAY_MS = 1


async def sleep_ms(duration_ms):
    await asyncio.sleep(duration_ms / _MS_IN_S)


@dataclasses.dataclass
class FakeServer:
    """A backend server: runs calls up to its slots, also abandoned ones."""

    server_id: str
    service: str = 'dispatcher'
    slots: int = 8
    connections: int = 64
    latency_ms: float = 10
    refuses: bool = False
    loses_answers: bool = False
    frozen: bool = False
    foreign: bool = False
    faulty: bool = False
    drops: bool = False
    overrun_ms: float = 0
    late_ms: float = 0
    leaving: bool = False
    lease_until_ms: int = _LEASE_MS
    boot_id: str = 'boot-1'
    in_flight: int = 0
    peak: int = 0
    overflows: int = 0
    ran: list = dataclasses.field(default_factory=list)

    async def serve(self, call):
        if self.faulty:
            raise ValueError('fault in the adapter')
        if self.refuses:
            return ServiceNotRun('connection refused')
        if self.in_flight >= self.slots:
            self.overflows += 1
            return ServiceNotRun('server is full')
        # The server goes on even when nobody waits for the answer any more.
        running = asyncio.get_running_loop().create_task(
            self._run(call), context=contextvars.Context()
        )
        if self.drops:
            await sleep_ms(_DELAY_MS)
            return ServiceUnknown('connection reset')
        return await asyncio.shield(running)

    async def _run(self, call):
        self.in_flight += 1
        self.peak = max(self.peak, self.in_flight)
        self.ran.append(call.request_id.rpartition('.')[0])
        lost = self.loses_answers or self.frozen
        max_run_ms = call.deadline_ms + self.overrun_ms
        run_ms = max_run_ms if self.frozen else self.latency_ms
        await sleep_ms(min(run_ms, max_run_ms))
        self.in_flight -= 1
        await sleep_ms(self.late_ms)
        if lost:
            return ServiceUnknown('connection lost')
        request_id = 'other/1/1.0' if self.foreign else call.request_id
        return ServiceAnswer(request_id, 200, 'text/plain', call.body)


class FakeServers:
    """Port to all fake servers, addressed by their id as host."""

    def __init__(self, servers):
        self._server_by_id = {server.server_id: server for server in servers}

    async def serve(self, host, port, call):
        return await self._server_by_id[host].serve(call)


class FakePeers:
    """Network between dispatchers; links can be cut in one direction."""

    def __init__(self, own_id, region):
        self._own_id = own_id
        self._region = region

    async def forward(self, peer_id, request, timeout_ms):
        if self._cut(self._own_id, peer_id):
            return Refused('not connected', 100)
        await sleep_ms(_DELAY_MS)
        dispatcher = self._region.dispatcher_by_id[peer_id]
        if dispatcher is None:
            return Unknown('connection lost', 100)
        forwarded = dataclasses.replace(request, hops=request.hops + 1)
        served = self._region.begin(peer_id, forwarded)
        done, _ = await asyncio.wait((served,), timeout=timeout_ms / _MS_IN_S)
        lost = (
            not done or served.cancelled() or self._cut(peer_id, self._own_id)
        )
        return (
            Unknown('no answer of the peer', 100) if lost else served.result()
        )

    async def recall_all(self, member, key, body_digest):
        peers = [
            name
            for name in self._region.dispatcher_by_id
            if name != self._own_id
        ]
        answers = await asyncio.gather(
            *(self._recall(name, member, key, body_digest) for name in peers)
        )
        return dict(zip(peers, answers, strict=True))

    async def _recall(self, peer_id, member, key, body_digest):
        await sleep_ms(_DELAY_MS)
        dispatcher = self._region.dispatcher_by_id[peer_id]
        if dispatcher is None or self._cut(self._own_id, peer_id):
            return RecallAnswer(RecallState.unreachable, 0)
        answer = dispatcher.answer_recall(
            member, key, body_digest, self._own_id
        )
        await sleep_ms(_DELAY_MS)
        if self._cut(peer_id, self._own_id):
            return RecallAnswer(RecallState.unreachable, 0)
        return answer

    def _cut(self, sender, receiver):
        return (sender, receiver) in self._region.cut_links
