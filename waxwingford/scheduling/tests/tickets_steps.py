"""Steps for tickets, with servers that refuse starts without a valid one."""

from behave import given, then, when

from waxwingford.scheduling import (
    EndKind,
    OrderAccepted,
    OrderRefused,
    RefusalReason,
    Terms,
)
from waxwingford.scheduling.tests.engine_harness import (
    QUEUE,
    EngineHarness,
    step,
)

#: Servers that the service accepts in one request.
MAX_REQUEST_SERVERS = 100
DECIDE_MS = 10
DECIDE_INTERVAL_MS = 50


class TicketBench(EngineHarness):
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
        self.tickets = self.engine.state.tickets
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
        self.planned_runs += [start.run for start in starts]
        self.unsent += starts
        self.orders += self.engine.state.take_orders()

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
        outcome = OrderRefused(RefusalReason.no_ticket)
        if valid:
            outcome = OrderAccepted(self.now_ms)
        (self.taken if valid else self.refused).append(start.run)
        server = self.engine.state.server_by_id[start.server_id]
        self.engine.start_answered(server, start.run, self.now_ms, outcome)

    def advise(self, choose, validity_ms, took_ms=0):
        """Let the service answer the next request, if there is one.

        :param choose: function that returns the eligible ones of some servers.
        :param validity_ms: validity of the tickets, in ms.
        :param took_ms: duration of the request, in ms; placement rounds go on.
        :returns: whether there was a request.
        """
        request = self.tickets.next_request()
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
        self.tickets.answered(
            request, tickets, sent_ms, validity_ms, self.now_ms
        )
        self.decide()
        return True

    def advise_until_planned(self, validity_ms, took_ms, span_ms):
        """Let the service answer requests until a run is planned.

        :param validity_ms: validity of the tickets, in ms.
        :param took_ms: duration of a request, in ms.
        :param span_ms: time limit, in ms.
        """
        until_ms = self.now_ms + span_ms
        while self.now_ms < until_ms and not self.planned_runs:
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
    context.harness = TicketBench(count, cores)


@when('a job of 2 tasks is submitted')
def submit_two_tasks(context):
    context.harness.submit(step(2))


@when('the service issues tickets of {validity_ms:d} ms for {count:d} server')
@when('the service issues tickets of {validity_ms:d} ms for {count:d} servers')
def issue_tickets(context, validity_ms, count):
    assert context.harness.advise(first_servers(count), validity_ms)


@when(
    'the service issues tickets of {validity_ms:d} ms for {count:d} server,'
    ' after {took_ms:d} ms'
)
def issue_tickets_late(context, validity_ms, count, took_ms):
    assert context.harness.advise(first_servers(count), validity_ms, took_ms)


@given('the service allows the servers from {begin:d} to {end:d} only')
def allow_servers(context, begin, end):
    context.harness.allowed = {f's{number}' for number in range(begin, end + 1)}


@when(
    'the service issues tickets of {validity_ms:d} ms,'
    ' each time after {took_ms:d} ms, for {span_s:d} s'
)
def issue_tickets_repeatedly(context, validity_ms, took_ms, span_s):
    context.harness.advise_until_planned(validity_ms, took_ms, span_s * 1000)


@then('the service got at most {count:d} requests')
def requests_bounded(context, count):
    assert 0 < context.harness.requests <= count, context.harness.requests


@when('the starts are sent {later_ms:d} ms later')
def send_starts(context, later_ms):
    context.harness.now_ms += later_ms
    context.harness.send(list(context.harness.unsent))


@when('{count:d} start is sent {later_ms:d} ms later')
def send_some_starts(context, count, later_ms):
    context.harness.now_ms += later_ms
    context.harness.send(context.harness.unsent[:count])


@when('the run ends {later_ms:d} ms later')
def end_run(context, later_ms):
    harness = context.harness
    harness.now_ms += later_ms
    harness.end(harness.taken[-1], EndKind.done)


@then('no start is sent')
def no_start_sent(context):
    harness = context.harness
    assert harness.planned_runs
    assert not harness.taken and not harness.refused, harness.refused


@then('another ticket request is pending')
def request_pending(context):
    advice = context.harness.tickets
    request = advice.next_request()
    assert request is not None
    # The round queues the request again for the next step.
    context.harness.decide()


@then('{count:d} start is taken')
@then('{count:d} starts are taken')
def starts_taken(context, count):
    assert len(context.harness.taken) == count, context.harness.taken


@then('no start is refused')
def no_start_refused(context):
    assert not context.harness.refused, context.harness.refused


@then('a stop of the other member is ordered')
def other_member_stopped(context):
    # Stops are ordered every 50 ms; the first round settles the run.
    context.harness.now_ms += 50
    context.harness.decide()
    stops = context.harness.stops()
    assert stops == [run.key for run in context.harness.taken], stops
