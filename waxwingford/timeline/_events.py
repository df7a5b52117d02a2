"""Timeline events and the ring buffer that holds the newest ones."""

import collections
import itertools
from collections.abc import Callable
from typing import NamedTuple

from waxwingford.kernel import Clock

#: Subject of an event as ``TYPE:ID``, for example ``task:qadri.night/0``.
Subject = str


class EventId(NamedTuple):
    """Identity of an event, unique over all processes.

    :ivar daemon: daemon id.
    :ivar incarnation: random id of one run of the process.
    :ivar sequence: sequence number within the incarnation, from 1.
    """

    daemon: str
    incarnation: str
    sequence: int


class Event(NamedTuple):
    """Event in one process.

    :ivar monotonic_ms: time on the daemon's monotonic clock, in milliseconds.
    :ivar wall_ms: time on the daemon's wall clock, in milliseconds since the
        epoch.
    :ivar kind: kind of event, for example ``lease.acquired``.
    :ivar subject: affected object: ``task:..``, ``request:..``,
        ``server:..``, ``bundle:..``, ``daemon:..``.
    :ivar detail: human-readable description.
    :ivar parent: event in another process that caused it, if known.
    """

    event_id: EventId
    monotonic_ms: int
    wall_ms: int
    kind: str
    subject: str
    detail: str = ''
    parent: EventId | None = None


class Timeline:
    """Ring buffer of a daemon's events, which drops the oldest when full."""

    def __init__(
        self,
        daemon: str,
        incarnation: str,
        clock: Clock,
        capacity: int,
        on_event: Callable[[Event], None] | None = None,
    ) -> None:
        """Create an empty ring buffer.

        :param daemon: daemon id.
        :param incarnation: random id of this run of the process.
        :param clock: source of monotonic and wall time.
        :param capacity: maximum number of events kept.
        :param on_event: callback for each recorded event.
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
        """Record an event.

        :param parent: event in another process that caused it, if known.
        :returns: id of the event, for use as the parent of its effects in
            other processes.
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
        """Return the buffered events after a sequence number.

        :param sequence: last sequence number already read, 0 for all.
        :returns: events in the order of their sequence numbers.
        """
        return [
            event for event in self._ring if event.event_id.sequence > sequence
        ]
