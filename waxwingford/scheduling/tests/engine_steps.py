"""Steps for the engine on simulated servers."""

from behave import given, then, when

from waxwingford.scheduling import (
    EndKind,
    JobSpec,
    OrderOutcomeUnknown,
    RunKey,
    RunningReport,
    TaskKey,
    Terms,
)
from waxwingford.scheduling.tests.engine_harness import (
    JOB,
    QUEUE,
    SECOND,
    EngineHarness,
    step,
)


@given('an engine with {count:d} servers of {cores:d} cores')
def create_engine(context, count, cores):
    context.harness = EngineHarness(count, cores)
    context.harness.lowest_by_image = {}


@given('the queue is advised')
def set_queue_advised(context):
    queue = QUEUE._replace(advised=True)
    context.harness.engine.configure(Terms(2, {'queue': queue}))


@given('a running long-running job of 1 task')
def lasting_job(context):
    context.harness.long_running = True
    context.harness.submit(step(long_running=True))
    context.harness.poll()
    context.run = context.harness.planned_runs[0]


@given('a job of 1 task that runs')
def running_job(context):
    context.harness.submit(step())
    context.harness.poll()
    context.run = context.harness.planned_runs[0]


@when('a job of 1 task is submitted')
def submit_job(context):
    context.harness.submit(step())


@when('a job of 1 task is submitted after {span_s:d} s without a poll')
def submit_after(context, span_s):
    context.read_ms = context.harness.now_ms
    context.harness.now_ms += span_s * 1000
    context.harness.submit(step())


@then(
    'its lease expires after {span_s:d} s at most,'
    ' by a clock that is {percent:d} percent slow'
)
def lease_within(context, span_s, percent):
    harness = context.harness
    passed_ms = harness.now_ms - context.read_ms
    clock_ms = context.read_ms + passed_ms * (100 - percent) / 100
    lease_ms = harness.last_order.lease_until_ms - clock_ms
    assert 0 < lease_ms, lease_ms
    assert lease_ms <= span_s * 1000, lease_ms


@when('the server of the task drains')
def drain(context):
    context.harness.drain(context.run.server_id)
    context.harness.decide()


@then('a stop of the task is ordered')
def stop_ordered(context):
    assert context.harness.stops() == [context.run.key], context.harness.orders


@when('the server lists it as stopped')
def list_as_stopped(context):
    context.harness.end(context.run, EndKind.stopped)


@then('the task is planned on the other server')
def planned_on_other_server(context):
    second = context.harness.planned_runs[1]
    assert second.server_id != context.run.server_id
    assert second.key.run == 2


@when('a job of 1 task is placed, not sent yet')
def place_unsent(context):
    harness = context.harness
    spec = JobSpec(JOB, QUEUE.name, 'payload', (step(),), terms=QUEUE)
    harness.engine.submit(spec, harness.now_ms)
    harness.engine.decide(harness.now_ms, harness.wall_ms)
    starts = harness.engine.stored(harness.engine.take_batch())
    context.run = starts[0].run
    harness.planned_runs.append(context.run)


@when('its server drains before the start is sent')
def drain_before_start(context):
    harness = context.harness
    harness.drain(context.run.server_id)
    context.order = harness.engine.orders.start(context.run, harness.now_ms)
    # Before the next poll: the harness lists each run that is placed.
    harness.decide()


@when('the queue moves to another service before the start is sent')
def move_before_start(context):
    apply_configuration(context, 6, 'other')
    order_start(context)


@when('the queue is removed before the start is sent')
def remove_before_start(context):
    context.harness.engine.configure(Terms(6, {}))
    order_start(context)


def order_start(context):
    harness = context.harness
    context.order = harness.engine.orders.start(context.run, harness.now_ms)
    harness.decide()


@when('a server of that service registers')
def add_server_of_other_service(context):
    harness = context.harness
    harness.add(8)
    harness.entries[-1] = harness.entries[-1]._replace(service='other')
    harness.register()


@then('the task is planned on that server')
def check_planned_on_last(context):
    planned = context.harness.planned_runs[-1]
    assert planned.server_id == context.harness.entries[-1].server_id, planned


@then('the start is sent')
def check_sent(context):
    assert context.order is not None


@then('the start is not sent')
def check_not_sent(context):
    assert context.order is None


@when('a gang of {count:d} tasks of 1 core is submitted')
def submit_gang(context, count):
    context.harness.submit(step(count, gang=True))


