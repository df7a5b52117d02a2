"""Steps for the batch task on asyncio with fake ports."""

import asyncio

from behave import fixture, given, then, use_fixture, when

from waxwingford.batch import BatchSettings, BatchTask, BundleSettings
from waxwingford.kernel import SystemClock
from waxwingford.ports import Resources, Vm, VmList, VmState
from waxwingford.records import JobSpec, RecordGroup, encode_group
from waxwingford.timeline import Timeline
from waxwingford_standins.backend_server import BackendServerCore
from waxwingford_standins.platform_log import FakeLog, LogCore, Outage
from waxwingford_standins.server_service import ServiceModel

TIMEOUT_S = 60
DOMAIN = 'gulberg'
BUNDLE = BundleSettings({}, {}, {'dispatcher': Resources(8000, 8000)})


class FakeServers:
    """Controls simulated server cores by their port."""

    def __init__(self, vms, clock):
        self.clock = clock
        self.core_by_port = {
            vm.port: BackendServerCore(vm, ServiceModel(vm.service))
            for vm in vms
        }

    async def control(self, host, port, request, timeout_ms):
        await asyncio.sleep(0)
        core = self.core_by_port[port]
        return core.control(request, self.clock.monotonic_ms())

    def audits(self):
        now_ms = self.clock.monotonic_ms()
        cores = self.core_by_port.values()
        return [run for core in cores for run in core.audit(now_ms).attempts]


class FakeDirectory:
    def __init__(self, vms):
        self.vms = vms

    async def read(self):
        return VmList(self.vms)


def vm_of(number):
    size = Resources(32_000, 64_000, 1)
    return Vm(
        f's{number}', DOMAIN, 'r', '127.0.0.1', number, VmState.live, size,
        8, 64, 'dispatcher',
    )  # fmt: skip


@fixture
def event_loop(context):
    context.loop = asyncio.new_event_loop()
    context.clock = SystemClock()
    context.log_core = LogCore()
    context.vms = (vm_of(1), vm_of(2))
    context.servers = FakeServers(context.vms, context.clock)
    context.running = []
    yield
    for task in context.running:
        task.cancel()
    waiting = asyncio.gather(*context.running, return_exceptions=True)
    context.loop.run_until_complete(waiting)
    context.loop.close()


def start_task(context, daemon_id):
    settings = BatchSettings(daemon_id, '1', DOMAIN)
    task = BatchTask(
        settings=settings._replace(renew_every_ms=200, append_every_ms=50),
        log=FakeLog(context.log_core, context.clock),
        servers=context.servers,
        directory=FakeDirectory(context.vms),
        clock=context.clock,
        timeline=Timeline(daemon_id, '1', context.clock, 100),
    )
    task.set_bundle(BUNDLE)
    task.update_live_daemons(('d0', 'd1'))
    context.running.append(context.loop.create_task(task.run()))
    return task


def wait_until(context, condition):
    async def _poll():
        while not condition():
            await asyncio.sleep(0.02)

    waiting = asyncio.wait_for(_poll(), TIMEOUT_S)
    context.loop.run_until_complete(waiting)


def held(context):
    return [{one.server_id for one in t.held_servers()} for t in context.tasks]


@given('two batch tasks over one log and two backend servers')
def two_tasks(context):
    use_fixture(event_loop, context)
    context.tasks = [start_task(context, name) for name in ('d0', 'd1')]
    wait_until(context, lambda: not any(t.readiness() for t in context.tasks))
    wait_until(context, lambda: list(map(len, held(context))) == [1, 1])


def submit(context, count, run_ms=100, accelerators=0):
    context.job = JobSpec(
        'qadri.j', 'qadri', 'archive', 'archive_rebuild', count,
        Resources(4000, 4000, accelerators), run_ms,
        payload=f'{{"run_ms":{run_ms}}}',
    )  # fmt: skip
    submission = context.tasks[0].submit(context.job)
    context.answer = context.loop.run_until_complete(submission)


