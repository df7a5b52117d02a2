"""Steps for the simulated log and VM list."""

from behave import given, then, when

from waxwingford.kernel import ManualClock
from waxwingford.ports import (
    Appended,
    AppendOutcomeUnknown,
    AppendRefused,
    LogRead,
    LogUnavailable,
    Resources,
    Vm,
    VmState,
)
from waxwingford_standins.platform_list import VmListCore
from waxwingford_standins.platform_log import LogCore, LogLimits, Outage

STREAM = 'domain/d'


def create_log(context, limits=None):
    """Create a log and a clock at time zero."""
    context.clock = ManualClock()
    context.log = LogCore(limits or LogLimits())


@given('a simulated log')
def simulated_log(context):
    create_log(context)


@given('a simulated log that loses {percent:d} percent of acknowledgements')
def log_that_loses(context, percent):
    create_log(context)
    context.log.faults.lost_share = percent / 100


@given('a simulated log that retains {count:d} entries')
def log_that_retains(context, count):
    create_log(context, LogLimits(retain_entries=count))


@given('a simulated log that retains entries for {age_ms:d} ms')
def log_that_retains_for(context, age_ms):
    create_log(context, LogLimits(retain_ms=age_ms))


@given('a simulated log that accepts {count:d} appends a second')
def log_that_accepts(context, count):
    create_log(context, LogLimits(appends_per_second=count))


@given('a simulated VM list with a lag of {lag_ms:d} ms')
def simulated_list(context, lag_ms):
    context.clock = ManualClock()
    context.vms = VmListCore()
    context.vms.faults.lag_ms = lag_ms


@when('"{payload}" is appended to the simulated log')
def append_one(context, payload):
    context.appended = context.log.append(
        STREAM, payload.encode(), context.clock.monotonic_ms()
    )


@when('"{payloads}" are appended to the simulated log')
def append_many(context, payloads):
    for payload in payloads.split(', '):
        append_one(context, payload)


@when('the simulated log goes out of service')
def log_outage(context):
    context.log.faults.outage = Outage.refuse


@when('the simulated log recovers')
def log_recovers(context):
    context.log.faults.outage = Outage.none


@when('{step_ms:d} ms pass at the platform')
def platform_time(context, step_ms):
    context.clock.advance(step_ms)


@when('VM "{server_id}" is "{state}" on the platform')
def vm_is(context, server_id, state):
    size = Resources(1, 1)
    vm = Vm(
        server_id, 'd', 'r', 'h', 1, VmState(state), size, 1, 1, 'dispatcher'
    )
    context.vms.heartbeat(vm, context.clock.monotonic_ms())


@then('the outcome of the append is unknown')
def append_unknown(context):
    assert isinstance(context.appended, AppendOutcomeUnknown), context.appended


@then('the append is refused')
def append_refused(context):
    assert isinstance(context.appended, AppendRefused), context.appended
    assert context.appended.retry_after_ms > 0, context.appended
    assert not isinstance(context.appended, Appended)


def read_all(context):
    """Read the stream from its first offset."""
    return context.log.read(STREAM, 0, 10, context.clock.monotonic_ms())


@then("the simulated log can't be read")
def cannot_read(context):
    assert isinstance(read_all(context), LogUnavailable)


@then('the simulated log holds "" from offset {offset:d}')
def holds_nothing(context, offset):
    block = read_all(context)
    assert isinstance(block, LogRead), block
    assert (block.entries, block.oldest_offset) == ((), offset), block


@then('the simulated log holds "{payloads}" from offset {offset:d}')
def holds(context, payloads, offset):
    block = read_all(context)
    found = ', '.join(entry.payload.decode() for entry in block.entries)
    assert (found, block.oldest_offset) == (payloads, offset), block
    assert block.entries[0].offset == offset, block


@then('the next offset is {offset:d}')
def next_offset_is(context, offset):
    assert read_all(context).next_offset == offset


def listed_vms(context):
    listed = context.vms.read(context.clock.monotonic_ms()).vms
    return ', '.join(f'{vm.server_id} {vm.state}' for vm in listed)


@then('the simulated VM list shows ""')
def shows_nothing(context):
    assert not listed_vms(context), listed_vms(context)


@then('the simulated VM list shows "{vms}"')
def shows(context, vms):
    assert listed_vms(context) == vms, listed_vms(context)
