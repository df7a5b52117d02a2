"""Client of the platform's store, a shared log of keyed topics."""

import base64
import functools
import itertools
import struct
from collections.abc import Callable
from http import HTTPStatus
from typing import TypeVar

import msgspec

from waxwingford.platform._decoding import decode_json
from waxwingford.platform._http_client import (
    HttpClient,
    HttpResponse,
    NotSent,
    RequestOutcome,
)
from waxwingford.shard import (
    Appended,
    AppendEndMismatch,
    AppendFenced,
    AppendOutcome,
    AppendOutOfOrder,
    AppendRejected,
    Fence,
    KeyedRecord,
    LogLimits,
    NewestOutcome,
    NewestPage,
    ReadOutcome,
    RecordsExpired,
    RecordsRead,
    StoredRecord,
    StoreOutcomeUnknown,
    StoreRefused,
)

#: Sizes that the store accepts unless they are configured, in bytes.
RECORD_BYTES = 262_144
APPEND_BYTES = 2_097_152
DEFAULT_LIMITS = LogLimits(RECORD_BYTES, APPEND_BYTES)
#: Longest key, whose length takes one byte.
MAX_KEY_BYTES = 255
#: Timeout of an append, in seconds: several times the latency of a slow store.
APPEND_TIMEOUT_S = 1.2
#: Consecutive failed requests after which the store counts as not responding:
#: a single one may be lost by itself.
MAX_FAILURES = 2
#: Timeout of a read in addition to the long-poll time, in seconds.
READ_TIMEOUT_S = 1.2
#: Timeout of a page of newest records, in seconds: a page has up to 1 MB, and
#: a slow store divides its bandwidth among all readers.
PAGE_TIMEOUT_S = 3.0
_MS_PER_S = 1000
_APPEND_STATUSES = frozenset(
    (HTTPStatus.OK, HTTPStatus.CONFLICT, HTTPStatus.PRECONDITION_FAILED)
)
#: Statuses which guarantee that the request had no effect.
_REFUSAL_STATUSES = frozenset(
    (
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.INSUFFICIENT_STORAGE,
    )
)
#: Statuses that speak about the content of a request. All others may be answers to
#: this machine, or come from something in front of the store.
_CONTENT_STATUSES = frozenset(
    (
        HTTPStatus.BAD_REQUEST,
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        HTTPStatus.UNPROCESSABLE_ENTITY,
    )
)
Outcome = TypeVar('Outcome')
_RECORD_LENGTH = struct.Struct('>I')
_HEADER = struct.Struct('>QQ')
#: Prefix of compacted topics, which retain the newest record of each key.
_TOPIC_PREFIX = 'keyed.'
#: All topics have a single partition.
_PARTITION = '0'
#: Producer id shared by all owners, so that their epochs fence each other.
_PRODUCER = 'owner'


class _AppendBody(msgspec.Struct):
    end: int = 0
    reason: str = ''
    # Next expected sequence number.
    seq: int = 0


class _Item(msgspec.Struct):
    key: str
    offset: int
    # Payload in base64.
    value: str = ''


class _NewestBody(msgspec.Struct, rename='kebab'):
    items: list[_Item]
    has_more: bool
    end: int


class _ExpiredBody(msgspec.Struct):
    # Oldest retained offset.
    first: int = 0


_append_decoder = msgspec.json.Decoder(_AppendBody)
_newest_decoder = msgspec.json.Decoder(_NewestBody)
_expired_decoder = msgspec.json.Decoder(_ExpiredBody)


