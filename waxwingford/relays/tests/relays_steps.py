"""Steps for an owner whose calls are carried out by relays."""

import asyncio
import contextlib
import random
import struct
from types import SimpleNamespace

import logbook
import msgspec
from behave import given, then, when
from hypothesis import given as given_any
from hypothesis import strategies

from waxwingford.relays import (
    LoadSample,
    Relay,
    RelayDemand,
    RelayingClient,
    RelayPool,
)
from waxwingford.relays import _relay as relay_module
from waxwingford.relays._client import DIRECT_AFTER_FAILURE_S
from waxwingford.relays._frames import MAX_FRAME_BYTES, FrameError
from waxwingford.relays._messages import (
    Payload,
    PollCall,
    Polled,
    Refused,
    StartCall,
    decode_owner_frame,
    decode_relay_frame,
    encode_message,
    join_frames,
)
from waxwingford.relays.tests.virtual_links import VirtualNetwork
from waxwingford.routing.tests.virtual_loop import VirtualLoop, end_loop
from waxwingford.scheduling import (
    Address,
    EndKind,
    EndReport,
    OrderAccepted,
    OrderNotSent,
    OrderOutcomeUnknown,
    OrderRefused,
    PollOrder,
    PollResult,
    RefusalReason,
    RunKey,
    RunningReport,
    ServerReplaced,
    StartOrder,
    TaskKey,
)

MS_PER_S = 1000
OWNER = 'owner'
OWNER_ENDPOINT = f'{OWNER}:1'
SERVER = Address('server', '10.0.0.1:80')
RUN = RunKey(TaskKey('job', 0, 1, 2), 3)
POLL = PollOrder(7, 4, 5000, 0, 99)
POLL_RESULT = PollResult(
    12,
    (RunningReport(RUN, 'checkpoint', 41.5, 7),),
    (EndReport(5, RUN, EndKind.done, ''),),
    99,
    4,
)
OUTCOMES = (
    OrderAccepted(12),
    *(OrderRefused(reason) for reason in RefusalReason),
    ServerReplaced(),
    OrderNotSent('no connection'),
    OrderOutcomeUnknown('TimeoutError'),
    OrderOutcomeUnknown('reset', connection_lost=True),
)
SEED_FRAMES = tuple(
    next(join_frames(map(encode_message, messages)))
    for messages in (
        [Payload('job', 'text'), StartCall(1, SERVER, RUN, 5000, 7, 'c', 't')],
        [PollCall(2, SERVER, POLL)],
        [Polled(2, 12, POLL_RESULT.running, POLL_RESULT.ended, 99, 4)],
        [Refused(3, RefusalReason.fenced)],
    )
)
MALFORMED = {
    'no MessagePack': b'\xc1\xc1',
    'an unknown message': msgspec.msgpack.encode([['unknown', 1]]),
    'a message cut short': msgspec.msgpack.encode([['a', 1]]),
}


class FakeServers:
    """Client of servers that records calls and gives set answers."""

    def __init__(self, name, log):
        self.name = name
        self.calls = log
        self.delay_s = 0.001
        self.outcome = OrderAccepted(1)
        self.poll_outcome = POLL_RESULT

    async def start(self, address, order):
        self.calls.append((self.name, 'start', address, order))
        return await self._answer()

    async def stop(self, address, run, fencing_token):
        self.calls.append((self.name, 'stop', address, run, fencing_token))
        return await self._answer()

    async def pace(self, address, run, percent, fencing_token):
        self.calls.append(
            (self.name, 'pace', address, run, percent, fencing_token)
        )
        return await self._answer()

    async def poll(self, address, order):
        self.calls.append((self.name, 'poll', address, order))
        await asyncio.sleep(self.delay_s)
        return self.poll_outcome

    async def _answer(self):
        await asyncio.sleep(self.delay_s)
        return self.outcome


def now_ms():
    return int(asyncio.get_running_loop().time() * MS_PER_S)


def run(context, work):
    return context.loop.run_until_complete(work)


def pass_time(context, span_s):
    run(context, asyncio.sleep(span_s))


def start_order(context, index, job_id='job'):
    key = RunKey(TaskKey(job_id, 0, 0, index), 1)
    return StartOrder(key, context.payload, 5000, 7)


def task_server(index):
    return Address(f'server {index}', f'10.0.0.{index}:80')


