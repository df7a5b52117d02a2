"""Link of one daemon with a rate and a queue, shared by all of its calls."""

import asyncio
import collections
import json
import math

from waxwingford.platform._http_client import NoResponse, NotSent
from waxwingford.platform._http_connections import CONNECT_TIMEOUT_S
from waxwingford.platform._store import (
    APPEND_TIMEOUT_S,
    MAX_FAILURES,
    PAGE_TIMEOUT_S,
    READ_TIMEOUT_S,
)
from waxwingford.platform._workers import ORDER_TIMEOUT_S, POLL_TIMEOUT_S
from waxwingford.scheduling import (
    OrderNotSent,
    OrderOutcomeUnknown,
    PollResult,
)
from waxwingford.shard import (
    NewestPage,
    RecordsRead,
    StoreOutcomeUnknown,
    StoreRefused,
)

MS_PER_S = 1000
#: Sizes of messages in bytes, with their heads.
HANDSHAKE_BYTES = 60
START_BYTES = 300
ORDER_BYTES = 210
ANSWER_BYTES = 100
POLL_BYTES = 200
POLL_ANSWER_BYTES = 150
REPORT_BYTES = 75
READ_BYTES = 100
PAGE_BYTES = 110
APPEND_BYTES = 330
RECORD_BYTES = 5
REGISTRATION_BYTES = 80


class Pipe:
    """One direction of a link: a rate, and a queue without a bound.

    :ivar idle_s: loop time at which everything queued so far is through.
    """

    def __init__(self, bytes_per_s):
        self.bytes_per_s = bytes_per_s
        self.idle_s = 0
        self.carried_bytes = 0
        #: Time at which each message was queued, and its time in the queue.
        self.waits = []

    async def carry(self, size):
        now_s = asyncio.get_running_loop().time()
        self.idle_s = max(self.idle_s, now_s) + size / self.bytes_per_s
        self.carried_bytes += size
        self.waits.append((now_s, self.idle_s - now_s))
        await asyncio.sleep(self.idle_s - now_s)

    def waiting_s(self, now_s):
        """Time that a message queued now spends in the queue."""
        return max(0, self.idle_s - now_s)


class VirtualLink:
    """Link of a daemon, and its connections.

    A request whose caller gives up stays queued and is carried out when its bytes
    are through, but is not answered. Its connection is closed.
    """

    def __init__(self, bytes_per_s=math.inf):
        self.out = Pipe(bytes_per_s)
        self.back = Pipe(bytes_per_s)
        self._idle_by_peer = collections.Counter()
        #: Number of calls, opened connections, and calls without an answer, by kind.
        self.counts = collections.Counter()

    def set_rate(self, bytes_per_s):
        self.out.bytes_per_s = bytes_per_s
        self.back.bytes_per_s = bytes_per_s

    async def call(self, kind, peer, size, serve, answer_size, timeout_s):
        """Make a call.

        :param kind: name of the kind of call, for the counts.
        :param size: size of the request, in bytes.
        :param serve: coroutine function that carries out the request.
        :param answer_size: function that returns the size of its answer.
        """
        deadline_s = asyncio.get_running_loop().time() + timeout_s
        self.counts[kind] += 1
        if self._idle_by_peer[peer]:
            self._idle_by_peer[peer] -= 1
        elif not await self._connect(min(timeout_s, CONNECT_TIMEOUT_S)):
            self.counts[f'{kind} not sent'] += 1
            return NotSent('TimeoutError: ')
        wanted = asyncio.Event()
        wanted.set()
        exchange = asyncio.ensure_future(
            self._exchange(size, serve, answer_size, wanted)
        )
        left_s = deadline_s - asyncio.get_running_loop().time()
        if await _is_done_in_time(exchange, left_s):
            self._idle_by_peer[peer] += 1
            return exchange.result()
        wanted.clear()
        self.counts[f'{kind} unanswered'] += 1
        return NoResponse('TimeoutError: no response in time')

    async def _connect(self, timeout_s):
        self.counts['connect'] += 1
        handshake = asyncio.ensure_future(self._shake_hands())
        return await _is_done_in_time(handshake, timeout_s)

    async def _shake_hands(self):
        await self.out.carry(HANDSHAKE_BYTES)
        await self.back.carry(HANDSHAKE_BYTES)

    async def _exchange(self, size, serve, answer_size, wanted):
        await self.out.carry(size)
        answer = await serve()
        if wanted.is_set():
            await self.back.carry(answer_size(answer))
        return answer


