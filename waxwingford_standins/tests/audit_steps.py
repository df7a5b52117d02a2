"""Steps for the audit of a run."""

import collections

from behave import given, then, when

from waxwingford_standins.audit import (
    FinishedJob,
    audit_attempts,
    audit_calls,
    audit_jobs,
    audit_leaving,
)
from waxwingford_standins.backend_server import ServerAudit
from waxwingford_standins.load import Call, CallOutcome
from waxwingford_standins.server_tasks import AttemptRun

CHECKPOINT = 'ckpt:t/0:1:500'


def collected(context):
    """Return the calls, audits and jobs of the scenario."""
    if 'audit_evidence' not in context:
        context.audit_evidence = collections.defaultdict(list)
    return context.audit_evidence


def add_server(context, server_id='s', runs=None, attempts=(), leaving_ms=-1):
    audit = ServerAudit(
        server_id, runs or {}, runs or {}, list(attempts), 1, 0, leaving_ms
    )
    collected(context)['servers'].append(audit)


@given('a call "{token}" that ended "{outcomes}" and ran {runs:d} times')
def call_ended(context, token, outcomes, runs):
    tagged = tuple(CallOutcome(name) for name in outcomes.split(', '))
    call = Call(
        'caller', token, idempotent=False, outcomes=tagged, latency_ms=1
    )
    collected(context)['calls'].append(call)
    add_server(context, runs={token: runs} if runs else {})


@given(
    'attempt {attempt:d} of "{task_id}" ran on "{server_id}" '
    'from {start_ms:d} to {end_ms:d} ms and ended "{phase}"'
)
def attempt_ran(context, attempt, task_id, server_id, start_ms, end_ms, phase):
    earlier = [
        run.phase
        for server in collected(context)['servers']
        for run in server.attempts
    ]
    resume_from = CHECKPOINT if 'checkpointed' in earlier else ''
    run = AttemptRun(
        task_id,
        attempt,
        server_id,
        'boot',
        start_ms,
        end_ms,
        phase,
        resume_from,
        CHECKPOINT if phase == 'checkpointed' else '',
    )
    add_server(context, server_id, attempts=(run,))


@given(
    'attempt {attempt:d} of "{task_id}" ran without a checkpoint on "{server_id}" '
    'from {start_ms:d} to {end_ms:d} ms'
)
def attempt_without_checkpoint(
    context, attempt, task_id, server_id, start_ms, end_ms
):
    run = AttemptRun(
        task_id, attempt, server_id, 'boot', start_ms, end_ms, 'done', ''
    )
    add_server(context, server_id, attempts=(run,))


@given('the job "{job_id}" was accepted but is missing from the log')
def job_missing_from_log(context, job_id):
    collected(context)['acknowledged'].append(job_id)


@given('the log records that {count:d} task of "{job_id}" is done')
def log_records_done(context, count, job_id):
    collected(context)['finished'].append(FinishedJob(job_id, count, 0, 0))


@given(
    'server "{server_id}" received work {leaving_ms:d} ms after it began to leave'
)
def work_after_leaving(context, server_id, leaving_ms):
    add_server(context, server_id, leaving_ms=leaving_ms)


@when('the run is audited')
def audit_run(context):
    found = collected(context)
    context.findings = [
        *audit_calls(found['calls'], found['servers']),
        *audit_attempts(found['servers']),
        *audit_leaving(found['servers']),
        *audit_jobs(
            found['acknowledged'],
            frozenset(),
            found['finished'],
            found['servers'],
        ),
    ]


@then('the findings are ""')
def no_findings(context):
    assert not context.findings, context.findings


@then('the findings are "{checks}"')
def findings_are(context, checks):
    found = ', '.join(finding.check for finding in context.findings)
    assert found == checks, context.findings
