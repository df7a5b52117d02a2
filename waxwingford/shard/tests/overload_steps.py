"""Steps for owners with too little processor capacity for their shard."""

import asyncio
import itertools
import json
import re
from unittest import mock

from behave import given, then, when

from waxwingford.metrics import Metrics
from waxwingford.ports import Resources
from waxwingford.scheduling import (
    Backlog,
    Decision,
    EndKind,
    OrderRefused,
    RefusalReason,
    StepSpec,
)
from waxwingford.scheduling.tests.engine_harness import JOB
from waxwingford.shard import NotStored, ShardFrontend, Stored
from waxwingford.shard._admission_control import AdmissionControl, RetryAfter
from waxwingford.shard._loop_lag import LoopLag
from waxwingford.shard._observer import Observer
from waxwingford.shard._start_control import StartControl
from waxwingford.shard._start_window import StartWindow
from waxwingford.shard.tests.virtual_shard import (
    MS_PER_S,
    VirtualOwnerLink,
    VirtualShard,
    step,
)

TASK_MS = 700
STRONG_CORES = 2.15
WEAK_CORES = 0.3


@given("each call to a server takes {work_ms:g} ms of the daemon's processor")
def set_call_cpu_time(context, work_ms):
    context.shard.servers.call_cpu_s = work_ms / MS_PER_S
    context.first_owner = context.shard.owners[0]


@given('a long-running task runs on each server')
def run_lasting_task_everywhere(context):
    count = len(context.shard.servers.server_by_id)
    long_running = step(count, long_running=True, max_per_server=1)
    job_id, outcome = context.shard.submit((long_running,))
    assert isinstance(outcome, Stored), outcome
    context.shard.run(3)
    running = context.shard.running(job_id)
    assert len(running) == count, len(running)


@when(
    'urgent jobs of {tasks:d} tasks are submitted for {span_s:g} s,'
    ' one every {every_s:g} s'
)
def submit_urgent_jobs(context, tasks, span_s, every_s):
    shard = context.shard
    deadline_s = shard.loop.time() + span_s
    while shard.loop.time() < deadline_s:
        shard.run_until(_submit_and_pause(shard, tasks, every_s))


async def _submit_and_pause(shard, tasks, every_s):
    # Runs in the background, as callers don't wait for each other.
    asyncio.ensure_future(_submit(shard, tasks))
    await asyncio.sleep(every_s)


async def _submit(shard, tasks):
    deadline_s = shard.loop.time() + 3
    spec = shard.new_spec((step(tasks, TASK_MS),))
    await shard.daemons[-1].frontend.submit(spec, deadline_s)


@then('no run has lost its lease')
def check_no_expired_lease(context):
    expired = [
        end
        for server in context.shard.servers.server_by_id.values()
        for end in server.ends
        if end.kind is EndKind.lapsed
    ]
    assert not expired, len(expired)


@then('the owner has logged "owner.strained", at most once per second')
def check_overload_logged(context):
    lines = [json.loads(line) for line in context.shard.lines]
    seconds = [
        line['time'].split('.')[0]
        for line in lines
        if line['event'] == 'owner.strained'
    ]
    assert seconds
    assert len(seconds) == len(set(seconds)), seconds


@then(
    'some submissions were refused, each within {most_ms:d} ms and with a time'
    ' to come back'
)
def check_refusals(context, most_ms):
    lines = [json.loads(line) for line in context.shard.lines]
    answers = [line for line in lines if line['event'] == 'request.submit']
    refusals = [
        line for line in answers if line['outcome'].startswith('NotStored')
    ]
    assert refusals, len(answers)
    for line in refusals:
        seconds = re.search(r'retry_after_s=(\d+)', line['outcome'])
        assert int(seconds.group(1)) >= 1, line
        assert line['took_ms'] <= most_ms, line
    others = {line['outcome'] for line in answers if line not in refusals}
    assert others == {'Stored()'}, others


