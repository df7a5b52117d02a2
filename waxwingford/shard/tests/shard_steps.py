"""Steps for a simulated shard in virtual time."""

from behave import given, then, when

from waxwingford.scheduling import JobSpec, Terms, encode_spec
from waxwingford.shard import KeyedRecord, Stored
from waxwingford.shard._intake import (
    CANCEL_PREFIX,
    INTAKE_TOPIC,
    JOB_PREFIX,
)
from waxwingford.shard.tests.virtual_shard import (
    QUEUE,
    TERMS,
    VirtualShard,
    step,
)
from waxwingford.timeline import (
    merge_events,
    parse_log_events,
    select_job_events,
)

FAULT_KINDS = ('kill', 'cut_store', 'refuse_store', 'cut_server', 'crash')
RECOVERY_S = 60
MOST_DOWN = 1


@given('a shard with {daemons:d} daemons and {servers:d} servers')
def start_shard(context, daemons, servers):
    context.shard = VirtualShard(1, daemons, servers)
    context.add_cleanup(context.shard.close)
    context.shard.run(1)
    context.jobs = []


def submit(context, steps):
    job_id, outcome = context.shard.submit(steps)
    assert isinstance(outcome, Stored), outcome
    context.jobs.append(job_id)


@when('a job of 2 steps is submitted')
def submit_two_steps(context):
    submit(context, (step(4), step(3, after=(0,))))


@when('a long-running job is submitted')
def submit_lasting(context):
    submit(context, (step(4, long_running=True),))


@when('a long job is submitted')
def submit_long(context):
    submit(context, (step(4, length_ms=8000),))


@when('{count:d} jobs of 2 steps are submitted over {span_s:d} s')
def submit_several(context, count, span_s):
    for _ in range(count):
        job_id, _ = context.shard.submit((step(3), step(2, after=(0,))))
        context.jobs.append(job_id)
        context.shard.run(span_s / count)


@when('{span_s:g} s pass')
def pass_time(context, span_s):
    context.shard.run(span_s)


@when('a server hangs')
def hang_server(context):
    next(iter(context.shard.servers.server_by_id.values())).hangs = True


@when('the owner is killed')
def kill_owner(context):
    context.shard.call(context.shard.owners[0].kill)


@when("the store refuses a standby's calls")
def refuse_standby(context):
    shard = context.shard
    context.standby = next(
        daemon for daemon in shard.daemons if not daemon.owns
    )
    shard.store.refused.add(context.standby.daemon_id)


@when('a job of 2 steps is submitted through that standby')
def submit_through_refused(context):
    steps = (step(4), step(3, after=(0,)))
    job_id, outcome = context.shard.submit(steps, context.standby)
    assert isinstance(outcome, Stored), outcome
    context.jobs.append(job_id)


@when('a job of 2 steps is submitted through a standby')
def submit_to_standby(context):
    shard = context.shard
    context.first_owner = shard.owners[0]
    standby = next(daemon for daemon in shard.daemons if not daemon.owns)
    job_id, outcome = shard.submit((step(4), step(3, after=(0,))), standby)
    assert isinstance(outcome, Stored), outcome
    context.jobs.append(job_id)


def history(context):
    merged = merge_events(parse_log_events(context.shard.lines))
    return select_job_events(merged, context.jobs[-1])


@then('the logs of all daemons show its events in this order')
def check_history(context):
    first = context.first_owner.daemon_id
    left = iter(history(context))
    for row in context.table:
        found = next(
            (
                event
                for event in left
                if event.kind == row['event']
                and (event.event_id[0] == first) == (row['daemon'] == 'first')
            ),
            None,
        )
        assert found is not None, (row.as_dict(), context.shard.lines)


@then('its submission was logged by a daemon other than the first owner')
def check_submission_logged(context):
    taken = [
        event for event in history(context) if event.kind == 'request.submit'
    ]
    assert len(taken) == 1, taken
    assert taken[0].event_id[0] != context.first_owner.daemon_id


@then('each run that was planned was settled')
def check_runs_settled(context):
    events = history(context)
    planned, settled = (
        {
            (event.subject, run_detail(event))
            for event in events
            if event.kind == kind
        }
        for kind in ('run.planned', 'run.settled')
    )
    assert planned
    assert planned == settled, planned ^ settled


def run_detail(event):
    return next(
        word for word in event.detail.split() if word.startswith('run=')
    )


@when('the store takes {extra_s:g} s more for each call')
def add_store_latency(context, extra_s):
    context.shard.store.extra_latency_s = extra_s


@when('the store returns at most {count:d} records per read')
def limit_records_per_read(context, count):
    context.shard.store.max_records_per_read = count


@when('{count:d} jobs are stored at once, bypassing the owner')
def store_bypassing_owner(context, count):
    shard = context.shard
    rows = []
    for number in range(count):
        job_id = f'{0xA000 + number:016x}'
        spec = JobSpec(job_id, 'queue', '', (step(1),), terms=QUEUE)
        rows.append(KeyedRecord(JOB_PREFIX + job_id, encode_spec(spec)))
    shard.call(lambda: shard.store.apply(INTAKE_TOPIC, rows, None))
    context.jobs.append(job_id)


@then('the owner knows the last one')
def check_owner_knows_last(context):
    shard = context.shard
    found = shard.phase(context.jobs[-1], shard.owners[0])
    assert found in {'queued', 'running'}, found