async def _is_done_in_time(future, timeout_s):
    done, _ = await asyncio.wait((future,), timeout=max(0, timeout_s))
    return bool(done)


class LinkedServerClient:
    """Client of backend servers whose calls use the link of its daemon."""

    def __init__(self, client, link):
        self._client = client
        self._link = link

    async def entries(self):
        outcome = await self._link.call(
            'entries',
            'store',
            READ_BYTES,
            self._client.entries,
            lambda entries: (
                PAGE_BYTES + REGISTRATION_BYTES * len(entries or ())
            ),
            READ_TIMEOUT_S,
        )
        return None if isinstance(outcome, NoResponse | NotSent) else outcome

    async def advise(self, step_name, server_ids):
        return await self._client.advise(step_name, server_ids)

    async def start(self, address, order):
        size = START_BYTES + len(json.dumps(order.payload))
        return await self._order(
            'start', address, size, self._client.start, order
        )

    async def stop(self, address, run, fencing_token):
        return await self._order(
            'stop', address, ORDER_BYTES, self._client.stop, run, fencing_token
        )

    async def pace(self, address, run, percent, fencing_token):
        return await self._order(
            'pace',
            address,
            ORDER_BYTES,
            self._client.pace,
            run,
            percent,
            fencing_token,
        )

    async def poll(self, address, order):
        outcome = await self._link.call(
            'poll',
            address.server_id,
            POLL_BYTES,
            lambda: self._client.poll(address, order),
            _poll_answer_size,
            order.wait_ms / MS_PER_S + POLL_TIMEOUT_S,
        )
        return _order_outcome(outcome)

    async def _order(self, kind, address, size, method, *order_args):
        outcome = await self._link.call(
            kind,
            address.server_id,
            size,
            lambda: method(address, *order_args),
            lambda _: ANSWER_BYTES,
            ORDER_TIMEOUT_S,
        )
        return _order_outcome(outcome)


class LinkedStoreClient:
    """Client of the store whose calls use the link of its daemon."""

    def __init__(self, client, link):
        self._client = client
        self._link = link
        self._failures = 0

    @property
    def responsive(self):
        return self._failures < MAX_FAILURES

    @property
    def limits(self):
        return self._client.limits

    async def append(self, topic, records, fence=None):
        size = APPEND_BYTES + _records_size(records)
        return await self._call(
            f'append {topic}',
            size,
            lambda: self._client.append(topic, records, fence),
            APPEND_TIMEOUT_S,
        )

    async def read(self, topic, from_offset, wait_ms):
        return await self._call(
            f'read {topic}',
            READ_BYTES,
            lambda: self._client.read(topic, from_offset, wait_ms),
            wait_ms / MS_PER_S + READ_TIMEOUT_S,
        )

    async def read_newest(self, topic, after_key):
        return await self._call(
            f'newest {topic}',
            READ_BYTES,
            lambda: self._client.read_newest(topic, after_key),
            PAGE_TIMEOUT_S,
        )

    async def _call(self, kind, size, serve, timeout_s):
        outcome = await self._link.call(
            kind, 'store', size, serve, _store_answer_size, timeout_s
        )
        match outcome:
            case NotSent(reason):
                outcome = StoreRefused(reason)
            case NoResponse(reason):
                outcome = StoreOutcomeUnknown(reason)
        failed = isinstance(outcome, StoreRefused | StoreOutcomeUnknown)
        self._failures = self._failures + 1 if failed else 0
        return outcome


def _order_outcome(outcome):
    match outcome:
        case NotSent(reason):
            return OrderNotSent(reason)
        case NoResponse(reason):
            return OrderOutcomeUnknown(reason)
        case _:
            return outcome


def _poll_answer_size(answer):
    listed = 0
    if isinstance(answer, PollResult):
        listed = len(answer.running) + len(answer.ended)
    return POLL_ANSWER_BYTES + REPORT_BYTES * listed


def _records_size(records):
    return sum(
        RECORD_BYTES + len(record.key) + len(record.payload or b'')
        for record in records
    )


def _store_answer_size(answer):
    match answer:
        case RecordsRead(records):
            return PAGE_BYTES + _records_size(records)
        case NewestPage(records):
            return PAGE_BYTES + 4 * _records_size(records) // 3
        case _:
            return PAGE_BYTES
