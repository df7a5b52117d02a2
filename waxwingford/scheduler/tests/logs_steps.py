"""Steps for log lines and the rendered settings of the scheduler daemon."""

import json
import os
import pathlib
import re
import tempfile
from unittest import mock

import logbook
from behave import given, then, when

from waxwingford.scheduler import _logs
from waxwingford.settings import (
    Logging,
    SchedulerSettings,
    load_scheduler_settings,
)

ROOT = pathlib.Path(__file__).resolve().parents[3]
FIGURE_BY_NAME = {
    'node': 'front-1',
    'zone': 'gulberg',
    'region': 'lahore',
    'ip': '10.1.0.13',
    'listen.front': '10.1.0.13:8161',
    'listen.ready': '10.1.0.13:8167',
    'internal-ports.0': '7720',
    'platform.address': '10.200.1.7:8169',
    'advice': '10.200.1.9:8169',
    'bounds.max-hold-ms': '6000',
    'bounds.grace-s': '6',
    'limits.cpu-share': '0.717',
    'limits.cores': '3',
}
READ_BYTES = 1 << 20
# A pipe holds 64 KiB; what waits in the process is four times that.
READS = 8
log = logbook.Logger('test')


@given('a log that writes into a pipe')
def a_log(context):
    reader, writer = os.pipe()
    context.add_cleanup(os.close, reader)
    context.add_cleanup(os.close, writer)
    os.set_blocking(reader, False)
    context.reader = reader
    context.rest = b''
    context.clock = mock.patch.object(_logs.time, 'monotonic')
    context.now = context.clock.start()
    context.now.return_value = 100
    context.add_cleanup(context.clock.stop)
    context.handler = _logs.make_log_handler(Logging(), 'd1', writer)
    context.handler.push_application()
    context.add_cleanup(context.handler.pop_application)


def read_lines(context):
    raw = b''
    while True:
        try:
            part = os.read(context.reader, READ_BYTES)
        except BlockingIOError:
            break
        raw += part
    # A pipe that is full takes part of a line; the rest comes later.
    rows = (context.rest + raw).split(b'\n')
    context.rest = rows.pop()
    return [json.loads(row) for row in rows]


@when('{count:d} lines are written and nobody reads')
def nobody_reads(context, count):
    for number in range(count):
        log.info('store lost', extra={'number': number})
    context.written = count


@then('all of them were taken without waiting')
def taken(context):
    # A write that waits would not have come back: nobody reads the pipe.
    assert context.written


@when('the pipe is read and a line is written')
def read_and_write(context):
    context.lines = read_lines(context)
    context.now.return_value += 1
    for _ in range(READS):
        log.info('store regained')
        context.lines += read_lines(context)


@then('a summary says how many lines were dropped')
def dropped(context):
    found = [row for row in context.lines if row['event'] == 'log.summarised']
    assert sum(row['dropped'] for row in found) > 0, len(context.lines)


@when('{count:d} events "{event}" and one "{rare}" come in one second')
def flood(context, count, event, rare):
    context.lines = []
    for _ in range(count):
        log.info(event)
        context.lines += read_lines(context)
    log.info(rare)
    context.lines += read_lines(context)


@then('no more than {most:d} lines are written')
def bounded(context, most):
    assert len(context.lines) <= most, len(context.lines)


@then('the line "{event}" is among them')
def among(context, event):
    assert context.lines[-1]['event'] == event


@when('a second has passed and a line is written')
def second_passed(context):
    context.now.return_value += 1
    log.info('store lost')
    context.lines = read_lines(context)


@then('a summary counts the other events "{event}"')
def summary(context, event):
    counts = context.lines[0]['count_by_event']
    assert counts[event] == 2000 - _logs.MAX_LINES_PER_S, counts


@given('the template of the settings, filled in')
def template(context):
    text = (ROOT / 'deploy' / 'scheduler.toml').read_text()
    text = re.sub(r'\{\{[#/]\S+\}\}', '', text)
    context.toml = re.sub(
        r'\{\{(\S+?)\}\}', lambda found: FIGURE_BY_NAME[found[1]], text
    )


def check(text):
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory) / 'settings.toml'
        path.write_text(text)
        return load_scheduler_settings(path)


@then('the command that checks settings accepts it')
def accepted(context):
    found = check(context.toml)
    assert isinstance(found, SchedulerSettings), found


@when('its store is not an address')
def wrong_store(context):
    context.toml = context.toml.replace('10.200.1.7:8169', 'store')


@when('its VM has no processor')
def no_processor(context):
    context.toml = context.toml.replace('0.717', '0')


@then('the command that checks settings names "{key}"')
def named(context, key):
    problems = check(context.toml).problems
    assert key in {problem.key for problem in problems}, problems
