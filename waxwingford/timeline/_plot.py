"""Plot of a timeline: one lane per process, leases as bars, faults marked."""

import itertools
from collections import defaultdict
from collections.abc import Iterator, Sequence
from typing import Any, NamedTuple

from waxwingford.timeline._events import Event
from waxwingford.timeline._merge import PlacedEvent, place_events

_MS_IN_S = 1000
_LANE_INCHES = 0.55
_WIDTH_INCHES = 14
_MARGIN_INCHES = 1.8
_BAR_HEIGHT = 0.6
_MAX_KINDS = 10
_BAR_FILL_FRACTION = 0.8
_LABEL_ROTATION_DEGREES = 90
#: Prefixes of event kinds that are drawn as faults.
FAULT_PREFIXES = (
    'fault.',
    'invariant.',
    'log.away',
    'log.gap',
    'control.unknown',
    'forward.lost',
)
#: Event kinds at which a lease bar starts and ends.
LEASE_START_KIND = 'lease.acquired'
LEASE_END_KINDS = frozenset(('lease.lost', 'lease.given_up'))


class LeaseBar(NamedTuple):
    """Interval in which a process held a control lease.

    :ivar process: holder as ``<daemon>#<incarnation>``.
    :ivar subject: leased backend server as ``server:ID``.
    :ivar from_ms: start on the common axis, in milliseconds.
    :ivar until_ms: end on the common axis, in milliseconds.
    """

    process: str
    subject: str
    from_ms: int
    until_ms: int


def lease_bars(placed: Sequence[PlacedEvent]) -> list[LeaseBar]:
    """Pair lease acquisitions with the ends of the leases.

    A lease without an end lasts to the last event.

    :param placed: events with positions on the common axis.
    :returns: bars in order of their end.
    """
    if not placed:
        return []
    start_by_lease: dict[tuple[str, str], int] = {}
    bars = []
    for event, at_ms in placed:
        lease = _process(event), event.subject
        if event.kind == LEASE_START_KIND:
            start_by_lease.setdefault(lease, at_ms)
        elif event.kind in LEASE_END_KINDS and lease in start_by_lease:
            bars.append(LeaseBar(*lease, start_by_lease.pop(lease), at_ms))
    last_ms = placed[-1].at_ms
    still_open = (
        LeaseBar(*lease, from_ms, last_ms)
        for lease, from_ms in start_by_lease.items()
    )
    return [*bars, *still_open]


def plot_timeline(merged: Sequence[Event], path: str) -> None:
    """Plot a merged timeline.

    :param merged: events in causal order.
    :param path: file to write; its extension selects the format, such as
        SVG or PNG.
    :raises ImportError: if the ``report`` extra is not installed.
    """
    from matplotlib.figure import Figure

    placed = place_events(merged)
    processes = sorted({_process(event) for event, _ in placed})
    lane_by_process = {name: lane for lane, name in enumerate(processes)}
    height = _MARGIN_INCHES + _LANE_INCHES * max(len(processes), 1)
    figure = Figure(figsize=(_WIDTH_INCHES, height), layout='constrained')
    axes = figure.add_subplot()
    _draw_leases(axes, lease_bars(placed), lane_by_process)
    _draw_events(axes, placed, lane_by_process)
    _draw_faults(axes, placed)
    axes.set_yticks(range(len(processes)), processes)
    axes.set_xlabel('seconds since the first event, adjusted to causal order')
    axes.set_title('waxwingford timeline (bars: control leases)')
    axes.legend(loc='upper left', bbox_to_anchor=(1, 1), fontsize='small')
    figure.savefig(path)


def _process(event: Event) -> str:
    return f'{event.event_id.daemon}#{event.event_id.incarnation}'


def _draw_leases(
    axes: Any, bars: Sequence[LeaseBar], lane_by_process: dict[str, int]
) -> None:
    leases_by_process: dict[str, list[LeaseBar]] = defaultdict(list)
    for lease in bars:
        leases_by_process[lease.process].append(lease)
    for process, process_leases in leases_by_process.items():
        subjects = sorted({lease.subject for lease in process_leases})
        thickness = _BAR_HEIGHT / len(subjects)
        bottom = lane_by_process[process] - _BAR_HEIGHT / 2
        for lease in process_leases:
            row = bottom + thickness * subjects.index(lease.subject)
            span = (lease.from_ms / _MS_IN_S, _length_s(lease))
            axes.broken_barh(
                [span],
                (row, thickness * _BAR_FILL_FRACTION),
                facecolors='#cfe0f3',
            )


def _length_s(lease: LeaseBar) -> float:
    return max(lease.until_ms - lease.from_ms, 1) / _MS_IN_S


def _draw_events(
    axes: Any, placed: Sequence[PlacedEvent], lane_by_process: dict[str, int]
) -> None:
    for kind, group in _by_kind(placed):
        axes.plot(
            [at_ms / _MS_IN_S for _, at_ms in group],
            [lane_by_process[_process(event)] for event, _ in group],
            linestyle='none',
            marker='o',
            markersize=4,
            label=kind,
        )


def _by_kind(
    placed: Sequence[PlacedEvent],
) -> Iterator[tuple[str, list[PlacedEvent]]]:
    events_by_kind: dict[str, list[PlacedEvent]] = defaultdict(list)
    for placed_event in placed:
        events_by_kind[placed_event.event.kind].append(placed_event)
    most_frequent = sorted(
        events_by_kind.items(), key=lambda pair: -len(pair[1])
    )
    return itertools.islice(
        (pair for pair in most_frequent if not _is_fault(pair[0])), _MAX_KINDS
    )


def _is_fault(kind: str) -> bool:
    return kind.startswith(FAULT_PREFIXES)


def _draw_faults(axes: Any, placed: Sequence[PlacedEvent]) -> None:
    for event, at_ms in placed:
        if _is_fault(event.kind):
            axes.axvline(at_ms / _MS_IN_S, color='#c0392b', linewidth=1)
            axes.annotate(
                f'{event.kind} {event.subject}',
                (at_ms / _MS_IN_S, 1),
                xycoords=('data', 'axes fraction'),
                rotation=_LABEL_ROTATION_DEGREES,
                fontsize='x-small',
                color='#c0392b',
                va='top',
            )
