"""Steps for changes of owner: resignations, claims, killed daemons."""

import asyncio

from behave import then, when

from waxwingford.shard import KeyedRecord
from waxwingford.shard._intake import INTAKE_TOPIC
from waxwingford.shard._journal import (
    JOURNAL_TOPIC,
    OWNER_KEY,
    OWNERS_TOPIC,
    ClaimFailed,
    Predecessor,
    decode_owner,
)
from waxwingford.shard.tests.shard_steps import kill_owner
from waxwingford.shard.tests.virtual_shard import TERMS


@when('{count:d} owners are killed, each {span_s:g} s after its takeover')
def kill_owners_in_turn(context, count, span_s):
    shard = context.shard
    context.takeover_times_s = []
    for _ in range(count):
        shard.run(span_s)
        kill_owner(context)
        killed_s = shard.loop.time()
        while not shard.owners:
            shard.run(0.01)
        context.takeover_times_s.append(shard.loop.time() - killed_s)


@then('a successor took over within {span_s:g} s each time')
def check_takeover_times(context, span_s):
    assert max(context.takeover_times_s) <= span_s, context.takeover_times_s


@when('the owner is cut off from the store until another daemon has claimed')
def cut_owner_until_claim(context):
    shard = context.shard
    context.first_owner = shard.owners[0]
    shard.store.silent.add(context.first_owner.daemon_id)
    wait_for_claim(shard)
    shard.store.silent.clear()


@when('the first heartbeat of the new owner is stored after {span_s:g} s')
def delay_first_heartbeat(context, span_s):
    # The next three appends, retries or from the previous owner, are lost.
    losses = [span_s, None, None, None]
    context.shard.store.lost_appends_by_topic[OWNERS_TOPIC] = losses


@when('the owner is killed just before the job is cancelled')
def kill_owner_then_cancel(context):
    kill_owner(context)
    context.shard.cancel(context.jobs[-1])


@then('the owner has changed once')
def check_changed_once(context):
    assert len(claims(context.shard)) == 2, claims(context.shard)


@then('the owner has changed twice')
def check_changed_twice(context):
    assert len(claims(context.shard)) == 3, claims(context.shard)


@when('the owner resigns')
def resign_owner(context):
    owner = context.shard.owners[0]
    context.shard.run_until(owner.member.resign())


@when('the owner resigns in the middle of a heartbeat')
def resign_during_heartbeat(context):
    shard = context.shard
    owner = shard.owners[0]
    topic = shard.store.topic(OWNERS_TOPIC)
    known = len(topic.records)
    while len(topic.records) == known:
        shard.run(0.01)
    # The next heartbeat is sent 0.4 s after the answer to this one.
    shard.run(0.45)
    shard.run_until(owner.member.resign())
    shard.run(1)


@then('the resignation is stored')
def check_resignation_stored(context):
    records = context.shard.store.topic(OWNERS_TOPIC).records
    owners = [decode_owner(row.payload) for row in records]
    assert any(owner.resigned for owner in owners), owners[-3:]


def claims(shard):
    rows = shard.store.topic(JOURNAL_TOPIC).records
    return [row for row in rows if row.key == OWNER_KEY]


def wait_for_claim(shard):
    known = len(claims(shard))
    while len(claims(shard)) == known:
        shard.run(0.001)
    name = decode_owner(claims(shard)[-1].payload).daemon_id
    return next(daemon for daemon in shard.daemons if daemon.daemon_id == name)


@when('the next owner resigns as soon as it has claimed')
def resign_after_claim(context):
    context.resigned = wait_for_claim(context.shard)
    context.shard.run_until(context.resigned.member.resign())


@when('the next {count:d} owners are killed as soon as they have claimed')
def kill_claimers(context, count):
    for _ in range(count):
        context.shard.call(wait_for_claim(context.shard).kill)


