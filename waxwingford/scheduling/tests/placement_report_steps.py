"""Steps for explanations where a job would go."""

import itertools

from behave import given, then, when

from waxwingford.ports import Resources
from waxwingford.scheduling import (
    JobSpec,
    Moment,
    OrderOutcomeUnknown,
    QueueTerms,
    StepSpec,
    Terms,
    decode_job,
    explain_placement,
)
from waxwingford.scheduling.tests.engine_harness import (
    QUEUE,
    EngineHarness,
    step,
)

QUEUES = {
    'queue': QUEUE,
    'late': QueueTerms('late', 'service', 1, 3),
    'other': QueueTerms('other', 'other', 0, 3),
    'advised': QueueTerms('advised', 'service', 0, 3, advised=True),
}
STEP_BY_KIND = {
    'short': step(),
    'wide': step(500),
    'labelled': step(label='r1'),
    'accelerated': StepSpec(1, Resources(1000, 1000, 1), 700),
    'best-effort': step(best_effort=True, image='wild'),
    'gang': step(2, cores=8, gang=True, one_rack=True),
    'advised': step(),
}


def change_entry(**fields):
    def apply(harness, server):
        harness.entries[0] = harness.entries[0]._replace(**fields)
        harness.register()

    return apply


def set_field(name, value):
    return lambda harness, server: setattr(server, name, value)


def evacuate(harness, server):
    change_entry(failure_domain='gone')(harness, server)
    harness.engine.configure(Terms(1, QUEUES, frozenset(('gone',))))
    harness.decide()


def silence(harness, server):
    harness.engine.poll_answered(
        server, harness.now_ms, harness.now_ms, OrderOutcomeUnknown('cut off')
    )


def reserve(harness, server):
    reservations = harness.engine.placement_view.reservations
    reservations._reserved_by_server['s0'] = server.entry.capacity


def keep_for_suspect(harness, server):
    harness.submit(step(1, cores=9))
    pending = harness.engine.state.pending_by_key
    server.reserved_for = next(iter(pending))


def overload(harness, server):
    serving = step(1, 4, target_ms=10, image='calm', long_running=True)
    harness.figure_by_image = {'calm': 30, 'wild': 1}
    harness.submit(serving)
    harness.pass_ms(4000)


CHANGE_BY_STATE = {
    'of another service': change_entry(service='elsewhere'),
    'without a label': change_entry(labels=frozenset()),
    'draining': change_entry(draining=True),
    'evacuated': evacuate,
    'silent': silence,
    'withheld': lambda harness, server: (
        harness.engine.state.withheld_servers.add('s0')
    ),
    'running unknown runs': set_field('unknown_runs', {'run': 0}),
    'backed off': set_field('refusal_backoff_until_ms', 10**9),
    'excluded': set_field('excluded_until_ms', 10**9),
    'slow to answer': set_field('unanswered', set(range(12))),
    'without CPU': change_entry(capacity=Resources(0, 32000, 0)),
    'without memory': change_entry(capacity=Resources(8000, 0, 0)),
    'reserved': reserve,
    'kept for a suspect': keep_for_suspect,
    'over its latency target': overload,
    'on another rack': change_entry(rack='r2'),
    'like the others': lambda harness, server: None,
}


def job(*steps, queue='queue', job_id=''):
    return JobSpec(job_id, queue, '', steps, terms=QUEUES[queue])


def explain(harness, spec):
    moment = Moment(harness.now_ms, harness.wall_ms)
    return explain_placement(harness.engine.placement_view, spec, moment)


def make_harness(count=3):
    harness = EngineHarness(count, 8)
    harness.engine.configure(Terms(1, QUEUES))
    return harness


@given('an engine with 3 servers of 8 cores to be explained')
def start_explained(context):
    context.harness = make_harness()


@when('the first server is {state}')
def change_server(context, state):
    harness = context.harness
    server = harness.engine.state.server_by_id['s0']
    CHANGE_BY_STATE[state](harness, server)


@when('a {kind} job is explained')
def explain_kind(context, kind):
    queue = 'advised' if kind == 'advised' else 'queue'
    spec = job(STEP_BY_KIND[kind], queue=queue)
    context.step = explain(context.harness, spec)['steps'][0]


@then(
    'its step leaves out {count:d} for "{reason}", '
    'and 3 servers in all are counted'
)
def check_left_out(context, count, reason):
    counts = context.step['left_out_by_reason']
    assert counts == {reason: count}, counts
    assert context.step['fitting'] + count == 3, context.step
    shown = {one['server'] for one in context.step['candidates']}
    assert count == 3 or 's0' not in shown, shown


@when(
    'a job of two steps near the data on rack "r1" is explained and submitted'
)
def explain_and_submit(context):
    harness = context.harness
    change_entry(rack='r2')(harness, None)
    harness.engine.state.server_by_id['s1'].penalty = 2
    steps = step(2, near_rack='r1'), step(3, after=(0,))
    context.report = explain(harness, job(*steps))
    harness.submit(*steps)


