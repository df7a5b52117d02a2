"""Steps for messages between daemons: real grpclib on loopback."""

import asyncio
import collections
import math
import socket

from behave import fixture, given, then, use_fixture, when
from grpclib.server import Server

from waxwingford.kernel import SystemClock
from waxwingford.peers import (
    Membership,
    PeerBeat,
    PeerLinks,
    PeerService,
    beat_targets,
)
from waxwingford.peers import peers_pb2 as wire
from waxwingford.routing import (
    Answered,
    RecallAnswer,
    RecallState,
    Request,
    Urgency,
)
from waxwingford.settings import PeerAddress
from waxwingford.timeline import TimeLine

HOST = '127.0.0.1'
HANG_S = 30
TIMEOUT_MS = 300


class Dispatcher:
    """Answers forwarded requests in the way that the scenario asks for."""

    def __init__(self, behaviour, server_box):
        self.behaviour = behaviour
        self.server_box = server_box

    async def handle(self, request):
        if self.behaviour == 'takes the request and hangs':
            await asyncio.sleep(HANG_S)
        if self.behaviour == 'takes the request and dies':
            self.server_box[0].close()
            await asyncio.sleep(HANG_S)
        return Answered(200, 'text/plain', request.body, 's1')

    def answer_recall(self, member, key, body_digest, asker):
        return RecallAnswer(RecallState.never_seen, 1)


class ForeignService(PeerService):
    """Answers with the id of another request."""

    async def Forward(self, stream):
        await stream.recv_message()
        await stream.send_message(wire.ForwardReply(request_id='other'))


def beat(name, *, draining=False):
    return PeerBeat(name, 'i1', 'd1', 1, {}, {}, draining)


def line(name):
    return TimeLine(name, 'i1', SystemClock(), 64)


def free_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


def address(name, port, domain='d1'):
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
def peer_daemon(context, behaviour):
    use_fixture(event_loop, context)
    port = free_port()
    context.addresses.append(address('b', port))
    if behaviour == 'is not there':
        return
    box = []
    kind = PeerService
    if behaviour == 'answers for another request':
        kind = ForeignService
    service = kind(
        Dispatcher(behaviour, box),
        lambda own: own,
        lambda _: (0, ()),
        line('b'),
    )
    server = Server([service], loop=context.loop)
    box.append(server)
    context.servers.append(server)
    context.loop.run_until_complete(server.start(HOST, port))


@given('another peer that is not there')
def absent_peer(context):
    context.addresses.append(address('c', free_port()))


def with_links(context, call):
    async def run():
        links = PeerLinks('a', context.addresses, SystemClock(), line('a'))
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
    context.outcome = with_links(
        context, lambda links: links.forward('b', request, TIMEOUT_MS)
    )


@then('the forwarded outcome is "{kind}"')
def forwarded_outcome(context, kind):
    assert type(context.outcome).__name__ == kind, context.outcome


@when('the key "{key}" is recalled from both')
def recall_key(context, key):
    context.answers = with_links(
        context, lambda links: links.recall_all('m1', key, b'd')
    )


@then('the recalled states are "{states}"')
def recalled_states(context, states):
    found = [answer.state.value for answer in context.answers.values()]
    assert found == states.split(', '), found


@given('{domains:d} failure domains with {daemons:d} daemons each')
def many_domains(context, domains, daemons):
    context.fleet = [
        address(f'd{domain}-{index}', 1, f'd{domain}')
        for domain in range(domains)
        for index in range(daemons)
    ]
    context.domain_size = daemons


@then(
    'each daemon calls at most {most:d} targets, and each pair of a domain'
    ' has one call'
)
def bounded_targets(context, most):
    pairs = collections.Counter()
    for own in context.fleet:
        targets = beat_targets(own, context.fleet)
        called = targets.each_interval
        assert len(called) <= most, len(called)
        assert len(targets.at_release) == context.domain_size - 1
        pairs.update(
            frozenset((own.daemon_id, peer.daemon_id))
            for peer in called
            if peer.failure_domain == own.failure_domain
        )
    pairs_of_domain = math.comb(context.domain_size, 2)
    domains = len(context.fleet) // context.domain_size
    assert len(pairs) == domains * pairs_of_domain, len(pairs)
    assert set(pairs.values()) == {1}


@given('a daemon that heard from "{first}" and "{second}" at time {at:d} ms')
def heard_from(context, first, second, at):
    names = ('a', first, second)
    fleet = [address(name, 1) for name in names]
    context.membership = Membership(fleet[0], fleet)
    for name in (first, second):
        context.membership.heard(beat(name), at, 1)


@when('"{name}" says that it drains at {at:d} ms')
def says_drains(context, name, at):
    context.membership.heard(beat(name, draining=True), at)


@when('"{name}" is heard again at {at:d} ms')
def heard_again(context, name, at):
    context.membership.heard(beat(name), at)


@then('at {at:d} ms the daemons alive in the domain are "{names}"')
def alive_are(context, at, names):
    found = ', '.join(context.membership.alive_in_domain(at))
    assert found == names, found