@given('a gang of {count:d} tasks of 1 core that runs')
def running_gang(context, count):
    submit_gang(context, count)
    context.harness.poll()


@when('another server of {cores:d} cores registers')
def another_server(context, cores):
    context.harness.add(cores)
    context.harness.decide()


@then('nothing is planned')
def nothing_planned(context):
    assert not context.harness.planned_runs, context.harness.planned_runs


@then('{count:d} runs are planned under one run number')
def gang_planned(context, count):
    numbers = {run.key.run for run in context.harness.planned_runs}
    assert len(context.harness.planned_runs) == count
    assert len(numbers) == 1, numbers


@then('a stop of the {count:d} other members is ordered')
def others_stopped(context, count):
    others = {run.key for run in context.harness.planned_runs[1:]}
    assert len(others) == count
    assert set(context.harness.stops()) == others


@when(
    'a job is submitted whose task fails {count:d} times on different servers'
)
def submit_failing_job(context, count):
    context.harness.submit(step())
    for number in range(count):
        context.harness.poll()
        context.harness.end(
            context.harness.planned_runs[number], EndKind.failed
        )


@when('a job is submitted whose task loses its lease {count:d} times')
def submit_job_with_lost_leases(context, count):
    context.harness.submit(step())
    for number in range(count):
        context.harness.poll()
        context.harness.end(
            context.harness.planned_runs[number], EndKind.lapsed
        )


@then('the job is reported as {phase}')
def job_shown(context, phase):
    assert context.harness.engine.state.phase(JOB).value == phase


@then('it was placed on {count:d} different servers')
def placed_on_different_servers(context, count):
    assert len({run.server_id for run in context.harness.planned_runs}) == count


@given(
    'a serving task with a target of {target_ms:d} ms,'
    ' beside best-effort tasks "calm" and "wild"'
)
def run_serving_task_and_fills(context, target_ms):
    harness = context.harness
    harness.figure_by_image = {'calm': 7, 'wild': 1}
    harness.submit(
        step(cores=6, long_running=True, image='web', target_ms=target_ms),
        step(cores=4, best_effort=True, writes_checkpoints=True, image='calm'),
        step(cores=4, best_effort=True, writes_checkpoints=True, image='wild'),
    )
    harness.poll()


@when(
    'its tail latency is {calm:g} ms with "calm" alone'
    ' and {wild:g} ms beside "wild", for {span_s:d} s'
)
def set_tail_latencies(context, calm, wild, span_s):
    context.harness.figure_by_image = {'calm': calm, 'wild': wild / calm}
    context.harness.pass_ms(span_s * 1000)


@when('its tail latency is {tail_ms:g} ms for {span_s:g} s')
def set_tail_latency(context, tail_ms, span_s):
    context.harness.figure_by_image = {'calm': tail_ms, 'wild': 1}
    context.harness.pass_ms(int(span_s * 1000))


@then('no stop is ordered')
def no_stop(context):
    assert not context.harness.stops()


@then('stops are ordered of "{image}" only')
def only_image_stopped(context, image):
    harness = context.harness
    images = {harness.step_of(key).image for key in harness.stops()}
    assert images == {image}, images


@when(
    'a job of {count:d} tasks of {cores:d} cores is submitted'
    ' and is pending for {span_ms:d} ms'
)
def wait_for_room(context, count, cores, span_ms):
    context.harness.engine.state.notes.take()
    context.harness.submit(step(count=count, cores=cores))
    context.harness.pass_ms(span_ms)


@then(
    'its wait was noted {times:d} times,'
    ' with {servers:d} servers excluded by "{reason}"'
)
def waiting_noted(context, times, servers, reason):
    notes = context.harness.engine.state.notes.take()
    waits = [note.fields for note in notes if note.event == 'step.waits']
    assert len(waits) == times, notes
    assert all(one['kept_out'] == {reason: servers} for one in waits), waits


@then('"{image}" was slowed to under {percent:d} percent')
def was_slowed(context, image, percent):
    lowest = context.harness.lowest_by_image.get(image, 100)
    assert lowest < percent, context.harness.lowest_by_image


@then('"{image}" runs at {percent:d} percent at the end')
def runs_at(context, image, percent):
    found = context.harness.pace_by_image.get(image, 100)
    assert found == percent, context.harness.pace_by_image


