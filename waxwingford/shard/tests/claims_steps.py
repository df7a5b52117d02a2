"""Steps for claims whose answers are lost."""

import asyncio

from behave import given, then, when

from waxwingford.routing.tests.virtual_loop import VirtualLoop, end_loop
from waxwingford.shard import Appended, Fence, KeyedRecord, Stored
from waxwingford.shard._claims import MAX_CLAIM_RETRIES, Claim
from waxwingford.shard._journal import (
    JOURNAL_TOPIC,
    OWNER_KEY,
    Claimed,
    ClaimFailed,
    ClaimOvertaken,
    EpochWriter,
    OwnerRecord,
    decode_owner,
    encode_owner,
)
from waxwingford.shard._mirror import Mirror
from waxwingford.shard.tests.virtual_shard import step
from waxwingford.shard.tests.virtual_store import (
    VirtualStore,
    VirtualStoreClient,
)

CHECKS_END_FIRST = {'duplicates': False, "the topic's end": True}
OUTCOMES = {
    'succeeds': Claimed,
    'is overtaken': ClaimOvertaken,
    'fails': ClaimFailed,
}
#: Epochs of the previous owner, of the claim under test, and of another claim.
PREVIOUS_EPOCH, CLAIM_EPOCH, OTHER_EPOCH = 5, 10, 15
#: Seconds until attempts without an answer are applied, ``None`` for never.
LOST_APPENDS_BY_TEXT = {
    'is applied at once': (0,),
    'is never applied': (None,),
    'is applied after the journal was read': (None,),
    'is applied after its retry': (3,),
    'is applied, and another daemon claims at once': (0,),
    'is applied late, and another daemon claims at once': (3,),
    'is applied late, and another daemon claims after the read': (None,),
    'the previous owner appends': (3,),
    'the previous owner appends after the read': (3,),
    'its retries are never applied either': (None,) * (MAX_CLAIM_RETRIES + 1),
    'its retries get no answer but are applied': (None, 0, 0, 0),
    'its daemon is stopped': (None,),
    'is applied, and its daemon is stopped': (0,),
}
ROWS = (KeyedRecord('harm', b'\x90'),)


def parse_delay_s(applied):
    """Parse when an append without an answer is applied.

    :returns: seconds until then, ``None`` for never.
    """
    if applied == 'never':
        return None
    return (
        0 if applied == 'at once' else float(applied.removesuffix(' s later'))
    )


@given('a store that checks {what} first')
def set_check_order(context, what):
    context.shard.store.checks_end_first = CHECKS_END_FIRST[what]


@when('the next claim gets no answer and is applied {applied}')
def lose_claim(context, applied):
    assert not context.shard.owners, 'an owner appends to the journal too'
    losses = [parse_delay_s(applied)]
    context.shard.store.lost_appends_by_topic[JOURNAL_TOPIC] = losses


@when('a job of 2 steps is submitted through a running daemon')
def submit_to_running(context):
    steps = (step(4), step(3, after=(0,)))
    job_id, outcome = context.shard.submit(steps)
    assert isinstance(outcome, Stored), outcome
    context.jobs.append(job_id)


@then('the claim that got no answer was sent')
def check_claim_sent(context):
    assert not context.shard.store.lost_appends_by_topic[JOURNAL_TOPIC]


class HookedStoreClient(VirtualStoreClient):
    """Store client that runs callbacks after a read was answered."""

    def __init__(self, store, daemon_id):
        super().__init__(store, daemon_id)
        self.callbacks_after_read = []

    async def read(self, topic, from_offset, wait_ms):
        outcome = await super().read(topic, from_offset, wait_ms)
        while self.callbacks_after_read:
            self.callbacks_after_read.pop(0)()
        return outcome


