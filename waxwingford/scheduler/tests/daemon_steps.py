"""Steps for the life of a scheduler daemon, on a store that never answers."""

import asyncio

import logbook
from behave import given, then, when

from waxwingford.routing.tests.virtual_loop import VirtualLoop, end_loop
from waxwingford.scheduler._daemon import SchedulerDaemon
from waxwingford.scheduler.tests.logs_steps import check, template
from waxwingford.scheduling import Terms
from waxwingford.shard import scheduler_platforms

ADAPTER = 'waxwingford.scheduler.tests.daemon_steps'
TERMS = Terms(3, {})
READ_EVERY_S = 0.5


class SilentPlatform:
    """Nothing behind it; the test says what the daemon hears."""

    def __init__(self, address, advice_address):
        self.log = None
        self.runners = None


scheduler_platforms.register(ADAPTER)(SilentPlatform)


@given('a daemon that has read its configuration')
def a_daemon(context):
    template(context)
    text = context.toml.replace('waxwingford.platform', ADAPTER)
    context.loop = VirtualLoop()
    asyncio.set_event_loop(context.loop)
    context.add_cleanup(end_loop, context.loop)
    context.handler = logbook.TestHandler()
    context.handler.push_application()
    context.add_cleanup(context.handler.pop_application)
    context.daemon = SchedulerDaemon(check(text))
    hear(context)


def hear(context):
    async def _hear():
        context.daemon.apply_terms(TERMS)
        context.heard_s = context.loop.time()

    context.loop.run_until_complete(_hear())


def told(context, event):
    return [one for one in context.handler.records if one.message == event]


@when('the store has not answered for {span_s:d} s')
def silent(context, span_s):
    async def _silent():
        while context.loop.time() - context.heard_s < span_s:
            await asyncio.sleep(READ_EVERY_S)
            context.daemon.record_failed_read()

    context.loop.run_until_complete(_silent())


@when('the store answers with the same configuration')
def answers(context):
    hear(context)


@then('nothing is told of it')
def nothing_told(context):
    assert not told(context, 'store lost')


@then('"store lost" is told once, with the seconds since its last answer')
def lost_told(context):
    found = [one.extra['for_s'] for one in told(context, 'store lost')]
    assert found == [2], found


@then('"store regained" is told once, with the version in force')
def regained_told(context):
    found = [one.extra['version'] for one in told(context, 'store regained')]
    assert found == [TERMS.version], found


@then('the daemon isn\'t ready as "{reason}"')
def not_ready(context, reason):
    assert context.daemon.not_ready_reason() == reason, (
        context.daemon.not_ready_reason()
    )
