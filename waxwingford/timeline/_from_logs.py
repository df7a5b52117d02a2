"""Events of the time line from log lines of scheduler daemons."""

import datetime
from collections.abc import Iterable, Iterator
from typing import Any

import msgspec

from waxwingford.timeline._events import Event, EventId

#: Fields of a line that every event has; the others are its detail.
_COMMON = frozenset(
    (
        'time',
        'daemon',
        'process',
        'sequence',
        'event',
        'subject',
        'part',
        'level',
    )
)
#: Events that concern all jobs: the owner, the store, the life of daemons.
_COMMON_EVENTS = (
    'owner.',
    'shard.',
    'claim.',
    'store ',
    'started',
    'stopping',
)
_MS_IN_S = 1000
_decoder = msgspec.json.Decoder(dict[str, Any])


def events_of_lines(lines: Iterable[str]) -> Iterator[Event]:
    """Read events; anything that isn't a log line is passed over.

    What follows in another process names its cause: a job that the owner took
    in comes after its submission, a run after the one before it, an epoch after
    the one before it.

    :param lines: of any daemons, in any order between daemons.
    :returns: events.
    """
    cause_by_key: dict[tuple[str, str, int], dict[str, Any]] = {}
    fields_of = [fields for line in lines if (fields := _fields(line))]
    for fields in fields_of:
        key = _effect_key(fields)
        if key is not None:
            cause_by_key[key] = fields
    for fields in fields_of:
        cause = cause_by_key.get(_cause_key(fields))
        if cause is None or _meanwhile(fields, cause):
            yield _event(fields, None)
        else:
            yield _event(fields, _event_id(cause))


def _meanwhile(fields: dict[str, Any], cause: dict[str, Any]) -> bool:
    """Tell whether something happened while its cause was still going on.

    The line of a request is written with its answer, often after what it led to:
    taken for earlier, it would hold up all that its process tells.

    :param fields: of a line.
    :param cause: fields of the line that it names as its cause.
    :returns: whether the cause's line is later, by no more than it took.
    """
    later_ms = _wall_ms(cause) - _wall_ms(fields)
    return 0 <= later_ms <= cause.get('took_ms', -1)


def about(events: Iterable[Event], job_id: str) -> list[Event]:
    """Keep what concerns a job.

    :param events: in any order.
    :param job_id: id of the job, or the name of a task of it.
    :returns: events of the job and its tasks, of the servers that these ran
        on, of the owner, the store and the daemons' lives.
    """
    kept = list(events)
    servers = {
        word.removeprefix('server=')
        for event in kept
        if event.subject.startswith(job_id)
        for word in event.detail.split()
        if word.startswith('server=')
    }
    return [
        event
        for event in kept
        if event.subject.startswith(job_id)
        or event.subject in servers
        or event.kind.startswith(_COMMON_EVENTS)
    ]


def _fields(line: str) -> dict[str, Any] | None:
    start = line.find('{')
    if start < 0:
        return None
    try:
        fields = _decoder.decode(line[start:])
    except msgspec.MsgspecError:
        return None
    return fields if 'event' in fields and 'sequence' in fields else None


def _event_id(fields: dict[str, Any]) -> EventId:
    return EventId(fields['daemon'], fields['process'], fields['sequence'])


def _effect_key(fields: dict[str, Any]) -> tuple[str, str, int] | None:
    match fields['event']:
        case 'request.submit':
            return ('job', fields['subject'], 0)
        case 'run.settled':
            return ('run', fields['subject'], fields['run'])
        case 'shard.claimed':
            return ('epoch', '', fields['epoch'])
        case _:
            return None


def _wall_ms(fields: dict[str, Any]) -> int:
    stamp = datetime.datetime.fromisoformat(fields['time'])
    utc = stamp.replace(tzinfo=datetime.UTC)
    return int(utc.timestamp() * _MS_IN_S)


def _cause_key(fields: dict[str, Any]) -> tuple[str, str, int] | None:
    match fields['event']:
        case 'job.known':
            return ('job', fields['subject'], 0)
        case 'run.planned':
            return ('run', fields['subject'], fields['run'] - 1)
        case 'shard.claimed':
            return ('epoch', '', fields['former_epoch'])
        case _:
            return None


def _event(fields: dict[str, Any], parent: EventId | None) -> Event:
    wall_ms = _wall_ms(fields)
    detail = ' '.join(
        f'{name}={value}'
        for name, value in fields.items()
        if name not in _COMMON
    )
    return Event(
        _event_id(fields),
        wall_ms,
        wall_ms,
        fields['event'],
        fields.get('subject', ''),
        detail,
        parent,
    )
