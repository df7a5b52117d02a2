"""Merge of the rings of many daemons into one time line in causal order."""

import heapq
import itertools
from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple

from waxwingford.timeline._events import Event, EventId

#: Smallest step between cause and effect on the drawn axis, in milliseconds.
_CAUSAL_STEP_MS = 1


class Placed(NamedTuple):
    """An event with its place on the common axis.

    :ivar event: the event.
    :ivar at_ms: milliseconds since the first event; never before its causes.
    """

    event: Event
    at_ms: int


def _edges(events: Sequence[Event]) -> dict[EventId, list[EventId]]:
    """Find direct causes: earlier in the same process, or the parent.

    :param events: of all processes.
    :returns: causes by event.
    """
    known = {event.event_id for event in events}
    causes: dict[EventId, list[EventId]] = defaultdict(list)
    ordered = sorted(events, key=_event_id)
    for before, after in itertools.pairwise(ordered):
        if before.event_id[:2] == after.event_id[:2]:
            causes[after.event_id].append(before.event_id)
    for event in events:
        if event.parent in known and event.parent != event.event_id:
            causes[event.event_id].append(event.parent)
    return causes


def _event_id(event: Event) -> EventId:
    return event.event_id


def merge_events(events: Iterable[Event]) -> list[Event]:
    """Order events so that no event stands before its cause.

    Wall clocks of VMs disagree: by them alone an answer can stand before its
    question.  Causes go first; wall time only orders what is concurrent.

    :param events: of all processes, doubles allowed (rings read twice).
    :returns: events in causal order.
    """
    event_by_id = {event.event_id: event for event in events}
    order = _CausalOrder(event_by_id)
    return list(order.events())


class _CausalOrder:
    """Events that wait for their causes.

    A line may be written after its effect: that of a request comes with the
    answer.  Named causes can then form a circle, and whatever waits in it would
    never be shown.  Where nothing is ready, the oldest event goes next whose
    process has come to it.
    """

    def __init__(self, event_by_id: dict[EventId, Event]) -> None:
        self._event_by_id = event_by_id
        self._effects: dict[EventId, list[EventId]] = defaultdict(list)
        causes = _edges(list(event_by_id.values()))
        self._waits = {
            event_id: len(causes[event_id]) for event_id in event_by_id
        }
        for event_id, causing in causes.items():
            for cause in causing:
                self._effects[cause].append(event_id)
        self._ready = [
            self._entry(event_id)
            for event_id, count in self._waits.items()
            if not count
        ]
        heapq.heapify(self._ready)

    def events(self) -> Iterator[Event]:
        """Go through the events.

        :yields: all of them, causes first.
        """
        while self._waits:
            if not self._ready:
                self._ready.append(min(self._heads()))
            _, event_id = heapq.heappop(self._ready)
            self._waits.pop(event_id)
            yield self._event_by_id[event_id]
            for effect in self._effects[event_id]:
                self._release(effect)

    def _release(self, effect: EventId) -> None:
        count = self._waits.get(effect)
        if count is None:
            return
        self._waits[effect] = count - 1
        if count == 1:
            heapq.heappush(self._ready, self._entry(effect))

    def _heads(self) -> Iterator[tuple[int, EventId]]:
        first_by_process: dict[tuple[str, str], EventId] = {}
        for event_id in self._waits:
            process = event_id[:2]
            if event_id < first_by_process.setdefault(process, event_id):
                first_by_process[process] = event_id
        return map(self._entry, first_by_process.values())

    def _entry(self, event_id: EventId) -> tuple[int, EventId]:
        return self._event_by_id[event_id].wall_ms, event_id


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
