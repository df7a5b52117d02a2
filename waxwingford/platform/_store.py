"""The platform's store, as a shared log of keyed topics."""

import base64
import functools
import struct
from collections.abc import Callable
from http import HTTPStatus
from typing import TypeVar

import msgspec

from waxwingford.platform._calls import Answer, CallOutcome, Calls, NotSent
from waxwingford.shard import (
    Appended,
    AppendElsewhere,
    AppendFenced,
    AppendOutcome,
    AppendOutOfOrder,
    Fence,
    KeyedRecord,
    NewestOutcome,
    NewestPage,
    ReadOutcome,
    RecordsExpired,
    RecordsRead,
    StoredRecord,
    StoreRefused,
    StoreUnknown,
)

#: Time for an append, in seconds: an answer takes some ms, some hundred when
#: the store is slow.
APPEND_TIMEOUT_S = 1.2
#: So many calls in a row without an answer mean that the store is away: one
#: may be lost by itself.
MOST_FAILURES = 2
#: Time for a read beyond the time that the store may wait, in seconds.
READ_TIMEOUT_S = 1.2
#: Time for a page of newest records, in seconds: up to 1 MB, which a slow
#: store shares out among all readers.
PAGE_TIMEOUT_S = 3.0
_MS_IN_S = 1000
_APPEND_ANSWERS = frozenset(
    (HTTPStatus.OK, HTTPStatus.CONFLICT, HTTPStatus.PRECONDITION_FAILED)
)
#: These promise that nothing was done, others don't.
_REFUSALS = frozenset(
    (
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.INSUFFICIENT_STORAGE,
    )
)
Outcome = TypeVar('Outcome')
_LENGTH = struct.Struct('>I')
_HEAD = struct.Struct('>QQ')
#: Topics whose name begins so keep the newest record of each key for good.
_KEYED = 'keyed.'
#: Every topic here has all its records in one partition.
_PART = '0'
#: One producer for all owners, so that their epochs fence each other.
_PRODUCER = 'owner'


class _AppendBody(msgspec.Struct):
    end: int = 0
    reason: str = ''
    # The next sequence number, under the name of the query's parameter.
    seq: int = 0


class _Item(msgspec.Struct):
    key: str
    offset: int
    # Base64 of the content.
    value: str = ''


class _NewestBody(msgspec.Struct, rename='kebab'):
    items: list[_Item]
    has_more: bool
    end: int


class _ExpiredBody(msgspec.Struct):
    # Oldest offset that is kept.
    first: int = 0


_append_decoder = msgspec.json.Decoder(_AppendBody)
_newest_decoder = msgspec.json.Decoder(_NewestBody)
_expired_decoder = msgspec.json.Decoder(_ExpiredBody)


class PlatformLog:
    """Shared log in the platform's store."""

    def __init__(self, calls: Calls, address: str) -> None:
        """Use the store.

        :param calls: to make calls with.
        :param address: of the store, IP number and port.
        """
        self._calls = calls
        self._address = address
        self._failures = 0

    @property
    def answering(self) -> bool:
        """Tell whether the store has answered one of the newest calls.

        :returns: whether fewer than two calls in a row have failed.
        """
        return self._failures < MOST_FAILURES

    async def append(
        self,
        topic: str,
        records: tuple[KeyedRecord, ...],
        fence: Fence | None = None,
    ) -> AppendOutcome:
        """Append all records or none.

        :param topic: where.
        :param records: what.
        :param fence: conditions, ``None`` for an append that always counts.
        :returns: what is known of it.
        """
        query = {'topic': _KEYED + topic, 'part': _PART, **_conditions(fence)}
        outcome = self._noted(
            await self._calls.post(
                self._address,
                '/api/log-append',
                query,
                b''.join(map(_encode, records)),
                APPEND_TIMEOUT_S,
            )
        )
        if not isinstance(outcome, Answer):
            return _lost(outcome)
        if outcome.status not in _APPEND_ANSWERS:
            return _refused(outcome)
        return _understood(_appended, outcome)

    async def read(
        self, topic: str, from_offset: int, wait_ms: int
    ) -> ReadOutcome:
        """Read records.

        :param topic: where.
        :param from_offset: first offset wanted.
        :param wait_ms: how long the store may wait for a record.
        :returns: the records, or why there are none.
        """
        query = {
            'topic': _KEYED + topic,
            'part': _PART,
            'from': str(from_offset),
        }
        if wait_ms:
            query['wait-ms'] = str(wait_ms)
        outcome = self._noted(
            await self._calls.get(
                self._address,
                '/api/log-read',
                query,
                wait_ms / _MS_IN_S + READ_TIMEOUT_S,
            )
        )
        if not isinstance(outcome, Answer):
            return _lost(outcome)
        match outcome.status:
            case HTTPStatus.OK:
                return _understood(
                    functools.partial(_decode, from_offset), outcome
                )
            case HTTPStatus.GONE:
                return _understood(_expired, outcome)
            case _:
                return _refused(outcome)

    async def newest(self, topic: str, after_key: str) -> NewestOutcome:
        """Read a page of the newest records by key.

        :param topic: where.
        :param after_key: last key of the page before, empty for the first.
        :returns: the page, or why there is none.
        """
        query = {'topic': _KEYED + topic, 'part': _PART}
        if after_key:
            # Here the parameter says after which key the page begins.
            query['depends-on'] = after_key
        outcome = self._noted(
            await self._calls.get(
                self._address, '/api/log-newest', query, PAGE_TIMEOUT_S
            )
        )
        if not isinstance(outcome, Answer):
            return _lost(outcome)
        if outcome.status != HTTPStatus.OK:
            return _refused(outcome)
        return _understood(_page, outcome)

    def _noted(self, outcome: CallOutcome) -> CallOutcome:
        refused = isinstance(outcome, Answer) and outcome.status in _REFUSALS
        failed = refused or not isinstance(outcome, Answer)
        self._failures = self._failures + 1 if failed else 0
        return outcome


