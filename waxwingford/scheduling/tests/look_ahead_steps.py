"""Steps for placement that looks ahead."""

import collections

from behave import given, then, when
from hypothesis import Phase, settings
from hypothesis import given as drawn
from hypothesis import strategies as st

from waxwingford.ports import Resources, fits_resources
from waxwingford.scheduling import (
    EndKind,
    EndReport,
    Engine,
    Features,
    InheritedLeases,
    JobSpec,
    OrderOutcomeUnknown,
    RunningReport,
    StepSpec,
    Terms,
)
from waxwingford.scheduling._job_estimates import expected_run_time_ms
from waxwingford.scheduling.tests.engine_harness import QUEUE, EngineHarness

MEMORY_MB = 1000
#: Time in which a run or its end is known: a poll and two rounds.
ROUNDS_MS = 160
MAX_PUT_BACK_MS = 2000
#: Time for which a task waits before room is reserved for it.
WAIT_MS = 2000
LOOKING_AHEAD = Features(look_ahead=True)


class TimedHarness(EngineHarness):
    """Servers whose tasks take given times, as multiples of the expected ones."""

    def __init__(self, features=LOOKING_AHEAD):
        super().__init__(0, 0)
        self.features = features
        self.engine = self.new_engine(7)
        self.factor_by_job = collections.defaultdict(lambda: 1)
        self.end_ms_by_run = {}
        self.notes = []
        self.jobs = 0

    def new_engine(self, token):
        engine = Engine(
            token,
            5000,
            InheritedLeases(self.now_ms, {}),
            features=self.features,
        )
        engine.configure(Terms(1, {'queue': QUEUE}))
        return engine

    def submit(self, cores, run_ms, count=1, factor=1, **more):
        """Submit a job of one step, and return its id."""
        self.jobs += 1
        memory_mb = more.pop('memory_mb', MEMORY_MB)
        needs = Resources(cores * 1000, memory_mb, 0)
        spec = StepSpec(count, needs, run_ms, **more)
        job_id = f'{self.jobs:016x}'
        self.factor_by_job[job_id] = factor
        job = JobSpec(job_id, 'queue', '', (spec,), terms=QUEUE)
        self.engine.submit(job, self.now_ms)
        return job_id

    def decide(self, accept=True):
        super().decide(accept)
        state = self.engine.state
        self.notes += state.notes.take()
        for run in self.planned_runs:
            if run.key not in self.end_ms_by_run:
                task, step = state.find(run.key)
                run_ms = expected_run_time_ms(step, state.learned.run_times)
                factor = self.factor_by_job[run.key.task.job_id]
                self.end_ms_by_run[run.key] = run.planned_ms + run_ms * factor
        for server in state.server_by_id.values():
            capacity = server.entry.capacity
            assert fits_resources(server.used, capacity), server.used

    def report(self, key, run):
        length_ms = self.end_ms_by_run[key] - run.planned_ms
        if self.step_of(key).long_running:
            return RunningReport(key, '', 100, 1)
        percent = 100 * (self.now_ms - run.planned_ms) // length_ms
        return RunningReport(key, '', min(99, percent), 1)

    def advance(self, span_ms):
        until_ms = self.now_ms + span_ms
        while self.now_ms < until_ms:
            self.end_due()
            self.poll()
            self.decide()

    def end_due(self):
        reported = {end.run for ends in self.ends.values() for end in ends}
        for run in self.planned_runs:
            due = self.end_ms_by_run[run.key] <= self.now_ms
            if not due or run.key in reported:
                continue
            if not self.step_of_run(run).long_running:
                ends = self.ends[run.server_id]
                ends.append(EndReport(len(ends) + 1, run.key, EndKind.done, ''))

    def step_of_run(self, run):
        server = self.engine.state.server_by_id.get(run.server_id)
        return server.step_by_run[run.key].spec

    def runs_of(self, *job_ids):
        return [
            run for run in self.planned_runs if run.key.task.job_id in job_ids
        ]

    def events(self, event):
        return [note for note in self.notes if note.event == event]


@given('look-ahead is {switch}')
def set_switch(context, switch):
    context.harness = TimedHarness(Features(look_ahead=switch == 'on'))


@given(
    '2 servers of 16 cores, one with tasks of 6 cores and 2200 and 2900 ms, one'
    ' with a task of 4 cores and 3900 ms'
)
def start_uneven(context):
    harness = context.harness
    harness.add(16)
    harness.submit(6, 2200)
    harness.submit(6, 2900)
    harness.decide()
    harness.add(16)
    harness.submit(4, 3900)
    harness.decide()
    servers = [run.server_id for run in harness.planned_runs]
    assert servers == ['s0', 's0', 's1'], servers


