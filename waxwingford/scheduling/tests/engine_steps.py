"""Steps for the engine, with servers that list what they are told to."""

import collections

from behave import given, then, when

from waxwingford.ports import Resources
from waxwingford.scheduling import (
    Denial,
    EndKind,
    EndReport,
    Engine,
    InheritedLeases,
    JobSpec,
    Looked,
    OrderDenied,
    OrderNotSent,
    OrderTaken,
    OrderUnknown,
    Pace,
    QueueTerms,
    RunKey,
    RunningReport,
    ServerEntry,
    StepSpec,
    Stop,
    TaskKey,
    Terms,
)

JOB = '00000000000000aa'
SECOND = '00000000000000bb'
THIRD = '00000000000000cc'
LOOK_EVERY_MS = 250
QUEUE = QueueTerms('queue', 'service', 0, 3)


class Bench:
    """An engine whose servers do as they are told."""

    def __init__(self, count, cores):
        self.now_ms = 100_000
        self.rows = {}
        self.engine = new_engine(7, self.now_ms)
        self.entries = []
        self.planned = []
        self.orders = []
        self.ends = collections.defaultdict(list)
        self.figure_by_image = {}
        self.pace_by_image = {}
        self.still = False
        self.strangers = []
        self.paces = []
        for _ in range(count):
            self.add(cores)

    @property
    def wall_ms(self):
        return self.now_ms + 1_000_000

    def add(self, cores, labels=('r1',)):
        server_id = f's{len(self.entries)}'
        capacity = Resources(cores * 1000, cores * 4000, 0)
        self.entries.append(
            ServerEntry(
                server_id,
                f'{server_id}:1',
                'service',
                'd',
                frozenset(labels),
                capacity,
                draining=False,
                rack='r1',
            )
        )
        self.register()
        self.look()

    def register(self):
        self.engine.register(self.entries, self.now_ms)

    def drain(self, server_id):
        self.entries = [
            entry._replace(
                draining=entry.draining or entry.server_id == server_id
            )
            for entry in self.entries
        ]
        self.register()

    def submit(self, *steps, **more):
        self.engine.submit(
            JobSpec(JOB, 'queue', 'payload', steps, terms=QUEUE, **more),
            self.now_ms,
        )
        self.decide()

    def decide(self, accept=True):
        self.now_ms += 50
        self.engine.decide(self.now_ms, self.wall_ms)
        batch = self.engine.take_batch()
        keep(self.rows, batch.payload_by_key)
        for start in self.engine.stored(batch):
            self.planned.append(start.run)
            server = self.engine.book.server_by_id[start.server_id]
            self.last_order = self.engine.orders.start(start.run, self.now_ms)
            if accept:
                self.engine.settler.start_answered(
                    server, start.run, self.now_ms, OrderTaken(self.now_ms)
                )
        self.orders += self.engine.book.take_orders()
        for order in self.orders:
            if isinstance(order, Pace):
                self.paces.append(order)
                step = self.step_of(order.key)
                self.pace_by_image[step.image] = order.percent
                self.lowest = min(
                    self.lowest_by_image.get(step.image, 100), order.percent
                )
                self.lowest_by_image[step.image] = self.lowest
        self.orders = [one for one in self.orders if not isinstance(one, Pace)]

    lowest_by_image: dict = {}

    def step_of(self, key):
        job = self.engine.book.job_by_id[key.task.job_id]
        return job.spec.steps[key.task.step]

    def look(self):
        sent_ms = self.now_ms
        self.now_ms += 2
        for server in list(self.engine.book.server_by_id.values()):
            server_id = server.entry.server_id
            running = [
                self.report(key, run)
                for key, run in server.run_by_key.items()
                if key not in {end.run for end in self.ends[server_id]}
            ]
            looked = Looked(
                self.now_ms,
                tuple(running + self.strangers),
                tuple(self.ends[server_id]),
            )
            self.engine.looked(server, sent_ms, self.now_ms, looked)

    def report(self, key, run):
        step = self.step_of(key)
        if step.target_ms:
            return RunningReport(key, '', 100, self.tail())
        if step.fills:
            pace = self.pace_by_image.get(step.image, 100)
            used = step.needs.processors_milli * pace / 100
            return RunningReport(key, '', self.percent(), used)
        percent = self.still_percent if self.still else self.percent()
        return RunningReport(key, '', percent, 1)

    def percent(self):
        return 100 if self.lasting else (self.now_ms // 50) % 100

    lasting = False
    still_percent = 40

    def tail(self):
        wild = self.pace_by_image.get('wild', 100) / 100
        return self.figure_by_image['calm'] * (
            1 + (self.figure_by_image['wild'] - 1) * wild
        )

    def end(self, run, kind, checkpoint=''):
        ends = self.ends[run.server_id]
        ends.append(EndReport(len(ends) + 1, run.key, kind, checkpoint))
        self.look()
        self.decide()

    def pass_ms(self, span_ms):
        until_ms = self.now_ms + span_ms
        while self.now_ms < until_ms:
            self.look()
            self.decide()
            self.now_ms += LOOK_EVERY_MS

    def stops(self):
        return [one.key for one in self.orders if isinstance(one, Stop)]


def new_engine(token, now_ms):
    engine = Engine(token, 5000, InheritedLeases(now_ms, {}))
    engine.configure(Terms(1, {'queue': QUEUE}))
    return engine


def keep(rows, payload_by_key):
    for key, payload in payload_by_key.items():
        rows.pop(key, None)
        if payload is not None:
            rows[key] = payload


def step(count=1, cores=1, **more):
    return StepSpec(count, Resources(cores * 1000, 1000, 0), 700, **more)


@given('an engine with {count:d} servers of {cores:d} cores')
def an_engine(context, count, cores):
    context.bench = Bench(count, cores)
    context.bench.lowest_by_image = {}


@given('the queue is advised')
def advised(context):
    queue = QUEUE._replace(advised=True)
    context.bench.engine.configure(Terms(2, {'queue': queue}))


@given('a lasting job of 1 task that runs')
def lasting_job(context):
    context.bench.lasting = True
    context.bench.submit(step(lasting=True))
    context.bench.look()
    context.run = context.bench.planned[0]


@given('a lasting job of {count:d} task of {cores:d} cores that runs')
@given('a lasting job of {count:d} tasks of {cores:d} cores that runs')
def lasting_tasks(context, count, cores):
    context.bench.lasting = True
    context.bench.submit(step(count, cores, lasting=True))
    context.bench.look()
    assert len(context.bench.planned) == count
    context.run = context.bench.planned[0]


@when('a lasting job of 1 task of {cores:d} cores waits for {span_s:d} s')
def lasting_waits(context, cores, span_s):
    steps = (step(1, cores, lasting=True),)
    spec = JobSpec(SECOND, 'queue', 'payload', steps, terms=QUEUE)
    context.bench.engine.submit(spec, context.bench.now_ms)
    context.bench.pass_ms(span_s * 1000)


@when(
    'urgent tasks of 1 core and {length_ms:d} ms come,'
    ' twice what there is room for'
)
def press(context, length_ms):
    press_between(context, length_ms, length_ms)


@when(
    'urgent tasks of 1 core and {least_ms:d} to {most_ms:d} ms come,'
    ' twice what there is room for'
)
def press_between(context, least_ms, most_ms):
    context.length_ms = least_ms
    context.spread_ms = most_ms - least_ms
    context.pressed = 0
    run_pressed(context, 3000, until=bool)


def run_pressed(context, span_ms, until):
    """Let time pass while more short tasks wait than there is room for.

    :param context: of the scenario.
    :param span_ms: how long at most.
    :param until: ends it earlier.
    :returns: milliseconds that have passed.
    """
    bench = context.bench
    began_ms = bench.now_ms
    cores = sum(one.capacity.processors_milli for one in bench.entries) // 1000
    while bench.now_ms - began_ms < span_ms and not until():
        while len(bench.engine.book.ready_by_key) < cores:
            submit_short(context)
        end_short(context)
        bench.decide()
    return bench.now_ms - began_ms


def submit_short(context):
    bench = context.bench
    context.pressed += 1
    job_id = f'{0xC000 + context.pressed:016x}'
    spec = JobSpec(job_id, 'queue', 'payload', (step(),), terms=QUEUE)
    bench.engine.submit(spec, bench.now_ms)
    bench.engine.decide(bench.now_ms, bench.wall_ms)


def short_runs(bench):
    return [
        run
        for server in bench.engine.book.server_by_id.values()
        for key, run in server.run_by_key.items()
        if not bench.step_of(key).lasting
    ]


def end_short(context):
    bench = context.bench
    for run in short_runs(bench):
        more_ms = int(run.key.task.job_id, 16) * 97 % (context.spread_ms + 1)
        if bench.now_ms - run.planned_ms >= context.length_ms + more_ms:
            ends = bench.ends[run.server_id]
            end = EndReport(len(ends) + 1, run.key, EndKind.done, '')
            ends.append(end)
    bench.look()


@when('the run of the lasting task ends as stopped')
def lasting_ends(context):
    context.bench.end(context.run, EndKind.stopped)


@then('it is planned again within {span_s:d} s')
def planned_again(context, span_s):
    bench = context.bench
    context.planned_before = len(bench.planned)
    task = context.run.key.task

    def again():
        return any(
            run.key.task == task and run is not context.run
            for run in bench.planned
        )

    passed_ms = run_pressed(context, 3 * span_s * 1000, until=again)
    context.waited_ms = passed_ms
    assert again(), f'not within {passed_ms} ms'
    assert passed_ms <= span_s * 1000, passed_ms


@then('short tasks were planned all the while')
def short_planned(context):
    count = len(context.bench.planned) - context.planned_before
    # Two of three servers go on: 16 tasks every 0.75 s.
    least = 16 * context.waited_ms // 750
    assert count >= least, (count, least)


@then('all {cores:d} cores beside the lasting tasks are in use')
def in_use(context, cores):
    assert len(short_runs(context.bench)) == cores


@given('a job of 1 task that runs')
def running_job(context):
    context.bench.submit(step())
    context.bench.look()
    context.run = context.bench.planned[0]


@when('a job of 1 task is submitted')
def submit_job(context):
    context.bench.submit(step())


@when('a job of 1 task is submitted after {span_s:d} s without a look')
def submit_after(context, span_s):
    context.read_ms = context.bench.now_ms
    context.bench.now_ms += span_s * 1000
    context.bench.submit(step())


@then(
    'its lease is over after {span_s:d} s at most,'
    ' by a clock that is {percent:d} percent slow'
)
def lease_over(context, span_s, percent):
    bench = context.bench
    passed_ms = bench.now_ms - context.read_ms
    clock_ms = context.read_ms + passed_ms * (100 - percent) / 100
    lease_ms = bench.last_order.lease_until_ms - clock_ms
    assert 0 < lease_ms, lease_ms
    assert lease_ms <= span_s * 1000, lease_ms


@when('the server of the task drains')
def drain(context):
    context.bench.drain(context.run.server_id)
    context.bench.decide()


@then('a stop of the task is ordered')
def stop_ordered(context):
    assert context.bench.stops() == [context.run.key], context.bench.orders


@when('the server lists it as stopped')
def listed_stopped(context):
    context.bench.end(context.run, EndKind.stopped)


@then('the task is planned on the other server')
def on_other(context):
    second = context.bench.planned[1]
    assert second.server_id != context.run.server_id
    assert second.key.run == 2


@when('a gang of {count:d} tasks of 1 core is submitted')
def submit_gang(context, count):
    context.bench.submit(step(count, gang=True))


@given('a gang of {count:d} tasks of 1 core that runs')
def running_gang(context, count):
    submit_gang(context, count)
    context.bench.look()


@when('another server of {cores:d} cores registers')
def another_server(context, cores):
    context.bench.add(cores)
    context.bench.decide()


@then('nothing is planned')
def nothing_planned(context):
    assert not context.bench.planned, context.bench.planned


@then('{count:d} runs are planned under one run number')
def gang_planned(context, count):
    numbers = {run.key.run for run in context.bench.planned}
    assert len(context.bench.planned) == count
    assert len(numbers) == 1, numbers


@when('one member is refused by its server')
def member_refused(context):
    bench = context.bench
    run = bench.planned[0]
    server = bench.engine.book.server_by_id[run.server_id]
    refusal = OrderDenied(Denial.no_room)
    bench.engine.settler.start_answered(server, run, bench.now_ms, refusal)
    bench.decide()


@when('the start of one member turns out not to have been sent')
def member_not_sent(context):
    answer_start(context.bench, context.bench.planned[0], OrderNotSent('-'))


def answer_start(bench, run, outcome):
    server = bench.engine.book.server_by_id[run.server_id]
    bench.engine.start_answered(server, run, bench.now_ms, outcome)
    bench.decide()


@when('a job of 1 task is submitted whose start is not sent')
def submit_not_sent(context):
    submit_unanswered(context, OrderNotSent('no connection'))


@when('a job of 1 task is submitted whose start has no answer')
def submit_unknown(context):
    submit_unanswered(context, OrderUnknown('time-out'))


def submit_unanswered(context, outcome):
    bench = context.bench
    spec = JobSpec(JOB, 'queue', 'payload', (step(),), terms=QUEUE)
    bench.engine.submit(spec, bench.now_ms)
    bench.decide(accept=False)
    context.run = bench.planned[0]
    answer_start(bench, context.run, outcome)


@then('nothing is known to run on the first one')
def nothing_on_first(context):
    book = context.bench.engine.book
    server = book.server_by_id[context.run.server_id]
    assert not server.run_by_key, server.run_by_key
    assert not context.bench.orders, context.bench.orders


@then('its first run may still be present')
def may_be_present(context):
    book = context.bench.engine.book
    server = book.server_by_id[context.run.server_id]
    assert list(server.run_by_key) == [context.run.key]


@then(
    'a second job of {count:d} tasks of 1 core is placed on the other server only'
)
def placed_on_other(context, count):
    assert places_of(context, SECOND, count) == {
        one.server_id
        for one in context.bench.entries
        if one.server_id != context.run.server_id
    }


@when('all servers answer a look')
def all_answer(context):
    context.bench.look()


@then('a third job of {count:d} tasks of 1 core is placed on the first one')
def placed_on_first(context, count):
    places = places_of(context, THIRD, count)
    assert places == {context.run.server_id}, places


def places_of(context, job_id, count):
    bench = context.bench
    spec = JobSpec(job_id, 'queue', 'payload', (step(count),), terms=QUEUE)
    bench.engine.submit(spec, bench.now_ms)
    bench.decide()
    runs = [run for run in bench.planned if run.key.task.job_id == job_id]
    assert len(runs) == count, f'{len(runs)} were planned'
    return {run.server_id for run in runs}


@given('{count:d} servers of {cores:d} cores without the label')
def without_label(context, count, cores):
    for _ in range(count):
        context.bench.add(cores, labels=())


@given('a lasting job of 1 task that runs and requires the label')
def labelled_job(context):
    context.bench.lasting = True
    context.bench.submit(step(lasting=True, label='r1'))
    context.bench.look()
    context.run = context.bench.planned[0]


@when('its run fails {count:d} times, {span_s:d} s apart')
def fails_often(context, count, span_s):
    bench = context.bench
    context.waited_ms = []
    for number in range(count):
        planned = len(bench.planned)
        bench.end(bench.planned[-1], EndKind.failed)
        failed_ms = bench.now_ms
        while len(bench.planned) == planned:
            bench.pass_ms(LOOK_EVERY_MS)
        context.waited_ms.append(bench.now_ms - failed_ms)
        if number < count - 1:
            bench.pass_ms(span_s * 1000)


@then('it is at work again within {span_s:g} s each time')
def at_work_again(context, span_s):
    assert max(context.waited_ms) <= span_s * 1000, context.waited_ms


@then('a second job of {count:d} tasks of 1 core is planned at once')
def planned_at_once(context, count):
    assert len(places_of(context, SECOND, count)) == 2


@when(
    'urgent tasks of {length_ms:d} ms come for {span_s:d} s'
    ' and all fail on the first server'
)
def fail_on_first(context, length_ms, span_s):
    bench = context.bench
    context.length_ms = length_ms
    context.spread_ms = 0
    context.pressed = 0
    until_ms = bench.now_ms + span_s * 1000
    while bench.now_ms < until_ms:
        while len(bench.engine.book.ready_by_key) < 4:
            submit_short(context)
        fail_short(bench, 's0')
        end_short(context)
        bench.decide()


def fail_short(bench, server_id):
    ends = bench.ends[server_id]
    listed = {end.run for end in ends}
    for run in short_runs(bench):
        if run.server_id == server_id and run.key not in listed:
            number = len(ends) + 1
            ends.append(EndReport(number, run.key, EndKind.failed, ''))
    bench.look()


@when(
    'a lasting job of {count:d} tasks comes,'
    ' which all fail at once for {span_s:d} s'
)
def all_fail(context, count, span_s):
    bench = context.bench
    broken = {one.server_id for one in bench.entries} - {context.run.server_id}
    ends = bench.ends[broken.pop()]
    steps = (step(count, lasting=True),)
    spec = JobSpec(SECOND, 'queue', 'payload', steps, terms=QUEUE)
    bench.engine.submit(spec, bench.now_ms)
    until_ms = bench.now_ms + span_s * 1000
    while bench.now_ms < until_ms:
        bench.decide()
        runs = [run for run in bench.planned if run.key.task.job_id == SECOND]
        for run in runs[len(ends) :]:
            number = len(ends) + 1
            ends.append(EndReport(number, run.key, EndKind.failed, ''))
        bench.look()
    context.starts = len(runs)


@then('they were started at most {count:d} times')
def started_at_most(context, count):
    assert context.starts <= count, context.starts


@then('at most {percent:d} percent of them were placed there')
def few_there(context, percent):
    places = [run.server_id for run in context.bench.planned]
    share = 100 * places.count('s0') / len(places)
    assert share <= percent, (share, len(places))


@then('a stop of the {count:d} other members is ordered')
def others_stopped(context, count):
    others = {run.key for run in context.bench.planned[1:]}
    assert len(others) == count
    assert set(context.bench.stops()) == others


@when(
    'a job is submitted whose task fails {count:d} times on different servers'
)
def failing(context, count):
    context.bench.submit(step())
    for number in range(count):
        context.bench.look()
        context.bench.end(context.bench.planned[number], EndKind.failed)


@when('a job is submitted whose task lapses {count:d} times')
def lapsing(context, count):
    context.bench.submit(step())
    for number in range(count):
        context.bench.look()
        context.bench.end(context.bench.planned[number], EndKind.lapsed)


@then('its caller is told {phase}')
def job_shown(context, phase):
    assert context.bench.engine.book.phase(JOB).value == phase


@then('it was placed on {count:d} different servers')
def different(context, count):
    assert len({run.server_id for run in context.bench.planned}) == count


@given(
    'a task that serves with a target of {target_ms:d} ms,'
    ' beside fills "calm" and "wild"'
)
def serving(context, target_ms):
    bench = context.bench
    bench.figure_by_image = {'calm': 7, 'wild': 1}
    bench.submit(
        step(cores=6, lasting=True, image='web', target_ms=target_ms),
        step(cores=4, fills=True, saves=True, image='calm'),
        step(cores=4, fills=True, saves=True, image='wild'),
    )
    bench.look()


@when(
    'its tail is {calm:g} ms with "calm" alone'
    ' and {wild:g} ms beside "wild", for {span_s:d} s'
)
def tails(context, calm, wild, span_s):
    # First alone, so that the task's own tail is known; then both.
    context.bench.figure_by_image = {'calm': calm, 'wild': wild / calm}
    context.bench.pass_ms(span_s * 1000)


@when('its tail is {tail_ms:g} ms for {span_s:g} s')
def high_tail(context, tail_ms, span_s):
    context.bench.figure_by_image = {'calm': tail_ms, 'wild': 1}
    context.bench.pass_ms(int(span_s * 1000))


@then('no stop is ordered')
def no_stop(context):
    assert not context.bench.stops()


@then('stops are ordered of "{image}" only')
def stops_of(context, image):
    bench = context.bench
    images = {bench.step_of(key).image for key in bench.stops()}
    assert images == {image}, images


@when(
    'a job of {count:d} tasks of {cores:d} cores is submitted'
    ' and waits for {span_ms:d} ms'
)
def wait_for_room(context, count, cores, span_ms):
    context.bench.engine.book.notes.take()
    context.bench.submit(step(count=count, cores=cores))
    context.bench.pass_ms(span_ms)


@then(
    'its waiting was noted {times:d} times,'
    ' with {servers:d} servers kept out by "{reason}"'
)
def waiting_noted(context, times, servers, reason):
    notes = context.bench.engine.book.notes.take()
    waits = [note.inputs for note in notes if note.event == 'step.waits']
    assert len(waits) == times, notes
    assert all(one['kept_out'] == {reason: servers} for one in waits), waits


@then('"{image}" was slowed to under {percent:d} percent')
def slowed(context, image, percent):
    lowest = context.bench.lowest_by_image.get(image, 100)
    assert lowest < percent, context.bench.lowest_by_image


@then('"{image}" works at {percent:d} percent at the end')
def works_at(context, image, percent):
    found = context.bench.pace_by_image.get(image, 100)
    assert found == percent, context.bench.pace_by_image


@when('its progress stands still for {span_s:d} s')
def stands_still(context, span_s):
    context.bench.still = True
    context.bench.pass_ms(span_s * 1000)


@when('the server lists a run that nobody knows')
def stranger(context):
    key = RunKey(TaskKey('00000000000000bb', 0, 0, 0), 1)
    context.bench.strangers = [RunningReport(key, '', 5, 1)]
    context.bench.look()


@then('a stop of the unknown run is ordered')
def stranger_stopped(context):
    keys = [key.task.job_id for key in context.bench.stops()]
    assert keys == ['00000000000000bb'], keys


@when(
    'a job is submitted that is due in {due_s:d} s, twice, {every_s:d} s apart'
)
def timed(context, due_s, every_s):
    bench = context.bench
    bench.submit(
        step(),
        first_due_ms=bench.wall_ms + due_s * 1000,
        every_ms=every_s * 1000,
        times=2,
    )


@when('{span_s:d} s pass in the engine')
def pass_time(context, span_s):
    context.bench.pass_ms(span_s * 1000)


@then('{count:d} run was planned in all')
@then('{count:d} runs were planned in all')
def planned_in_all(context, count):
    tasks = {run.key.task for run in context.bench.planned}
    assert len(tasks) == count, context.bench.planned


@when('the service gives a ticket for the second server only')
def ticket(context):
    bench = context.bench
    advice = bench.engine.book.advice
    question = advice.next_question()
    assert set(question.server_ids) == {'s0', 's1'}, question
    now_ms = bench.now_ms
    advice.answered(question, {'s1': 'ticket'}, now_ms, 3000, now_ms)
    bench.decide()


@when('the service is asked, and the job is cancelled and forgotten')
def asked_then_cancelled(context):
    bench = context.bench
    context.question = bench.engine.book.advice.next_question()
    bench.engine.cancel(JOB)
    bench.decide()
    bench.decide()
    assert JOB not in bench.engine.book.job_by_id


@when('the service gives a ticket for the second server after that')
def late_ticket(context):
    bench = context.bench
    advice = bench.engine.book.advice
    now_ms = bench.now_ms
    advice.answered(context.question, {'s1': 'ticket'}, now_ms, 3000, now_ms)
    bench.decide()


@then('the task is planned on the second server')
def on_second(context):
    assert [run.server_id for run in context.bench.planned] == ['s1']


@then('its start carries the ticket')
def carries(context):
    assert context.bench.last_order.ticket == 'ticket'


@given('version {version:d} sends the queue to the servers of "{service}"')
@when(
    'version {version:d} arrives, which sends it to the servers of "{service}"'
)
def configured(context, version, service):
    queue = QUEUE._replace(service=service)
    context.bench.engine.configure(Terms(version, {'queue': queue}))


@when('a second job of {count:d} tasks of 1 core is submitted')
def second_job(context, count):
    bench = context.bench
    spec = JobSpec(SECOND, 'queue', 'payload', (step(count),), terms=QUEUE)
    bench.engine.submit(spec, bench.now_ms)
    bench.decide()


@then('{count:d} task of the second job is planned')
def second_planned(context, count):
    jobs = [run.key.task.job_id for run in context.bench.planned]
    assert jobs.count(SECOND) == count, jobs


def slow_downs(bench, image):
    return [
        order
        for order in bench.paces
        if bench.step_of(order.key).image == image and order.percent == 0
    ]


@when('the order that slows "{image}" has no answer')
def not_answered(context, image):
    bench = context.bench
    order = slow_downs(bench, image)[-1]
    server = bench.engine.book.server_by_id[order.server_id]
    bench.engine.pacer.answered(server, order, OrderUnknown('lost'))


@then('"{image}" was ordered to slow down twice')
def slowed_twice(context, image):
    assert len(slow_downs(context.bench, image)) == 2, context.bench.paces
