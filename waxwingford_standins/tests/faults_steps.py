"""Steps for fault injection into a deployment of real processes."""

import asyncio
import pathlib
import signal
import sys
import tempfile

from behave import given, then, when

from waxwingford_standins.deployment import load_deployment
from waxwingford_standins.load import CallOutcome
from waxwingford_standins.local_run import LocalRun, Started, open_bundle
from waxwingford_standins.trial import LoadTest, read_servers

SMALL = pathlib.Path(__file__).parent / 'small'
LOAD_S = 4
#: Exceeds the control lease of a local run.
FREEZE_S = 3.6
MIN_ANSWERED_SHARE = 0.5
ISOLATED_DOMAIN = 'gulberg'
CUT_S = 3
#: Time for a daemon to detect that a peer is unreachable, in seconds.
DETECTION_S = 1
#: Deployment shared by all scenarios, since starting it is slow.
shared = {}


def print_progress(line):
    """Print a progress message, which behave shows for failed steps."""
    sys.stdout.write(f'{line}\n')


def stop_deployment():
    """Stop every process of the shared deployment."""
    runner, local_run = shared['runner'], shared['local_run']
    with shared['directory']:
        runner.run(local_run.stop())
        runner.close()
    shared.clear()


@given('the small deployment is running')
def small_deployment_running(context):
    if not shared:
        directory = tempfile.TemporaryDirectory()
        shared.update(
            runner=asyncio.Runner(),
            directory=directory,
            local_run=LocalRun(
                load_deployment(SMALL / 'deployment.toml'),
                open_bundle(SMALL / 'bundle.toml'),
                pathlib.Path(directory.name),
                print_progress,
            ),
            findings=set(),
        )
        context.add_cleanup(stop_deployment, layer='feature')
        started = shared['runner'].run(shared['local_run'].start())
        assert isinstance(started, Started), started
    reason = shared['runner'].run(shared['local_run'].wait_ready())
    assert not reason, reason


async def kill_daemon(local_run):
    """Kill and restart a daemon while servers hold its requests."""
    await asyncio.sleep(2)
    await local_run.switches.server_fault(
        failure_domain=ISOLATED_DOMAIN, frozen=True
    )
    await asyncio.sleep(0.5)
    local_run.processes.send('small-1', signal.SIGKILL)
    await asyncio.sleep(0.7)
    await local_run.switches.server_fault(
        failure_domain=ISOLATED_DOMAIN, frozen=False
    )
    await local_run.start_daemon('small-1')


async def freeze_daemon(local_run):
    """Pause a daemon for longer than its leases."""
    await asyncio.sleep(1)
    local_run.processes.send('small-2', signal.SIGSTOP)
    await asyncio.sleep(FREEZE_S)
    local_run.processes.send('small-2', signal.SIGCONT)


async def hang_log(local_run):
    """Make the log hang, then lose some of its acknowledgements."""
    await asyncio.sleep(0.5)
    await local_run.switches.platform_fault(outage='hang')
    # Exceeds the daemons' timeout for requests to the log.
    await asyncio.sleep(2.5)
    await local_run.switches.platform_fault(outage='none', lost_share=0.6)
    await asyncio.sleep(2)
    await local_run.switches.platform_fault(lost_share=0)


async def kill_without_log(local_run):
    """Kill and restart a daemon while the log hangs."""
    await asyncio.sleep(1)
    await local_run.switches.platform_fault(outage='hang')
    await asyncio.sleep(1)
    local_run.processes.send('small-1', signal.SIGKILL)
    # Let the leases expire, so that another daemon takes over without the log.
    await asyncio.sleep(FREEZE_S)
    await local_run.start_daemon('small-1')
    await asyncio.sleep(1)
    await local_run.switches.platform_fault(outage='none')


async def isolate_domain(local_run):
    """Partition a failure domain from its peers and the platform."""
    await asyncio.sleep(1)
    await local_run.switches.isolate(ISOLATED_DOMAIN)
    shared['cut_s'] = asyncio.get_running_loop().time()
    await asyncio.sleep(CUT_S)
    await local_run.switches.isolate()


async def busy_server(local_run):
    """Wait for a running batch attempt and return the id of its server."""
    while True:
        for server in await read_servers(local_run):
            if any(run.phase == 'running' for run in server.attempts):
                return server.server_id
        await asyncio.sleep(0.1)


