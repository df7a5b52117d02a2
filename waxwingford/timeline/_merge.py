"""Merge of the events of many daemons into one timeline in causal order."""

import itertools
import re
from collections import deque
from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple

from waxwingford.timeline._events import Event, EventId

#: Minimum distance of cause and effect on the common axis, in milliseconds.
_CAUSAL_STEP_MS = 1
#: An event waits for its cause until events of other processes are later by
#: this, in milliseconds. Exceeds the clock skew between VMs.
CAUSE_WAIT_LIMIT_MS = 8000


class PlacedEvent(NamedTuple):
    """An event with its position on the common time axis.

    :ivar at_ms: milliseconds since the first event; greater than that of its
        cause, if the cause precedes the event in the timeline.
    """

    event: Event
    at_ms: int


def merge_events(events: Iterable[Event]) -> list[Event]:
    """Order events causally, and concurrent events by wall time.

    Wall time alone is not enough: with clock skew between VMs a response can
    precede its request.

    :param events: events of all processes; duplicates are removed.
    """
    return list(_CausalMerge(events).events())


class _CausalMerge:
    """Merge of the event queues of all processes.

    Causes can form a cycle, since a request is logged with its response, after
    its effects.  An event therefore waits for its cause only for a limited
    time, ``CAUSE_WAIT_LIMIT_MS``.
    """

    def __init__(self, events: Iterable[Event]) -> None:
        event_by_id = {event.event_id: event for event in events}
        self._unmerged_ids = set(event_by_id)
        self._queues = [
            deque(group)
            for _, group in itertools.groupby(
                sorted(event_by_id.values(), key=_event_id), key=_process
            )
        ]

    def events(self) -> Iterator[Event]:
        """Iterate over the events in causal order.

        :yields: each event once.
        """
        while self._queues:
            queue = self._next_queue()
            event = queue.popleft()
            self._unmerged_ids.discard(event.event_id)
            if not queue:
                self._queues.remove(queue)
            yield event

    def _next_queue(self) -> deque[Event]:
        oldest_queue = min(self._queues, key=_head_sort_key)
        ready = (queue for queue in self._queues if self._is_ready(queue[0]))
        next_queue = min(ready, key=_head_sort_key, default=oldest_queue)
        waited_ms = next_queue[0].wall_ms - oldest_queue[0].wall_ms
        return oldest_queue if waited_ms > CAUSE_WAIT_LIMIT_MS else next_queue

    def _is_ready(self, event: Event) -> bool:
        return (
            event.parent not in self._unmerged_ids
            or event.parent == event.event_id
        )


def _event_id(event: Event) -> EventId:
    return event.event_id


def _process(event: Event) -> tuple[str, ...]:
    return event.event_id[:2]


def _head_sort_key(queue: deque[Event]) -> tuple[int, EventId]:
    return queue[0].wall_ms, queue[0].event_id


def place_events(merged: Sequence[Event]) -> list[PlacedEvent]:
    """Place merged events on a common time axis.

    :param merged: events in causal order.
    :returns: events with their positions, in the same order.
    """
    if not merged:
        return []
    start_ms = min(event.wall_ms for event in merged)
    at_by_id: dict[EventId, int] = {}
    last_by_process: dict[tuple[str, str], int] = {}
    placed = []
    for event in merged:
        process = event.event_id[:2]
        at_ms = max(
            event.wall_ms - start_ms,
            last_by_process.get(process, 0),
            at_by_id.get(event.parent, -_CAUSAL_STEP_MS) + _CAUSAL_STEP_MS,
        )
        at_by_id[event.event_id] = at_ms
        last_by_process[process] = at_ms
        placed.append(PlacedEvent(event, at_ms))
    return placed


def filter_events(
    events: Iterable[Event], subjects: frozenset[str]
) -> list[Event]:
    """Select the events of some subjects, and all faults.

    :param events: events in any order.
    :param subjects: subjects such as ``task:qadri.night/0``; empty selects
        all events.
    :returns: selected events in the same order.
    """
    if not subjects:
        return list(events)
    return [
        event
        for event in events
        if event.subject in subjects
        or event.kind.startswith('fault.')
        or any(_names(event.detail, subject) for subject in subjects)
    ]


def _names(detail: str, subject: str) -> bool:
    """Tell whether a detail names a subject, not one that contains its name."""
    found = rf'(?<![\w./-]){re.escape(subject)}(?![\w/-]|\.\w)'
    return re.search(found, detail) is not None


def render_text(merged: Sequence[Event]) -> str:
    """Format a timeline as text.

    :param merged: events in causal order.
    :returns: one line per event: milliseconds, process, kind, subject, detail.
    """
    return ''.join(
        f'{at_ms:>9} ms  {event.event_id.daemon}#'
        f'{event.event_id.incarnation}.{event.event_id.sequence:<6} '
        f'{event.kind:<22} {event.subject}  {event.detail}\n'
        for event, at_ms in place_events(merged)
    )
