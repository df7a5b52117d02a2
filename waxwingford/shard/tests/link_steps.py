"""Steps for calls from a daemon to the owner, over real connections."""

import asyncio
import socket

from behave import given, then, when

from waxwingford.scheduling import JobSpec, encode_spec
from waxwingford.shard import OwnerLink
from waxwingford.shard._intake import JobRow

HOST = '127.0.0.1'
BACKLOG_CONNECTIONS = 4


@given('an owner that accepts connections and never answers')
def silent_owner(context):
    listener = socket.create_server((HOST, 0))
    context.add_cleanup(listener.close)
    context.endpoint = f'{HOST}:{listener.getsockname()[1]}'


@given('an owner whose VM drops connection attempts')
def owner_with_full_backlog(context):
    # The kernel drops connection attempts once the listener's backlog is full.
    listener = socket.socket()
    context.add_cleanup(listener.close)
    listener.bind((HOST, 0))
    listener.listen(0)
    port = listener.getsockname()[1]
    for _ in range(BACKLOG_CONNECTIONS):
        queued = socket.socket()
        context.add_cleanup(queued.close)
        queued.setblocking(False)
        queued.connect_ex((HOST, port))
    context.endpoint = f'{HOST}:{port}'


@given("no process listens on the owner's endpoint")
def no_listener(context):
    with socket.create_server((HOST, 0)) as listener:
        context.endpoint = f'{HOST}:{listener.getsockname()[1]}'


@when('a job is sent to the owner with {left_s:g} s left')
def store_via_owner(context, left_s):
    row = JobRow(encode_spec(JobSpec('00000000000000aa', 'queue', '', ())))

    async def _store():
        link = OwnerLink()
        started_s = asyncio.get_running_loop().time()
        try:
            return await link.store(context.endpoint, row, left_s)
        finally:
            context.took_s = asyncio.get_running_loop().time() - started_s
            link.close()

    context.left_s = left_s
    context.call_outcome = asyncio.run(_store())


@then('the outcome of the call is "{name}"')
def check_call_outcome(context, name):
    assert type(context.call_outcome).__name__ == name, context.call_outcome


@then('the call took less than half of that time')
def check_call_duration(context):
    assert context.took_s < context.left_s / 2, context.took_s
