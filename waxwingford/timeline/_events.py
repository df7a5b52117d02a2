"""Events of the time line and the bounded ring that keeps them."""

import collections
import itertools
from collections.abc import Callable
from typing import NamedTuple

from waxwingford.kernel import Clock

#: Key of the event field that names what an event is about.
Subject = str


class EventId(NamedTuple):
    """Identity of an event over all processes.

    :ivar daemon: daemon id.
    :ivar incarnation: random at each start of the process.
    :ivar sequence: counts up within the incarnation.
    """

    daemon: str
    incarnation: str
    sequence: int


class Event(NamedTuple):
    """One thing that happened in one process.

    :ivar event_id: daemon, incarnation, sequence.
    :ivar monotonic_ms: time on the daemon's monotonic clock, milliseconds.
    :ivar wall_ms: time on the daemon's wall clock, milliseconds since epoch.
    :ivar kind: what happened, for example ``lease.acquired``.
    :ivar subject: what it is about: ``task:..``, ``request:..``,
        ``server:..``, ``bundle:..``, ``daemon:..``.
    :ivar detail: for people.
    :ivar parent: event in another process that caused it, if known.
    """

    event_id: EventId
    monotonic_ms: int
    wall_ms: int
    kind: str
    subject: str
    detail: str = ''
    parent: EventId | None = None


class TimeLine:
    """Bounded ring of a daemon's events; the oldest fall out, counted."""

    def __init__(
        self,
        daemon: str,
        incarnation: str,
        clock: Clock,
        capacity: int,
        on_event: Callable[[Event], None] | None = None,
    ) -> None:
        """Start an empty ring.

        :param daemon: daemon id.
        :param incarnation: of this process.
        :param clock: source of both times.
        :param capacity: events kept at most.
        :param on_event: hears of each event, to log it.
        """
        self._daemon = daemon
        self._incarnation = incarnation
        self._clock = clock
        self._on_event = on_event
        self._sequence = itertools.count(1)
        self._ring: collections.deque[Event] = collections.deque(
            maxlen=capacity
        )

    def note(
        self,
        kind: str,
        subject: Subject,
        detail: str = '',
        parent: EventId | None = None,
    ) -> EventId:
        """Add an event.

        :param kind: what happened.
        :param subject: what it is about.
        :param detail: for people.
        :param parent: cause in another process, if known.
        :returns: id to hand on as the parent of what follows elsewhere.
        """
        event_id = EventId(
            self._daemon, self._incarnation, next(self._sequence)
        )
        event = Event(
            event_id,
            self._clock.monotonic_ms(),
            self._clock.wall_ms(),
            kind,
            subject,
            detail,
            parent,
        )
        self._ring.append(event)
        if self._on_event is not None:
            self._on_event(event)
        return event_id

    def since(self, sequence: int) -> list[Event]:
        """Read events after a sequence number.

        :param sequence: last one already known, 0 for all.
        :returns: events in order.
        """
        return [
            event for event in self._ring if event.event_id.sequence > sequence
        ]