@when('a standby resigns while its claim is in flight')
def resign_while_claiming(context):
    shard = context.shard

    def claiming():
        owners = ((daemon, daemon.member.owner) for daemon in shard.daemons)
        return [
            daemon
            for daemon, owner in owners
            if owner is not None and owner.epoch and not owner.stopped.is_set()
        ]

    while not claiming():
        shard.run(0.01)
    context.resigned = claiming()[0]
    assert not context.resigned.owns
    shard.run_until(context.resigned.member.resign())


@then('its last heartbeat is a resignation')
def check_last_heartbeat_resigned(context):
    records = context.shard.store.topic(OWNERS_TOPIC).records
    owners = [decode_owner(row.payload) for row in records]
    own_heartbeats = [
        owner
        for owner in owners
        if owner.daemon_id == context.resigned.daemon_id
    ]
    assert own_heartbeats[-1].resigned, own_heartbeats[-3:]


@when("a standby's claim fails and it resigns")
def fail_claim_and_resign(context):
    shard = context.shard
    standby = next(daemon for daemon in shard.daemons if not daemon.owns)
    context.first_owner = shard.owners[0]
    journal = shard.store.topic(JOURNAL_TOPIC)

    async def _claim():
        owner = standby.make_owner(TERMS)
        epoch = context.first_owner.member.owner.epoch
        predecessor = Predecessor(None, 0, 0, -1)
        claim = asyncio.ensure_future(owner.claim(predecessor, epoch))
        # The journal grows between the standby's read and its claim.
        await asyncio.sleep(0.005)
        journal.records.append(KeyedRecord('harm', b'\x90'))
        outcome = await claim
        await owner.resign()
        return outcome

    outcome = shard.run_until(_claim())
    assert isinstance(outcome, ClaimFailed), outcome


@then('the owner has never changed')
def check_never_changed(context):
    assert context.shard.owners == [context.first_owner]
    assert len(claims(context.shard)) == 1


@then('the resigned daemon does not own the shard')
def check_resigned_not_owner(context):
    assert not context.resigned.owns


@when('the next owner gets no answer to its reads of the intake')
def block_intake_pages(context):
    shard = context.shard
    context.first_owner = wait_for_claim(shard)
    name = context.first_owner.daemon_id
    shard.store.page_delay_s_by_reader[name, INTAKE_TOPIC] = None


@when('each read of the intake by the next owner takes {span_s:g} s more')
def delay_intake_pages(context, span_s):
    shard = context.shard
    name = wait_for_claim(shard).daemon_id
    shard.store.page_delay_s_by_reader[name, INTAKE_TOPIC] = span_s


@when('the daemon that was killed is started again')
def restart_killed(context):
    shard = context.shard
    killed = next(daemon for daemon in shard.daemons if not daemon.alive)
    shard.call(killed.start)


@then('another daemon owns the shard')
def check_another_owner(context):
    assert len(context.shard.owners) == 1
    assert context.shard.owners != [context.first_owner]


@when(
    'the next {count:d} owners are killed {later_s:g} s'
    ' after their first heartbeat'
)
def kill_after_first_heartbeat(context, count, later_s):
    for _ in range(count):
        new_owner = wait_for_first_heartbeat(context.shard)
        context.shard.run(later_s)
        context.shard.call(new_owner.kill)


def wait_for_first_heartbeat(shard):
    records = shard.store.topic(OWNERS_TOPIC).records
    previous = decode_owner(records[-1].payload)
    newest = previous
    while newest.epoch == previous.epoch:
        shard.run(0.001)
        newest = decode_owner(records[-1].payload)
    return next(
        daemon
        for daemon in shard.daemons
        if daemon.daemon_id == newest.daemon_id
    )


@when(
    'the owner is killed, and the next one loses the store {later_s:g} s'
    ' after its first heartbeat and alone reaches a server'
)
def cut_before_leases_extended(context, later_s):
    shard = context.shard
    server_id = shard.running(context.jobs[-1])[0]
    kill_owner(context)
    new_owner = wait_for_first_heartbeat(shard)
    shard.run(later_s)
    shard.store.silent.add(new_owner.daemon_id)
    shard.servers.cut |= {
        (daemon.daemon_id, server_id)
        for daemon in shard.daemons
        if daemon is not new_owner
    }
