"""Steps for cancellations of jobs that aren't known, or not yet."""

import asyncio
import itertools

from behave import then, when

from waxwingford.shard import CancelNotKnown, MayBeStored, NotStored, Stored
from waxwingford.shard._intake import CANCEL_PREFIX, INTAKE_TOPIC
from waxwingford.shard.tests.cleaning_steps import owner_of
from waxwingford.shard.tests.virtual_shard import step

#: Appends of a job that are lost at most.
LOST_APPENDS = 50
DEADLINE_S = 3
MAX_ATTEMPTS = 10


def attempt(shard, daemon, job_id):
    """Cancel a job once."""
    deadline_s = shard.loop.time() + DEADLINE_S
    return shard.run_until(daemon.frontend.cancel(job_id, deadline_s))


def acknowledged(outcome):
    return isinstance(outcome, Stored | CancelNotKnown)


def lose_appends(shard, late_s):
    """Lose the next appends to the intake.

    :param late_s: time in seconds after which each is applied, ``None`` for never.
    """
    losses = list(itertools.repeat(late_s, LOST_APPENDS))
    shard.store.lost_appends_by_topic[INTAKE_TOPIC] = losses


def restart(shard, daemons):
    for daemon in daemons:
        shard.call(daemon.kill)
    for daemon in daemons:
        shard.call(daemon.start)
    shard.run(0.1)


@when(
    'the store is to carry out the appends of a job {late_s:g} s late, unanswered'
)
def lose_job_appends(context, late_s):
    context.applied_s = context.shard.loop.time() + late_s + DEADLINE_S
    lose_appends(context.shard, late_s)


@when(
    'the job is submitted through a standby, and its caller leaves after'
    ' {left_s:g} s'
)
def submit_and_leave(context, left_s):
    shard = context.shard
    owner = shard.owners[0]
    standbys = [daemon for daemon in shard.daemons if daemon is not owner]
    context.daemon_by_name = {
        'that standby': standbys[0],
        'another standby': standbys[1],
        'the owner': owner,
    }
    spec = shard.new_spec((step(2), step(1, after=(0,))))
    context.spec = spec
    context.jobs.append(spec.job_id)

    async def _submit():
        deadline_s = shard.loop.time() + DEADLINE_S
        submission = standbys[0].frontend.submit(spec, deadline_s)
        task = asyncio.ensure_future(submission)
        await asyncio.wait({task}, timeout=left_s)
        if task.done():
            assert not isinstance(task.result(), Stored | NotStored), task
        task.cancel()

    shard.run_until(_submit())


@when('that standby is started anew')
def restart_standby(context):
    restart(context.shard, [context.daemon_by_name['that standby']])


@when('all daemons are started anew')
def restart_all(context):
    restart(context.shard, context.shard.daemons)


@when('the job is cancelled through {name} until that is acknowledged')
def cancel_until_acknowledged(context, name):
    shard = context.shard
    shard.store.lost_appends_by_topic[INTAKE_TOPIC] = []
    for _ in range(MAX_ATTEMPTS):
        known = getattr(context, 'daemon_by_name', {})
        daemon = known.get(name) or shard.owners[0]
        if acknowledged(attempt(shard, daemon, context.jobs[-1])):
            return
        shard.run(0.2)
    raise AssertionError('not acknowledged')


@when('its late appends are carried out')
def wait_for_late_appends(context):
    left_s = context.applied_s - context.shard.loop.time()
    context.shard.run(max(0, left_s) + 1)


@when('a job that was never submitted is cancelled through each daemon')
def cancel_unknown(context):
    shard = context.shard
    context.spec = shard.new_spec((step(2),))
    context.jobs.append(context.spec.job_id)
    for daemon in shard.daemons:
        outcome = attempt(shard, daemon, context.spec.job_id)
        assert isinstance(outcome, CancelNotKnown), outcome


@when('the job is submitted through each daemon')
def submit_through_each(context):
    shard = context.shard
    for daemon in shard.daemons:
        deadline_s = shard.loop.time() + DEADLINE_S
        shard.run_until(daemon.frontend.submit(context.spec, deadline_s))


@when('the store answers no call')
def silence_store(context):
    shard = context.shard
    shard.store.silent |= {daemon.daemon_id for daemon in shard.daemons}


@when('the store refuses all calls')
def refuse_all(context):
    shard = context.shard
    shard.store.refused |= {daemon.daemon_id for daemon in shard.daemons}


@when('the store loses all appends of cancellations')
def lose_cancellations(context):
    lose_appends(context.shard, None)


@when('the store carries all appends of cancellations out late')
def delay_cancellations(context):
    lose_appends(context.shard, 9)


@then("the cancellation of an unknown job isn't acknowledged by any daemon")
def check_not_acknowledged(context):
    shard = context.shard
    for daemon in shard.daemons:
        shard.job_count += 1
        outcome = attempt(shard, daemon, f'{shard.job_count:016x}')
        assert not acknowledged(outcome), outcome


@when('{count:d} unknown jobs are cancelled at once through all daemons')
def cancel_many(context, count):
    shard = context.shard
    context.cancel_appends = 0

    def _count(topic, records):
        keys = [record.key for record in records]
        context.cancel_appends += any(
            key.startswith(CANCEL_PREFIX) for key in keys
        )

    shard.store.on_applied = _count
    deadline_s = shard.loop.time() + DEADLINE_S
    daemons = itertools.islice(itertools.cycle(shard.daemons), count)

    async def _cancel_all():
        return await asyncio.gather(
            *(
                daemon.frontend.cancel(f'{0xF000 + number:016x}', deadline_s)
                for number, daemon in enumerate(daemons)
            )
        )

    context.outcomes = shard.run_until(_cancel_all())


@then(
    'all of them are acknowledged with at most {most:d} appends to the intake'
)
def check_appends(context, most):
    assert set(map(type, context.outcomes)) == {CancelNotKnown}
    assert 0 < context.cancel_appends <= most, context.cancel_appends


@then('some cancellations were refused with a time to come back')
def check_some_refused(context):
    refused = [one for one in context.outcomes if isinstance(one, NotStored)]
    others = [one for one in context.outcomes if not isinstance(one, NotStored)]
    assert refused
    assert others
    assert all(one.retry_after_s > 0 for one in refused), refused
    assert set(map(type, others)) == {CancelNotKnown}, others


@then('the owner remembers at most {most:d} cancellations of unknown jobs')
def check_remembered(context, most):
    past = owner_of(context.shard)._engine.state.past
    assert 0 < len(past.cancelled_early) <= most


@when('the store refuses all appends')
def refuse_appends(context):
    shard = context.shard
    shard.store.full_for |= {daemon.daemon_id for daemon in shard.daemons}


@then("the job isn't refused by {name}")
def check_not_refused(context, name):
    shard = context.shard
    daemon = context.daemon_by_name[name]
    deadline_s = shard.loop.time() + DEADLINE_S
    outcome = shard.run_until(daemon.frontend.submit(context.spec, deadline_s))
    assert isinstance(outcome, MayBeStored), outcome