@given('a task of 4 cores and 1000 ms arrives every 125 ms')
def set_arrivals(context):
    # The servers have room for no more than these.
    context.harness.submit(4, 1000, count=2)
    context.arrival_ms = 125


@given(
    '1 server of 16 cores that runs a task of {cores:d} cores and {run_ms:d} ms'
)
def start_one(context, cores, run_ms):
    context.harness.add(16)
    context.harness.submit(cores, run_ms)
    context.harness.decide()


@given(
    '1 server of 16 cores that runs a task of {cores:d} cores, {memory_mb:d} MB'
    ' and {run_ms:d} ms'
)
def start_one_with_memory(context, cores, memory_mb, run_ms):
    context.harness.add(16)
    context.harness.submit(cores, run_ms, memory_mb=memory_mb)
    context.harness.decide()


@given('1 server of 16 cores that runs a long-running task of {cores:d} cores')
def start_long_running(context, cores):
    context.harness.add(16)
    context.harness.submit(cores, 1000, long_running=True)
    context.harness.decide()


@given(
    '2 servers of 16 cores that run a task of 12 cores and {first:d} or'
    ' {second:d} ms'
)
def start_two(context, first, second):
    harness = context.harness
    harness.add(16)
    harness.add(16)
    context.first_job = harness.submit(12, first)
    harness.submit(12, second)
    harness.decide()


@when('the task of 4000 ms turns out to take {run_ms:d} ms')
def set_length(context, run_ms):
    run = context.harness.runs_of(context.first_job)[0]
    context.harness.end_ms_by_run[run.key] = run.planned_ms + run_ms


@given('3 servers of 16 cores without tasks')
def start_empty(context):
    for _ in range(3):
        context.harness.add(16)


@when('a task of {cores:d} cores and {run_ms:d} ms is submitted')
def submit_task(context, cores, run_ms, **more):
    harness = context.harness
    if not hasattr(context, 'job_by_cores'):
        context.job_by_cores = {}
    context.job_by_cores[cores] = harness.submit(cores, run_ms, **more)
    context.submitted_ms = harness.now_ms
    harness.decide()


@when('a long-running task of {cores:d} cores has waited for {wait_ms:d} ms')
def submit_waiting_task(context, cores, wait_ms):
    submit_task(context, cores, 1000, long_running=True)
    context.harness.advance(wait_ms)


@when('a long-running task of {cores:d} cores is submitted')
def submit_long_running(context, cores):
    context.harness.submit(cores, 1000, long_running=True)
    context.harness.decide()


@when('{count:d} tasks of {cores:d} cores and {run_ms:d} ms are submitted')
def submit_tasks(context, count, cores, run_ms):
    context.harness.submit(cores, run_ms, count)
    context.harness.decide()


@when(
    '{count:d} tasks of {cores:d} cores, {memory_mb:d} MB and {run_ms:d} ms are'
    ' submitted'
)
def submit_with_memory(context, count, cores, memory_mb, run_ms):
    if count:
        context.harness.submit(cores, run_ms, count, memory_mb=memory_mb)
    context.harness.decide()


@when('{count:d} best-effort tasks of {memory_mb:d} MB are submitted')
def submit_best_effort(context, count, memory_mb):
    harness = context.harness
    context.best_effort = harness.submit(
        1, 700, count, memory_mb=memory_mb, best_effort=True, image='archive'
    )
    harness.advance(200)


@when('the reserved server drains')
def drain_reserved(context):
    harness = context.harness
    harness.drain(harness.events('room.reserved')[0].fields['server'])
    harness.decide()


@when('the reserved server stops to answer')
def silence_reserved(context):
    harness = context.harness
    server_id = harness.events('room.reserved')[0].fields['server']
    server = harness.engine.state.server_by_id[server_id]
    lost = OrderOutcomeUnknown('cut off')
    harness.engine.poll_answered(server, harness.now_ms, harness.now_ms, lost)
    harness.decide()


@when('a new owner takes over the reserved room')
def take_over_reserved(context):
    harness = context.harness
    previous = harness.engine
    assert harness.events('room.reserved')
    engine = harness.new_engine(8)
    engine.restore(dict(harness.rows))
    for job in previous.state.job_by_id.values():
        engine.submit(job.spec, harness.now_ms)
    engine.inherit(harness.now_ms, harness.wall_ms)
    harness.engine = engine
    harness.notes.clear()
    harness.register()
    harness.poll()


@when('the task of {cores:d} cores is cancelled')
def cancel_task(context, cores):
    context.harness.engine.cancel(context.job_by_cores[cores])
    context.harness.decide()


def wait_for(context, cores, within_ms):
    """Let time pass until a task starts, or for a time at most."""
    harness = context.harness
    job_id = context.job_by_cores[cores]
    arrival_ms = getattr(context, 'arrival_ms', None)
    next_ms = harness.now_ms
    until_ms = context.submitted_ms + within_ms
    while harness.now_ms < until_ms and not harness.runs_of(job_id):
        if arrival_ms and harness.now_ms >= next_ms:
            harness.submit(4, 1000)
            next_ms += arrival_ms
        harness.advance(1)
    return harness.runs_of(job_id)