@then('every accepted job is completed {span_s:d} s later')
def check_completed(context, span_s):
    shard = context.shard
    shard.run(span_s)
    lines = [json.loads(line) for line in shard.lines]
    accepted = {
        line['subject']
        for line in lines
        if line['event'] == 'request.submit' and line['outcome'] == 'Stored()'
    }
    completed = {
        line['subject']
        for line in lines
        if line['event'] == 'job.ended' and line['phase'] == 'completed'
    }
    # The long-running job never ends.
    assert len(accepted - completed) == 1, len(accepted - completed)


@given('an owner whose event loop is {lag_ms:d} ms late')
def late_event_loop(context, lag_ms):
    context.lag = LoopLag()
    context.lag.mean_s = lag_ms / MS_PER_S


@when(
    'its decisions start {placed:d} tasks each {interval_s:g} s, of which'
    ' {returned:d} come back, and leave {left:d} {kind} for {span_s:g} s'
)
def leave_returned(context, placed, interval_s, returned, left, kind, span_s):
    leave_backlog(context, placed, interval_s, left, kind, span_s, returned)


@when(
    'its decisions start {placed:d} tasks each {interval_s:g} s and leave'
    ' {left:d} {kind} for {span_s:g} s'
)
def leave_backlog(context, placed, interval_s, left, kind, span_s, returned=0):
    window = StartWindow(context.lag)
    admission = AdmissionControl()
    urgent = kind == 'urgent tasks'
    backlog = Backlog(left * urgent, left * (not urgent))
    for number in range(int(span_s / interval_s)):
        now_ms = int(number * interval_s * MS_PER_S)
        window.room(placed, now_ms)
        decision = Decision(placed, backlog, returned)
        admission.update(decision, window, now_ms)
    context.retry_after = admission.retry_after


@when('the job is cancelled')
def cancel_job(context):
    context.harness.engine.cancel(JOB)


@when('its start is refused')
def refuse_start(context):
    harness = context.harness
    run = harness.planned_runs[-1]
    server = harness.engine.state.server_by_id[run.server_id]
    refusal = OrderRefused(RefusalReason.unhealthy)
    harness.engine.start_answered(server, run, harness.now_ms, refusal)


@then('the next decision tells that {count:d} task has come back')
@then('the next decision tells that {count:d} tasks have come back')
def check_returned(context, count):
    harness = context.harness
    decision = harness.engine.decide(harness.now_ms, harness.wall_ms)
    assert decision.returned == count, decision


@when('it is on time again for {span_s:d} s')
def on_time_again(context, span_s):
    context.window = StartWindow(context.lag)
    context.window.room(0, 0)
    context.lag.mean_s = 0
    context.now_ms = span_s * MS_PER_S
    context.window.room(0, context.now_ms)


@then("jobs that have waited don't come first")
def check_not_first(context):
    assert not context.window.recently_limited(context.now_ms)


@then('jobs that have waited come first')
def check_first(context):
    assert context.window.recently_limited(context.now_ms)


@then('callers are told to come back after {urgent:d} and {best_effort:d} s')
def check_retry_after(context, urgent, best_effort):
    assert context.retry_after == (urgent, best_effort), context.retry_after


@given('a job was submitted through one daemon')
def submit_one(context):
    context.shard.run(2)
    context.spec = context.shard.new_spec((step(1, TASK_MS),))
    assert (
        submit_to(context, context.shard.daemons[1], context.spec) == Stored()
    )


def submit_to(context, daemon, spec):
    deadline_s = context.shard.loop.time() + 3
    return context.shard.run_until(daemon.frontend.submit(spec, deadline_s))


@when('the owner refuses all jobs')
def refuse_all(context):
    owner = context.shard.owners[0].member.owner
    owner.start_control = NoStarts()
    context.shard.run(1)


class NoStarts(StartControl):
    """Limit of an owner that has no time for any start."""

    retry_after = RetryAfter(3, 3)

    def __init__(self):
        super().__init__(1, LoopLag(), Observer(Metrics()))


def standbys(context):
    return [one for one in context.shard.daemons if not one.owns]


@then('the job is acknowledged by each daemon that stands by')
def check_acknowledged(context):
    for daemon in standbys(context):
        assert submit_to(context, daemon, context.spec) == Stored()


