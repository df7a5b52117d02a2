"""Entries of the journal of plays, as far as verdicts need them."""

import pathlib
from collections.abc import Iterable

import msgspec


class EntryError(Exception):
    """An entry that can't be read; the text names the file and the key."""


class Play(msgspec.Struct, frozen=True, rename={'shortfalls': 'short'}):
    """One day that was played.

    :ivar rules: breaches by rule.
    :ivar fault: why the day doesn't count, ``None`` if it does.
    :ivar gate: whether the play met all that is asked for, ``None`` if that wasn't
        judged.
    :ivar shortfalls: what was served too little, one text each; ``None`` if that
        wasn't judged.
    """

    name: str
    rules: dict[str, int]
    shortfalls: tuple[str, ...] | None = None
    fault: str | None = None
    gate: bool | None = None


class Entry(
    msgspec.Struct,
    frozen=True,
    rename={
        'command': 'cmd',
        'times': 'at',
        'deployment': 'site',
        'commit': 'head',
        'modified': 'dirty',
        'plays': 'days',
    },
):
    """What one command of the bench recorded.

    :ivar times: begin and end, in UTC.
    :ivar deployment: name of the deployment, ``None`` if nothing was played.
    :ivar error: why there is no result, ``None`` if there is one.
    :ivar commit: commit that was played.
    :ivar modified: whether files differed from that commit.
    """

    id: str
    command: str
    times: tuple[str, str]
    commit: str
    modified: bool
    plays: tuple[Play, ...]
    deployment: str | None = None
    error: str | None = None
    why: str = ''


def read_entry(path: pathlib.Path) -> Entry:
    """Read an entry.

    :raises EntryError: if the file can't be read or lacks a field.
    """
    try:
        return msgspec.json.decode(path.read_bytes(), type=Entry)
    except OSError as error:
        raise EntryError(
            f'{path}: {error.strerror}, expected an entry of the journal'
        ) from error
    except msgspec.MsgspecError as error:
        raise EntryError(f'{path}: {error}') from error


def sort_entries(entries: Iterable[Entry]) -> list[Entry]:
    """Sort entries by the time at which they began."""
    return sorted(entries, key=lambda entry: (entry.times, entry.id))


__all__ = ('Entry', 'EntryError', 'Play', 'read_entry', 'sort_entries')