@given('an owner and {count:d} relay')
@given('an owner and {count:d} relays')
def create_relays(context, count):
    context.loop = VirtualLoop()
    asyncio.set_event_loop(context.loop)
    context.add_cleanup(end_loop, context.loop)
    context.handler = logbook.TestHandler()
    context.handler.push_application()
    context.add_cleanup(context.handler.pop_application)
    context.network = VirtualNetwork()
    context.calls = []
    context.endpoint = OWNER_ENDPOINT
    context.pool = RelayPool(now_ms)
    context.network.listen(OWNER_ENDPOINT, context.pool.make_connection)
    context.direct = FakeServers('direct', context.calls)
    demand = SimpleNamespace(needed=True, update=lambda now_s: None)
    context.client = RelayingClient(context.direct, context.pool, demand)
    context.payload = 'p' * 1000
    context.servers_by_relay = {}
    context.relay_by_id = {}

    def owner_endpoint():
        return context.endpoint

    async def _start():
        context.tasks = [context.loop.create_task(context.pool.run())]
        for number in range(count):
            relay_id = f'relay-{number}'
            servers = FakeServers(relay_id, context.calls)
            relay = Relay(
                relay_id,
                servers,
                owner_endpoint,
                context.network.connector(relay_id),
                now_ms,
            )
            context.servers_by_relay[relay_id] = servers
            context.relay_by_id[relay_id] = relay
            context.tasks.append(context.loop.create_task(relay.run()))

    run(context, _start())
    pass_time(context, 0.5)


@given("an owner and 1 relay whose servers don't answer")
def create_silent_relay(context):
    create_relays(context, 1)
    context.servers_by_relay['relay-0'].delay_s = 60


@given('an owner and 1 relay whose servers answer after {delay_ms:d} ms')
def create_slow_relay(context, delay_ms):
    create_relays(context, 1)
    context.servers_by_relay['relay-0'].delay_s = delay_ms / MS_PER_S


@given('an owner and 1 relay that keeps {size:d} bytes of payloads')
def create_small_relay(context, size):
    kept = relay_module.MAX_PAYLOAD_BYTES
    context.add_cleanup(setattr, relay_module, 'MAX_PAYLOAD_BYTES', kept)
    relay_module.MAX_PAYLOAD_BYTES = size
    create_relays(context, 1)


@when('{count:d} tasks of a job with a payload of {size:d} bytes are started')
def start_tasks(context, count, size):
    context.payload = 'x' * size

    async def _start():
        return await asyncio.gather(
            *(
                context.client.start(
                    task_server(index), start_order(context, index)
                )
                for index in range(count)
            )
        )

    assert set(run(context, _start())) == {OrderAccepted(1)}


@then('{count:d} starts have reached the servers with that payload')
def check_starts(context, count):
    starts = [call for call in context.calls if call[1] == 'start']
    assert len(starts) == count
    assert {call[0] for call in starts} <= set(context.relay_by_id)
    assert sorted((call[2], call[3]) for call in starts) == sorted(
        (task_server(index), start_order(context, index))
        for index in range(count)
    )


@then('the owner has sent less than {limit:d} bytes')
def check_sent(context, limit):
    sent = sum(
        transport.sent_bytes
        for transport in context.network.transports
        if transport.ends[0] == OWNER
    )
    assert sent < limit, sent


@then('no relay has sent more than {limit:d} of them')
def check_shared(context, limit):
    names = [call[0] for call in context.calls if call[1] == 'start']
    assert max(map(names.count, names)) <= limit


@when('each kind of call is made, with each kind of outcome')
def make_all_calls(context):
    servers = context.servers_by_relay['relay-0']
    order = StartOrder(RUN, 'payload', 5000, 7, 'checkpoint', 'ticket')

    async def _call(client):
        return [
            await client.start(SERVER, order),
            await client.stop(SERVER, RUN, 7),
            await client.pace(SERVER, RUN, 40, 7),
        ]

    async def _poll(client):
        return [await client.poll(SERVER, POLL)]

    context.results = []
    for outcome in OUTCOMES:
        accepted = isinstance(outcome, OrderAccepted)
        for fake in (servers, context.direct):
            fake.outcome = outcome
            fake.poll_outcome = POLL_RESULT if accepted else outcome
        for make in (_call, _poll):
            # Relays are avoided for a while after a call without an answer.
            pass_time(context, DIRECT_AFTER_FAILURE_S)
            context.results.append(
                (
                    run(context, make(context.client)),
                    run(context, make(context.direct)),
                )
            )


