"""Steps for the bounds of inherited leases."""

import msgspec
from behave import given, then, when

from waxwingford.shard._journal import OwnerRecord, Predecessor
from waxwingford.shard._lease_bounds import bound_leases

MS_PER_S = 1000


@given('no heartbeat')
def no_heartbeat(context):
    context.predecessor = Predecessor(None, 0, 0, -1)


@given('heartbeat {number:d} was read at {read_s:d} s')
def read_heartbeat(context, read_s, number):
    record = OwnerRecord('d0', 1, 'd0:1', silent={})
    context.predecessor = Predecessor(
        record, read_s * MS_PER_S, number, number - 1
    )


@given('a heartbeat of an older version that was read at {read_s:d} s')
def read_older_heartbeat(context, read_s):
    record = OwnerRecord('d0', 1, 'd0:1')
    context.predecessor = Predecessor(record, read_s * MS_PER_S, 1, 0)


@given('it lists "{server_id}" as silent with {left_ms:d} ms left')
def list_silent(context, server_id, left_ms):
    context.predecessor.record.silent[server_id] = left_ms


@given(
    'its sender had extended no lease, had read up to heartbeat {number:d},'
    ' and {rest_ms:d} ms were left'
)
def set_repeated_bounds(context, number, rest_ms):
    record = msgspec.structs.replace(
        context.predecessor.record, rest_ms=rest_ms, read_to=number
    )
    context.predecessor = context.predecessor._replace(record=record)


@when(
    "the successor's first heartbeat is number {number:d},"
    ' stored at {stored_s:d} s'
)
def store_first_heartbeat(context, number, stored_s):
    context.first_end = number
    context.now_ms = stored_s * MS_PER_S


def bounds(context, lease_ms):
    return bound_leases(
        context.predecessor, context.first_end, context.now_ms, lease_ms
    )


@then('leases of {lease_ms:d} ms on "{server_id}" expire at {until_ms:d} ms')
def check_expiry(context, lease_ms, server_id, until_ms):
    context.lease_ms = lease_ms
    assert bounds(context, lease_ms).until(server_id) == until_ms


@then('those on other servers expire at {until_ms:d} ms')
def check_other_expiry(context, until_ms):
    assert bounds(context, context.lease_ms).until('other') == until_ms
