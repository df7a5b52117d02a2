"""Stand-in of the platform's store: keyed topics of one partition each."""

import asyncio
import base64
import collections
import struct
from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple

from review.tests.http_service import Answer, Call, HttpService, json_answer

PREFIX = 'keyed.'
PAGE_ITEMS = 500
#: Appends of a producer whose first answers are kept.
KEPT_ANSWERS = 5
#: Time of an append at a calm store, in seconds.
APPEND_S = 0.004
MS_PER_S = 1000
_LENGTH = struct.Struct('>I')
_HEADER = struct.Struct('>QQ')


class Record(NamedTuple):
    """A record of a topic; an empty value deletes its key."""

    key: str
    value: bytes


class _Producer:
    def __init__(self) -> None:
        self.epoch = -1
        self.last = -1
        self.answer_by_seq: collections.OrderedDict[int, Answer] = (
            collections.OrderedDict()
        )

    def refuse(self, epoch: int, seq: int) -> Answer | None:
        """Return the answer to an append that is not carried out."""
        if epoch < self.epoch:
            return json_answer(HTTPStatus.CONFLICT, {'reason': 'fenced'})
        if epoch > self.epoch:
            return None
        known = self.answer_by_seq.get(seq)
        if known is not None:
            return known
        if seq != self.last + 1:
            expected = {'reason': 'seq', 'seq': self.last + 1}
            return json_answer(HTTPStatus.CONFLICT, expected)
        return None

    def note(self, epoch: int, seq: int, answer: Answer) -> None:
        if epoch > self.epoch:
            self.answer_by_seq.clear()
        self.epoch = epoch
        self.last = seq
        self.answer_by_seq[seq] = answer
        while len(self.answer_by_seq) > KEPT_ANSWERS:
            self.answer_by_seq.popitem(last=False)


class Topic:
    """Records in offset order, and the newest offset of each key."""

    def __init__(self) -> None:
        self.records: list[Record] = []
        self.newest_by_key: dict[str, int] = {}
        self.grown = asyncio.Event()
        self.lock = asyncio.Lock()
        self.producer_by_name: dict[str, _Producer] = collections.defaultdict(
            _Producer
        )

    def append(self, records: list[Record]) -> None:
        """Append, and wake the reads that wait."""
        for record in records:
            self.newest_by_key[record.key] = len(self.records)
            if not record.value:
                self.newest_by_key.pop(record.key)
            self.records.append(record)
        self.grown.set()
        self.grown = asyncio.Event()


class Store:
    """Answers the calls of all daemons.

    :ivar answer_delay_s: time that each answer takes beside its work, as of a
        slow store.
    :ivar called: told of each call that arrives.
    """

    def __init__(self) -> None:
        self.topic_by_name: dict[str, Topic] = collections.defaultdict(Topic)
        self.answer_delay_s: float = 0
        self.called: Callable[[Call], None] = _ignore
        self._down = False
        self._outages = 0
        self._service = HttpService(self._answer)

    async def serve(self, host: str) -> str:
        """Listen, and return the address."""
        return f'{host}:{await self._service.serve(host)}'

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Write as the operator or a worker does."""
        self.topic_by_name[PREFIX + topic].append([Record(key, value)])

    def go_down(self) -> None:
        """Be silent: calls in progress and new ones are never answered."""
        self._down = True
        self._outages += 1

    def come_back(self) -> None:
        """Answer new calls again."""
        self._down = False

    async def _answer(self, call: Call) -> Answer:
        self.called(call)
        outages = self._outages
        if not self._down:
            answer = await self._carry_out(call)
            if outages == self._outages:
                return answer
        # The connection stays open, and returns nothing further.
        await asyncio.Event().wait()
        return Answer(HTTPStatus.SERVICE_UNAVAILABLE)

    async def _carry_out(self, call: Call) -> Answer:
        topic = self.topic_by_name[call.query['topic']]
        match call.path:
            case '/api/log-append':
                answer = await self._append(topic, call)
            case '/api/log-read':
                answer = await self._read(topic, call.query)
            case '/api/log-newest':
                answer = _newest(topic, call.query.get('depends-on', ''))
            case _:
                answer = Answer(HTTPStatus.NOT_FOUND)
        await asyncio.sleep(self.answer_delay_s)
        return answer

    async def _append(self, topic: Topic, call: Call) -> Answer:
        async with topic.lock:
            await asyncio.sleep(APPEND_S)
            return self._append_now(topic, call)

    def _append_now(self, topic: Topic, call: Call) -> Answer:
        query = call.query
        producer = topic.producer_by_name[query.get('producer', '')]
        epoch, seq = int(query.get('epoch', 0)), int(query.get('seq', 0))
        if 'producer' in query:
            refused = producer.refuse(epoch, seq)
            if refused is not None:
                return refused
        end = len(topic.records)
        if int(query.get('at', end)) != end:
            return json_answer(HTTPStatus.PRECONDITION_FAILED, {'end': end})
        records = _decode(call.body)
        topic.append(records)
        answer = json_answer(
            HTTPStatus.OK, {'offset': end, 'end': len(topic.records)}
        )
        if 'producer' in query:
            producer.note(epoch, seq, answer)
        return answer

    async def _read(self, topic: Topic, query: dict[str, str]) -> Answer:
        first = int(query['from'])
        if first >= len(topic.records) and 'wait-ms' in query:
            wait_s = int(query['wait-ms']) / MS_PER_S
            grown = asyncio.ensure_future(topic.grown.wait())
            await asyncio.wait([grown], timeout=wait_s)
            grown.cancel()
        parts = [_HEADER.pack(len(topic.records), 0)]
        for record in topic.records[first:]:
            key = record.key.encode()
            raw = bytes((len(key),)) + key + record.value
            parts.append(_LENGTH.pack(len(raw)) + raw)
        return Answer(HTTPStatus.OK, b''.join(parts))


def _ignore(call: Call) -> None:
    pass


def _newest(topic: Topic, after: str) -> Answer:
    keys = sorted(key for key in topic.newest_by_key if key > after)
    page = [(key, topic.newest_by_key[key]) for key in keys[:PAGE_ITEMS]]
    rows = [
        {
            'key': key,
            'value': base64.b64encode(topic.records[offset].value).decode(),
            'offset': offset,
        }
        for key, offset in page
    ]
    return json_answer(
        HTTPStatus.OK,
        {
            'items': rows,
            'has-more': len(keys) > PAGE_ITEMS,
            'end': len(topic.records),
        },
    )


def _decode(body: bytes) -> list[Record]:
    records = []
    position = 0
    while position < len(body):
        length = _LENGTH.unpack_from(body, position)[0]
        position += _LENGTH.size
        raw = body[position : position + length]
        position += length
        key_end = 1 + raw[0]
        records.append(Record(raw[1:key_end].decode(), raw[key_end:]))
    return records
