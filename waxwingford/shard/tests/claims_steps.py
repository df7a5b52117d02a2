"""Steps for claims whose answers are lost."""

from behave import given, then, when

from waxwingford.shard import Stored
from waxwingford.shard._journal import JOURNAL_TOPIC
from waxwingford.shard.tests.virtual_shard import step

FIRST = {'repeats': False, "the topic's end": True}


def seconds(done):
    """Read when an append without an answer is done.

    :returns: seconds until then, ``None`` for never.
    """
    if done == 'never':
        return None
    return 0 if done == 'at once' else float(done.removesuffix(' s later'))


@given('a store that looks at {what} first')
def looks_first(context, what):
    context.shard.store.at_first = FIRST[what]


@when('the next claim gets no answer and is done {done}')
def lose_claim(context, done):
    assert not context.shard.owners, 'an owner appends to the journal too'
    losses = [seconds(done)]
    context.shard.store.losses_by_topic[JOURNAL_TOPIC] = losses


@when('a job of 2 steps is submitted through a daemon that lives')
def submit_living(context):
    steps = (step(4), step(3, after=(0,)))
    job_id, outcome = context.shard.submit(steps)
    assert isinstance(outcome, Stored), outcome
    context.jobs.append(job_id)


@then('the claim that got no answer was sent')
def claim_sent(context):
    assert not context.shard.store.losses_by_topic[JOURNAL_TOPIC]
