"""Steps for the time line's feature."""

import itertools
import pathlib
import tempfile

from behave import given, then, when

from waxwingford.kernel import ManualClock
from waxwingford.timeline import (
    TimeLine,
    lease_bars,
    merge_events,
    place_events,
    render_picture,
)

START_MS = 1_000_000
RING = 64


@given(
    'a daemon "{first}" and a daemon "{second}" whose wall clock is'
    ' {behind:d} ms behind'
)
def two_daemons(context, first, second, behind):
    context.clock_by_name = {
        first: ManualClock(START_MS),
        second: ManualClock(START_MS - behind),
    }
    context.line_by_name = {
        name: TimeLine(name, 'x1', clock, RING)
        for name, clock in context.clock_by_name.items()
    }
    context.last_id = None


def note_chain(context, name, kind):
    for clock in context.clock_by_name.values():
        clock.advance(1)
    context.last_id = context.line_by_name[name].note(
        kind, 'request:r1', parent=context.last_id
    )


@when('"{first}" notes "{cause}" and "{second}" notes "{effect}" because of it')
def note_pair(context, first, cause, second, effect):
    note_chain(context, first, cause)
    note_chain(context, second, effect)


def all_events(context):
    return list(
        itertools.chain.from_iterable(
            line.since(0) for line in context.line_by_name.values()
        )
    )


@then('the merged order is "{kinds}"')
def merged_order(context, kinds):
    merged = merge_events(all_events(context))
    assert [event.kind for event in merged] == kinds.split(', ')


@then('places on the axis never go back')
def places_in_order(context):
    places = [
        spot.at_ms for spot in place_events(merge_events(all_events(context)))
    ]
    assert places == sorted(places), places


@when('"{name}" notes {count:d} events into its ring of 64')
def note_many(context, name, count):
    for index in range(count):
        context.line_by_name[name].note('tick', f'task:{index}')


@then('the merged time line of two readings has {count:d} events')
def merged_count(context, count):
    doubled = all_events(context) + all_events(context)
    assert len(merge_events(doubled)) == count


@when(
    '"{name}" acquires a lease, loses it {later:d} ms later and'
    ' acquires it again'
)
def lease_history(context, name, later):
    line = context.line_by_name[name]
    line.note('lease.acquired', 'server:s1')
    context.clock_by_name[name].advance(later)
    line.note('lease.lost', 'server:s1')
    line.note('lease.acquired', 'server:s1')


@then('there are {count:d} lease bars and a picture can be drawn')
def bars_and_picture(context, count):
    merged = merge_events(all_events(context))
    assert len(lease_bars(place_events(merged))) == count
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory, 'line.svg')
        render_picture(merged, str(path))
        assert '<svg' in path.read_text(encoding='utf-8')
