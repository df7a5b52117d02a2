"""Steps for starts of which no run begins."""

from behave import then, when

from waxwingford.scheduling import (
    EndKind,
    JobSpec,
    OrderAccepted,
    OrderOutcomeUnknown,
    PollResult,
)
from waxwingford.scheduling._job_estimates import JobEstimate
from waxwingford.scheduling._task_order import rank_task
from waxwingford.scheduling.tests.engine_harness import JOB, QUEUE, step

MS_PER_S = 1000
#: Time from a submission to its first decision, in ms.
FIRST_DECISION_MS = 50
#: Longer than a start without an answer goes unstopped, in ms.
STOP_DELAY_MS = 300


@when('a long-running task is submitted, whose starts are not answered yet')
def submit_long_running(context):
    submit_without_answers(context.harness, step(long_running=True))


def submit_without_answers(harness, submitted):
    """Submit a job of one step whose starts are sent, and not answered yet."""
    spec = JobSpec(JOB, QUEUE.name, 'payload', (submitted,), terms=QUEUE)
    harness.engine.submit(spec, harness.now_ms)
    harness.decide(accept=False)


def answer(context, outcome):
    harness = context.harness
    run = harness.planned_runs[-1]
    server = harness.engine.state.server_by_id[run.server_id]
    harness.engine.start_answered(server, run, harness.now_ms, outcome)


@when('its start has no answer, and is never listed')
def never_listed(context):
    harness = context.harness
    run = harness.planned_runs[-1]
    server = harness.engine.state.server_by_id[run.server_id]
    answer(context, OrderOutcomeUnknown('time-out'))
    harness.now_ms += STOP_DELAY_MS
    harness.decide(accept=False)
    assert harness.stops() == [run.key], harness.stops()
    accepted = OrderAccepted(harness.now_ms)
    harness.engine.settler.stop_answered(
        server, run.key, harness.now_ms, accepted
    )
    sent_ms = harness.now_ms + 1
    harness.now_ms += 2
    listing = PollResult(harness.now_ms, (), (), 0)
    harness.engine.poll_answered(server, sent_ms, harness.now_ms, listing)
    harness.decide(accept=False)


@when('its start is accepted, and it {ends} 1 s later')
def accept_and_end(context, ends):
    answer(context, OrderAccepted(context.harness.now_ms))
    end_later(context, {'fails': 'failed', 'lapses': 'lapsed'}[ends])


@when('its start has no answer, and it is listed as {kind} 1 s later')
def list_end(context, kind):
    answer(context, OrderOutcomeUnknown('time-out'))
    end_later(context, kind)


def end_later(context, kind):
    harness = context.harness
    harness.now_ms += MS_PER_S
    harness.end(harness.planned_runs[-1], EndKind[kind])


def waiting_ms(context):
    """Wait of the task and idle time of its job, from the submission on, in ms."""
    job = context.harness.engine.state.job_by_id[JOB]
    task = job.steps_by_occurrence[0][0].tasks[0]
    since_ms = job.received_ms
    return task.pending_since_ms - since_ms, job.last_run_ms - since_ms


@then('its task counts as waiting since its submission')
def waits_since_submission(context):
    wait_ms, _ = waiting_ms(context)
    assert wait_ms <= FIRST_DECISION_MS, wait_ms


@then('its job counts as idle since its submission')
def idle_since_submission(context):
    _, idle_ms = waiting_ms(context)
    assert idle_ms == 0, idle_ms


@then('its task counts as waiting since the end of its run')
def waits_since_end(context):
    wait_ms, _ = waiting_ms(context)
    assert wait_ms >= MS_PER_S, wait_ms


@then('its job counts as idle since the end of its run')
def idle_since_end(context):
    _, idle_ms = waiting_ms(context)
    assert idle_ms >= MS_PER_S, idle_ms


@then('its task comes before all others')
def is_overdue(context):
    harness = context.harness
    job = harness.engine.state.job_by_id[JOB]
    long_running = job.steps_by_occurrence[0][0]
    pending = rank_task(
        long_running.tasks[0],
        long_running,
        QUEUE,
        JobEstimate(0, 0),
        harness.now_ms,
    )
    assert pending.overdue, pending.rank