class PlatformLog:
    """Client of the shared log in the platform's store."""

    def __init__(
        self,
        http_client: HttpClient,
        address: str,
        limits: LogLimits = DEFAULT_LIMITS,
    ) -> None:
        """Create the client; no connection is opened yet.

        :param address: IP address and port of the store.
        :param limits: sizes that the store accepts.
        """
        self.limits = limits
        self._http_client = http_client
        self._address = address
        self._failures = 0

    @property
    def responsive(self) -> bool:
        """Check whether the store has answered one of the last requests.

        :returns: whether fewer than ``MAX_FAILURES`` consecutive requests have
            failed.
        """
        return self._failures < MAX_FAILURES

    async def append(
        self,
        topic: str,
        records: tuple[KeyedRecord, ...],
        fence: Fence | None = None,
    ) -> AppendOutcome:
        """Append records atomically.

        :param fence: conditions of the append, ``None`` for none.
        """
        fault = self._find_fault(records)
        if fault:
            return AppendRejected(fault, final=True)
        query = {
            'topic': _TOPIC_PREFIX + topic,
            'part': _PARTITION,
            **_fence_parameters(fence),
        }
        outcome = self._track_failures(
            await self._http_client.post(
                self._address,
                '/api/log-append',
                query,
                b''.join(map(_encode_record, records)),
                APPEND_TIMEOUT_S,
            )
        )
        if not isinstance(outcome, HttpResponse):
            return _failure_outcome(outcome)
        if outcome.status not in _APPEND_STATUSES:
            return _append_failure(outcome)
        return _try_decode(_decode_append, outcome)

    async def read(
        self, topic: str, from_offset: int, wait_ms: int
    ) -> ReadOutcome:
        """Read records.

        :param wait_ms: time for which the store may wait for a record, in ms.
        """
        query = {
            'topic': _TOPIC_PREFIX + topic,
            'part': _PARTITION,
            'from': str(from_offset),
        }
        if wait_ms:
            query['wait-ms'] = str(wait_ms)
        outcome = self._track_failures(
            await self._http_client.get(
                self._address,
                '/api/log-read',
                query,
                wait_ms / _MS_PER_S + READ_TIMEOUT_S,
            )
        )
        if not isinstance(outcome, HttpResponse):
            return _failure_outcome(outcome)
        match outcome.status:
            case HTTPStatus.OK:
                return _try_decode(
                    functools.partial(_decode_records, from_offset), outcome
                )
            case HTTPStatus.GONE:
                return _try_decode(_decode_expired, outcome)
            case _:
                return _status_outcome(outcome)

    async def read_newest(self, topic: str, after_key: str) -> NewestOutcome:
        """Read a page of the newest records, ordered by key.

        :param after_key: last key of the previous page, empty for the first.
        """
        query = {'topic': _TOPIC_PREFIX + topic, 'part': _PARTITION}
        if after_key:
            # For this endpoint, the key after which the page begins.
            query['depends-on'] = after_key
        outcome = self._track_failures(
            await self._http_client.get(
                self._address, '/api/log-newest', query, PAGE_TIMEOUT_S
            )
        )
        if not isinstance(outcome, HttpResponse):
            return _failure_outcome(outcome)
        if outcome.status != HTTPStatus.OK:
            return _status_outcome(outcome)
        return _try_decode(_decode_page, outcome)

    def _find_fault(self, records: tuple[KeyedRecord, ...]) -> str:
        """Find out why the store would never accept an append.

        :returns: the reason, empty if there is none.
        """
        keys = (record.key for record in records)
        key = next(itertools.filterfalse(_is_storable, keys), None)
        if key is not None:
            return f'key {key!r}: expected up to {MAX_KEY_BYTES} bytes of UTF-8'
        record_bytes, append_bytes = self.limits
        sizes = [record.size for record in records]
        longest = max(sizes, default=0)
        if longest > record_bytes:
            return f'{longest} bytes in a record, expected up to {record_bytes}'
        total = sum(sizes)
        if total > append_bytes:
            return f'{total} bytes in all, expected up to {append_bytes}'
        return ''

    def _track_failures(self, outcome: RequestOutcome) -> RequestOutcome:
        refused = (
            isinstance(outcome, HttpResponse)
            and outcome.status in _REFUSAL_STATUSES
        )
        failed = refused or not isinstance(outcome, HttpResponse)
        self._failures = self._failures + 1 if failed else 0
        return outcome