class ClaimTrial:
    """A claim, and concurrent actions of other daemons."""

    def __init__(self):
        self.loop = VirtualLoop()
        asyncio.set_event_loop(self.loop)
        self.store = VirtualStore(0)
        self.client = HookedStoreClient(self.store, 'own')
        self.stopped = asyncio.Event()
        self.losses = self.store.lost_appends_by_topic.setdefault(
            JOURNAL_TOPIC, []
        )
        self.writer = EpochWriter(self.client, JOURNAL_TOPIC, CLAIM_EPOCH)

    def lose(self, *applied_after_s):
        """Lose the answers to the next appends.

        :param applied_after_s: delay until each is applied, ``None`` for never.
        """
        self.losses.clear()
        self.losses.extend(applied_after_s)

    def other_claims(self):
        rows = (
            KeyedRecord(OWNER_KEY, encode_owner(owner_record(OTHER_EPOCH))),
        )
        self.store.apply(JOURNAL_TOPIC, rows, Fence(OTHER_EPOCH, 0))

    def previous_owner_appends(self):
        # Sequence number 0 of this epoch was its claim.
        self.store.apply(JOURNAL_TOPIC, ROWS, Fence(PREVIOUS_EPOCH, 1))

    def apply_claim(self):
        """Apply an attempt of the claim that is in flight."""
        rows = (
            KeyedRecord(OWNER_KEY, encode_owner(owner_record(CLAIM_EPOCH))),
        )
        fence = Fence(CLAIM_EPOCH, 0, self.end)
        self.store.apply(JOURNAL_TOPIC, rows, fence)

    async def run(self):
        journal = Mirror(self.client, JOURNAL_TOPIC)
        await journal.catch_up()
        journal.payload_by_key.pop(OWNER_KEY)
        self.end = journal.next_offset
        claim = Claim(self.writer, journal, owner_record(CLAIM_EPOCH))
        return await claim.store(self.stopped)

    def count_stored_claims(self):
        rows = self.store.topic(JOURNAL_TOPIC).records
        claims = (decode_owner(raw) for key, raw in rows if key == OWNER_KEY)
        return sum(claim.epoch == CLAIM_EPOCH for claim in claims)


def owner_record(epoch):
    return OwnerRecord(f'daemon {epoch}', epoch, 'endpoint')


@given('a journal that a previous owner has written to')
def create_journal(context):
    context.trial = ClaimTrial()
    context.add_cleanup(end_loop, context.trial.loop)
    rows = (
        KeyedRecord(OWNER_KEY, encode_owner(owner_record(PREVIOUS_EPOCH))),
        *ROWS,
    )
    context.trial.store.apply(JOURNAL_TOPIC, rows, Fence(PREVIOUS_EPOCH, 0))


@given('a separate store that checks {what} first')
def set_own_check_order(context, what):
    context.trial.store.checks_end_first = CHECKS_END_FIRST[what]


def call_soon(trial, callback):
    """Run a callback after the first attempt was sent, before it times out."""
    trial.loop.call_later(0.5, callback)


@when('a claim gets no answer and {meanwhile}')
def claim_without_answer(context, meanwhile):
    trial = context.trial
    trial.lose(*LOST_APPENDS_BY_TEXT[meanwhile])
    match meanwhile:
        case 'is applied after the journal was read':
            trial.client.callbacks_after_read.append(trial.apply_claim)
        case 'is applied late, and another daemon claims after the read':
            trial.client.callbacks_after_read += (
                trial.apply_claim,
                trial.other_claims,
            )
        case 'the previous owner appends after the read':
            trial.client.callbacks_after_read.append(
                trial.previous_owner_appends
            )
        case 'the previous owner appends':
            call_soon(trial, trial.previous_owner_appends)
        case _ if meanwhile.endswith('another daemon claims at once'):
            call_soon(trial, trial.other_claims)
        case _ if meanwhile.endswith('its daemon is stopped'):
            call_soon(trial, trial.stopped.set)
    context.outcome = trial.loop.run_until_complete(trial.run())


@then('the claim {outcome}')
def check_claim_outcome(context, outcome):
    assert isinstance(context.outcome, OUTCOMES[outcome]), context.outcome


@then('{span_s:d} s later the journal holds {count:d} of its attempts')
def check_attempts_stored(context, span_s, count):
    trial = context.trial
    trial.losses.clear()
    trial.loop.run_until_complete(asyncio.sleep(span_s))
    assert trial.count_stored_claims() == count, trial.store.topic(
        JOURNAL_TOPIC
    ).records


@then('what its daemon appends next is stored {times}')
def check_next_append(context, times):
    trial = context.trial
    wanted = {'once': list(ROWS), 'never': []}[times]
    known = len(trial.store.topic(JOURNAL_TOPIC).records)
    outcome = trial.loop.run_until_complete(trial.writer.append(ROWS))
    added = trial.store.topic(JOURNAL_TOPIC).records[known:]
    assert added == wanted, added
    assert isinstance(outcome, Appended) == bool(wanted), outcome