@when('a job of {count:d} tasks is submitted to the first')
def submit_job(context, count):
    submit(context, count)


@when('a job of 1 task is submitted to the first')
def submit_one(context):
    submit(context, 1)


@when('a job of {count:d} long tasks is submitted to the first')
def submit_long(context, count):
    submit(context, count, run_ms=600_000)


@when('a job that needs {count:d} accelerators is submitted to the first')
def submit_large(context, count):
    submit(context, 1, accelerators=count)


@then('the answer is "{name}"')
def answer_is(context, name):
    assert type(context.answer).__name__ == name, context.answer


@then('the answer says "{text}"')
def answer_says(context, text):
    assert text in context.answer.reason, context.answer


@then('the job is finished with {count:d} tasks done at both')
def job_done(context, count):
    def _is_done():
        jobs = [task.job('qadri.j', 'qadri') for task in context.tasks]
        return all(job and job.state == 'finished' for job in jobs)

    wait_until(context, _is_done)
    for task in context.tasks:
        job = task.job('qadri.j', 'qadri')
        assert job.count_by_stage['done'] == count, job


@when('the platform log becomes unavailable')
def log_unavailable(context):
    context.log_core.faults.outage = Outage.refuse


@when('both batch tasks have noticed it')
def both_noticed(context):
    def _noticed():
        return all(t._controller.stream.log_error for t in context.tasks)

    wait_until(context, _noticed)


@then('both batch tasks still hold their servers')
def both_hold(context):
    assert list(map(len, held(context))) == [1, 1]


def running(context):
    return [run for run in context.servers.audits() if run.phase == 'running']


@when('all {count:d} tasks run')
def all_run(context, count):
    wait_until(context, lambda: len(running(context)) == count)


@when('the first batch task is drained')
def drained(context):
    drain = context.tasks[0].drain(TIMEOUT_S * 1000)
    assert context.loop.run_until_complete(drain)
    context.running[0].cancel()
    context.tasks[1].update_live_daemons(('d1',))


@then('the second batch task holds both servers')
def second_holds(context):
    wait_until(context, lambda: held(context)[1] == {'s1', 's2'})


@then('no task was started twice')
def none_twice(context):
    runs = context.servers.audits()
    assert len(runs) == 4, runs
    assert all(run.phase == 'running' for run in runs), runs


@then('the member sees the job with tasks pending for lack of room')
def sees_pending_reason(context):
    job = context.tasks[0].job('qadri.j', 'qadri')
    waits = [task.waits_for for task in job.tasks if task.stage == 'pending']
    assert len(waits) == 28
    assert all('no room' in why for why in waits), waits
    listed = context.tasks[0].jobs('qadri')
    assert [found.job_id for found in listed] == ['qadri.j']


@then('another member does not see it')
def other_cannot_see(context):
    assert context.tasks[0].job('qadri.j', 'svatbena') is None
    assert not context.tasks[0].jobs('svatbena')


@then('another member cannot cancel it')
def other_cannot_cancel(context):
    asked = context.tasks[0].cancel('qadri.j', 'svatbena')
    answer = context.loop.run_until_complete(asked)
    assert type(answer).__name__ == 'JobRejected', answer
    job = context.tasks[0].job('qadri.j', 'qadri')
    assert job.state == 'open', job


@given('a log whose first records were truncated without a snapshot')
def truncated_log(context):
    use_fixture(event_loop, context)
    for number in range(3):
        payload = encode_group(RecordGroup('a#1', number, ()))
        context.log_core.append(f'domain/{DOMAIN}', payload, number)
    context.log_core.truncate(f'domain/{DOMAIN}', 2)


@when('a batch task starts with that log')
def task_starts(context):
    context.tasks = [start_task(context, 'd0')]


@then('it is not ready and says "{text}"')
def not_ready(context, text):
    wait_until(context, lambda: text in ' '.join(context.tasks[0].readiness()))
    assert not held(context)[0]
