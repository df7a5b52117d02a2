"""Steps for tasks that crash the servers of a shard."""

import functools

from behave import then, when

from waxwingford.ports import Resources
from waxwingford.scheduling import TaskKey
from waxwingford.shard import Stored
from waxwingford.shard.tests.crashing_tasks import crash_for_a_while
from waxwingford.shard.tests.shard_steps import (
    CALM_S,
    act,
    begin_faults,
    calm,
    kill_owner,
)
from waxwingford.shard.tests.virtual_shard import step

LOOK_S = 0.05
CRASHING_SHARE = 0.1
SHRINKING_SHARE = 0.1
SHRUNK_PART = 4


def submit_crashing(shard, count, daemon=None, job=None, **kind):
    """Submit a job whose first task crashes servers.

    :param shard: where.
    :param count: tasks of the job.
    :param daemon: through which one.
    :param job: more of the job.
    :param kind: more of its step.
    :returns: its id, and the outcome.
    """
    # Known before the task can start.
    job_id = f'{shard.job_count + 1:016x}'
    shard.servers.crashing.tasks.add(TaskKey(job_id, 0, 0, 0))
    return shard.submit((step(count, **kind),), daemon, **(job or {}))


def crashes_of(context):
    crashes = context.shard.servers.crashing.crashes
    return sum(
        count
        for task, count in crashes.items()
        if task.job_id == context.jobs[-1]
    )


@when(
    'a job of {count:d} tasks is submitted, of which the first crashes'
    ' each server'
)
def one_crashes(context, count):
    job_id, outcome = submit_crashing(context.shard, count)
    assert isinstance(outcome, Stored), outcome
    context.jobs.append(job_id)


@when('a {kind} job is submitted, of which the first task crashes each server')
def kind_crashes(context, kind):
    step_by_kind = {
        'gang': {'gang': True},
        'lasting': {'lasting': True},
        'repeated': {},
        'filling': {'fills': True, 'saves': True, 'image': 'batch'},
    }
    due = {'first_due_ms': 1, 'every_ms': 1, 'times': 3}
    job_id, outcome = submit_crashing(
        context.shard,
        3,
        job=due if kind == 'repeated' else None,
        **step_by_kind[kind],
    )
    assert isinstance(outcome, Stored), outcome
    context.jobs.append(job_id)


@when('{span_s:d} s pass, in which the owner is killed after each crash')
def kill_after_crashes(context, span_s):
    shard = context.shard
    until_s = shard.loop.time() + span_s
    seen = 0
    while shard.loop.time() < until_s:
        shard.run(LOOK_S)
        if crashes_of(context) > seen and shard.owners:
            seen = crashes_of(context)
            daemon = shard.owners[0]
            kill_owner(context)
            shard.loop.call_later(2, daemon.start)


@when(
    '{count:d} jobs of 2 steps come over {span_s:d} s,'
    ' and one whose first task crashes servers'
)
def among_sound(context, count, span_s):
    shard = context.shard
    context.sound = []
    crashing = None
    for number in range(count):
        job_id, outcome = shard.submit((step(3), step(2, after=(0,))))
        assert isinstance(outcome, Stored), outcome
        context.sound.append(job_id)
        if number == count // 3:
            crashing, _ = submit_crashing(shard, 2)
        shard.run(span_s / count)
    context.jobs.append(crashing)


@when(
    '{times:d} times a server of the lasting job crashes by itself,'
    ' {span_s:d} s apart'
)
def crash_in_turn(context, times, span_s):
    shard = context.shard
    for _ in range(times):
        shard.run(span_s)
        crash_of_job(context)


@when(
    'a shard with crashing tasks and shrinking servers is played for {span_s:d} s'
    ' under seed {seed:d}'
)
def play_crashing(context, span_s, seed):
    shard = begin_faults(context, seed)
    for server in list(shard.servers.server_by_id.values())[::2]:
        server.guards = False
    context.crashing = []
    while shard.loop.time() < span_s:
        if shard.random.random() < CRASHING_SHARE:
            daemon = shard.random.choice(shard.living())
            job_id, outcome = submit_crashing(shard, 3, daemon)
            if isinstance(outcome, Stored):
                context.crashing.append(job_id)
        if shard.random.random() < SHRINKING_SHARE:
            shrink_for_a_while(shard)
        act(context, shard)
        shard.run(shard.random.uniform(0.2, 1.5))
    calm(shard)
    shard.run(CALM_S)


def shrink_for_a_while(shard):
    server = shard.random.choice(list(shard.servers.server_by_id.values()))
    former = server.capacity
    less = Resources(*(have // SHRUNK_PART for have in former))
    shard.call(functools.partial(server.capacities.change, less))
    shard.loop.call_later(
        shard.random.uniform(1, 8), server.capacities.change, former
    )


@then('all jobs with a crashing task have failed')
def crashing_failed(context):
    phases = {
        job_id: context.shard.phase(job_id) for job_id in context.crashing
    }
    assert phases, 'no job with a crashing task was accepted'
    assert set(phases.values()) == {'failed'}, phases


@when('the server of the job crashes by itself')
def crash_of_job(context):
    server = server_of(context)
    context.shard.call(functools.partial(crash_for_a_while, server))


def server_of(context):
    names = context.shard.running(context.jobs[-1])
    return context.shard.servers.server_by_id[names[0]]


@then(
    'the server of the job is looked at at most {most:d} times in {span_s:d} s'
)
def looked_at(context, most, span_s):
    server = server_of(context)
    before = server.looks
    context.shard.run(span_s)
    assert 0 < server.looks - before <= most, server.looks - before


@then('at most {most:d} servers have crashed under it')
def crashed_at_most(context, most):
    assert 0 < crashes_of(context) <= most, (
        context.shard.servers.crashing.crashes
    )


@then('all sound jobs are completed')
def sound_completed(context):
    phases = {
        job_id: context.shard.phase(job_id)
        for job_id in context.sound
        if context.shard.phase(job_id) != 'completed'
    }
    assert context.sound
    assert not phases, phases
