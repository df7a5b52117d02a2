"""Stand-in of the platform's store: a log with topics that keep keys."""

import asyncio
import base64
import json
import struct
from collections.abc import Callable

from http_io import NO_REPLY, HttpService, Reply, Request, json_reply

APPEND_S = 0.004
MAX_READ_BYTES = 1 << 20
PAGE_ITEMS = 500
REPEATED_APPENDS = 5
_LENGTH = struct.Struct('>I')
_ENDS = struct.Struct('>QQ')


def encode_record(key: str, payload: bytes) -> bytes:
    """Encode a record of a topic with keys."""
    name = key.encode()
    return bytes((len(name),)) + name + payload


def split_records(raw: bytes) -> list[bytes]:
    """Split the body of an append into its records."""
    records = []
    at = 0
    while at < len(raw):
        size = _LENGTH.unpack_from(raw, at)[0]
        at += _LENGTH.size
        records.append(raw[at : at + size])
        at += size
    return records


def split_key(record: bytes) -> tuple[str, bytes]:
    """Split a record into key and value."""
    end = 1 + record[0]
    return record[1:end].decode(), record[end:]


class _Producer:
    def __init__(self) -> None:
        self.epoch = -1
        self.next_seq: int | None = None
        self.replies: dict[int, Reply] = {}


class _Topic:
    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.newest_by_key: dict[str, tuple[int, bytes]] = {}
        self.producer_by_name: dict[str, _Producer] = {}
        self.lock = asyncio.Lock()
        self.grown = asyncio.Event()

    def extend(self, records: list[bytes]) -> Reply:
        offset = len(self.records)
        for number, record in enumerate(records, offset):
            key, payload = split_key(record)
            self.newest_by_key.pop(key, None)
            if payload:
                self.newest_by_key[key] = (number, payload)
        self.records.extend(records)
        self.grown.set()
        self.grown = asyncio.Event()
        return json_reply(200, offset=offset, end=len(self.records))


#: What becomes of a call: called with the daemon and the request, it returns
#: the delay in seconds after which a call without an answer is carried out,
#: a status with which it is refused, or ``None`` for a call that is served.
Fault = Callable[[str, Request], float | int | None]


class StoreStandin:
    """The store, with an address of its own for each daemon."""

    def __init__(self) -> None:
        self.fault: Fault = lambda daemon, request: None
        #: Time in seconds that each answer takes in addition.
        self.latency_s: float = 0
        self._topic_by_name: dict[str, _Topic] = {}
        self._services: list[HttpService] = []
        self._tasks: set[asyncio.Task[Reply]] = set()

    async def open_port(self, daemon: str) -> str:
        """Listen for one daemon, and return the address."""

        async def handle(request: Request) -> Reply:
            return await self._handle(daemon, request)

        service = HttpService(handle)
        await service.start()
        self._services.append(service)
        return service.address

    def topic(self, name: str) -> _Topic:
        """Find or create a topic."""
        return self._topic_by_name.setdefault(name, _Topic())

    def write(self, topic: str, key: str, content: object) -> None:
        """Write a record as the operator or a worker."""
        payload = b'' if content is None else json.dumps(content).encode()
        self.topic(f'keyed.{topic}').extend([encode_record(key, payload)])

    def newest(self, topic: str) -> dict[str, bytes]:
        """Newest values of the system's own topics, by key."""
        found = self.topic(f'keyed.{topic}').newest_by_key
        return {key: payload for key, (_, payload) in found.items()}

    def close(self) -> None:
        """Stop listening."""
        for service in self._services:
            service.stop()

    async def _handle(self, daemon: str, request: Request) -> Reply:
        fault = self.fault(daemon, request)
        if isinstance(fault, int):
            return Reply(fault)
        if fault is not None:
            work = asyncio.create_task(self._carry_out_late(request, fault))
            self._tasks.add(work)
            work.add_done_callback(self._tasks.discard)
            return NO_REPLY
        if self.latency_s:
            await asyncio.sleep(self.latency_s)
        return await self._carry_out(request)

    async def _carry_out_late(self, request: Request, delay_s: float) -> Reply:
        await asyncio.sleep(delay_s)
        return await self._carry_out(request)

    async def _carry_out(self, request: Request) -> Reply:
        match request.path:
            case '/api/log-append':
                return await self._append(request)
            case '/api/log-read':
                return await self._read(request)
            case '/api/log-newest':
                return self._page(request)
            case _:
                return Reply(404)

    async def _append(self, request: Request) -> Reply:
        topic = self.topic(request.query['topic'])
        async with topic.lock:
            await asyncio.sleep(APPEND_S)
            return _append(topic, request)

    async def _read(self, request: Request) -> Reply:
        topic = self.topic(request.query['topic'])
        start = int(request.query['from'])
        wait_s = int(request.query.get('wait-ms', 0)) / 1000
        if start >= len(topic.records) and wait_s:
            try:
                await asyncio.wait_for(topic.grown.wait(), wait_s)
            except asyncio.TimeoutError:
                wait_s = 0
        body = _ENDS.pack(len(topic.records), 0)
        for record in topic.records[start:]:
            if len(body) + len(record) > MAX_READ_BYTES:
                break
            body += _LENGTH.pack(len(record)) + record
        return Reply(200, body, 'application/octet-stream')

    def _page(self, request: Request) -> Reply:
        topic = self.topic(request.query['topic'])
        after = request.query.get('depends-on', '')
        keys = sorted(key for key in topic.newest_by_key if key > after)
        items = []
        size = 0
        for key in keys[:PAGE_ITEMS]:
            offset, payload = topic.newest_by_key[key]
            size += len(payload)
            if size > MAX_READ_BYTES and items:
                break
            encoded = base64.b64encode(payload).decode()
            items.append({'key': key, 'value': encoded, 'offset': offset})
        more = len(items) < len(keys)
        return json_reply(
            200, items=items, has_more=more, end=len(topic.records)
        )


def _append(topic: _Topic, request: Request) -> Reply:
    query = request.query
    records = split_records(request.body)
    if 'producer' not in query:
        return topic.extend(records)
    producer = topic.producer_by_name.setdefault(query['producer'], _Producer())
    epoch, seq = int(query['epoch']), int(query['seq'])
    if epoch < producer.epoch:
        return json_reply(409, reason='fenced')
    if epoch == producer.epoch and seq in producer.replies:
        return producer.replies[seq]
    if 'at' in query and int(query['at']) != len(topic.records):
        return json_reply(412, end=len(topic.records))
    if epoch == producer.epoch and seq != producer.next_seq:
        return json_reply(409, reason='seq', seq=producer.next_seq)
    if epoch > producer.epoch:
        producer.replies.clear()
    producer.epoch = epoch
    producer.next_seq = seq + 1
    reply = topic.extend(records)
    producer.replies[seq] = reply
    for old in sorted(producer.replies)[:-REPEATED_APPENDS]:
        del producer.replies[old]
    return reply
