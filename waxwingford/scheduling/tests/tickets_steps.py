"""Steps for tickets, with servers that refuse what has none."""

from behave import given, then, when

from waxwingford.scheduling import (
    Denial,
    EndKind,
    OrderDenied,
    OrderTaken,
    Terms,
)
from waxwingford.scheduling.tests.engine_bench import QUEUE, Bench, step

#: Most servers that the service lets a question name.
MOST_NAMED = 100
#: How long a decision takes here, and time between two of them, in ms.
DECIDE_MS = 10
DECIDE_EVERY_MS = 50


class TicketBench(Bench):
    """An engine whose starts are sent when the scenario says so.

    :ivar waiting: starts whose record is stored.
    :ivar taken: runs that a server has taken.
    :ivar refused: runs that a server has refused.
    :ivar allowed: servers that the service allows, ``None`` for all.
    :ivar asked: questions that the service has answered.
    """

    def __init__(self, count, cores):
        super().__init__(count, cores)
        queue = QUEUE._replace(advised=True)
        self.engine.configure(Terms(2, {'queue': queue}))
        self.advice = self.engine.book.advice
        self.until_by_ticket = {}
        self.waiting = []
        self.taken = []
        self.refused = []
        self.allowed = None
        self.asked = 0

    def decide(self, accept=True):
        self.now_ms += DECIDE_MS
        self.engine.decide(self.now_ms, self.wall_ms)
        starts = self.engine.stored(self.engine.take_batch())
        self.planned += [start.run for start in starts]
        self.waiting += starts
        self.orders += self.engine.book.take_orders()

    def send(self, starts):
        for start in starts:
            self.waiting.remove(start)
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
        """Let the service answer a question, if there is one.

        :param choose: chooses the eligible ones of some servers.
        :param validity_ms: of its tickets.
        :param took_ms: time for the answer; decisions go on meanwhile.
        :returns: whether there was a question.
        """
        question = self.advice.next_question()
        if question is None:
            return False
        assert len(question.server_ids) <= MOST_NAMED, question
        self.asked += 1
        asked_ms = self.now_ms
        while self.now_ms + DECIDE_EVERY_MS <= asked_ms + took_ms:
            self.now_ms += DECIDE_EVERY_MS - DECIDE_MS
            self.decide()
        self.now_ms = asked_ms + took_ms
        tickets = {
            server_id: f'{server_id} at {self.now_ms}'
            for server_id in choose(question.server_ids)
        }
        for text in tickets.values():
            self.until_by_ticket[text] = self.now_ms + validity_ms
        self.advice.answered(
            question, tickets, asked_ms, validity_ms, self.now_ms
        )
        self.decide()
        return True

    def keep_advising(self, validity_ms, took_ms, span_ms):
        """Let the service answer questions as they come, until a run starts.

        :param validity_ms: of its tickets.
        :param took_ms: time for an answer.
        :param span_ms: how long at most.
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


def first(count):
    def choose(server_ids):
        return sorted(server_ids)[:count]

    return choose


@given('an advised queue, and {count:d} servers of {cores:d} core')
@given('an advised queue, and {count:d} servers of {cores:d} cores')
def advised_servers(context, count, cores):
    context.bench = TicketBench(count, cores)


@when('a job of 2 tasks is submitted')
def submit_two(context):
    context.bench.submit(step(2))


@when('the service gives tickets of {validity_ms:d} ms for {count:d} server')
@when('the service gives tickets of {validity_ms:d} ms for {count:d} servers')
def gives(context, validity_ms, count):
    assert context.bench.advise(first(count), validity_ms)


@when(
    'the service gives tickets of {validity_ms:d} ms for {count:d} server,'
    ' after {took_ms:d} ms'
)
def gives_late(context, validity_ms, count, took_ms):
    assert context.bench.advise(first(count), validity_ms, took_ms)


@given('the service allows the servers from {begin:d} to {end:d} only')
def allows(context, begin, end):
    context.bench.allowed = {f's{number}' for number in range(begin, end + 1)}


@when(
    'the service gives tickets of {validity_ms:d} ms,'
    ' each time after {took_ms:d} ms, for {span_s:d} s'
)
def keeps_giving(context, validity_ms, took_ms, span_s):
    context.bench.keep_advising(validity_ms, took_ms, span_s * 1000)


@then('it was asked {count:d} times at most')
def asked_at_most(context, count):
    assert 0 < context.bench.asked <= count, context.bench.asked


@when('the starts are sent {later_ms:d} ms later')
def sent_later(context, later_ms):
    context.bench.now_ms += later_ms
    context.bench.send(list(context.bench.waiting))


@when('{count:d} start is sent {later_ms:d} ms later')
def some_sent_later(context, count, later_ms):
    context.bench.now_ms += later_ms
    context.bench.send(context.bench.waiting[:count])


@when('the run ends {later_ms:d} ms later')
def run_ends(context, later_ms):
    bench = context.bench
    bench.now_ms += later_ms
    bench.end(bench.taken[-1], EndKind.done)


@then('no start is sent')
def not_sent(context):
    bench = context.bench
    assert bench.planned
    assert not bench.taken and not bench.refused, bench.refused


@then('the service is asked again')
def asked_again(context):
    advice = context.bench.advice
    question = advice.next_question()
    assert question is not None
    # Put back for the answer that follows.
    context.bench.decide()


@then('{count:d} start is taken')
@then('{count:d} starts are taken')
def starts_taken(context, count):
    assert len(context.bench.taken) == count, context.bench.taken


@then('no start is refused')
def none_refused(context):
    assert not context.bench.refused, context.bench.refused


@then('a stop of the other member is ordered')
def other_stopped(context):
    # Stops are ordered in rounds of 50 ms; the first one settles the run.
    context.bench.now_ms += 50
    context.bench.decide()
    stops = context.bench.stops()
    assert stops == [run.key for run in context.bench.taken], stops