@then('it starts within {span_ms:d} ms')
def check_starts(context, span_ms):
    assert wait_for(context, 14, span_ms)


@then('it starts after {span_ms:d} ms')
def check_starts_late(context, span_ms):
    assert not wait_for(context, 14, span_ms)


@then('the task of {cores:d} cores starts within {span_ms:d} ms')
def check_task_starts(context, cores, span_ms):
    assert wait_for(context, cores, span_ms), context.harness.notes


@then('the task of 4 cores fills in at once')
def check_fills_in(context):
    assert context.harness.runs_of(context.job_by_cores[4])


@then("the task of 4 cores doesn't start first")
def check_kept_out(context):
    harness = context.harness
    assert wait_for(context, 14, 6000), harness.notes
    runs = harness.runs_of(*context.job_by_cores.values())
    assert runs[0].key.task.job_id == context.job_by_cores[14], runs


@then(
    '{count:d} long-running task runs when the task of {cores:d} cores starts'
)
def check_long_running(context, count, cores):
    harness = context.harness
    assert wait_for(context, cores, 6000), harness.notes
    running = [
        run
        for run in harness.planned_runs
        if harness.step_of(run.key).long_running
        and run.key.task.job_id != context.job_by_cores[cores]
    ]
    assert len(running) == count, running


@then('nothing is reserved')
def check_nothing_reserved(context):
    context.harness.advance(3000)
    assert not context.harness.events('room.reserved')


@then('its reservation has moved')
def check_moved(context):
    assert context.harness.events('room.moved'), context.harness.notes


@then('its reservation has ended as "{how}"')
def check_ended(context, how):
    ended = context.harness.events('room.reservation_ended')
    assert [note.fields['how'] for note in ended] == [how], ended


@then('it has no reservation before its first round')
def check_no_reservation(context):
    harness = context.harness
    assert not harness.events('room.reserved')
    for server in harness.engine.state.server_by_id.values():
        assert not server.reserved_for, server


@then('each task was started once')
def check_started_once(context):
    runs = collections.Counter(
        run.key.task for run in context.harness.planned_runs
    )
    assert set(runs.values()) == {1}, runs


@then('each server runs 2 of them')
def check_spread(context):
    runs = collections.Counter(
        run.server_id for run in context.harness.planned_runs
    )
    assert set(runs.values()) == {2}, runs
    assert len(runs) == 3, runs


@then('{count:d} best-effort tasks run')
def check_best_effort(context, count):
    runs = context.harness.runs_of(context.best_effort)
    assert len(runs) == count, runs


TASKS = st.tuples(st.integers(1, 8), st.integers(200, 2500), st.floats(0.3, 3))
BLOCKERS = st.lists(
    st.tuples(st.integers(4, 12), st.integers(2400, 5000)), max_size=6
)
ARRIVALS = st.lists(st.tuples(st.integers(0, 400), TASKS), max_size=20)


@then(
    'no arrivals exceed the room of a server or put a reserved task back too'
    ' far'
)
def any_arrivals(context):
    # An example takes too long to be shrunk.
    @settings(max_examples=50, phases=(Phase.generate,))
    @drawn(st.integers(1, 2), BLOCKERS, st.integers(9, 16), ARRIVALS)
    def _arrive(servers, blockers, cores, arrivals):
        harness = TimedHarness()
        for _ in range(servers):
            harness.add(16)
        for blocker in blockers:
            harness.submit(*blocker)
        harness.decide()
        waiting = len(blockers) - len(harness.planned_runs)
        large = harness.submit(cores, 1000, long_running=True)
        harness.advance(WAIT_MS)
        for gap_ms, (filler_cores, run_ms, factor) in arrivals:
            harness.advance(gap_ms)
            harness.submit(filler_cores, run_ms, factor=factor)
        until_ms = harness.now_ms + 30_000
        while harness.now_ms < until_ms and not harness.runs_of(large):
            harness.advance(1)
        runs = harness.runs_of(large)
        assert len(runs) == 1, runs
        reserved = [
            note
            for note in harness.events('room.reserved')
            if note.subject == str(runs[0].key.task)
        ]
        if reserved and not waiting:
            put_back_ms = (
                reserved[0].fields['waited_ms'] + reserved[0].fields['in_ms']
            )
            started = next(
                note
                for note in harness.events('run.planned')
                if note.subject == str(runs[0].key.task)
            )
            late_ms = started.fields['waited_ms'] - put_back_ms
            assert late_ms <= MAX_PUT_BACK_MS + ROUNDS_MS, late_ms

    _arrive()
