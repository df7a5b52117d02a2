"""Steps for urgent tasks in a simulated failure domain."""

from behave import given, then, when

from waxwingford.ports import Resources
from waxwingford.records import JobSpec
from waxwingford_bench.virtual.domain import VirtualDomain

SETTLE_MS = 8000


@given(
    'a virtual domain in which one of {daemons:d} daemons holds the only server'
)
def one_server(context, daemons):
    context.urgent_domain = VirtualDomain(1, daemons=daemons, servers=1)
    context.urgent_domain.run(SETTLE_MS)


@when('{count:d} jobs of priority {priority:d} are submitted')
def submit_jobs(context, count, priority):
    context.urgent_count = count
    for number in range(count):
        job = JobSpec(
            f'qadri.urgent{number}',
            'qadri',
            'archive',
            'archive_rebuild',
            1,
            Resources(100, 100),
            900_000,
            priority=priority,
            payload='{"run_ms":900000}',
        )
        context.urgent_domain.submit('d0', job)


def running(context):
    server = context.urgent_domain.server_by_id['s0']
    return len(server.running())


@then('all of them run {wait_ms:d} ms later')
def all_run(context, wait_ms):
    context.urgent_domain.run(wait_ms)
    assert running(context) == context.urgent_count, running(context)


@then(
    'some of them do not run {wait_ms:d} ms later, but all do after'
    ' {longer_ms:d} ms'
)
def some_wait(context, wait_ms, longer_ms):
    context.urgent_domain.run(wait_ms)
    assert running(context) < context.urgent_count, running(context)
    context.urgent_domain.run(longer_ms - wait_ms)
    assert running(context) == context.urgent_count, running(context)
