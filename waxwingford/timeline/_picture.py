"""Picture of a time line: lanes by process, leases as bars, faults marked."""

import itertools
from collections import defaultdict
from collections.abc import Iterator, Sequence
from typing import Any, NamedTuple

from waxwingford.timeline._events import Event
from waxwingford.timeline._merge import Placed, place_events

_MS_IN_S = 1000
_LANE_INCHES = 0.55
_WIDTH_INCHES = 14
_MARGIN_INCHES = 1.8
_BAR_HEIGHT = 0.6
_MOST_KINDS = 10
_FILLED_SHARE = 0.8
_UPRIGHT_DEGREES = 90
#: Prefixes of event kinds that are drawn as faults.
FAULT_PREFIXES = (
    'fault.',
    'invariant.',
    'log.away',
    'log.gap',
    'control.unknown',
    'forward.lost',
)
#: Pairs of kinds that open and close a lease bar.
LEASE_OPENS = 'lease.acquired'
LEASE_CLOSES = frozenset(('lease.lost', 'lease.given_up'))


class LeaseBar(NamedTuple):
    """A time during which a process held a control lease.

    :ivar process: ``<daemon>#<incarnation>``.
    :ivar subject: the backend server.
    :ivar from_ms: start on the common axis, in milliseconds.
    :ivar until_ms: end on the common axis, in milliseconds.
    """

    process: str
    subject: str
    from_ms: int
    until_ms: int


def lease_bars(placed: Sequence[Placed]) -> list[LeaseBar]:
    """Pair acquisitions with losses; an open one lasts to the end.

    :param placed: events with places.
    :returns: bars in order of their end.
    """
    if not placed:
        return []
    opened: dict[tuple[str, str], int] = {}
    bars = []
    for event, at_ms in placed:
        lane = _process(event), event.subject
        if event.kind == LEASE_OPENS:
            opened.setdefault(lane, at_ms)
        elif event.kind in LEASE_CLOSES and lane in opened:
            bars.append(LeaseBar(*lane, opened.pop(lane), at_ms))
    last_ms = placed[-1].at_ms
    still_open = (
        LeaseBar(*lane, from_ms, last_ms) for lane, from_ms in opened.items()
    )
    return [*bars, *still_open]


def render_picture(merged: Sequence[Event], path: str) -> None:
    """Draw a merged time line.

    :param merged: events in causal order.
    :param path: file to write; its ending chooses SVG or PNG.
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
    axes.set_xlabel('seconds since the first event (causal order kept)')
    axes.set_title('waxwingford time line: bars are control leases')
    axes.legend(loc='upper left', bbox_to_anchor=(1, 1), fontsize='small')
    figure.savefig(path)


def _process(event: Event) -> str:
    return f'{event.event_id.daemon}#{event.event_id.incarnation}'


def _draw_leases(
    axes: Any, bars: Sequence[LeaseBar], lane_by_process: dict[str, int]
) -> None:
    by_process: dict[str, list[LeaseBar]] = defaultdict(list)
    for lease in bars:
        by_process[lease.process].append(lease)
    for process, own in by_process.items():
        subjects = sorted({lease.subject for lease in own})
        thickness = _BAR_HEIGHT / len(subjects)
        bottom = lane_by_process[process] - _BAR_HEIGHT / 2
        for lease in own:
            row = bottom + thickness * subjects.index(lease.subject)
            span = (lease.from_ms / _MS_IN_S, _length_s(lease))
            axes.broken_barh(
                [span], (row, thickness * _FILLED_SHARE), facecolors='#cfe0f3'
            )


def _length_s(lease: LeaseBar) -> float:
    return max(lease.until_ms - lease.from_ms, 1) / _MS_IN_S


def _draw_events(
    axes: Any, placed: Sequence[Placed], lane_by_process: dict[str, int]
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
    placed: Sequence[Placed],
) -> Iterator[tuple[str, list[Placed]]]:
    by_kind: dict[str, list[Placed]] = defaultdict(list)
    for spot in placed:
        by_kind[spot.event.kind].append(spot)
    commonest = sorted(by_kind.items(), key=lambda pair: -len(pair[1]))
    return itertools.islice(
        (pair for pair in commonest if not _is_fault(pair[0])), _MOST_KINDS
    )


def _is_fault(kind: str) -> bool:
    return kind.startswith(FAULT_PREFIXES)


def _draw_faults(axes: Any, placed: Sequence[Placed]) -> None:
    for event, at_ms in placed:
        if _is_fault(event.kind):
            axes.axvline(at_ms / _MS_IN_S, color='#c0392b', linewidth=1)
            axes.annotate(
                f'{event.kind} {event.subject}',
                (at_ms / _MS_IN_S, 1),
                xycoords=('data', 'axes fraction'),
                rotation=_UPRIGHT_DEGREES,
                fontsize='x-small',
                color='#c0392b',
                va='top',
            )