@then('each outcome is the same as without a relay')
def check_outcomes(context):
    assert any(call[0] == 'relay-0' for call in context.calls)
    for relayed, direct in context.results:
        assert relayed[0] == direct[0], (relayed, direct)
    relayed_calls = {call[1:] for call in context.calls if call[0] == 'relay-0'}
    direct_calls = {call[1:] for call in context.calls if call[0] == 'direct'}
    assert relayed_calls == direct_calls


def begin(context, work):
    async def _begin():
        return asyncio.get_running_loop().create_task(work)

    return run(context, _begin())


@when('a task is started')
def start_task(context):
    context.pending = begin(
        context,
        context.client.start(task_server(0), start_order(context, 0)),
    )
    pass_time(context, 0.05)


@when('the relay is lost')
def lose_relay(context):
    context.endpoint = ''

    async def _lose():
        for transport in context.network.transports:
            transport.close_end(None)

    run(context, _lose())


@then('the outcome of the start is unknown, and no crash of its server')
def check_unknown(context):
    outcome = run(context, context.pending)
    assert outcome == OrderOutcomeUnknown('the relay was lost')
    assert not outcome.connection_lost


@then('the next call goes to the server directly')
def check_next_direct(context):
    context.calls.clear()
    run(context, context.client.stop(task_server(0), RUN, 7))
    assert [call[0] for call in context.calls] == ['direct']


@when('the relay of a server is cut off')
def cut_relay(context):
    run(context, context.client.poll(SERVER, POLL))
    context.cut_relay = context.calls[-1][0]
    context.network.cut.add(frozenset((OWNER, context.cut_relay)))
    context.calls.clear()


@when('that server is polled')
def poll_server(context):
    context.began_s = context.loop.time()
    context.outcome = run(context, context.client.poll(SERVER, POLL))


@then('the outcome is unknown after {span_ms:d} ms')
def check_timeout(context, span_ms):
    assert isinstance(context.outcome, OrderOutcomeUnknown)
    elapsed_s = context.loop.time() - context.began_s
    # The owner looks for calls that have timed out each 100 ms.
    assert 0 <= elapsed_s - span_ms / MS_PER_S <= 0.15, elapsed_s


@then('that server is then polled directly')
def check_polled_directly(context):
    context.calls.clear()
    assert run(context, context.client.poll(SERVER, POLL)) == POLL_RESULT
    assert [call[0] for call in context.calls] == ['direct']


@then('other calls go to the other relay')
def check_other_relay(context):
    context.calls.clear()
    for index in range(8):
        run(context, context.client.stop(task_server(index), RUN, 7))
    names = {call[0] for call in context.calls}
    assert names == set(context.relay_by_id) - {context.cut_relay}


@when('the relay announces that it leaves')
def leave(context):
    async def _leave():
        context.relay_by_id['relay-0'].leave()

    run(context, _leave())
    pass_time(context, 0.05)


@then('the start is accepted')
def check_accepted(context):
    assert not context.pending.done()
    assert run(context, context.pending) == OrderAccepted(1)


@when(
    'a task of each of {count:d} jobs with a payload of 1000 bytes is started'
)
def start_jobs(context, count):
    for number in range(count):
        order = start_order(context, 0, f'job {number}')
        outcome = run(context, context.client.start(task_server(0), order))
        assert outcome == OrderAccepted(1)


@when('another task of the first job is started')
def start_another(context):
    context.calls.clear()
    context.order = start_order(context, 1, 'job 0')
    context.outcome = run(
        context, context.client.start(task_server(1), context.order)
    )


@then('it has reached its server with its payload')
def check_reached(context):
    assert context.outcome == OrderAccepted(1)
    assert context.calls == [
        ('relay-0', 'start', task_server(1), context.order)
    ]


@when('another daemon owns the shard')
def change_owner(context):
    context.next_pool = RelayPool(now_ms)
    context.network.listen('next:1', context.next_pool.make_connection)
    context.endpoint = 'next:1'


@when('{span_s:g} s passes for relays')
def let_pass(context, span_s):
    pass_time(context, span_s)


@then('the relay is connected to the new owner only')
def check_connected(context):
    assert context.pool.choose('server') is None
    assert context.next_pool.choose('server').daemon_id == 'relay-0'


@when('a relay sends {what}')
def send_malformed(context, what):
    transport = next(
        transport
        for transport in context.network.transports
        if transport.ends[0] == 'relay-0'
    )
    context.cut_relay = 'relay-0'
    context.malformed = transport
    frame = MALFORMED.get(what)
    data = struct.pack('>I', MAX_FRAME_BYTES + 1)
    if frame is not None:
        data = struct.pack('>I', len(frame)) + frame

    async def _send():
        transport.write(data)

    run(context, _send())
    pass_time(context, 0.005)


