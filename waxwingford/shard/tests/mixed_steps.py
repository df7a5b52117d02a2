"""Steps for a shard that runs jobs of all kinds under injected faults."""

from behave import then, when

from waxwingford.shard import Stored
from waxwingford.shard._peers import JobNotKnown
from waxwingford.shard.tests.shard_steps import (
    RECOVERY_S,
    start_faulty_shard,
    stop_faults,
    take_random_action,
)
from waxwingford.shard.tests.virtual_shard import step

LONG_RUNNING_TASKS = 2


@when(
    'a shard with jobs of all kinds is simulated for {span_s:d} s'
    ' with seed {seed:d}'
)
def simulate_mixed(context, span_s, seed):
    shard = start_faulty_shard(context, seed)
    context.long_running = []
    context.cancelled = []
    context.denied_jobs = []
    shard.store.max_records_per_read = 20
    while shard.loop.time() < span_s:
        take_mixed_action(context, shard)
        shard.run(shard.random.uniform(0.1, 1))
    stop_faults(shard)
    shard.run(RECOVERY_S)


def take_mixed_action(context, shard):
    kind = shard.random.choices(
        ('repeated', 'gang', 'long_running', 'cancel', 'hang', 'ask', 'others'),
        (10, 10, 5, 5, 5, 10, 55),
    )[0]
    daemon = shard.random.choice(shard.living())
    match kind:
        case 'repeated':
            steps = (step(3), step(2, after=(0,)))
            schedule = {'first_due_ms': 1, 'every_ms': 1, 'times': 3}
            submit(shard, daemon, context.jobs, steps, **schedule)
        case 'gang':
            steps = (step(3, gang=True), step(1, after=(0,)))
            submit(shard, daemon, context.jobs, steps)
        case 'long_running':
            steps = (step(LONG_RUNNING_TASKS, long_running=True),)
            submit(shard, daemon, context.long_running, steps)
        case 'cancel' if context.long_running:
            cancel(context, daemon)
        case 'hang':
            hang_server(shard)
        case 'ask' if context.jobs:
            query_phase(context, daemon)
        case _:
            take_random_action(context, shard)


def submit(shard, daemon, jobs, steps, **more):
    job_id, outcome = shard.submit(steps, daemon, **more)
    if isinstance(outcome, Stored):
        jobs.append(job_id)


def cancel(context, daemon):
    shard = context.shard
    job_id = context.long_running.pop(0)
    if isinstance(shard.cancel(job_id, daemon), Stored):
        context.cancelled.append(job_id)
    else:
        # The cancellation was not acknowledged, so its tasks may go on or not.
        shard.servers.cancelled_at_s_by_job.pop(job_id)


def hang_server(shard):
    servers = list(shard.servers.server_by_id.values())
    server = shard.random.choice(servers)
    server.hangs = True
    span_s = shard.random.uniform(1, 6)
    shard.loop.call_later(span_s, setattr, server, 'hangs', False)


def query_phase(context, daemon):
    job_id = context.shard.random.choice(context.jobs)
    answer = context.shard.phase(job_id, daemon)
    if isinstance(answer, JobNotKnown):
        context.denied_jobs.append((daemon.daemon_id, job_id))


@then('all long-running tasks are running, except those of cancelled jobs')
def check_lasting_tasks(context):
    counts = {
        job_id: len(context.shard.running(job_id))
        for job_id in context.long_running + context.cancelled
    }
    expected = dict.fromkeys(context.long_running, LONG_RUNNING_TASKS)
    expected |= dict.fromkeys(context.cancelled, 0)
    assert counts == expected, (counts, expected)
    phases = {context.shard.phase(job_id) for job_id in context.cancelled}
    assert phases <= {'cancelled'}, phases


@then('no stored job was reported as unknown')
def check_no_denied_jobs(context):
    assert not context.denied_jobs, context.denied_jobs