async def kill_server(local_run):
    """Crash a busy server while control responses are lost."""
    await local_run.switches.server_fault(lost_control_share=0.2)
    server_id = await busy_server(local_run)
    await local_run.switches.server_fault(
        server_id=server_id, die=True, down_ms=1000
    )
    await asyncio.sleep(3)
    await local_run.switches.server_fault(lost_control_share=0)


async def evict_tasks(local_run):
    """Evict all tasks while control responses are lost."""
    await local_run.switches.server_fault(lost_control_share=0.2)
    await asyncio.sleep(1)
    shared['evicted'] = await shared['trial'].night.evict_all()
    await asyncio.sleep(1.2)
    shared['evicted'] += await shared['trial'].night.evict_all()
    await local_run.switches.server_fault(lost_control_share=0)


async def leave_server(local_run):
    """Put a busy server into the leaving state."""
    server_id = await busy_server(local_run)
    await local_run.switches.server_fault(server_id=server_id, leave=True)


async def stop_daemon(local_run):
    """Terminate a daemon gracefully."""
    await asyncio.sleep(1)
    local_run.processes.send('small-3', signal.SIGTERM)


FAULT_BY_NAME = {
    'a daemon is killed and restarted': kill_daemon,
    'a daemon is paused past its leases': freeze_daemon,
    'the log hangs and then loses acknowledgements': hang_log,
    'a daemon is killed while the log hangs': kill_without_log,
    'a failure domain is partitioned': isolate_domain,
    'a backend server crashes and replies are lost': kill_server,
    'all tasks are evicted and replies are lost': evict_tasks,
    'a backend server enters the leaving state': leave_server,
    'a daemon is terminated gracefully': stop_daemon,
}


@when('it is under load while {fault}')
def load_while(context, fault):
    local_run = shared['local_run']
    context.trial = LoadTest(local_run)
    shared['trial'] = context.trial

    async def _load():
        await asyncio.gather(
            context.trial.load(LOAD_S), FAULT_BY_NAME[fault](local_run)
        )
        return await context.trial.report(LOAD_S)

    context.report = shared['runner'].run(_load())
    print_progress(context.report)


@then('the audit has no findings')
def audit_clean(context):
    new = set(context.report.findings) - shared['findings']
    shared['findings'] |= new
    assert not new, new
    assert context.trial.callers.calls


@then('every accepted job finished')
def jobs_finished(context):
    batch = context.report.batch
    assert batch.accepted and not batch.unfinished, batch


@then('some tasks resumed from their checkpoints')
def tasks_resumed(context):
    phases = context.report.batch.attempts_by_phase
    assert shared['evicted'], phases
    assert phases.get('checkpointed'), phases


@then('some attempts ended by a server crash')
def ended_by_crash(context):
    servers = shared['runner'].run(read_servers(shared['local_run']))
    details = {run.detail for server in servers for run in server.attempts}
    assert 'server died' in details, details


@then('most calls were answered')
def mostly_answered(context):
    outcomes = [call.outcome for call in context.trial.callers.calls]
    answered = outcomes.count(CallOutcome.answered)
    assert answered > MIN_ANSWERED_SHARE * len(outcomes), context.report.reasons


@then('callers of the failure domain were answered during the partition')
def answered_in_partition(context):
    inside = {
        daemon.daemon_id
        for daemon in shared['local_run'].layout.daemons
        if daemon.failure_domain == ISOLATED_DOMAIN
    }
    since_s = shared['cut_s'] + DETECTION_S
    outcomes = [
        call.outcome
        for call in context.trial.callers.calls
        if call.daemon_id in inside
        and call.idempotent
        and since_s < call.started_s < shared['cut_s'] + CUT_S
    ]
    answered = outcomes.count(CallOutcome.answered)
    assert answered > MIN_ANSWERED_SHARE * len(outcomes), context.report.reasons


@then('no call was cut off by a connection error')
def none_broken_off(context):
    seen = {
        outcome
        for call in context.trial.callers.calls
        for outcome in call.outcomes
    }
    assert CallOutcome.broken_off not in seen, context.report.reasons


@then('the daemon exited by itself with code {code:d}')
def daemon_exited(context, code):
    process = shared['local_run'].processes.process_by_name['small-3']
    shared['runner'].run(asyncio.wait_for(process.wait(), 15))
    assert process.returncode == code, process.returncode
