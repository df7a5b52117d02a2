"""Steps for what arrives while a successor takes a shard over."""

import asyncio
from unittest import mock

import msgspec
from behave import then, when

from waxwingford.ports import Resources
from waxwingford.scheduling import Terms
from waxwingford.scheduling.tests.large_fleet_steps import CallCounter
from waxwingford.shard import NotAnswered
from waxwingford.shard._journal import JOURNAL_TOPIC
from waxwingford.shard.tests.owner_change_steps import wait_for_claim
from waxwingford.shard.tests.shard_steps import kill_owner
from waxwingford.shard.tests.virtual_shard import (
    QUEUE,
    TERMS,
    VirtualOwnerLink,
    step,
)

SETTLE_S = 0.2
START_S = 30
TICK_S = 0.02


def hold(read, reading, released):
    """Delay the reads of registrations until they are released."""

    async def _read():
        reading.set()
        await released.wait()
        return await read()

    return _read


@when('the owner is killed, and its successor waits for the registrations')
def hold_registrations(context):
    kill_owner(context)
    hold_successor(context)


def hold_successor(context):
    shard = context.shard
    reading = asyncio.Event()
    context.released = asyncio.Event()
    for daemon in shard.living():
        daemon.servers.entries = hold(
            daemon.servers.entries, reading, context.released
        )
    context.successor = wait_for_claim(shard)
    shard.run_until(reading.wait())
    assert not context.successor.owns


@when('{jobs:d} jobs of {tasks:d} small tasks run')
def run_small_tasks(context, jobs, tasks):
    small = msgspec.structs.replace(
        step(tasks, long_running=True), needs=Resources(1, 1, 0)
    )
    ids = [context.shard.submit((small,))[0] for _ in range(jobs)]
    context.shard.run(START_S)
    running = sum(len(context.shard.running(job_id)) for job_id in ids)
    assert running == jobs * tasks, running


@when('the owner is killed, and each turn of its successor is counted')
def count_turns(context):
    context.calls_of_turns = []
    counter = CallCounter()
    run_handle = asyncio.Handle._run

    def _run(handle):
        before = counter.calls
        run_handle(handle)
        context.calls_of_turns.append(counter.calls - before)

    with mock.patch.object(asyncio.Handle, '_run', _run), counter:
        hold_registrations(context)


@then(
    'that successor knows {runs:d} runs, and no turn took more than {most:d} calls'
)
def check_turns(context, runs, most):
    recovery = context.successor.member.owner._engine.recovery
    known = sum(map(len, recovery.orphans_by_server.values()))
    assert known == runs, known
    assert max(context.calls_of_turns) <= most, max(context.calls_of_turns)


@when('the registrations arrive')
def release_registrations(context):
    context.shard.call(context.released.set)
    context.shard.run(SETTLE_S)


@when('that successor is killed, and the next one waits for the registrations')
def kill_successor(context):
    context.shard.call(context.successor.kill)
    context.shard.call(context.released.set)
    hold_successor(context)


def configure(context, terms, daemons=None):
    context.terms = terms
    told = context.shard.living() if daemons is None else daemons
    context.shard.call(
        lambda: [daemon.member.configure(terms) for daemon in told]
    )


@when('a configuration moves the queue to another service')
def move_queue(context):
    queue = QUEUE._replace(service='other')
    configure(context, Terms(TERMS.version + 1, {queue.name: queue}))


@when('that successor alone reads that the queue moves to another service')
def move_queue_at_successor(context):
    queue = QUEUE._replace(service='other')
    terms = Terms(TERMS.version + 1, {queue.name: queue})
    configure(context, terms, (context.successor,))


@when('a configuration moves the queue back')
def move_queue_back(context):
    configure(context, TERMS._replace(version=TERMS.version + 2))


@when('a configuration removes the queue')
def remove_queue(context):
    configure(context, Terms(TERMS.version + 1, {}))


@when('the evacuation of all servers is {changes}')
def change_evacuation(context, changes):
    domains = frozenset(('domain',))
    for done in changes.split(', '):
        evacuated = domains if done == 'written' else frozenset()
        configure(context, TERMS._replace(evacuated_domains=evacuated))


def owner_state(context):
    owner = context.shard.owners[0].member.owner
    return owner._engine.state


@then('the owner uses that configuration')
def check_terms(context):
    assert owner_state(context).terms == context.terms


@then('nothing of the job was started')
def check_nothing_started(context):
    lines = [line for line in context.shard.lines if 'run.planned' in line]
    assert not any(context.jobs[-1] in line for line in lines), lines


@when('a job is submitted through that successor')
def submit_through_successor(context):
    job_id, _ = context.shard.submit((step(),), context.successor)
    context.jobs = [*getattr(context, 'jobs', ()), job_id]


@when('the job is cancelled through that successor')
def cancel_through_successor(context):
    context.shard.cancel(context.jobs[-1], context.successor)


@when('{count:d} servers are added')
def add_servers(context, count):
    context.shard.call(lambda: context.shard.servers.add(count))


@then('the owner polls all {count:d} servers')
def check_all_polled(context, count):
    servers = owner_state(context).server_by_id.values()
    polled = [server for server in servers if server.polled_ms >= 0]
    assert len(polled) == count, polled


@when('that successor resigns')
def resign_successor(context):
    context.shard.run_until(context.successor.member.resign())


@then('another daemon than that successor owns the shard')
def check_other_owns(context):
    assert context.shard.owners
    assert context.successor not in context.shard.owners


@then('that successor has polled no server')
def check_no_poll(context):
    assert not context.successor.servers.poll_count


@when('a job of one task is submitted')
def submit_one_task(context):
    context.jobs = [context.shard.submit((step(1),))[0]]


@when(
    'a standby without a link to the owner cancels it while its end is being'
    ' stored'
)
def cancel_while_ending(context):
    shard = context.shard
    job_id = context.jobs[-1]
    job = owner_state(context).job_by_id[job_id]
    while not shard.running(job_id):
        shard.run(TICK_S)
    # The next append, of the end, has no answer, and is repeated.
    shard.store.lost_appends_by_topic[JOURNAL_TOPIC] = [None]
    while job.ended is None:
        shard.run(TICK_S)
    context.standby = next(one for one in shard.living() if not one.owns)
    silent = mock.AsyncMock(return_value=NotAnswered('cut off'))
    with mock.patch.object(VirtualOwnerLink, 'phase', silent):
        shard.cancel(job_id, context.standby)
        context.phase = shard.phase(job_id, context.standby)


@then('that standby reports the job as {phase}')
def check_standby(context, phase):
    assert context.phase == phase, context.phase
