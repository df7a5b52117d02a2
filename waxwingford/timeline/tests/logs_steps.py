"""Steps for histories that are made from log lines."""

import json

from behave import given, then, when

from waxwingford.timeline import about, events_of_lines, merge_events

JOB = '00000000000000aa'
TASK = f'{JOB}.0.0.0'


def line(daemon, sequence, second, event, **fields):
    text = json.dumps(
        {
            'time': f'2026-03-08T01:00:{second:06.3f}',
            'daemon': daemon,
            'process': 'p',
            'sequence': sequence,
            'event': event,
            **fields,
        }
    )
    return f'collected: {text}'


@given('log lines of three daemons whose clocks disagree')
def lines(context):
    context.lines = [
        line('entry', 1, 15, 'request.submit', subject=JOB, outcome='Stored()'),
        line('first', 1, 9, 'shard.claimed', epoch=1, former_epoch=0),
        line('first', 2, 10, 'job.known', subject=JOB),
        line('first', 3, 11, 'run.planned', subject=TASK, run=1, server='s1'),
        line('first', 4, 11, 'run.planned', subject='bb.0.0.0', run=1),
        line('first', 5, 12, 'server.silent', subject='s1', reason='late'),
        line('first', 6, 12, 'server.silent', subject='s2', reason='late'),
        line('first', 7, 14, 'run.settled', subject=TASK, run=1, how='absent'),
        line('second', 1, 8, 'shard.claimed', epoch=2, former_epoch=1),
        line('second', 2, 9, 'run.planned', subject=TASK, run=2, server='s3'),
        'no log line {',
    ]


@given('log lines of an owner that answers after it has taken the job in')
def answered_late(context):
    context.lines = [
        line('first', 1, 10, 'job.known', subject=JOB),
        line('first', 2, 11, 'request.submit', subject=JOB, outcome='Stored()'),
        line('first', 3, 12, 'run.planned', subject=TASK, run=1, server='s1'),
        line('first', 4, 14, 'run.settled', subject=TASK, run=1, how='done'),
    ]


@given('log lines of a submission that took 900 ms, answered after a run')
def slow_answer(context):
    context.lines = [
        line('entry', 1, 10.9, 'request.submit', subject=JOB, took_ms=900),
        line('first', 1, 10.1, 'job.known', subject=JOB),
        line('first', 2, 10.2, 'run.planned', subject=TASK, run=1, server='s1'),
        line('first', 3, 10.8, 'run.settled', subject=TASK, run=1, how='done'),
    ]


@when('the history of the job is made')
def history(context):
    merged = merge_events(events_of_lines(context.lines))
    context.history = about(merged, JOB)


@then('the events stand in the order')
def in_order(context):
    found = [event.kind for event in context.history]
    wanted = [row['event'] for row in context.table]
    assert sorted(found) == sorted(wanted), found
    places = [
        found.index('request.submit') < found.index('job.known'),
        found.index('run.settled') < len(found) - 1,
        found[-1] == 'run.planned',
    ]
    assert all(places), found


@then('nothing of another job stands in it')
def nothing_else(context):
    subjects = {event.subject for event in context.history}
    assert subjects <= {JOB, TASK, 's1', ''}, subjects


@then('the events are, in this order')
def exactly(context):
    found = [event.kind for event in context.history]
    assert found == [row['event'] for row in context.table], found
