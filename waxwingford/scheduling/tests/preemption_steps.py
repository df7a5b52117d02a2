"""Steps for preemption."""

from behave import given, then, when

from waxwingford.ports import Resources
from waxwingford.scheduling import (
    EndKind,
    Engine,
    Features,
    InheritedLeases,
    JobSpec,
    OrderOutcomeUnknown,
    OrderRefused,
    QueueTerms,
    RefusalReason,
    RunningReport,
    StepSpec,
    Terms,
)
from waxwingford.scheduling._eligibility import MAX_UNANSWERED_STARTS
from waxwingford.scheduling.tests.engine_harness import (
    POLL_INTERVAL_MS,
    EngineHarness,
)
from waxwingford.scheduling.tests.large_fleet_steps import CallCounter

CORES = 32
TICK_MS = 50
BATCH_PER_SERVER = 9
URGENT = QueueTerms('urgent', 'service', 0, 3)
BATCH = QueueTerms('batch', 'service', 2, 3)
QUEUES = {queue.name: queue for queue in (URGENT, BATCH)}


class PreemptionHarness(EngineHarness):
    """Engine whose runs have the progress that the steps set."""

    def __init__(self, features):
        self.features = features
        self.default_percent = 20
        self.percent_by_run = {}
        self.silent_ids = set()
        super().__init__(0, CORES)
        self.engine = self.new_engine(7)
        self.jobs = 0

    def new_engine(self, token):
        engine = Engine(
            token,
            5000,
            InheritedLeases(self.now_ms, {}),
            features=self.features,
        )
        engine.configure(Terms(1, QUEUES))
        return engine

    def report(self, key, run):
        percent = self.percent_by_run.get(key, self.default_percent)
        return RunningReport(key, '', percent, 0)

    def submit_to(self, queue, spec):
        self.jobs += 1
        job_id = f'{0xB000 + self.jobs:016x}'
        job = JobSpec(job_id, queue.name, '', (spec,), terms=queue)
        self.engine.submit(job, self.now_ms)
        return job_id

    def poll(self):
        servers = self.engine.state.server_by_id
        # New servers that haven't answered yet.
        silent = {one: servers.pop(one) for one in self.silent_ids}
        super().poll()
        servers.update(silent)

    def wait(self, span_ms):
        until_ms = self.now_ms + span_ms
        while self.now_ms < until_ms:
            self.poll()
            self.decide()

    def runs_of(self, job_id):
        return [
            run for run in self.planned_runs if run.key.task.job_id == job_id
        ]

    def notes_of(self, event):
        self.notes = getattr(self, 'notes', [])
        self.notes += self.engine.state.notes.take()
        return [note for note in self.notes if note.event == event]


def batch_step(count, **more):
    needs = Resources(7000, 13_000, 0)
    return StepSpec(count, needs, 2700, best_effort=True, **more)


VICTIMS = {
    'batch tasks that save progress': {'writes_checkpoints': True},
    'tasks of the same priority': {'writes_checkpoints': True},
    'batch tasks that were preempted twice': {'writes_checkpoints': True},
    'batch tasks that are 95 percent done': {'writes_checkpoints': True},
    'batch tasks in gangs': {'writes_checkpoints': True, 'gang': True},
}


@given('{count:d} server {switch} preemption, full of {victims}')
@given('{count:d} servers {switch} preemption, full of {victims}')
def start_full(context, count, switch, victims):
    harness = PreemptionHarness(Features(preemption=switch == 'with'))
    context.harness = harness
    harness.add(CORES)
    first = harness.entries[0]
    harness.entries = [
        first._replace(server_id=f's{one}', endpoint=f's{one}:1')
        for one in range(count)
    ]
    harness.register()
    harness.poll()
    queue = URGENT if 'same priority' in victims else BATCH
    spec = batch_step(BATCH_PER_SERVER, **VICTIMS.get(victims, {}))
    context.batch_jobs = [harness.submit_to(queue, spec) for _ in range(count)]
    for percent in (70, 95):
        if f'{percent} percent' in victims:
            harness.default_percent = percent
    while len(harness.planned_runs) < BATCH_PER_SERVER * count:
        harness.poll()
        harness.decide()
    context.batch_runs = list(harness.planned_runs)
    for run in context.batch_runs:
        task, _ = harness.engine.state.find(run.key)
        task.preemptions = 2 if 'twice' in victims else 0
    harness.poll()


@given('two of them on the last server are 10 percent done')
def set_cheap(context):
    harness = context.harness
    last = harness.entries[-1].server_id
    runs = [run for run in context.batch_runs if run.server_id == last]
    context.cheap = {run.key for run in runs[3:5]}
    harness.percent_by_run = dict.fromkeys(context.cheap, 10)
    harness.poll()


@when(
    '{kind} task of {cores:d} cores and {memory:d} GB waits for {span_ms:d} ms'
)
def wait_one(context, kind, cores, memory, span_ms):
    submit_waiting(context, 1, cores, memory, 'long' in kind)
    context.harness.wait(span_ms)


