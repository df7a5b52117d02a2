"""Merge of the rings of many daemons into one time line in causal order."""

import itertools
from collections import deque
from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple

from waxwingford.timeline._events import Event, EventId

#: Smallest step between cause and effect on the drawn axis, in milliseconds.
_CAUSAL_STEP_MS = 1
#: How much later than an event others may be before it no longer waits for its
#: cause, in milliseconds: more than the clocks of VMs are ever apart.
PATIENCE_MS = 8000


class Placed(NamedTuple):
    """An event with its place on the common axis.

    :ivar event: the event.
    :ivar at_ms: milliseconds since the first event; never before its causes.
    """

    event: Event
    at_ms: int


def merge_events(events: Iterable[Event]) -> list[Event]:
    """Order events so that no event stands before its cause.

    Wall clocks of VMs disagree: by them alone an answer can stand before its
    question.  Causes go first; wall time only orders what is concurrent.

    :param events: of all processes, doubles allowed (rings read twice).
    :returns: events in causal order.
    """
    return list(_CausalOrder(events).events())


class _CausalOrder:
    """Events that wait for the cause that they name.

    A line may be written after its effect: that of a request comes with the
    answer.  Causes can then form a circle, and whatever waits in it would never
    be shown, or after all others.  So an event waits for its cause only while
    others are not much later than it.
    """

    def __init__(self, events: Iterable[Event]) -> None:
        event_by_id = {event.event_id: event for event in events}
        self._left = set(event_by_id)
        self._queues = [
            deque(group)
            for _, group in itertools.groupby(
                sorted(event_by_id.values(), key=_event_id), key=_process
            )
        ]

    def events(self) -> Iterator[Event]:
        """Go through the events.

        :yields: all of them, causes first.
        """
        while self._queues:
            queue = self._next()
            event = queue.popleft()
            self._left.discard(event.event_id)
            if not queue:
                self._queues.remove(queue)
            yield event

    def _next(self) -> deque[Event]:
        """Choose the process whose event comes next.

        :returns: its events.
        """
        oldest = min(self._queues, key=_head_order)
        free = (queue for queue in self._queues if self._is_free(queue[0]))
        first = min(free, key=_head_order, default=oldest)
        waited_ms = first[0].wall_ms - oldest[0].wall_ms
        return oldest if waited_ms > PATIENCE_MS else first

    def _is_free(self, event: Event) -> bool:
        return event.parent not in self._left or event.parent == event.event_id


def _event_id(event: Event) -> EventId:
    return event.event_id


def _process(event: Event) -> tuple[str, ...]:
    return event.event_id[:2]


def _head_order(queue: deque[Event]) -> tuple[int, EventId]:
    return queue[0].wall_ms, queue[0].event_id


def place_events(merged: Sequence[Event]) -> list[Placed]:
    """Give events of a merged time line places on one axis.

    :param merged: in causal order.
    :returns: events with milliseconds since the first.
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
        placed.append(Placed(event, at_ms))
    return placed


def filter_events(
    events: Iterable[Event], subjects: frozenset[str]
) -> list[Event]:
    """Keep events about some subjects, and faults, which concern all.

    :param events: any events.
    :param subjects: for example ``task:qadri.night/0``; empty keeps all.
    :returns: events in the same order.
    """
    if not subjects:
        return list(events)
    return [
        event
        for event in events
        if event.subject in subjects
        or event.kind.startswith('fault.')
        or any(subject in event.detail for subject in subjects)
    ]


def render_text(merged: Sequence[Event]) -> str:
    """Write a time line for people.

    :param merged: in causal order.
    :returns: one line an event: milliseconds, process, kind, subject, detail.
    """
    return ''.join(
        f'{at_ms:>9} ms  {event.event_id.daemon}#'
        f'{event.event_id.incarnation}.{event.event_id.sequence:<6} '
        f'{event.kind:<22} {event.subject}  {event.detail}\n'
        for event, at_ms in place_events(merged)
    )
