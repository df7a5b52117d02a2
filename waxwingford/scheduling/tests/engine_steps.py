"""Steps for the engine on simulated servers."""

from behave import given, then, when

from waxwingford.scheduling import (
    EndKind,
    JobSpec,
    OrderUnknown,
    RunKey,
    RunningReport,
    TaskKey,
    Terms,
)
from waxwingford.scheduling.tests.engine_harness import (
    JOB,
    QUEUE,
    SECOND,
    Bench,
    step,
)


@given('an engine with {count:d} servers of {cores:d} cores')
def create_engine(context, count, cores):
    context.bench = Bench(count, cores)
    context.bench.lowest_by_image = {}


@given('the queue is advised')
def set_queue_advised(context):
    queue = QUEUE._replace(advised=True)
    context.bench.engine.configure(Terms(2, {'queue': queue}))


@given('a lasting job of 1 task that runs')
def lasting_job(context):
    context.bench.lasting = True
    context.bench.submit(step(lasting=True))
    context.bench.look()
    context.run = context.bench.planned[0]


@given('a job of 1 task that runs')
def running_job(context):
    context.bench.submit(step())
    context.bench.look()
    context.run = context.bench.planned[0]


@when('a job of 1 task is submitted')
def submit_job(context):
    context.bench.submit(step())


@when('a job of 1 task is submitted after {span_s:d} s without a poll')
def submit_after(context, span_s):
    context.read_ms = context.bench.now_ms
    context.bench.now_ms += span_s * 1000
    context.bench.submit(step())


@then(
    'its lease expires after {span_s:d} s at most,'
    ' by a clock that is {percent:d} percent slow'
)
def lease_within(context, span_s, percent):
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
def list_as_stopped(context):
    context.bench.end(context.run, EndKind.stopped)


@then('the task is planned on the other server')
def planned_on_other_server(context):
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


@then('a stop of the {count:d} other members is ordered')
def others_stopped(context, count):
    others = {run.key for run in context.bench.planned[1:]}
    assert len(others) == count
    assert set(context.bench.stops()) == others


@when(
    'a job is submitted whose task fails {count:d} times on different servers'
)
def submit_failing_job(context, count):
    context.bench.submit(step())
    for number in range(count):
        context.bench.look()
        context.bench.end(context.bench.planned[number], EndKind.failed)


@when('a job is submitted whose task loses its lease {count:d} times')
def submit_job_with_lost_leases(context, count):
    context.bench.submit(step())
    for number in range(count):
        context.bench.look()
        context.bench.end(context.bench.planned[number], EndKind.lapsed)


@then('the job is reported as {phase}')
def job_shown(context, phase):
    assert context.bench.engine.book.phase(JOB).value == phase


@then('it was placed on {count:d} different servers')
def placed_on_different_servers(context, count):
    assert len({run.server_id for run in context.bench.planned}) == count


@given(
    'a serving task with a target of {target_ms:d} ms,'
    ' beside fills "calm" and "wild"'
)
def run_serving_task_and_fills(context, target_ms):
    bench = context.bench
    bench.figure_by_image = {'calm': 7, 'wild': 1}
    bench.submit(
        step(cores=6, lasting=True, image='web', target_ms=target_ms),
        step(cores=4, fills=True, saves=True, image='calm'),
        step(cores=4, fills=True, saves=True, image='wild'),
    )
    bench.look()


@when(
    'its tail latency is {calm:g} ms with "calm" alone'
    ' and {wild:g} ms beside "wild", for {span_s:d} s'
)
def set_tail_latencies(context, calm, wild, span_s):
    context.bench.figure_by_image = {'calm': calm, 'wild': wild / calm}
    context.bench.pass_ms(span_s * 1000)


@when('its tail latency is {tail_ms:g} ms for {span_s:g} s')
def set_tail_latency(context, tail_ms, span_s):
    context.bench.figure_by_image = {'calm': tail_ms, 'wild': 1}
    context.bench.pass_ms(int(span_s * 1000))


@then('no stop is ordered')
def no_stop(context):
    assert not context.bench.stops()


