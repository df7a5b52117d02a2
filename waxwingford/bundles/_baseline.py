"""Finds the bundle in force at the head of the stream.

Reads backwards from the head in growing windows instead of the whole stream.
"""

import itertools
from collections.abc import Iterator, Mapping
from typing import NamedTuple

from waxwingford.bundles._chain import BundleChain
from waxwingford.bundles._record import (
    CONFIG_STREAM,
    BundleRecord,
    RejectedBundle,
    decode_record,
)
from waxwingford.bundles._signing import signature_fault
from waxwingford.bundles._verdicts import (
    FromBaseline,
    FromLog,
    InForce,
)
from waxwingford.ports import LogEntry, LogPort, LogRead, LogUnavailable

#: Entries in the first window; restatements are normally more frequent.
INITIAL_WINDOW_ENTRIES = 128

_WINDOW_GROWTH = 4
#: Limits the search for the predecessors of signed records that never took
#: force; without it every start would read all retained entries.
_MAX_WINDOW_ENTRIES = 2048
_READ_LIMIT = 256


class Window(NamedTuple):
    """Entries at the end of the stream.

    :ivar entries: all retained entries from ``start`` to the head.
    :ivar start: first offset that the window covers.
    :ivar next_offset: offset of the head, one above the last entry.
    :ivar oldest_offset: first offset that the log still retains.
    """

    entries: tuple[LogEntry, ...]
    start: int
    next_offset: int
    oldest_offset: int


class FoldResult(NamedTuple):
    """Result of folding a window.

    :ivar chain: chain after the last entry of the window.
    :ivar as_of: first offset that was folded into the chain.
    """

    chain: BundleChain
    as_of: int


class RecoveredChain(NamedTuple):
    """Chain at the head of the stream.

    :ivar chain: chain with the newest bundle that the retained entries prove
        to be in force; empty if they prove none.
    :ivar as_of: first offset that was folded into the chain.
    :ivar next_offset: offset of the head.
    :ivar from_start: whether the stream was read from its first entry, so
        that an empty chain means that no bundle was published.
    :ivar newest_signed: highest version that a retained record proves to be
        signed by every member, 0 for none; it need not be in force.
    """

    chain: BundleChain
    as_of: int
    next_offset: int
    from_start: bool
    newest_signed: int


def fold_window(window: Window, key_by_member: Mapping[str, str]) -> FoldResult:
    """Find the newest bundle that the window proves to be in force.

    A published record does not prove by itself that it was the first
    successor, and an old record can be appended again.  The fold therefore
    starts only at the start of the stream, or at the offset of a restatement
    if all entries from that offset on are in the window.  Of several
    restatements the one that leads to the newest version is used.

    :param key_by_member: pinned public keys, base64.
    :returns: chain at the head, empty if the window proves no bundle.
    """
    if window.start == 0:
        return _fold(BundleChain(key_by_member), window, 0)
    folds = [
        _fold_from(record, window, key_by_member)
        for record in _restatements(window)
    ]
    return max(
        folds,
        key=lambda folded: (folded.chain.version, -folded.as_of),
        default=FoldResult(BundleChain(key_by_member), window.start),
    )


def newest_signed_version(
    window: Window, key_by_member: Mapping[str, str]
) -> int:
    """Find the highest version that is signed by every member.

    :param key_by_member: pinned public keys, base64.
    :returns: version, 0 if no record of the window is signed by all.
    """
    newest_first = sorted(
        _records(window), key=lambda record: record.version, reverse=True
    )
    return next(
        (
            record.version
            for record in newest_first
            if not signature_fault(
                key_by_member, record.digest, record.signature_by_member
            )
        ),
        0,
    )


def is_signed_off(payload: bytes, key_by_member: Mapping[str, str]) -> bool:
    """Check the signatures of a record, regardless of its predecessor.

    :param payload: encoded record.
    :param key_by_member: pinned public keys, base64.
    :returns: whether the record is valid and signed by every member.
    """
    record = decode_record(payload)
    if isinstance(record, RejectedBundle):
        return False
    return not signature_fault(
        key_by_member, record.digest, record.signature_by_member
    )


async def recover_chain(
    log: LogPort, key_by_member: Mapping[str, str]
) -> RecoveredChain | LogUnavailable:
    """Read back from the head until the bundle in force is proved.

    :param key_by_member: pinned public keys, base64.
    :returns: chain at the head, or the error of a failed read.
    """
    probe = await log.read(CONFIG_STREAM, 0, 1)
    window_entries = INITIAL_WINDOW_ENTRIES
    while isinstance(probe, LogRead):
        window = await _read_window(
            log, max(probe.next_offset - window_entries, 0)
        )
        if isinstance(window, LogUnavailable):
            return window
        chain, as_of = fold_window(window, key_by_member)
        is_complete = window.start <= window.oldest_offset
        is_settled = chain.version and (
            window_entries >= _MAX_WINDOW_ENTRIES
            or newest_signed_version(window, key_by_member) <= chain.version
        )
        if is_complete or is_settled:
            from_start = window.start == 0
            return RecoveredChain(
                chain,
                as_of,
                window.next_offset,
                from_start,
                newest_signed_version(window, key_by_member),
            )
        window_entries *= _WINDOW_GROWTH
    return probe


async def _read_window(log: LogPort, start: int) -> Window | LogUnavailable:
    first = await log.read(CONFIG_STREAM, start, _READ_LIMIT)
    if isinstance(first, LogUnavailable):
        return first
    start = max(start, first.oldest_offset)
    entries = list(first.entries)
    block = first
    while block.entries and entries[-1].offset + 1 < block.next_offset:
        block = await log.read(
            CONFIG_STREAM, entries[-1].offset + 1, _READ_LIMIT
        )
        if isinstance(block, LogUnavailable):
            return block
        entries.extend(block.entries)
    # ``next_offset`` of the log may already count entries appended after the
    # last read.
    head = entries[-1].offset + 1 if entries else first.next_offset
    return Window(tuple(entries), start, head, first.oldest_offset)


def _records(window: Window) -> Iterator[BundleRecord]:
    decoded = (decode_record(entry.payload) for entry in window.entries)
    return (
        record for record in decoded if not isinstance(record, RejectedBundle)
    )


def _restatements(window: Window) -> Iterator[BundleRecord]:
    decoded = (
        (entry.offset, decode_record(entry.payload)) for entry in window.entries
    )
    valid = (
        record
        for offset, record in decoded
        if isinstance(record, BundleRecord)
        and record.body is not None
        and window.start <= _coverage_start(record) <= offset
    )
    # One restatement per digest is enough: the one with the lowest ``as_of``.
    groups = itertools.groupby(
        sorted(
            valid, key=lambda record: (record.digest, _coverage_start(record))
        ),
        key=lambda record: record.digest,
    )
    return (next(group) for _, group in groups)


def _coverage_start(record: BundleRecord) -> int:
    return -1 if record.as_of is None else record.as_of


def _fold_from(
    record: BundleRecord, window: Window, key_by_member: Mapping[str, str]
) -> FoldResult:
    chain = BundleChain(key_by_member)
    as_of = record.as_of or 0
    if isinstance(chain.offer(record, FromBaseline(as_of)), InForce):
        return _fold(chain, window, as_of)
    return FoldResult(chain, as_of)


def _fold(chain: BundleChain, window: Window, as_of: int) -> FoldResult:
    for entry in window.entries:
        if entry.offset >= as_of:
            chain.offer_payload(entry.payload, FromLog(entry.offset))
    return FoldResult(chain, as_of)