@then('a new job is refused by each of them without a call to the owner')
def check_refused(context):
    context.shard.call(context.shard.owners[0].kill)
    for daemon in standbys(context):
        new = context.shard.new_spec((step(1, TASK_MS),))
        outcome = submit_to(context, daemon, new)
        assert isinstance(outcome, NotStored), outcome
        assert outcome.retry_after_s == 3, outcome


@when(
    'a daemon that stands by is asked {times:d} times for the number of waiting'
    ' jobs'
)
def ask_pending(context, times):
    shard = context.shard
    shard.run(2)
    standby = next(one for one in shard.daemons if not one.owns)
    link = VirtualOwnerLink(shard)
    context.calls = []

    async def _pending(endpoint, queue):
        context.calls.append(queue)

    link.pending = _pending
    standby.frontend = ShardFrontend(
        standby.log, standby.member, link, standby.observer
    )

    async def _ask():
        for _ in range(times):
            assert await standby.frontend.pending('queue') == 0
            await asyncio.sleep(0.1)

    shard.run_until(_ask())


@then('it has called the owner for none of them')
def check_no_calls(context):
    assert not context.calls, len(context.calls)


@given(
    'a shard with a strong owner, {strong:d} more strong daemon and'
    ' {weak:d} weak ones'
)
def shard_with_strong_owner(context, strong, weak):
    # The daemon that starts alone becomes the owner.
    cores = [
        STRONG_CORES,
        *itertools.repeat(WEAK_CORES, weak),
        *itertools.repeat(STRONG_CORES, strong),
    ]
    context.shard = VirtualShard(1, len(cores), 4, cores)
    context.add_cleanup(context.shard.close)
    first = context.shard.daemons[0]
    for one in context.shard.daemons[1:]:
        context.shard.call(one.kill)
    context.shard.run(1)
    assert context.shard.owners == [first]
    for one in context.shard.daemons[1:]:
        context.shard.call(one.start)
    context.shard.run(2)
    assert context.shard.owners == [first]


@when('all strong daemons are killed')
def kill_strong_daemons(context):
    for one in context.shard.daemons:
        if one.cores == STRONG_CORES:
            context.shard.call(one.kill)


def owner_cores(shard):
    return [one.cores for one in shard.owners]


@then('the other strong daemon owns the shard')
def check_strong_owner(context):
    assert owner_cores(context.shard) == [STRONG_CORES]


@then('a weak daemon owns the shard')
def check_weak_owner(context):
    assert owner_cores(context.shard) == [WEAK_CORES]


@given('each decision takes {span_s:g} s')
def slow_decisions(context, span_s):
    readings_s = itertools.count(0, span_s)
    patch = mock.patch('time.perf_counter', side_effect=readings_s)
    patch.start()
    context.add_cleanup(patch.stop)


@when('a job of 2 steps that fits nowhere is submitted')
def submit_too_large(context):
    large = Resources(999_000, 1, 0)
    steps = (StepSpec(1, large, 700), StepSpec(3, large, 700))
    job_id, outcome = context.shard.submit(steps)
    assert isinstance(outcome, Stored), outcome
    context.jobs.append(job_id)


@then(
    '{least:d} to {most:d} lines name the job and a step of it as the cause of slow'
    ' decisions'
)
def check_slow_lines(context, least, most):
    lines = [json.loads(line) for line in context.shard.lines]
    told = [line for line in lines if line['event'] == 'decision.slow']
    named = [line for line in told if line['subject'] == context.jobs[-1]]
    assert named == told, told
    assert least <= len(named) <= most, told
    assert named[-1]['step'].startswith(f'{context.jobs[-1]}.0.'), named
    assert named[-1]['slow'] > 1, named


@then('the time of decisions and the lag of the event loop are measured')
def check_measured(context):
    owner = context.shard.owners[0]
    text = owner.observer.metrics.render()
    for name in ('decision_seconds_count', 'event_loop_lag_seconds_count'):
        assert f'waxwingford_{name}' in text, name
