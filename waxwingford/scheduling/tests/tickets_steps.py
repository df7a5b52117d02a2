"""Steps for tickets, with servers that refuse starts without a valid one."""

from behave import given, then, when

from waxwingford.scheduling import (
    Denial,
    EndKind,
    OrderDenied,
    OrderTaken,
    Terms,
)
from waxwingford.scheduling.tests.engine_harness import QUEUE, Bench, step

#: Servers that the service accepts in one request.
MAX_REQUEST_SERVERS = 100
DECIDE_MS = 10
DECIDE_INTERVAL_MS = 50


class TicketBench(Bench):
    """An engine whose starts are sent by steps of the scenario.

    :ivar unsent: stored starts that are not sent yet.
    :ivar taken: runs that a server has accepted.
    :ivar refused: runs that a server has refused.
    :ivar allowed: servers that the service allows, ``None`` for all.
    :ivar requests: number of requests that the service has answered.
    """

    def __init__(self, count, cores):
        super().__init__(count, cores)
        queue = QUEUE._replace(advised=True)
        self.engine.configure(Terms(2, {'queue': queue}))
        self.advice = self.engine.book.advice
        self.until_by_ticket = {}
        self.unsent = []
        self.taken = []
        self.refused = []
        self.allowed = None
        self.requests = 0

    def decide(self, accept=True):
        self.now_ms += DECIDE_MS
        self.engine.decide(self.now_ms, self.wall_ms)
        starts = self.engine.stored(self.engine.take_batch())
        self.planned += [start.run for start in starts]
        self.unsent += starts
        self.orders += self.engine.book.take_orders()

    def send(self, starts):
        for start in starts:
            self.unsent.remove(start)
            order = self.engine.orders.start(start.run, self.now_ms)
            if order is not None:
                self.answer(start, order)
        self.now_ms += 50
        self.decide()

    def answer(self, start, order):
        valid = self.until_by_ticket.get(order.ticket, 0) > self.now_ms
        outcome = OrderDenied(Denial.no_ticket)
        if valid:
            outcome = OrderTaken(self.now_ms)
        (self.taken if valid else self.refused).append(start.run)
        server = self.engine.book.server_by_id[start.server_id]
        self.engine.start_answered(server, start.run, self.now_ms, outcome)

    def advise(self, choose, validity_ms, took_ms=0):
        """Let the service answer the next request, if there is one.

        :param choose: returns the eligible ones of some servers.
        :param validity_ms: of the tickets.
        :param took_ms: duration of the request; placement rounds go on.
        :returns: whether there was a request.
        """
        request = self.advice.next_question()
        if request is None:
            return False
        assert len(request.server_ids) <= MAX_REQUEST_SERVERS, request
        self.requests += 1
        sent_ms = self.now_ms
        while self.now_ms + DECIDE_INTERVAL_MS <= sent_ms + took_ms:
            self.now_ms += DECIDE_INTERVAL_MS - DECIDE_MS
            self.decide()
        self.now_ms = sent_ms + took_ms
        tickets = {
            server_id: f'{server_id} at {self.now_ms}'
            for server_id in choose(request.server_ids)
        }
        for text in tickets.values():
            self.until_by_ticket[text] = self.now_ms + validity_ms
        self.advice.answered(
            request, tickets, sent_ms, validity_ms, self.now_ms
        )
        self.decide()
        return True

    def advise_until_planned(self, validity_ms, took_ms, span_ms):
        """Let the service answer requests until a run is planned.

        :param validity_ms: of the tickets.
        :param took_ms: duration of a request.
        :param span_ms: time limit.
        """
        until_ms = self.now_ms + span_ms
        while self.now_ms < until_ms and not self.planned:
            if not self.advise(self.choose_allowed, validity_ms, took_ms):
                self.decide()

    def choose_allowed(self, server_ids):
        return [
            server_id
            for server_id in server_ids
            if self.allowed is None or server_id in self.allowed
        ]


def first_servers(count):
    def choose(server_ids):
        return sorted(server_ids)[:count]

    return choose


@given('an advised queue, and {count:d} servers of {cores:d} core')
@given('an advised queue, and {count:d} servers of {cores:d} cores')
def create_advised_servers(context, count, cores):
    context.bench = TicketBench(count, cores)


@when('a job of 2 tasks is submitted')
def submit_two_tasks(context):
    context.bench.submit(step(2))


@when('the service issues tickets of {validity_ms:d} ms for {count:d} server')
@when('the service issues tickets of {validity_ms:d} ms for {count:d} servers')
def issue_tickets(context, validity_ms, count):
    assert context.bench.advise(first_servers(count), validity_ms)


@when(
    'the service issues tickets of {validity_ms:d} ms for {count:d} server,'
    ' after {took_ms:d} ms'
)
def issue_tickets_late(context, validity_ms, count, took_ms):
    assert context.bench.advise(first_servers(count), validity_ms, took_ms)


@given('the service allows the servers from {begin:d} to {end:d} only')
def allow_servers(context, begin, end):
    context.bench.allowed = {f's{number}' for number in range(begin, end + 1)}


@when(
    'the service issues tickets of {validity_ms:d} ms,'
    ' each time after {took_ms:d} ms, for {span_s:d} s'
)
def issue_tickets_repeatedly(context, validity_ms, took_ms, span_s):
    context.bench.advise_until_planned(validity_ms, took_ms, span_s * 1000)


@then('the service got at most {count:d} requests')
def requests_bounded(context, count):
    assert 0 < context.bench.requests <= count, context.bench.requests


@when('the starts are sent {later_ms:d} ms later')
def send_starts(context, later_ms):
    context.bench.now_ms += later_ms
    context.bench.send(list(context.bench.unsent))


@when('{count:d} start is sent {later_ms:d} ms later')
def send_some_starts(context, count, later_ms):
    context.bench.now_ms += later_ms
    context.bench.send(context.bench.unsent[:count])


@when('the run ends {later_ms:d} ms later')
def end_run(context, later_ms):
    bench = context.bench
    bench.now_ms += later_ms
    bench.end(bench.taken[-1], EndKind.done)


@then('no start is sent')
def no_start_sent(context):
    bench = context.bench
    assert bench.planned
    assert not bench.taken and not bench.refused, bench.refused


@then('another ticket request is pending')
def request_pending(context):
    advice = context.bench.advice
    request = advice.next_question()
    assert request is not None
    # The round queues the request again for the next step.
    context.bench.decide()


@then('{count:d} start is taken')
@then('{count:d} starts are taken')
def starts_taken(context, count):
    assert len(context.bench.taken) == count, context.bench.taken


@then('no start is refused')
def no_start_refused(context):
    assert not context.bench.refused, context.bench.refused


@then('a stop of the other member is ordered')
def other_member_stopped(context):
    # Stops are ordered every 50 ms; the first round settles the run.
    context.bench.now_ms += 50
    context.bench.decide()
    stops = context.bench.stops()
    assert stops == [run.key for run in context.bench.taken], stops
