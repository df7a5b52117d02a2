"""Timeline of events of all processes: recording, merging and rendering."""

from waxwingford.timeline._events import Event, EventId, Timeline
from waxwingford.timeline._from_logs import (
    concerns,
    parse_log_events,
    select_job_events,
)
from waxwingford.timeline._job_sizes import (
    JobOutcome,
    SizeGroup,
    group_by_size,
    read_outcomes,
)
from waxwingford.timeline._merge import (
    PlacedEvent,
    filter_events,
    merge_events,
    place_events,
    render_text,
)
from waxwingford.timeline._plot import LeaseBar, lease_bars, plot_timeline

__all__ = (
    'Event',
    'EventId',
    'JobOutcome',
    'LeaseBar',
    'PlacedEvent',
    'SizeGroup',
    'Timeline',
    'select_job_events',
    'parse_log_events',
    'concerns',
    'filter_events',
    'group_by_size',
    'lease_bars',
    'merge_events',
    'place_events',
    'plot_timeline',
    'read_outcomes',
    'render_text',
)
