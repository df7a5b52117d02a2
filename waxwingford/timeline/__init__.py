"""Timeline of events of all processes: recording, merging and rendering."""

from waxwingford.timeline._events import Event, EventId, TimeLine
from waxwingford.timeline._from_logs import about, events_of_lines
from waxwingford.timeline._merge import (
    PlacedEvent,
    filter_events,
    merge_events,
    place_events,
    render_text,
)
from waxwingford.timeline._plot import LeaseBar, lease_bars, render_picture

__all__ = (
    'Event',
    'EventId',
    'LeaseBar',
    'PlacedEvent',
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
