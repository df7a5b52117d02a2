"""Steps for the log of a daemon's traffic."""

import logbook
from behave import given, then, when

from waxwingford.metrics import Metrics
from waxwingford.platform._traffic import Traffic
from waxwingford.scheduler._traffic_log import TrafficLog
from waxwingford.shard import CallTraffic, Observer

CALL = 'read'


@given('calls to the store of {sent:d} bytes sent and {received:d} received')
def make_call(context, sent, received):
    context.handler = logbook.TestHandler()
    context.handler.push_application()
    context.add_cleanup(context.handler.pop_application)
    context.sizes = sent, received
    context.traffic = Traffic()
    context.traffic.count(CALL, sent, received)
    context.metrics = Metrics()
    context.traffic_log = TrafficLog(
        lambda: context.traffic.by_call, Observer(context.metrics)
    )


@when('the traffic of an interval is reported')
@when('the traffic of another interval is reported')
def report(context):
    context.traffic_log.report()


@when('{calls:d} more calls to the store are made')
def make_more_calls(context, calls):
    for _ in range(calls):
        context.traffic.count(CALL, *context.sizes)


@then(
    'the last line tells {calls:d} calls, {sent:d} bytes sent and'
    ' {received:d} received'
)
def check_line(context, calls, sent, received):
    fields = context.handler.records[-1].extra
    assert fields['by_call'] == {CALL: CallTraffic(calls, sent, received)}
    assert (fields['sent_bytes'], fields['received_bytes']) == (sent, received)


@then('the metrics tell {sent:d} bytes sent')
def check_metrics(context, sent):
    line = f'waxwingford_sent_bytes_total{{call="{CALL}"}} {sent}'
    assert line in context.metrics.render().splitlines()