@when('{count:d} cancellations are stored in the intake')
def store_cancellations(context, count):
    rows = [
        KeyedRecord(f'{CANCEL_PREFIX}{number:016x}', b'1')
        for number in range(count)
    ]
    context.shard.store.apply(INTAKE_TOPIC, rows, None)


@when('the owner is cut off from the store for {span_s:g} s')
def cut_owner_from_store(context, span_s):
    daemon_id = context.shard.owners[0].daemon_id
    context.shard.store.silent.add(daemon_id)
    context.shard.run(span_s)
    context.shard.store.silent.clear()


@when('a job of {count:d} tasks of {length_s:d} s is submitted')
def submit_job_of_length(context, count, length_s):
    submit(context, (step(count, length_ms=length_s * 1000),))


@when('a quarter of the orders is carried out late')
def late_orders(context):
    context.shard.servers.late_share = 0.25


@when('a third of the appends get no answer, half of them applied late')
def lose_append_answers(context):
    context.shard.store.lost_share = 0.33
    context.shard.store.late_share = 0.5


@when(
    'a shard is simulated for {span_s:d} s with random faults and seed {seed:d}'
)
def run_with_random_faults(context, span_s, seed):
    shard = start_faulty_shard(context, seed)
    while shard.loop.time() < span_s:
        take_random_action(context, shard)
        shard.run(shard.random.uniform(0.2, 1.5))
    stop_faults(shard)
    shard.run(RECOVERY_S)


def start_faulty_shard(context, seed, relays=False):
    """Start a shard in which some orders and appends fail."""
    context.shard = VirtualShard(seed, daemons=4, servers=6, relays=relays)
    context.add_cleanup(context.shard.close)
    context.jobs = []
    shard = context.shard
    shard.run(1)
    shard.servers.late_share = 0.1
    shard.store.lost_share = 0.1
    shard.store.late_share = 0.3
    return shard


def take_random_action(context, shard):
    if shard.random.random() < 0.6:
        daemon = shard.random.choice(shard.living())
        steps = (step(3), step(2, after=(0,)))
        job_id, outcome = shard.submit(steps, daemon)
        if isinstance(outcome, Stored):
            context.jobs.append(job_id)
        return
    kind = shard.random.choice(FAULT_KINDS)
    daemon = shard.random.choice(shard.living())
    span_s = shard.random.uniform(0.5, 5)
    server = shard.random.choice(list(shard.servers.server_by_id.values()))
    match kind:
        case 'kill' if len(shard.living()) > 1:
            shard.call(daemon.kill)
            shard.loop.call_later(span_s, daemon.start)
        case 'cut_store':
            shard.store.silent.add(daemon.daemon_id)
            shard.loop.call_later(
                span_s, shard.store.silent.discard, daemon.daemon_id
            )
        case 'refuse_store':
            shard.store.refused.add(daemon.daemon_id)
            shard.loop.call_later(
                span_s, shard.store.refused.discard, daemon.daemon_id
            )
        case 'cut_server':
            pairs = {(one.daemon_id, server.server_id) for one in shard.daemons}
            shard.servers.cut |= pairs
            shard.loop.call_later(
                2 * span_s, shard.servers.cut.difference_update, pairs
            )
        case 'crash' if server.up:
            server.crash()
            shard.servers.add(1)


def stop_faults(shard):
    shard.servers.late_share = 0
    shard.store.lost_share = 0


@then('every daemon reports the job as {phase}')
def check_phase_everywhere(context, phase):
    for daemon in context.shard.living():
        found = context.shard.phase(context.jobs[-1], daemon)
        assert found == phase, (daemon.daemon_id, found)


@then('all jobs are completed')
def check_all_completed(context):
    phases = [context.shard.phase(job_id) for job_id in context.jobs]
    assert phases, 'no job was accepted'
    assert set(phases) == {'completed'}, phases


@then('all ends have been acknowledged')
def check_ends_acknowledged(context):
    servers = context.shard.servers.server_by_id.values()
    left = {
        server.server_id: len(server.ends) - server.acknowledged_end
        for server in servers
        if server.ends
    }
    assert left
    assert not any(left.values()), left


@then('there is one owner')
def check_one_owner(context):
    assert len(context.shard.owners) == 1, context.shard.owners


@then('each task was started at most once')
def check_started_once(context):
    most = max(context.shard.servers.starts.values())
    assert most == 1, context.shard.servers.starts


@then('nothing of the job runs')
def check_nothing_runs(context):
    assert not context.shard.running(context.jobs[-1])


@then('no invariant was violated')
def check_no_violation(context):
    assert not context.shard.servers.violations, (
        context.shard.servers.violations
    )


@given('starts need tickets that are valid for {validity_ms:d} ms')
def require_tickets(context, validity_ms):
    shard = context.shard
    shard.servers.ticket_validity_ms = validity_ms
    queue = TERMS.queue_by_name['queue']._replace(advised=True)
    for daemon in shard.daemons:
        daemon.member.configure(Terms(2, {'queue': queue}))


@then('all {count:d} tasks of the job run')
def check_all_run(context, count):
    running = context.shard.running(context.jobs[-1])
    assert len(running) == count, running


@then('no start was without a valid ticket')
def check_tickets_valid(context):
    servers = context.shard.servers
    assert servers.expiry_s_by_ticket
    assert not servers.starts_without_ticket, servers.starts_without_ticket