@then('its first task starts on the chosen server')
def check_chosen(context):
    shown = context.report['steps'][0]['candidates']
    first = context.harness.planned_runs[0]
    assert first.server_id == shown[0]['server'], shown


@then('each cost is the sum of its terms')
def check_terms(context):
    shown = context.report['steps'][0]['candidates']
    assert [one['cost_by_term'] for one in shown] == [
        {'utilisation': 0.125},
        {'utilisation': 0.125, 'remote data': 0.5},
        {'utilisation': 0.125, 'penalty': 1.0},
    ], shown
    for one in shown:
        assert one['cost'] == sum(one['cost_by_term'].values()), one


@then('the second step is explained as if the first one were done')
def check_second(context):
    second = context.report['steps'][1]
    assert (second['after'], second['fitting']) == ([0], 3), second


@when('a gang of 7 tasks of 4 cores is explained')
def explain_gang(context):
    spec = job(step(7, 4, gang=True))
    context.step = explain(context.harness, spec)['steps'][0]


@then('6 of 7 members fit, and the gang does not')
def check_gang(context):
    gang = context.step['gang']
    assert (gang['room_for'], gang['fits']) == (6, False), gang


@when("5 tasks wait that are urgent, 4 that aren't and 2 of another service")
def submit_waiting(context):
    for number, (count, queue) in enumerate(
        ((5, 'queue'), (4, 'late'), (2, 'other'))
    ):
        # Less work is left of them than of the job that is explained.
        waiting = StepSpec(count, Resources(9000, 1000, 0), 100)
        spec = job(waiting, queue=queue, job_id=f'{number:016x}')
        context.harness.engine.submit(spec, context.harness.now_ms)
    context.harness.decide()


@then('{count:d} tasks are ahead of it')
def check_ahead(context, count):
    assert context.step['ahead'] == count, context.step


@given('two engines with the same servers and events')
def start_two(context):
    context.pair = make_harness(40), make_harness(40)
    for harness in context.pair:
        harness.figure_by_image = {'calm': 4, 'wild': 3}


@when('one of them is asked before each event')
def ask_one(context):
    context.seen = tuple([] for _ in context.pair)
    for harness, seen in zip(context.pair, context.seen, strict=True):
        for event in range(60):
            if harness is context.pair[0]:
                ask_all(harness)
            run_event(harness, event)
            state = harness.engine.state
            seen.append((state.notes.take(), state.tickets.next_request()))


def ask_all(harness):
    before = cached(harness)
    for kind, one in STEP_BY_KIND.items():
        queue = 'advised' if kind == 'advised' else 'queue'
        explain(harness, job(one, one, queue=queue))
    assert cached(harness) == before


def cached(harness):
    """List what decisions keep for later ones."""
    placer = harness.engine._placer
    model = harness.engine.placement_view.model
    forecasts = {
        server: (id(forecast), *forecast.allowance_by_image)
        for server, forecast in model._forecast_by_server.items()
    }
    steps = *model._filter_by_step, *placer._state.tickets._tickets_by_step
    offsets = placer._admission._offset, placer._selection._offset
    reserved = placer.reservations._reserved_by_server.copy()
    return forecasts, steps, offsets, reserved


def run_event(harness, event):
    kinds = itertools.cycle(
        (
            (
                'queue',
                step(3, 4, target_ms=10, image='calm', long_running=True),
            ),
            ('queue', step(9, best_effort=True, image='wild')),
            ('advised', step(2)),
            ('queue', step(4, 3)),
            ('queue', step(4, 7, gang=True)),
        )
    )
    queue, submitted = next(itertools.islice(kinds, event, None))
    spec = job(submitted, queue=queue, job_id=f'{event:016x}')
    harness.engine.submit(spec, harness.now_ms)
    harness.decide()
    harness.poll()
    harness.decide()


@then('both have decided, noted and stored the same')
def check_same(context):
    first, second = context.pair
    assert first.planned_runs, 'nothing was planned'
    assert [run.key for run in first.planned_runs] == [
        run.key for run in second.planned_runs
    ]
    assert str(context.seen[0]) == str(context.seen[1])
    assert first.rows == second.rows


@when('a job of 500 steps is explained')
def explain_large(context):
    spec = job(*itertools.repeat(step(2), 500))
    context.report = explain(context.harness, spec)


@then('8 steps and at most 800 servers were evaluated, which the report tells')
def check_bounds(context):
    steps = context.report['steps']
    assert len(steps) == 500 - context.report['steps_not_shown'] == 8
    evaluated = [one['evaluated'] for one in steps]
    assert sum(evaluated) <= 800 and all(evaluated), evaluated
    assert all(one['servers'] == 1500 for one in steps)


@when('the job {document} is decoded')
def decode_document(context, document):
    context.fault = decode_job(document.encode())


@then('its fault is: {fault}')
def check_fault(context, fault):
    assert str(context.fault) == fault, str(context.fault)