@when(
    '{count:d} long-running tasks of {cores:d} cores and {memory:d} GB'
    ' wait for {span_ms:d} ms'
)
def wait_several(context, count, cores, memory, span_ms):
    submit_waiting(context, count, cores, memory, True)
    harness = context.harness
    until_ms = harness.now_ms + span_ms
    context.calls = 0
    while harness.now_ms < until_ms:
        harness.poll()
        with CallCounter() as counted:
            harness.engine.decide(harness.now_ms, harness.wall_ms)
        context.calls = max(context.calls, counted.calls)
        harness.decide()


def submit_waiting(context, count, cores, memory, long_running, decide=True):
    needs = Resources(cores * 1000, memory * 1000, 0)
    spec = StepSpec(count, needs, 700, long_running=long_running)
    context.waiting_job = context.harness.submit_to(URGENT, spec)
    if decide:
        context.harness.decide()


@when('{span_ms:d} ms pass')
def pass_time(context, span_ms):
    context.harness.wait(span_ms)


@when('a batch job of {count:d} tasks arrives')
def submit_batch(context, count):
    context.harness.submit_to(BATCH, batch_step(count))


def stopped_runs(context):
    stopped = set(context.harness.stops())
    return [run for run in context.batch_runs if run.key in stopped]


@then('no batch task is stopped')
def check_no_stops(context):
    assert not context.harness.stops(), context.harness.stops()


@then('{count:d} batch tasks are stopped, on one server')
def check_stops_on_one(context, count):
    stopped = stopped_runs(context)
    assert len(stopped) == count, stopped
    assert len({run.server_id for run in stopped}) == 1, stopped


@then('{count:d} batch task is stopped')
@then('{count:d} batch tasks are stopped')
def check_stops(context, count):
    assert len(stopped_runs(context)) == count, context.harness.stops()
    assert len(context.harness.notes_of('run.preempted')) == count


@then('just these two are stopped')
def check_cheap(context):
    assert set(context.harness.stops()) == context.cheap


@when('the stopped tasks end')
def end_stopped(context):
    context.stopped = stopped_runs(context)
    for run in context.stopped:
        context.harness.end(run, EndKind.stopped, 'saved')


@when('the stopped tasks end while no start may be planned')
def end_before_round(context):
    harness = context.harness
    harness.max_starts = 0
    end_stopped(context)
    harness.max_starts = float('inf')
    context.started = len(harness.planned_runs)


@then('the waiting task starts on that server')
def check_started(context):
    runs = context.harness.runs_of(context.waiting_job)
    assert len(runs) == 1, runs
    assert runs[0].server_id == context.stopped[0].server_id


@then('all {count:d} waiting tasks have started')
def check_all_started(context, count):
    context.harness.wait(200)
    runs = context.harness.runs_of(context.waiting_job)
    assert len(runs) == count, runs


@then('no other task has started')
def check_no_other(context):
    runs = context.harness.planned_runs[context.started :]
    assert {run.key.task.job_id for run in runs} == {context.waiting_job}


@then('no task has failed')
def check_no_failures(context):
    for run in context.stopped:
        task, _ = context.harness.engine.state.find(run.key)
        assert not task.failures
        assert task.checkpoint == 'saved'


@when('the tasks that were stopped last end')
def end_last(context):
    last = context.harness.notes_of('run.preempted')[-1].fields['for_task']
    keys = {
        (note.subject, note.fields['run'])
        for note in context.harness.notes
        if note.fields.get('for_task') == last
    }
    context.stopped = [
        run
        for run in stopped_runs(context)
        if (str(run.key.task), run.key.run) in keys
    ]
    for run in context.stopped:
        context.harness.end(run, EndKind.stopped, 'saved')


@then('its stop was ordered again')
def check_repeated(context):
    run = stopped_runs(context)[0]
    assert context.harness.stops().count(run.key) == 2


@when('the server of the stopped task is silent for {span_ms:d} ms')
def silence(context, span_ms):
    harness = context.harness
    silent_id = stopped_runs(context)[0].server_id
    context.silent_id = silent_id
    until_ms = harness.now_ms + span_ms
    while harness.now_ms < until_ms:
        servers = harness.engine.state.server_by_id
        silent = servers.pop(silent_id)
        harness.poll()
        servers[silent_id] = silent
        unknown = OrderOutcomeUnknown('cut off')
        harness.engine.poll_answered(
            silent, harness.now_ms, harness.now_ms, unknown
        )
        harness.decide()


@then('a line preemption.abandoned was written')
def check_abandoned(context):
    assert len(context.harness.notes_of('preemption.abandoned')) == 1


@then('a batch task on the other server is stopped')
def check_other_server(context):
    others = {run.server_id for run in stopped_runs(context)}
    assert len(others - {context.silent_id}) == 1, others


@when('the owner changes after the stop, which {stop}')
def change_owner(context, stop):
    harness = context.harness
    context.run = stopped_runs(context)[0]
    previous = harness.engine
    engine = harness.new_engine(previous.orders.token + 1)
    engine.restore(dict(harness.rows))
    for job in previous.state.job_by_id.values():
        engine.submit(job.spec, harness.now_ms)
    engine.inherit(harness.now_ms, harness.wall_ms)
    harness.engine = engine
    harness.orders = []
    harness.register()
    if 'carried out' in stop:
        harness.end(context.run, EndKind.stopped, 'saved')
    harness.wait(200)


