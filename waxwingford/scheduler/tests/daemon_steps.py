"""Steps for a scheduler daemon that loses its store."""

import asyncio
from unittest import mock

import logbook
from behave import given, then, when

from waxwingford.routing.tests.virtual_loop import VirtualLoop, end_loop
from waxwingford.scheduler._daemon import SchedulerDaemon
from waxwingford.scheduler.tests.logs_steps import (
    load_settings,
    render_settings,
)
from waxwingford.scheduling import Terms
from waxwingford.shard import scheduler_platforms

ADAPTER = 'waxwingford.scheduler.tests.daemon_steps'
TERMS = Terms(3, {})
READ_INTERVAL_S = 0.5


class FakePlatform:
    """Platform without ports; the steps call the daemon's callbacks."""

    def __init__(self, address, advice_address):
        self.log = None
        self.backend_client = None
        self.traffic_by_call = {}


scheduler_platforms.register(ADAPTER)(FakePlatform)


@given('a daemon that has read its configuration')
def create_daemon(context):
    render_settings(context)
    text = context.toml.replace('waxwingford.platform', ADAPTER)
    context.loop = VirtualLoop()
    asyncio.set_event_loop(context.loop)
    context.add_cleanup(end_loop, context.loop)
    context.handler = logbook.TestHandler()
    context.handler.push_application()
    context.add_cleanup(context.handler.pop_application)
    context.daemon = SchedulerDaemon(load_settings(text))
    apply_configuration(context)


def apply_configuration(context, terms=TERMS):
    async def _apply():
        context.daemon.apply_terms(terms)
        context.applied_s = context.loop.time()

    context.loop.run_until_complete(_apply())


def records_of_event(context, event):
    return [
        record for record in context.handler.records if record.message == event
    ]


@when('the store has not responded for {span_s:d} s')
def fail_reads(context, span_s):
    async def _fail_reads():
        while context.loop.time() - context.applied_s < span_s:
            await asyncio.sleep(READ_INTERVAL_S)
            context.daemon.record_failed_read()

    context.loop.run_until_complete(_fail_reads())


@when('the store returns the same configuration')
def read_again(context):
    apply_configuration(context)


@when('it reads versions 5, 4, 6 and 5 in turn')
def read_versions(context):
    member = context.daemon._member
    with mock.patch.object(member, 'configure', wraps=member.configure) as told:
        for version in (5, 4, 6, 5):
            apply_configuration(context, Terms(version, {}))
    context.applied = [call.args[0].version for call in told.call_args_list]


@then('it has applied versions 5 and 6 in turn')
def check_applied_versions(context):
    assert context.applied == [5, 6], context.applied


@then('no loss of the store is logged')
def check_nothing_logged(context):
    assert not records_of_event(context, 'store lost')


@then('"store lost" is logged once, with the seconds since the last read')
def check_store_lost(context):
    logged = [
        record.extra['for_s']
        for record in records_of_event(context, 'store lost')
    ]
    assert logged == [2], logged


@then('"store regained" is logged once, with the configuration version')
def check_store_regained(context):
    logged = [
        record.extra['version']
        for record in records_of_event(context, 'store regained')
    ]
    assert logged == [TERMS.version], logged


@then('the daemon is not ready because of "{reason}"')
def check_not_ready(context, reason):
    assert context.daemon.not_ready_reason() == reason, (
        context.daemon.not_ready_reason()
    )
