"""Conversion of log lines of scheduler daemons into timeline events."""

import collections
import datetime
import re
from collections.abc import Iterable, Iterator
from typing import Any

import msgspec

from waxwingford.timeline._events import Event, EventId

#: Fields common to all log lines; other fields go into the event's detail.
_COMMON_FIELDS = frozenset(
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
#: Prefixes of event kinds that concern all jobs: ownership of the shard,
#: the store, start and stop of daemons.
_GLOBAL_EVENT_PREFIXES = (
    'owner.',
    'shard.',
    'claim.',
    'store ',
    'started',
    'stopping',
)
#: Fields in which the daemon of the request path names a subject, by its type.
_SUBJECT_TYPES = ('job', 'task', 'request', 'server')
#: Characters that follow a job id in the ids of its tasks.
_TASK_SEPARATORS = './'
#: Server in a detail, as a field of the line or of one of the losses that it lists.
_NAMED_SERVER = re.compile(r"(?<!\w)server(?:=|': ')([^\s',]+)")
_NAMED_RECORD = re.compile(r'(?<!\w)record=(\S+)')
_MS_IN_S = 1000
_decoder = msgspec.json.Decoder(dict[str, Any])


def parse_log_events(lines: Iterable[str]) -> Iterator[Event]:
    """Parse log lines into events, skipping lines that are not log entries.

    Causes in other processes become parents: a job known to the owner has its
    submission as parent, a run the previous run of the task, and a claim of
    the shard that of the previous epoch.

    :param lines: log lines of any number of daemons.
    :returns: events in the order of the lines.
    """
    cause_by_key: dict[tuple[str, str, int], dict[str, Any]] = {}
    entries = [fields for line in lines if (fields := parse_fields(line))]
    _number(entries)
    for fields in entries:
        key = _effect_key(fields)
        if key is not None:
            cause_by_key[key] = fields
    for fields in entries:
        cause = cause_by_key.get(_cause_key(fields))
        if cause is None or _is_cause_in_progress(fields, cause):
            yield _make_event(fields, None)
        else:
            yield _make_event(fields, _event_id(cause))


def _number(entries: list[dict[str, Any]]) -> None:
    """Number the lines that have no number, by process."""
    count_by_process: collections.Counter[str] = collections.Counter()
    for fields in entries:
        if not fields['sequence']:
            count_by_process[fields['process']] += 1
            fields['sequence'] = count_by_process[fields['process']]


def _is_cause_in_progress(
    fields: dict[str, Any], cause: dict[str, Any]
) -> bool:
    """Tell whether an event happened while its cause was in progress.

    A request is logged when it is answered, often after its effects.  Ordering
    these after it would delay all later events of their process.

    :param fields: fields of the effect's log line.
    :param cause: fields of the cause's log line.
    :returns: whether the cause was logged later than the effect, by no more
        than its duration.
    """
    delay_ms = logged_ms(cause) - logged_ms(fields)
    return 0 <= delay_ms <= cause.get('took_ms', -1)


def select_job_events(events: Iterable[Event], job_id: str) -> list[Event]:
    """Select the events that concern a job.

    :param events: events in any order.
    :param job_id: id of a job, or of one of its tasks.
    :returns: events of the job, its tasks and records, of the backend servers on
        which tasks ran, of the shard's ownership, the store, and starts and stops of
        daemons; in the same order.
    """
    all_events = list(events)
    concerned = [event for event in all_events if concerns(event, job_id)]
    server_ids = {
        server_id
        for event in concerned
        for server_id in _NAMED_SERVER.findall(event.detail)
    }
    return [
        event
        for event in all_events
        if concerns(event, job_id)
        or event.subject in server_ids
        or event.kind.startswith(_GLOBAL_EVENT_PREFIXES)
    ]


def concerns(event: Event, job_id: str) -> bool:
    """Tell whether an event is one of a job, of its tasks or of their records.

    :param job_id: id of a job, or of one of its tasks.
    """
    names = (event.subject, *_NAMED_RECORD.findall(event.detail))
    return any(_belongs(name, job_id) for name in names)


def _belongs(name: str, job_id: str) -> bool:
    """Tell whether a name is that of a job, or of one of its tasks or records.

    :param name: subject of an event, or key of a record, which may have a prefix
        that ends with a slash.
    """
    if not name.startswith(job_id):
        name = name.partition('/')[2]
    rest = name.removeprefix(job_id)
    return name.startswith(job_id) and (not rest or rest[0] in _TASK_SEPARATORS)


def parse_fields(line: str) -> dict[str, Any] | None:
    """Parse a log line.

    :returns: its fields, ``None`` for a line that is no log entry.
    """
    start = line.find('{')
    if start < 0:
        return None
    try:
        fields = _decoder.decode(line[start:])
    except msgspec.MsgspecError:
        return None
    if 'incarnation' in fields:
        return _from_request_path(fields)
    return fields if 'event' in fields and 'sequence' in fields else None


def _from_request_path(fields: dict[str, Any]) -> dict[str, Any] | None:
    """Complete a line of the daemon of the request path.

    It names the subject by its type, and its process by an incarnation; the
    lines of an incarnation are in order.
    """
    if 'event' not in fields or 'daemon' not in fields:
        return None
    subjects = (fields[name] for name in _SUBJECT_TYPES if name in fields)
    return {
        **fields,
        'process': fields['incarnation'],
        'subject': next(subjects, ''),
        'sequence': 0,
    }


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


def logged_ms(fields: dict[str, Any]) -> int:
    """Return the Unix time of a log line, in ms.

    :param fields: fields that ``parse_fields`` returned.
    """
    timestamp = datetime.datetime.fromisoformat(fields['time'])
    utc = timestamp.replace(tzinfo=datetime.UTC)
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


def _make_event(fields: dict[str, Any], parent: EventId | None) -> Event:
    wall_ms = logged_ms(fields)
    detail = ' '.join(
        f'{name}={value}'
        for name, value in fields.items()
        if name not in _COMMON_FIELDS
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
