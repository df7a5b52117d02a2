"""Time line of events over all processes: ring, merge, text and picture."""

from waxwingford.timeline._events import Event, EventId, TimeLine
from waxwingford.timeline._from_logs import about, events_of_lines
from waxwingford.timeline._merge import (
    Placed,
    filter_events,
    merge_events,
    place_events,
    render_text,
)
from waxwingford.timeline._picture import LeaseBar, lease_bars, render_picture

__all__ = (
    'Event',
    'EventId',
    'LeaseBar',
    'Placed',
    'TimeLine',
    'about',
    'events_of_lines',
    'filter_events',
    'lease_bars',
    'merge_events',
    'place_events',
    'render_picture',
    'render_text',
)
