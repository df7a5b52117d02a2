"""Steps for timelines of several daemons."""

import itertools
import pathlib
import tempfile

from behave import given, then, when

from waxwingford.kernel import ManualClock
from waxwingford.timeline import (
    Timeline,
    filter_events,
    lease_bars,
    merge_events,
    place_events,
    plot_timeline,
)

START_MS = 1_000_000
RING_CAPACITY = 64


@given(
    'a daemon "{first}" and a daemon "{second}" whose wall clock is'
    ' {lag_ms:d} ms behind'
)
def two_daemons(context, first, second, lag_ms):
    context.clock_by_name = {
        first: ManualClock(START_MS),
        second: ManualClock(START_MS - lag_ms),
    }
    context.timeline_by_name = {
        name: Timeline(name, 'x1', clock, RING_CAPACITY)
        for name, clock in context.clock_by_name.items()
    }
    context.last_id = None


def record_with_parent(context, name, kind):
    for clock in context.clock_by_name.values():
        clock.advance(1)
    context.last_id = context.timeline_by_name[name].note(
        kind, 'request:r1', parent=context.last_id
    )


@when(
    '"{first}" records "{cause}" and "{second}" records its effect "{effect}"'
)
def record_cause_and_effect(context, first, cause, second, effect):
    record_with_parent(context, first, cause)
    record_with_parent(context, second, effect)


def all_events(context):
    return list(
        itertools.chain.from_iterable(
            timeline.since(0) for timeline in context.timeline_by_name.values()
        )
    )


@then('the merged order is "{kinds}"')
def check_merged_order(context, kinds):
    merged = merge_events(all_events(context))
    assert [event.kind for event in merged] == kinds.split(', ')


@then('positions on the axis never decrease')
def check_offsets_do_not_decrease(context):
    offsets = [
        placed_event.at_ms
        for placed_event in place_events(merge_events(all_events(context)))
    ]
    assert offsets == sorted(offsets), offsets


@when('"{name}" records {count:d} events in a ring buffer of 64')
def record_many(context, name, count):
    for index in range(count):
        context.timeline_by_name[name].note('tick', f'task:{index}')


@then('the merged timeline of two reads has {count:d} events')
def check_merged_count(context, count):
    events_read_twice = all_events(context) + all_events(context)
    assert len(merge_events(events_read_twice)) == count


@when(
    '"{name}" acquires a lease, loses it {delay_ms:d} ms later and'
    ' acquires it again'
)
def record_lease_events(context, name, delay_ms):
    timeline = context.timeline_by_name[name]
    timeline.note('lease.acquired', 'server:s1')
    context.clock_by_name[name].advance(delay_ms)
    timeline.note('lease.lost', 'server:s1')
    timeline.note('lease.acquired', 'server:s1')


@then('there are {count:d} lease bars and the timeline can be plotted')
def check_bars_and_plot(context, count):
    merged = merge_events(all_events(context))
    assert len(lease_bars(place_events(merged))) == count
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory, 'line.svg')
        plot_timeline(merged, str(path))
        assert '<svg' in path.read_text(encoding='utf-8')


@given(
    'events of "{first}", "{second}" and a server whose detail names "{named}"'
)
def similar_subjects(context, first, second, named):
    line = Timeline('a', 'i1', ManualClock(START_MS), RING_CAPACITY)
    line.note('tick', first)
    line.note('tick', second)
    line.note('tick', 'server:s1', f'runs {second}, {second}/1')
    line.note('tick', 'server:s2', f'runs {named}, others')
    context.events = line.since(0)


@when('the events are filtered for "{subject}"')
def filter_for(context, subject):
    context.filtered = filter_events(context.events, frozenset((subject,)))


@then('the events of "{subject}" and of the server are left')
def check_filtered(context, subject):
    found = [event.subject for event in context.filtered]
    assert found == [subject, 'server:s2'], found