def starts_of(context):
    return [
        run
        for run in context.harness.planned_runs
        if run.key.task == context.run.key.task
    ]


@then('the preempted task has one run, which resumes from its checkpoint')
def check_resumed(context):
    harness = context.harness
    # Room for the preempted task: the waiting task takes what was freed.
    harness.add(CORES)
    harness.wait(POLL_INTERVAL_MS)
    first, *later = starts_of(context)
    assert first is context.run
    assert [run.checkpoint for run in later] == ['saved'], later


@then('the preempted task goes on with its first run')
def check_goes_on(context):
    assert starts_of(context) == [context.run]
    assert context.run.key not in context.harness.stops()


@when('the server lists the stopped run again')
def list_again(context):
    harness = context.harness
    harness.orders = []
    report = RunningReport(context.stopped[0].key, '', 0, 0)
    harness.unknown_runs = [report]
    harness.wait(TICK_MS)


@then('a stop of that run is ordered')
def check_late_stop(context):
    assert context.stopped[0].key in context.harness.stops()


@then('the preempting round took at most {most:d} calls for each server')
def check_calls(context, most):
    servers = len(context.harness.entries)
    preempted = context.harness.notes_of('run.preempted')
    assert preempted
    assert context.calls <= most * servers, context.calls / servers


@when('the server has 10 GB less from now on')
def shrink(context):
    harness = context.harness
    entry = harness.entries[0]
    memory = entry.capacity.memory_mb - 10_000
    capacity = entry.capacity._replace(memory_mb=memory)
    harness.entries[0] = entry._replace(capacity=capacity)
    harness.register()


@then('a line preemption.abandoned tells that the room was used')
def check_room_used(context):
    notes = context.harness.notes_of('preemption.abandoned')
    reasons = [note.fields['reason'] for note in notes]
    assert reasons == ['room used'], reasons


@when('{call} of the preemptor fails from now on')
def break_preemptor(context, call):
    def fail(*arguments):
        raise ZeroDivisionError(call)

    setattr(context.harness.engine._placer._preemptor, call, fail)


@when('a batch task ends while an urgent task waits')
def end_while_waiting(context):
    harness = context.harness
    submit_waiting(context, 1, 13, 15, False)
    harness.wait(400)
    harness.end(context.batch_runs[0], EndKind.done)


@then('the urgent task starts')
def check_urgent_started(context):
    assert len(context.harness.runs_of(context.waiting_job)) == 1


@then('the error in preemption is noted')
def check_noted(context):
    notes = context.harness.notes_of('work.failed')
    assert notes[0].fields['work'] == 'preempt', notes
    assert 'ZeroDivisionError' in notes[0].fields['reason'], notes


@given('an empty server that {state}')
def add_unusable(context, state):
    harness = context.harness
    harness.entries.append(
        harness.entries[0]._replace(server_id='empty', endpoint='empty:1')
    )
    harness.register()
    server = harness.engine.state.server_by_id['empty']
    if 'polled' in state:
        harness.silent_ids.add('empty')
        return
    harness.poll()
    if 'refused' in state:
        server.refusal_backoff_until_ms = harness.now_ms + 1500
    else:
        server.unanswered |= {
            context.batch_runs[0].key._replace(run=100 + number)
            for number in range(MAX_UNANSWERED_STARTS)
        }


@when('the start of the waiting task is refused')
def refuse_start(context):
    harness = context.harness
    task = next(iter(harness.engine.state.pending_by_key.values()))
    server = next(iter(harness.engine.state.server_by_id.values()))
    step = harness.engine.state.job_by_id[task.key.job_id].begin(0)[0]
    harness.engine._placer.planner.plan(task, step, server, harness.now_ms)
    for run in list(task.run_by_number.values()):
        harness.engine.start_answered(
            server,
            run,
            harness.now_ms,
            OrderRefused(RefusalReason.no_room),
        )


@when('{count:d} urgent tasks in as many jobs wait for {span_ms:d} ms')
def wait_in_jobs(context, count, span_ms):
    harness = context.harness
    for _ in range(count):
        submit_waiting(context, 1, 13, 15, False, decide=False)
    harness.wait(600)
    until_ms = harness.now_ms + span_ms
    counts = []
    preempt = harness.engine._placer._preemptor.preempt

    def counted_preempt(*arguments):
        with CallCounter() as counted:
            preempt(*arguments)
        counts.append(counted.calls)

    harness.engine._placer._preemptor.preempt = counted_preempt
    while harness.now_ms < until_ms:
        harness.poll()
        harness.decide()
    context.mean_calls = sum(counts) / len(counts)


@then(
    'a preempting round took at most {most:d} calls for each server on average'
)
def check_mean_calls(context, most):
    servers = len(context.harness.entries)
    assert context.mean_calls <= most * servers, context.mean_calls / servers
