"""Steps for a shard that runs jobs of all kinds while everything fails."""

from behave import then, when

from waxwingford.shard import Stored
from waxwingford.shard._peers import JobNotKnown
from waxwingford.shard.tests.shard_steps import (
    CALM_S,
    act,
    begin_faults,
    calm,
)
from waxwingford.shard.tests.virtual_shard import step

LASTING_TASKS = 2


@when(
    'a shard with jobs of all kinds is played for {span_s:d} s'
    ' under seed {seed:d}'
)
def play_mixed(context, span_s, seed):
    shard = begin_faults(context, seed)
    context.lasting = []
    context.cancelled = []
    context.denied = []
    shard.store.most_read = 20
    while shard.loop.time() < span_s:
        act_mixed(context, shard)
        shard.run(shard.random.uniform(0.1, 1))
    calm(shard)
    shard.run(CALM_S)


def act_mixed(context, shard):
    kind = shard.random.choices(
        ('repeated', 'gang', 'lasting', 'cancel', 'hang', 'ask', 'others'),
        (10, 10, 5, 5, 5, 10, 55),
    )[0]
    daemon = shard.random.choice(shard.living())
    match kind:
        case 'repeated':
            steps = (step(3), step(2, after=(0,)))
            due = {'first_due_ms': 1, 'every_ms': 1, 'times': 3}
            submit(shard, daemon, context.jobs, steps, **due)
        case 'gang':
            steps = (step(3, gang=True), step(1, after=(0,)))
            submit(shard, daemon, context.jobs, steps)
        case 'lasting':
            steps = (step(LASTING_TASKS, lasting=True),)
            submit(shard, daemon, context.lasting, steps)
        case 'cancel' if context.lasting:
            cancel(context, daemon)
        case 'hang':
            hang(shard)
        case 'ask' if context.jobs:
            ask(context, daemon)
        case _:
            act(context, shard)


def submit(shard, daemon, jobs, steps, **more):
    job_id, outcome = shard.submit(steps, daemon, **more)
    if isinstance(outcome, Stored):
        jobs.append(job_id)


def cancel(context, daemon):
    shard = context.shard
    job_id = context.lasting.pop(0)
    if isinstance(shard.cancel(job_id, daemon), Stored):
        context.cancelled.append(job_id)
    else:
        # Its tasks may go on or not: nobody was told that it is cancelled.
        shard.servers.cancelled_s_by_job.pop(job_id)


def hang(shard):
    servers = list(shard.servers.server_by_id.values())
    server = shard.random.choice(servers)
    server.hangs = True
    span_s = shard.random.uniform(1, 6)
    shard.loop.call_later(span_s, setattr, server, 'hangs', False)


def ask(context, daemon):
    job_id = context.shard.random.choice(context.jobs)
    answer = context.shard.phase(job_id, daemon)
    if isinstance(answer, JobNotKnown):
        context.denied.append((daemon.daemon_id, job_id))


@then('all lasting tasks run, but for those of cancelled jobs')
def lasting_run(context):
    counts = {
        job_id: len(context.shard.running(job_id))
        for job_id in context.lasting + context.cancelled
    }
    wanted = dict.fromkeys(context.lasting, LASTING_TASKS)
    wanted |= dict.fromkeys(context.cancelled, 0)
    assert counts == wanted, (counts, wanted)
    phases = {context.shard.phase(job_id) for job_id in context.cancelled}
    assert phases <= {'cancelled'}, phases


@then('no job was denied')
def none_denied(context):
    assert not context.denied, context.denied