@when('it makes no progress for {span_s:d} s')
def make_no_progress(context, span_s):
    context.harness.stalled = True
    context.harness.pass_ms(span_s * 1000)


@when('the server lists an unknown run')
def list_unknown_run(context):
    key = RunKey(TaskKey('00000000000000bb', 0, 0, 0), 1)
    context.harness.unknown_runs = [RunningReport(key, '', 5, 1)]
    context.harness.poll()


@then('a stop of the unknown run is ordered')
def unknown_run_stopped(context):
    keys = [key.task.job_id for key in context.harness.stops()]
    assert keys == ['00000000000000bb'], keys


@when(
    'a job is submitted that is due in {due_s:d} s, twice, {every_s:d} s apart'
)
def submit_timed_job(context, due_s, every_s):
    harness = context.harness
    harness.submit(
        step(),
        first_due_ms=harness.wall_ms + due_s * 1000,
        every_ms=every_s * 1000,
        times=2,
    )


@when('{span_s:d} s pass in the engine')
def pass_time(context, span_s):
    context.harness.pass_ms(span_s * 1000)


@then('{count:d} run was planned in all')
@then('{count:d} runs were planned in all')
def planned_in_all(context, count):
    tasks = {run.key.task for run in context.harness.planned_runs}
    assert len(tasks) == count, context.harness.planned_runs


@when('the advice service grants a ticket for the second server only')
def grant_ticket(context):
    harness = context.harness
    tickets = harness.engine.state.tickets
    request = tickets.next_request()
    assert set(request.server_ids) == {'s0', 's1'}, request
    now_ms = harness.now_ms
    tickets.answered(request, {'s1': 'ticket'}, now_ms, 3000, now_ms)
    harness.decide()


@when('the advice service is asked, and the job is cancelled and removed')
def asked_then_cancelled(context):
    harness = context.harness
    context.request = harness.engine.state.tickets.next_request()
    harness.engine.cancel(JOB)
    harness.decide()
    harness.decide()
    assert JOB not in harness.engine.state.job_by_id


@when('the advice service grants a ticket for the second server afterwards')
def grant_ticket_late(context):
    harness = context.harness
    tickets = harness.engine.state.tickets
    now_ms = harness.now_ms
    tickets.answered(context.request, {'s1': 'ticket'}, now_ms, 3000, now_ms)
    harness.decide()


@then('the task is planned on the second server')
def planned_on_second_server(context):
    assert [run.server_id for run in context.harness.planned_runs] == ['s1']


@then('its start carries the ticket')
def start_carries_ticket(context):
    assert context.harness.last_order.ticket == 'ticket'


@given('configuration {version:d} assigns the queue to service "{service}"')
@when(
    'configuration {version:d} arrives, which assigns it to service "{service}"'
)
def apply_configuration(context, version, service):
    queue = QUEUE._replace(service=service)
    context.harness.engine.configure(Terms(version, {'queue': queue}))


@when('a second job of {count:d} tasks of 1 core is submitted')
def submit_second_job(context, count):
    harness = context.harness
    spec = JobSpec(SECOND, 'queue', 'payload', (step(count),), terms=QUEUE)
    harness.engine.submit(spec, harness.now_ms)
    harness.decide()


@then('{count:d} task of the second job is planned')
def second_planned(context, count):
    jobs = [run.key.task.job_id for run in context.harness.planned_runs]
    assert jobs.count(SECOND) == count, jobs


def halt_orders(harness, image):
    return [
        order
        for order in harness.pace_orders
        if harness.step_of(order.key).image == image and order.percent == 0
    ]


@when('the order that slows "{image}" has no answer')
def halt_unanswered(context, image):
    harness = context.harness
    order = halt_orders(harness, image)[-1]
    server = harness.engine.state.server_by_id[order.server_id]
    harness.engine.pacer.answered(server, order, OrderOutcomeUnknown('lost'))


@then('"{image}" was ordered to slow down twice')
def halted_twice(context, image):
    assert len(halt_orders(context.harness, image)) == 2, (
        context.harness.pace_orders
    )


@when('the repeated job is cancelled')
def cancel_repeated_job(context):
    context.harness.engine.cancel(JOB)
    for run in context.harness.planned_runs:
        context.harness.end(run, EndKind.stopped)
    context.harness.decide()


@then('no decision looks at the job any more')
def check_forgotten(context):
    release = context.harness.engine._placement.release
    assert not release._timed_job_by_id
