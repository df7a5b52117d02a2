"""Steps for explanations where a job would go."""

import itertools

from behave import given, then, when

from waxwingford.ports import Resources
from waxwingford.scheduling import (
    NO_FEATURES,
    Features,
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


def make_harness(count=3, features=NO_FEATURES):
    harness = EngineHarness(count, 8, features=features)
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


@when('a job of 8 gangs of 200 tasks on one rack is explained')
def explain_gangs(context):
    gang = StepSpec(200, Resources(10, 1, 0), 700, gang=True, one_rack=True)
    context.report = explain(context.harness, job(*itertools.repeat(gang, 8)))


@then(
    'places were searched for 400 members, and the report tells of the others'
)
def check_gangs(context):
    fits = [one['gang']['fits'] for one in context.report['steps']]
    assert fits[:2] == [True, True], fits
    assert fits[2:] == list(itertools.repeat(None, 6)), fits


@when(
    'a gang of {count:d} tasks of 4 cores on one rack is explained and'
    ' submitted'
)
def submit_gang(context, count):
    gang = step(count, 4, gang=True, one_rack=True)
    context.report = explain(context.harness, job(gang))
    context.harness.submit(gang)


@then('its members start on the shown servers')
def check_members(context):
    shown = context.report['steps'][0]['candidates']
    runs = context.harness.planned_runs
    servers = list(dict.fromkeys(run.server_id for run in runs))
    assert servers and servers == [one['server'] for one in shown], shown


@when('a job with 8000 duplicates of an earlier step is decoded')
def decode_duplicates(context):
    needs = '"needs": {"processors_milli": 1, "memory_mb": 1}'
    one = f'{{"count": 1, {needs}, "estimate_ms": 1, "after": %s}}'
    after = list(itertools.repeat(0, 8000))
    steps = f'{one % []}, {one % after}'
    document = f'{{"queue": "q", "steps": [{steps}]}}'
    context.spec = decode_job(document.encode())


@then('its second step is after the first one, once')
def check_after(context):
    assert context.spec.steps[1].after == (0,)


SPEC_BY_KIND = {
    'filling in': StepSpec(1, Resources(4000, 1000, 0), 900),
    'too long': StepSpec(1, Resources(4000, 1000, 0), 90_000),
    'stranding': StepSpec(1, Resources(4000, 1000, 0), 90_000),
    'long-running': StepSpec(
        1, Resources(4000, 1000, 0), 900, long_running=True
    ),
    'best-effort': StepSpec(
        1, Resources(1000, 10_000, 0), 700, best_effort=True, image='archive'
    ),
}


@when('a {kind} step is explained, then submitted')
def explain_then_submit(context, kind):
    harness, spec = context.harness, SPEC_BY_KIND[kind]
    context.step = explain(harness, job(spec))['steps'][0]
    submitted = JobSpec('f' * 16, 'queue', '', (spec,), terms=QUEUE)
    harness.engine.submit(submitted, harness.now_ms)
    harness.decide()
    harness.advance(50)


@when('a step is explained 300 ms after the latest decision')
def explain_late(context):
    harness = context.harness
    context.caches = look_ahead_caches(harness.engine._placer)
    harness.now_ms += 300
    explain(harness, job(SPEC_BY_KIND['too long']))


@then('the profiles of the latest decision are kept')
def check_profiles(context):
    profiles = context.caches[0]
    assert profiles, context.caches
    caches = look_ahead_caches(context.harness.engine._placer)
    assert caches == context.caches, (caches, context.caches)


@then('its first task starts on the server that was explained, "{server}"')
def check_explained(context, server):
    shown = [one['server'] for one in context.step['candidates']]
    runs = context.harness.runs_of('f' * 16)
    started = [run.server_id for run in runs]
    expected = [] if server == 'none' else [server]
    assert started == expected, (started, shown)
    assert shown[:1] == expected, (started, context.step)


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


@given(
    'two engines with the same servers and events, and look-ahead {switch:w}'
)
def start_two(context, switch):
    features = Features(look_ahead=switch == 'on')
    context.pair = tuple(make_harness(40, features) for _ in range(2))
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
    offsets = placer._admission._offset, placer._pools._selection._offset
    reserved = placer.reservations._reserved_by_server.copy()
    return forecasts, steps, offsets, reserved, look_ahead_caches(placer)


def look_ahead_caches(placer):
    ahead = placer._look_ahead
    if ahead is None:
        return None
    profiles = ahead._room._profiles._cached_by_id
    made = {name: cached.made_ms for name, cached in profiles.items()}
    held = [(one.server, one.due_ms) for one in ahead._room.held]
    return made, held


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