@then('stops are ordered of "{image}" only')
def only_image_stopped(context, image):
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
    'its wait was noted {times:d} times,'
    ' with {servers:d} servers excluded by "{reason}"'
)
def waiting_noted(context, times, servers, reason):
    notes = context.bench.engine.book.notes.take()
    waits = [note.inputs for note in notes if note.event == 'step.waits']
    assert len(waits) == times, notes
    assert all(one['kept_out'] == {reason: servers} for one in waits), waits


@then('"{image}" was slowed to under {percent:d} percent')
def was_slowed(context, image, percent):
    lowest = context.bench.lowest_by_image.get(image, 100)
    assert lowest < percent, context.bench.lowest_by_image


@then('"{image}" runs at {percent:d} percent at the end')
def runs_at(context, image, percent):
    found = context.bench.pace_by_image.get(image, 100)
    assert found == percent, context.bench.pace_by_image


@when('it makes no progress for {span_s:d} s')
def make_no_progress(context, span_s):
    context.bench.stalled = True
    context.bench.pass_ms(span_s * 1000)


@when('the server lists an unknown run')
def list_unknown_run(context):
    key = RunKey(TaskKey('00000000000000bb', 0, 0, 0), 1)
    context.bench.unknown_runs = [RunningReport(key, '', 5, 1)]
    context.bench.look()


@then('a stop of the unknown run is ordered')
def unknown_run_stopped(context):
    keys = [key.task.job_id for key in context.bench.stops()]
    assert keys == ['00000000000000bb'], keys


@when(
    'a job is submitted that is due in {due_s:d} s, twice, {every_s:d} s apart'
)
def submit_timed_job(context, due_s, every_s):
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


@when('the advice service grants a ticket for the second server only')
def grant_ticket(context):
    bench = context.bench
    advice = bench.engine.book.advice
    question = advice.next_question()
    assert set(question.server_ids) == {'s0', 's1'}, question
    now_ms = bench.now_ms
    advice.answered(question, {'s1': 'ticket'}, now_ms, 3000, now_ms)
    bench.decide()


@when('the advice service is asked, and the job is cancelled and removed')
def asked_then_cancelled(context):
    bench = context.bench
    context.question = bench.engine.book.advice.next_question()
    bench.engine.cancel(JOB)
    bench.decide()
    bench.decide()
    assert JOB not in bench.engine.book.job_by_id


@when('the advice service grants a ticket for the second server afterwards')
def grant_ticket_late(context):
    bench = context.bench
    advice = bench.engine.book.advice
    now_ms = bench.now_ms
    advice.answered(context.question, {'s1': 'ticket'}, now_ms, 3000, now_ms)
    bench.decide()


@then('the task is planned on the second server')
def planned_on_second_server(context):
    assert [run.server_id for run in context.bench.planned] == ['s1']


@then('its start carries the ticket')
def start_carries_ticket(context):
    assert context.bench.last_order.ticket == 'ticket'


@given('configuration {version:d} assigns the queue to service "{service}"')
@when(
    'configuration {version:d} arrives, which assigns it to service "{service}"'
)
def apply_configuration(context, version, service):
    queue = QUEUE._replace(service=service)
    context.bench.engine.configure(Terms(version, {'queue': queue}))


@when('a second job of {count:d} tasks of 1 core is submitted')
def submit_second_job(context, count):
    bench = context.bench
    spec = JobSpec(SECOND, 'queue', 'payload', (step(count),), terms=QUEUE)
    bench.engine.submit(spec, bench.now_ms)
    bench.decide()


@then('{count:d} task of the second job is planned')
def second_planned(context, count):
    jobs = [run.key.task.job_id for run in context.bench.planned]
    assert jobs.count(SECOND) == count, jobs


def halt_orders(bench, image):
    return [
        order
        for order in bench.pace_orders
        if bench.step_of(order.key).image == image and order.percent == 0
    ]


@when('the order that slows "{image}" has no answer')
def halt_unanswered(context, image):
    bench = context.bench
    order = halt_orders(bench, image)[-1]
    server = bench.engine.book.server_by_id[order.server_id]
    bench.engine.pacer.answered(server, order, OrderUnknown('lost'))


@then('"{image}" was ordered to slow down twice')
def halted_twice(context, image):
    assert len(halt_orders(context.bench, image)) == 2, (
        context.bench.pace_orders
    )
