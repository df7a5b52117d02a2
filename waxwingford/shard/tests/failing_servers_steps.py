"""Steps for servers that fail or refuse all starts."""

import functools

from behave import then, when

from waxwingford.scheduling import EndKind
from waxwingford.shard.tests.shard_steps import kill_owner, submit
from waxwingford.shard.tests.virtual_shard import QUEUE, step

MEMBERS = 3
#: Time for which a failed run, or the next owner, is waited for, in seconds.
WAIT_S = 10
ASK_INTERVAL_S = 0.2
#: Age that the count of waiting jobs may have, in seconds.
COUNT_AGE_S = 2


def gang():
    return step(MEMBERS, gang=True, max_per_server=1)


def failed_runs(context):
    return {
        end.run.run
        for server in context.shard.servers.server_by_id.values()
        for end in server.ends
        if end.kind is EndKind.failed
        and end.run.task.job_id == context.jobs[-1]
    }


def has_failed(context, count):
    return len(failed_runs(context)) >= count


def has_owner(context):
    return bool(context.shard.owners)


def run_until(context, reached):
    shard = context.shard
    until_s = shard.loop.time() + WAIT_S
    while not reached() and shard.loop.time() < until_s:
        shard.run(0.01)
    assert reached()


@when('the {count:d} servers that a gang would use fail all that they start')
def fail_chosen(context, count):
    shard = context.shard
    submit(context, (gang(),))
    shard.run(0.2)
    chosen = shard.running(context.jobs[-1])
    assert len(chosen) == count, chosen
    shard.run(2)
    assert shard.phase(context.jobs[-1]) == 'completed'
    for server_id in chosen:
        shard.servers.server_by_id[server_id].fails = True


@when('a gang of 3 tasks with 1 on each server is submitted')
def submit_gang(context):
    submit(context, (gang(),))


@when('the owner is killed {kills:d} times, each time right after a failed run')
def kill_after_failed_runs(context, kills):
    for kill in range(kills):
        run_until(context, functools.partial(has_failed, context, kill + 1))
        kill_owner(context)
        run_until(context, functools.partial(has_owner, context))


@then('its gang has failed in {count:d} run')
def check_failed_runs(context, count):
    assert len(failed_runs(context)) == count, failed_runs(context)


@when('all servers {behaviour} starts')
def set_refusal(context, behaviour):
    for server in context.shard.servers.server_by_id.values():
        server.refuses = behaviour == 'refuse'


@when('3 jobs of 1 task are submitted')
def submit_jobs(context):
    for _ in range(3):
        submit(context, (step(1),))
    context.shard.run(COUNT_AGE_S)


@when(
    'the owner is killed {kills:d} times, {apart_s:d} s apart, while all daemons'
    ' are asked'
)
def kill_and_ask(context, kills, apart_s):
    context.answers = []
    for _ in range(kills):
        kill_owner(context)
        ask_all(context, apart_s)
    ask_all(context, apart_s)


def ask_all(context, span_s):
    shard = context.shard
    until_s = shard.loop.time() + span_s
    while shard.loop.time() < until_s:
        for daemon in shard.living():
            count = shard.run_until(daemon.frontend.pending(QUEUE.name))
            phases = {shard.phase(job_id, daemon) for job_id in context.jobs}
            context.answers.append((daemon.daemon_id, count, phases))
        shard.run(ASK_INTERVAL_S)


@then('each answer gave {count:d} jobs that wait, and showed them as queued')
def check_answers(context, count):
    assert context.answers
    wrong = [one for one in context.answers if one[1:] != (count, {'queued'})]
    assert not wrong, wrong[:5]
