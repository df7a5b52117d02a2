"""Reads and writes snapshots through the port of the log."""

import sys

from waxwingford.ports import Appended, LogPort, LogRead, LogUnavailable
from waxwingford.records import (
    DomainState,
    SnapshotAssembler,
    encode_snapshot,
)

#: Offset past any head; a read from it returns the head and no entries.
_PAST_HEAD_OFFSET = sys.maxsize
#: Entries in the first window before the head that is searched.
_FIRST_WINDOW = 8
_WINDOW_GROWTH = 4
_READ_ENTRIES = 32


async def load_newest_snapshot(
    log: LogPort, stream: str
) -> DomainState | LogUnavailable | None:
    """Find the newest complete snapshot, searching back from the head.

    :param stream: name of the snapshot stream.
    :returns: its state; None if there is none; or that the log is unavailable.
    """
    head = await log.read(stream, _PAST_HEAD_OFFSET, 1)
    if isinstance(head, LogUnavailable):
        return head
    assembler = SnapshotAssembler()
    end = head.next_offset
    window = _FIRST_WINDOW
    while end > head.oldest_offset and assembler.newest is None:
        start = max(head.oldest_offset, end - window)
        window *= _WINDOW_GROWTH
        lost = await _read_window(log, stream, (start, end), assembler)
        if lost is not None:
            return lost
        end = start
    return assembler.newest


async def _read_window(
    log: LogPort,
    stream: str,
    window: tuple[int, int],
    assembler: SnapshotAssembler,
) -> LogUnavailable | None:
    offset, end = window
    while offset < end:
        limit = min(_READ_ENTRIES, end - offset)
        outcome = await log.read(stream, offset, limit)
        match outcome:
            case LogUnavailable():
                return outcome
            case LogRead(entries=()):
                return None
            case LogRead(entries=entries):
                for entry in entries:
                    assembler.add(entry.payload)
                offset = entries[-1].offset + 1
    return None


async def write_snapshot(log: LogPort, stream: str, state: DomainState) -> str:
    """Write a snapshot of a state in chunks.

    :param stream: name of the snapshot stream.
    :param state: the state; it may change while the chunks are appended.
    :returns: why the write failed; empty if all chunks were appended.
    """
    for chunk in encode_snapshot(state, state.next_offset):
        outcome = await log.append(stream, chunk)
        if not isinstance(outcome, Appended):
            return outcome.reason
    return ''
