"""Stand-in of the platform's store: a log with keyed topics, in memory."""

import asyncio
import base64
import dataclasses
import struct
import time

from http_standin import Call, HttpStandin, Reply, json_reply

APPEND_S = 0.004
KEEP_S = 20.0
RECORD_BYTES = 262_144
REQUEST_BYTES = 2_097_152
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
REMEMBERED_APPENDS = 5
SERVERS = 'servers'
#: Three intervals of the reports of workers, after which an entry is removed.
SILENCE_S = 4.5
EXPIRY_CHECK_S = 0.3
KEYED_PREFIX = 'keyed.'
_LENGTH = struct.Struct('>I')
_HEADER = struct.Struct('>QQ')


@dataclasses.dataclass
class Producer:
    """Newest epoch of a producer and its latest appends."""

    epoch: int = -1
    sequence: int = -1
    reply_by_sequence: dict[int, dict] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass
class Topic:
    """One partition: records that are still kept, and the newest of each key."""

    first: int = 0
    bodies: list[tuple[float, bytes]] = dataclasses.field(default_factory=list)
    newest_by_key: dict[str, tuple[int, bytes]] = dataclasses.field(
        default_factory=dict
    )
    producer_by_name: dict[str, Producer] = dataclasses.field(
        default_factory=dict
    )
    lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)
    grown: asyncio.Condition = dataclasses.field(
        default_factory=asyncio.Condition
    )

    @property
    def end(self) -> int:
        """Offset of the next record."""
        return self.first + len(self.bodies)

    async def add(self, bodies: list[bytes]) -> None:
        """Append records."""
        for body in bodies:
            key_end = 1 + body[0]
            key, content = body[1:key_end].decode(), body[key_end:]
            if content:
                self.newest_by_key[key] = self.end, content
            else:
                self.newest_by_key.pop(key, None)
            self.bodies.append((time.monotonic(), body))
        async with self.grown:
            self.grown.notify_all()

    def expire(self) -> None:
        """Delete the records that are older than the store keeps them."""
        oldest = time.monotonic() - KEEP_S
        count = 0
        while count < len(self.bodies) and self.bodies[count][0] < oldest:
            count += 1
        del self.bodies[:count]
        self.first += count


def split_records(raw: bytes) -> list[bytes] | None:
    """Split the body of an append, ``None`` if a record is too long."""
    bodies = []
    position = 0
    while position < len(raw):
        length = _LENGTH.unpack_from(raw, position)[0]
        position += _LENGTH.size
        if length > RECORD_BYTES:
            return None
        bodies.append(raw[position : position + length])
        position += length
    return bodies


class StoreStandin:
    """Serves the calls of the store that the scheduler uses.

    :ivar refused: appends that were refused because of their size.
    :ivar put_s_by_server: when each entry of a worker was written last.
    """

    def __init__(self) -> None:
        self.topic_by_name: dict[str, Topic] = {}
        self.refused: list[str] = []
        self.put_s_by_server: dict[str, float] = {}
        self.http = HttpStandin(self._handle)

    def topic(self, name: str) -> Topic:
        """Find a topic, which is created on first use."""
        return self.topic_by_name.setdefault(name, Topic())

    async def put(self, topic: str, key: str, content: bytes) -> None:
        """Write a record for the operator or a worker."""
        if topic == SERVERS:
            self.put_s_by_server[key] = time.monotonic()
        raw_key = key.encode()
        body = bytes((len(raw_key),)) + raw_key + content
        await self.topic(KEYED_PREFIX + topic).add([body])

    async def expire_servers(self) -> None:
        """Remove the entries whose writers are silent, until cancelled."""
        while True:
            await asyncio.sleep(EXPIRY_CHECK_S)
            oldest_s = time.monotonic() - SILENCE_S
            for key, put_s in list(self.put_s_by_server.items()):
                if put_s < oldest_s:
                    await self.put(SERVERS, key, b'')
                    del self.put_s_by_server[key]

    async def _handle(self, call: Call) -> Reply:
        topic = self.topic(call.query['topic'])
        match call.path:
            case '/api/log-append':
                return await self._append(topic, call)
            case '/api/log-read':
                return await self._read(topic, call)
            case '/api/log-newest':
                return self._newest(topic, call.query.get('depends-on', ''))
            case _:
                return Reply(404)

    async def _append(self, topic: Topic, call: Call) -> Reply:
        async with topic.lock:
            await asyncio.sleep(APPEND_S)
            bodies = split_records(call.body)
            if bodies is None or len(call.body) > REQUEST_BYTES:
                self.refused.append(call.query['topic'])
                return Reply(400)
            return await self._append_bodies(topic, call.query, bodies)

    async def _append_bodies(
        self, topic: Topic, query: dict[str, str], bodies: list[bytes]
    ) -> Reply:
        if 'producer' not in query:
            return json_reply(200, await self._add(topic, bodies))
        producer = topic.producer_by_name.setdefault(
            query['producer'], Producer()
        )
        epoch, sequence = int(query['epoch']), int(query['seq'])
        if epoch < producer.epoch:
            return json_reply(409, {'reason': 'fenced'})
        if epoch == producer.epoch:
            former = producer.reply_by_sequence.get(sequence)
            if former is not None:
                return json_reply(200, former)
            if sequence != producer.sequence + 1:
                expected = producer.sequence + 1
                return json_reply(409, {'reason': 'seq', 'seq': expected})
        if 'at' in query and int(query['at']) != topic.end:
            return json_reply(412, {'end': topic.end})
        if epoch > producer.epoch:
            producer.reply_by_sequence.clear()
        producer.epoch = epoch
        producer.sequence = sequence
        reply = await self._add(topic, bodies)
        producer.reply_by_sequence[sequence] = reply
        producer.reply_by_sequence.pop(sequence - REMEMBERED_APPENDS, None)
        return json_reply(200, reply)

    async def _add(self, topic: Topic, bodies: list[bytes]) -> dict[str, int]:
        offset = topic.end
        await topic.add(bodies)
        return {'offset': offset, 'end': topic.end}

    async def _read(self, topic: Topic, call: Call) -> Reply:
        offset = int(call.query['from'])
        wait_s = int(call.query.get('wait-ms', '0')) / 1000
        if wait_s and offset >= topic.end:
            await self._wait_for_records(topic, offset, wait_s)
        topic.expire()
        if offset < topic.first:
            return json_reply(410, {'first': topic.first})
        parts = [_HEADER.pack(topic.end, topic.first)]
        left = int(call.query.get('max-kb', '1024')) * 1024
        for _, body in topic.bodies[offset - topic.first :]:
            left -= len(body)
            if left < 0:
                break
            parts.append(_LENGTH.pack(len(body)) + body)
        return Reply(200, b''.join(parts))

    async def _wait_for_records(
        self, topic: Topic, offset: int, wait_s: float
    ) -> None:
        async with topic.grown:
            try:
                await asyncio.wait_for(
                    topic.grown.wait_for(lambda: topic.end > offset), wait_s
                )
            except TimeoutError:
                return

    def _newest(self, topic: Topic, after: str) -> Reply:
        page = []
        size = 0
        keys = sorted(key for key in topic.newest_by_key if key > after)
        for key in keys[:PAGE_ITEMS]:
            offset, content = topic.newest_by_key[key]
            size += len(content)
            if page and size > PAGE_BYTES:
                break
            text = base64.b64encode(content).decode()
            page.append({'key': key, 'value': text, 'offset': offset})
        more = len(page) < len(keys)
        content = {'items': page, 'has-more': more, 'end': topic.end}
        return json_reply(200, content)
