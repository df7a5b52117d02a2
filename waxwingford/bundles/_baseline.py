"""Finds what is in force at the head of the stream without reading it all."""

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

#: Entries read back at first; daemons say again what is in force more often.
FIRST_SPAN = 128

_SPAN_GROWTH = 4
#: Signed records that never took force are not chased further back: every
#: start would read all that the log retains for as long as it retains them.
_MOST_SPAN = 2048
_READ_LIMIT = 256


class Window(NamedTuple):
    """The end of the stream.

    :ivar entries: all entries from ``start`` to the head.
    :ivar start: first offset that is covered.
    :ivar next_offset: the head.
    :ivar oldest_offset: first offset still retained.
    """

    entries: tuple[LogEntry, ...]
    start: int
    next_offset: int
    oldest_offset: int


class Folded(NamedTuple):
    """A chain at the head.

    :ivar chain: the chain.
    :ivar as_of: offset from which it was folded.
    """

    chain: BundleChain
    as_of: int


class Located(NamedTuple):
    """What the end of the stream shows.

    :ivar chain: with the newest bundle at the head; empty if none is proved.
    :ivar as_of: offset from which the chain was folded.
    :ivar next_offset: the head.
    :ivar from_start: whether the stream was read from its first entry, so
        that an empty chain means that nothing was published.
    """

    chain: BundleChain
    as_of: int
    next_offset: int
    from_start: bool


def fold_window(window: Window, key_by_member: Mapping[str, str]) -> Folded:
    """Find the newest bundle that the window proves to be in force.

    A published record does not prove by itself that it won its race, and an
    old one can be appended again.  So the fold starts only where a daemon
    said what was in force at an offset, with all entries since then in the
    window (or at the start of the stream); of several such places the one
    that leads to the newest version counts.

    :param window: end of the stream.
    :param key_by_member: pinned public keys.
    :returns: the chain at the head.
    """
    if window.start == 0:
        return _fold(BundleChain(key_by_member), window, 0)
    folds = [
        _fold_from(record, window, key_by_member)
        for record in _statements(window)
    ]
    return max(
        folds,
        key=lambda folded: (folded.chain.version, -folded.as_of),
        default=Folded(BundleChain(key_by_member), window.start),
    )


def hides_newer(
    window: Window, key_by_member: Mapping[str, str], version: int
) -> bool:
    """Check for signed versions that the fold did not reach.

    :param window: end of the stream.
    :param key_by_member: pinned public keys.
    :param version: that the fold reached.
    :returns: whether to read further back.
    """
    return any(
        not signature_fault(
            key_by_member, record.digest, record.signature_by_member
        )
        for record in _records(window)
        if record.version > version
    )


def is_signed_off(payload: bytes, key_by_member: Mapping[str, str]) -> bool:
    """Check the sign-off of a record, whatever its place in the chain.

    :param payload: a record.
    :param key_by_member: pinned public keys.
    :returns: whether every member signed it.
    """
    record = decode_record(payload)
    if isinstance(record, RejectedBundle):
        return False
    return not signature_fault(
        key_by_member, record.digest, record.signature_by_member
    )


async def locate(
    log: LogPort, key_by_member: Mapping[str, str]
) -> Located | LogUnavailable:
    """Read back from the head until what is in force is proved.

    :param log: the platform's log.
    :param key_by_member: pinned public keys.
    :returns: what is in force at the head.
    """
    probe = await log.read(CONFIG_STREAM, 0, 1)
    span = FIRST_SPAN
    while isinstance(probe, LogRead):
        window = await _read_window(log, max(probe.next_offset - span, 0))
        if isinstance(window, LogUnavailable):
            return window
        chain, as_of = fold_window(window, key_by_member)
        whole = window.start <= window.oldest_offset
        settled = chain.version and (
            span >= _MOST_SPAN
            or not hides_newer(window, key_by_member, chain.version)
        )
        if whole or settled:
            from_start = window.start == 0
            return Located(chain, as_of, window.next_offset, from_start)
        span *= _SPAN_GROWTH
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
    # Not the log's word for the head: an entry may come between two reads.
    head = entries[-1].offset + 1 if entries else first.next_offset
    return Window(tuple(entries), start, head, first.oldest_offset)


def _records(window: Window) -> Iterator[BundleRecord]:
    decoded = (decode_record(entry.payload) for entry in window.entries)
    return (
        record for record in decoded if not isinstance(record, RejectedBundle)
    )


def _statements(window: Window) -> Iterator[BundleRecord]:
    decoded = (
        (entry.offset, decode_record(entry.payload)) for entry in window.entries
    )
    sound = (
        record
        for offset, record in decoded
        if isinstance(record, BundleRecord)
        and record.body is not None
        and window.start <= _covered(record) <= offset
    )
    # One of each digest is enough: the one that covers least.
    groups = itertools.groupby(
        sorted(sound, key=lambda record: (record.digest, _covered(record))),
        key=lambda record: record.digest,
    )
    return (next(same) for _, same in groups)


def _covered(record: BundleRecord) -> int:
    return -1 if record.as_of is None else record.as_of


def _fold_from(
    record: BundleRecord, window: Window, key_by_member: Mapping[str, str]
) -> Folded:
    chain = BundleChain(key_by_member)
    as_of = record.as_of or 0
    if isinstance(chain.offer(record, FromBaseline(as_of)), InForce):
        return _fold(chain, window, as_of)
    return Folded(chain, as_of)


def _fold(chain: BundleChain, window: Window, as_of: int) -> Folded:
    for entry in window.entries:
        if entry.offset >= as_of:
            chain.offer_payload(entry.payload, FromLog(entry.offset))
    return Folded(chain, as_of)