@then('its connection is closed, and the log says "{word}"')
def check_closed(context, word):
    assert any(
        word in record.message and record.level >= logbook.ERROR
        for record in context.handler.records
    )
    assert context.malformed.closed
    assert context.malformed.peer.closed


@then('calls go to the other relay')
def check_calls_go_on(context):
    check_other_relay(context)


@then("frames with random changes raise no error but that they can't be read")
def check_random_frames(context):
    @given_any(
        strategies.sampled_from(SEED_FRAMES),
        strategies.randoms(use_true_random=False),
    )
    def _decode(frame, changes):
        changed = bytearray(frame)
        for _ in range(changes.randint(1, 4)):
            change(changed, changes)
        for decode in (decode_owner_frame, decode_relay_frame):
            with contextlib.suppress(FrameError):
                decode(bytes(changed))

    _decode()


def change(frame: bytearray, changes: random.Random) -> None:
    """Change, insert or remove a byte."""
    position = changes.randrange(len(frame) + 1)
    kind = changes.randrange(3)
    if kind == 0:
        frame.insert(position, changes.randrange(256))
        frame.pop(min(position + 1, len(frame) - 1))
    elif kind == 1:
        frame.insert(position, changes.randrange(256))
    else:
        del frame[position:]


@given('a link of {rate:g} Mbit/s')
def create_demand(context, rate):
    context.now_s = 0
    context.sent_bytes = 0
    context.lag_s = 0
    context.demand = RelayDemand(
        rate, lambda: LoadSample(int(context.sent_bytes), 0, context.lag_s)
    )


@when(
    'the owner sends {rate:d} bytes a second for {span_s:d} s with a lag of'
    ' {lag:d} ms'
)
def load_owner(context, rate, span_s, lag):
    context.lag_s = lag / MS_PER_S
    for _ in range(span_s * 20):
        context.now_s += 0.05
        context.sent_bytes += rate * 0.05
        context.demand.update(context.now_s)


@then('relays are used')
def check_used(context):
    assert context.demand.needed


@then('relays are not used')
def check_not_used(context):
    assert not context.demand.needed


ODD_SERVER = Address('odd', '10.0.0.9:80')


async def _fail(address, order):
    raise UnicodeError('label empty or too long')


async def _answer_beyond_integers(address, order):
    return PollResult(10**30, (), ())


async def _answer_too_long(address, order):
    checkpoint = 'c' * MAX_FRAME_BYTES
    return PollResult(1, (RunningReport(RUN, checkpoint, 1, 1),), ())


ODD_ANSWERS = {
    'raises an error': _fail,
    'has a clock that no message can hold': _answer_beyond_integers,
    'is longer than a frame may be': _answer_too_long,
}


@when("a server's poll answer {kind}, and another one answers as usual")
def poll_odd(context, kind):
    servers = context.servers_by_relay['relay-0']
    usual = servers.poll

    async def _poll(address, order):
        if address == ODD_SERVER:
            return await ODD_ANSWERS[kind](address, order)
        return await usual(address, order)

    servers.poll = _poll

    async def _poll_both():
        return await asyncio.gather(
            context.client.poll(ODD_SERVER, POLL),
            context.client.poll(SERVER, POLL),
        )

    context.link = context.pool.choose('any')
    context.outcomes = run(context, _poll_both())


@then('the outcome of the first call is unknown, and that of the other known')
def check_odd(context):
    odd, usual = context.outcomes
    assert isinstance(odd, OrderOutcomeUnknown), odd
    assert usual == POLL_RESULT, usual


@then('the relay is still connected')
def check_connected(context):
    pass_time(context, 0.5)
    assert context.pool.choose('any') is context.link
    assert context.link is not None


@when(
    '{count:d} starts of jobs with payloads of {size:d} bytes are sent at once'
)
def start_long_payloads(context, count, size):
    context.payload = 'x' * size
    context.link = context.pool.choose('any')

    async def _start():
        return await asyncio.gather(
            *(
                context.client.start(
                    task_server(index),
                    start_order(context, 0, job_id=f'job {index}'),
                )
                for index in range(count)
            )
        )

    context.outcomes = run(context, _start())


@then('all of them are carried out')
def check_carried_out(context):
    assert set(context.outcomes) == {OrderAccepted(1)}, context.outcomes
