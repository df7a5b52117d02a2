"""Steps for the evacuation of failure domains."""

from behave import given, then, when

from waxwingford.ports import Resources
from waxwingford.scheduling import (
    EndKind,
    Engine,
    InheritedLeases,
    JobSpec,
    OrderAccepted,
    ServerEntry,
    Stop,
    Terms,
)
from waxwingford.scheduling.tests.engine_harness import (
    JOB,
    QUEUE,
    SECOND,
    EngineHarness,
    step,
)

CORES = 8


def terms(evacuated=()):
    return Terms(1, {QUEUE.name: QUEUE}, frozenset(evacuated))


@given(
    'an engine with {count:d} servers of 8 cores in each of the domains'
    ' {domains}'
)
def start_engine(context, count, domains):
    context.harness = EngineHarness(0, CORES)
    context.domain_by_server = {}
    context.jobs = 0
    for domain in domains.split(', '):
        add_servers(context, count, domain)


@when('{count:d} servers of 8 cores register in domain {domain}')
def add_servers(context, count, domain):
    harness = context.harness
    for _ in range(count):
        add_server(context, f'{domain}{len(harness.entries)}', domain)
    harness.register()
    harness.poll()


def add_server(context, server_id, domain):
    context.domain_by_server[server_id] = domain
    context.harness.entries.append(
        ServerEntry(
            server_id,
            f'{server_id}:1',
            QUEUE.service,
            domain,
            frozenset(),
            Resources(CORES * 1000, CORES * 4000, 0),
            draining=False,
        )
    )


@when('the servers of domain {domain} restart under other ids')
def restart_servers(context, domain):
    harness = context.harness
    restarted = [
        entry for entry in harness.entries if entry.failure_domain == domain
    ]
    harness.entries = [
        entry for entry in harness.entries if entry not in restarted
    ]
    for entry in restarted:
        add_server(context, f'{entry.server_id}+', domain)
    harness.register()
    harness.poll()


@when('the domains {domains} are evacuated')
def evacuate(context, domains):
    context.harness.engine.configure(terms(domains.split(', ')))


@when('the domains {domains} are taken back')
def take_back(context, domains):
    context.harness.engine.configure(terms())


@when('{count:d} jobs of 1 task of 1 core are submitted')
def submit_jobs(context, count):
    context.first = len(context.harness.planned_runs)
    submit_unplaced(context, count)
    context.harness.decide()


def submit_unplaced(context, count):
    harness = context.harness
    for _ in range(count):
        context.jobs += 1
        job_id = f'{0xE000 + context.jobs:016x}'
        spec = JobSpec(job_id, QUEUE.name, '', (step(),), terms=QUEUE)
        harness.engine.submit(spec, harness.now_ms)


@when('a long-running job with a task on each server is submitted')
def submit_long_running(context):
    harness = context.harness
    harness.long_running = True
    harness.submit(
        step(len(harness.entries), long_running=True, max_per_server=1)
    )
    harness.poll()


@when('a task in domain {domain} fails')
def fail_task(context, domain):
    harness = context.harness
    context.run = next(
        run
        for run in harness.planned_runs
        if context.domain_by_server[run.server_id] == domain
    )
    harness.end(context.run, EndKind.failed)


def starts_of_task(context):
    return [
        run
        for run in context.harness.planned_runs
        if run.key.task == context.run.key.task
    ]


@then('it has not started again')
def check_not_again(context):
    assert starts_of_task(context) == [context.run]


@then('it has started again')
def check_again(context):
    assert len(starts_of_task(context)) == 2, context.harness.planned_runs


@when('1 job of 1 task of 1 core is submitted to each server, not sent yet')
def plan_unsent(context):
    harness = context.harness
    submit_unplaced(context, len(harness.entries))
    harness.now_ms += 1
    harness.engine.decide(harness.now_ms, harness.wall_ms)
    context.starts = harness.engine.stored(harness.engine.take_batch())
    domains = {
        context.domain_by_server[start.server_id] for start in context.starts
    }
    assert domains == set(context.domain_by_server.values()), domains


@when('all starts are sent')
def send_all(context):
    harness = context.harness
    context.sent = [
        start
        for start in context.starts
        if harness.engine.orders.start(start.run, harness.now_ms) is not None
    ]
    for start in context.sent:
        server = harness.engine.state.server_by_id[start.server_id]
        accepted = OrderAccepted(harness.now_ms)
        harness.engine.start_answered(
            server, start.run, harness.now_ms, accepted
        )
    # Before the next poll: the harness lists each run that is placed.
    harness.decide()


@then('the starts sent are in the domains {domains}')
def check_sent(context, domains):
    sent = {context.domain_by_server[start.server_id] for start in context.sent}
    assert sent == set(domains.split(', ')), sent


@then('all {count:d} jobs run in the domains {domains}')
def check_all_run(context, count, domains):
    servers = context.harness.engine.state.server_by_id
    running = [
        context.domain_by_server[server_id]
        for server_id, server in servers.items()
        for _ in server.run_by_key
    ]
    assert len(running) == count, running
    assert set(running) == set(domains.split(', ')), running


def succeed(context):
    harness = context.harness
    engine = Engine(8, 5000, InheritedLeases(harness.now_ms, {}))
    engine.restore(dict(harness.rows))
    engine.inherit(harness.now_ms, harness.wall_ms)
    harness.engine = engine
    harness.register()
    harness.poll()


@when("the owner changes to one that has read the operators' records")
def succeed_informed(context):
    in_force = context.harness.engine.state.terms
    succeed(context)
    context.harness.engine.configure(in_force)


@when('the owner changes to one that has read no record of operators')
def succeed_uninformed(context):
    succeed(context)


@when(
    'a gang of 4 tasks of 2 cores and a best-effort job of 8 tasks are submitted'
)
def submit_gang_and_best_effort(context):
    harness = context.harness
    context.first = 0
    gang = step(4, cores=2, gang=True)
    best_effort = step(8, best_effort=True, image='wild')
    for job_id, steps in ((JOB, (gang,)), (SECOND, (best_effort,))):
        spec = JobSpec(job_id, QUEUE.name, '', steps, terms=QUEUE)
        harness.engine.submit(spec, harness.now_ms)
    harness.decide()


def domains_of_starts(context):
    runs = context.harness.planned_runs[context.first :]
    return {context.domain_by_server[run.server_id] for run in runs}


@then('all starts are in the domains {domains}')
def check_all_starts(context, domains):
    started = domains_of_starts(context)
    assert started == set(domains.split(', ')), started


@then('starts are in the domains {domains}')
def check_some_starts(context, domains):
    started = domains_of_starts(context)
    assert started >= set(domains.split(', ')), started


@then('nothing was started')
def check_no_starts(context):
    assert not domains_of_starts(context), context.harness.planned_runs


@then('no stop was ordered, and {count:d} tasks run')
def check_no_stops(context, count):
    harness = context.harness
    stops = [order for order in harness.orders if isinstance(order, Stop)]
    assert not stops, stops
    servers = harness.engine.state.server_by_id.values()
    assert sum(len(server.run_by_key) for server in servers) == count