def _is_storable(key: str) -> bool:
    try:
        return len(key.encode()) <= MAX_KEY_BYTES
    except UnicodeEncodeError:
        return False


def _fence_parameters(fence: Fence | None) -> dict[str, str]:
    if fence is None:
        return {}
    query = {
        'producer': _PRODUCER,
        'epoch': str(fence.epoch),
        'seq': str(fence.sequence),
    }
    if fence.expected_end is not None:
        query['at'] = str(fence.expected_end)
    return query


def _encode_record(record: KeyedRecord) -> bytes:
    key = record.key.encode()
    body = bytes((len(key),)) + key + (record.payload or b'')
    return _RECORD_LENGTH.pack(len(body)) + body


def _try_decode(
    decoder: Callable[[HttpResponse], Outcome], response: HttpResponse
) -> Outcome | StoreOutcomeUnknown:
    try:
        return decoder(response)
    except (msgspec.MsgspecError, struct.error, ValueError) as error:
        return StoreOutcomeUnknown(f'response not decoded: {error}')


def _decode_append(response: HttpResponse) -> AppendOutcome:
    body = decode_json(_append_decoder, response.body)
    match response.status:
        case HTTPStatus.OK:
            return Appended(body.end)
        case HTTPStatus.PRECONDITION_FAILED:
            return AppendEndMismatch(body.end)
        case _ if body.reason == 'seq':
            return AppendOutOfOrder(body.seq)
        case _:
            return AppendFenced()


def _decode_page(response: HttpResponse) -> NewestPage:
    body = decode_json(_newest_decoder, response.body)
    records = tuple(
        StoredRecord(item.offset, item.key, base64.b64decode(item.value))
        for item in body.items
    )
    return NewestPage(records, body.has_more, body.end)


def _decode_expired(response: HttpResponse) -> RecordsExpired:
    return RecordsExpired(decode_json(_expired_decoder, response.body).first)


def _decode_records(from_offset: int, response: HttpResponse) -> RecordsRead:
    raw = response.body
    end, _ = _HEADER.unpack_from(raw)
    records: list[StoredRecord] = []
    position = _HEADER.size
    while position + _RECORD_LENGTH.size <= len(raw):
        length = _RECORD_LENGTH.unpack_from(raw, position)[0]
        position += _RECORD_LENGTH.size
        body = raw[position : position + length]
        position += length
        if len(body) < length:
            # Cut by the size limit of a read; the next one begins with it.
            break
        records.append(_decode_record(from_offset + len(records), body))
    return RecordsRead(tuple(records), from_offset + len(records), end)


def _decode_record(offset: int, body: bytes) -> StoredRecord:
    """Decode a record: length of the key, key, payload.

    Some topics have other writers, so a malformed record must not prevent the
    following ones from being read.

    :returns: the record; if it is empty, one that deletes the empty key; bytes
        of the key that are not UTF-8 are replaced.
    """
    key_end = 1 + body[0] if body else 0
    key = body[1:key_end].decode(errors='replace')
    return StoredRecord(offset, key, body[key_end:] or None)


def _append_failure(
    response: HttpResponse,
) -> AppendRejected | StoreRefused | StoreOutcomeUnknown:
    if response.status in _CONTENT_STATUSES:
        return AppendRejected(f'status {response.status}')
    return _status_outcome(response)


def _status_outcome(
    response: HttpResponse,
) -> StoreRefused | StoreOutcomeUnknown:
    reason = f'status {response.status}'
    if response.status in _REFUSAL_STATUSES:
        return StoreRefused(reason)
    return StoreOutcomeUnknown(reason)


def _failure_outcome(
    outcome: RequestOutcome,
) -> StoreRefused | StoreOutcomeUnknown:
    if isinstance(outcome, NotSent):
        return StoreRefused(outcome.reason)
    return StoreOutcomeUnknown(outcome.reason)