def _conditions(fence: Fence | None) -> dict[str, str]:
    if fence is None:
        return {}
    conditions = {
        'producer': _PRODUCER,
        'epoch': str(fence.epoch),
        'seq': str(fence.sequence),
    }
    if fence.at_offset is not None:
        conditions['at'] = str(fence.at_offset)
    return conditions


def _encode(record: KeyedRecord) -> bytes:
    key = record.key.encode()
    body = bytes((len(key),)) + key + (record.payload or b'')
    return _LENGTH.pack(len(body)) + body


def _understood(
    read: Callable[[Answer], Outcome], answer: Answer
) -> Outcome | StoreUnknown:
    """Read an answer; one that can't be read says nothing of the call.

    :param read: translates an answer.
    :param answer: as it came.
    :returns: what it says.
    """
    try:
        return read(answer)
    except (msgspec.MsgspecError, struct.error, ValueError) as error:
        return StoreUnknown(f'answer not understood: {error}')


def _appended(answer: Answer) -> AppendOutcome:
    body = _append_decoder.decode(answer.body)
    match answer.status:
        case HTTPStatus.OK:
            return Appended(body.end)
        case HTTPStatus.PRECONDITION_FAILED:
            return AppendElsewhere(body.end)
        case _ if body.reason == 'seq':
            return AppendOutOfOrder(body.seq)
        case _:
            return AppendFenced()


def _page(answer: Answer) -> NewestPage:
    body = _newest_decoder.decode(answer.body)
    records = tuple(
        StoredRecord(item.offset, item.key, base64.b64decode(item.value))
        for item in body.items
    )
    return NewestPage(records, body.has_more, body.end)


def _expired(answer: Answer) -> RecordsExpired:
    return RecordsExpired(_expired_decoder.decode(answer.body).first)


def _decode(from_offset: int, answer: Answer) -> RecordsRead:
    raw = answer.body
    end, _ = _HEAD.unpack_from(raw)
    records: list[StoredRecord] = []
    place = _HEAD.size
    while place < len(raw):
        length = _LENGTH.unpack_from(raw, place)[0]
        place += _LENGTH.size
        body = raw[place : place + length]
        place += length
        records.append(_record(from_offset + len(records), body))
    return RecordsRead(tuple(records), from_offset + len(records), end)


def _record(offset: int, body: bytes) -> StoredRecord:
    """Take a record apart.

    Others write to some topics: one record without a key, or with one that isn't
    text, must not keep those behind it from being read.

    :param offset: its place in the topic.
    :param body: length of the key, key, content.
    :returns: the record; without a key, one that drops the empty key.
    """
    key_end = 1 + body[0] if body else 0
    key = body[1:key_end].decode(errors='replace')
    return StoredRecord(offset, key, body[key_end:] or None)


def _refused(answer: Answer) -> StoreRefused | StoreUnknown:
    reason = f'status {answer.status}'
    if answer.status in _REFUSALS:
        return StoreRefused(reason)
    return StoreUnknown(reason)


def _lost(outcome: CallOutcome) -> StoreRefused | StoreUnknown:
    if isinstance(outcome, NotSent):
        return StoreRefused(outcome.reason)
    return StoreUnknown(outcome.reason)
