"""Steps for RPCs between daemons, with grpclib on the loopback interface."""

import asyncio
import collections
import math
import socket

from behave import fixture, given, then, use_fixture, when
from grpclib.server import Server

from waxwingford.kernel import SystemClock
from waxwingford.peers import (
    Membership,
    PeerClients,
    PeerHeartbeat,
    PeerService,
    choose_heartbeat_targets,
)
from waxwingford.peers import peers_pb2 as wire
from waxwingford.routing import (
    Answered,
    KeyLookupAnswer,
    KeyLookupState,
    Request,
    Urgency,
)
from waxwingford.settings import PeerAddress
from waxwingford.timeline import Timeline

HOST = '127.0.0.1'
HANG_TIME_S = 30
CALL_TIMEOUT_MS = 300


class FakeRequestHandler:
    """Handles forwarded requests with the behaviour that a scenario names."""

    def __init__(self, behaviour, server_holder):
        self.behaviour = behaviour
        self.server_holder = server_holder

    async def handle(self, request):
        if self.behaviour == 'receives the request and hangs':
            await asyncio.sleep(HANG_TIME_S)
        if self.behaviour == 'receives the request and stops':
            self.server_holder[0].close()
            await asyncio.sleep(HANG_TIME_S)
        return Answered(200, 'text/plain', request.body, 's1')

    def answer_key_lookup(self, member, key, body_digest, asker):
        return KeyLookupAnswer(KeyLookupState.never_seen, 1)


class MismatchedReplyService(PeerService):
    """Replies with the id of another request."""

    async def Forward(self, stream):
        await stream.recv_message()
        await stream.send_message(wire.ForwardReply(request_id='other'))


class LaterVersionService(PeerService):
    """Replies with a key state of a later version."""

    async def Recall(self, stream):
        await stream.recv_message()
        await stream.send_message(wire.RecallReply(state='half seen'))


SERVICE_BY_BEHAVIOUR = {
    'replies with another request id': MismatchedReplyService,
    'knows keys in a later state': LaterVersionService,
}


def make_heartbeat(name, *, draining=False):
    return PeerHeartbeat(name, 'i1', 'd1', 1, {}, {}, draining)


def make_time_line(name):
    return Timeline(name, 'i1', SystemClock(), 64)


def find_free_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


def make_address(name, port, domain='d1'):
    return PeerAddress(
        daemon_id=name,
        failure_domain=domain,
        host=HOST,
        rpc_port=port,
        http_port=port,
    )


@fixture
def event_loop(context):
    context.loop = asyncio.new_event_loop()
    context.addresses = []
    context.servers = []
    yield context.loop
    for server in context.servers:
        server.close()
        context.loop.run_until_complete(server.wait_closed())
    context.loop.close()


@given('a peer daemon that {behaviour}')
def start_peer(context, behaviour):
    use_fixture(event_loop, context)
    port = find_free_port()
    context.addresses.append(make_address('b', port))
    if behaviour == 'is not running':
        return
    holder = []
    service_class = SERVICE_BY_BEHAVIOUR.get(behaviour, PeerService)
    service = service_class(
        FakeRequestHandler(behaviour, holder),
        lambda own: own,
        lambda _: (0, ()),
        make_time_line('b'),
    )
    server = Server([service], loop=context.loop)
    holder.append(server)
    context.servers.append(server)
    context.loop.run_until_complete(server.start(HOST, port))


@given('another peer that is not running')
def unreachable_peer(context):
    context.addresses.append(make_address('c', find_free_port()))


def call_peers(context, call):
    async def run():
        links = PeerClients(
            'a', context.addresses, SystemClock(), make_time_line('a')
        )
        try:
            return await call(links)
        finally:
            links.close()

    return context.loop.run_until_complete(run())


@when('a request is forwarded to it')
def forward_request(context):
    request = Request(
        'r1', 'm1', 's', '/p', b'x', Urgency.urgent, False, 'k', 1, 5000
    )
    context.outcome = call_peers(
        context, lambda links: links.forward('b', request, CALL_TIMEOUT_MS)
    )


@then('the forwarded outcome is "{kind}"')
def check_forwarded_outcome(context, kind):
    assert type(context.outcome).__name__ == kind, context.outcome


@when('the key "{key}" is recalled from both peers')
def recall_key(context, key):
    context.answers = call_peers(
        context, lambda links: links.look_up_key('m1', key, b'd')
    )


@then('the recalled states are "{states}"')
def check_recalled_states(context, states):
    found = [answer.state.value for answer in context.answers.values()]
    assert found == states.split(', '), found


@when('a heartbeat is sent to the peer "{name}"')
def send_heartbeat(context, name):
    context.answer = call_peers(
        context,
        lambda links: links.beat(name, make_heartbeat('a'), CALL_TIMEOUT_MS),
    )


@then('no heartbeat is received')
def check_no_heartbeat(context):
    assert context.answer is None, context.answer


@given('{domains:d} failure domains with {daemons:d} daemons each')
def create_domains(context, domains, daemons):
    context.fleet = [
        make_address(f'd{domain}-{index}', 1, f'd{domain}')
        for domain in range(domains)
        for index in range(daemons)
    ]
    context.daemons_per_domain = daemons


@then(
    'each daemon calls at most {most:d} targets, and each pair in a domain'
    ' has one caller'
)
def check_target_bound(context, most):
    pairs = collections.Counter()
    for own in context.fleet:
        targets = choose_heartbeat_targets(own, context.fleet)
        called = targets.periodic
        assert len(called) <= most, len(called)
        assert len(targets.on_release) == context.daemons_per_domain - 1
        pairs.update(
            frozenset((own.daemon_id, peer.daemon_id))
            for peer in called
            if peer.failure_domain == own.failure_domain
        )
    pairs_per_domain = math.comb(context.daemons_per_domain, 2)
    domains = len(context.fleet) // context.daemons_per_domain
    assert len(pairs) == domains * pairs_per_domain, len(pairs)
    assert set(pairs.values()) == {1}


@given(
    'a daemon that got heartbeats from "{first}" and "{second}" at {at:d} ms'
)
def record_first_heartbeats(context, first, second, at):
    names = ('a', first, second)
    fleet = [make_address(name, 1) for name in names]
    context.membership = Membership(fleet[0], fleet)
    for name in (first, second):
        context.membership.record_heartbeat(make_heartbeat(name), at, 1)


@when('"{name}" sends a draining heartbeat at {at:d} ms')
def record_draining_heartbeat(context, name, at):
    context.membership.record_heartbeat(make_heartbeat(name, draining=True), at)


@when('"{name}" sends a heartbeat again at {at:d} ms')
def record_later_heartbeat(context, name, at):
    context.membership.record_heartbeat(make_heartbeat(name), at)


@then('at {at:d} ms the daemons alive in the domain are "{names}"')
def check_alive(context, at, names):
    found = ', '.join(context.membership.alive_in_domain(at))
    assert found == names, found
