"""Steps for refusals for lack of memory at the owner."""

import asyncio
import dataclasses
import itertools

from behave import then, when

from waxwingford.shard import NotStored, Stored
from waxwingford.shard._early_cancels import EarlyCancels
from waxwingford.shard._intake import RowRejected
from waxwingford.shard.tests.room_steps import submit_to
from waxwingford.shard.tests.virtual_shard import step

LONG_MS = 60_000


def wide_job(context, tasks):
    return context.shard.new_spec((step(tasks, length_ms=LONG_MS),))


@when('the owner has {size:d} bytes for jobs')
def limit_memory(context, size):
    shard = context.shard
    shard.run(2)
    owner = shard.owners[0].member.owner
    owner._settings = dataclasses.replace(owner._settings, max_job_bytes=size)
    owner.early_cancels = EarlyCancels(size)
    owner.early_cancels.follow(owner._engine)
    shard.run(1)


@when('each daemon submits {count:d} jobs of {tasks:d} tasks at once')
def submit_at_once(context, count, tasks):
    shard = context.shard
    deadline_s = shard.loop.time() + 3
    jobs = [
        (daemon, wide_job(context, tasks))
        for daemon, _ in itertools.product(shard.daemons, range(count))
    ]

    async def _submit_all():
        return await asyncio.gather(
            *(one.frontend.submit(spec, deadline_s) for one, spec in jobs)
        )

    outcomes = shard.run_until(_submit_all())
    context.outcome_by_job = {
        spec: outcome for (_, spec), outcome in zip(jobs, outcomes, strict=True)
    }


@when('{count:d} jobs are submitted and cancelled, one after the other')
def submit_and_cancel(context, count):
    shard = context.shard
    context.outcomes = []
    for daemon in itertools.islice(itertools.cycle(shard.daemons), count):
        spec = wide_job(context, 1)
        context.outcomes.append(submit_to(context, daemon, spec))
        shard.run_until(
            daemon.frontend.cancel(spec.job_id, shard.loop.time() + 3)
        )
        shard.run(0.1)


@then('some of them were refused with a time to come back')
def check_some_refused(context):
    refused = [one for one in context.outcomes if isinstance(one, NotStored)]
    assert 0 < len(refused) < len(context.outcomes), len(refused)
    assert all(one.retry_after_s > 0 for one in refused), refused


@then(
    '{count:d} of them are stored, and the others are refused with a time to '
    'come back'
)
def check_outcomes(context, count):
    outcomes = list(context.outcome_by_job.values())
    assert outcomes.count(Stored()) == count, outcomes
    others = [one for one in outcomes if one != Stored()]
    assert all(
        isinstance(one, NotStored) and one.retry_after_s > 0 for one in others
    ), others


@then('each daemon answers that a stored one is stored')
def check_stored(context):
    stored = next(
        spec
        for spec, outcome in context.outcome_by_job.items()
        if outcome == Stored()
    )
    for daemon in context.shard.daemons:
        assert submit_to(context, daemon, stored) == Stored()


@then('each daemon stores a job of one task')
def check_small(context):
    for daemon in context.shard.daemons:
        assert submit_to(context, daemon, wide_job(context, 1)) == Stored()


@then('the owner rejects a job of {tasks:d} tasks for good')
def check_rejected(context, tasks):
    daemon = context.shard.owners[0]
    outcome = submit_to(context, daemon, wide_job(context, tasks))
    assert isinstance(outcome, RowRejected), outcome
