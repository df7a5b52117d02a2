"""Steps for the driver of one server."""

import asyncio

from behave import given, then, when

from waxwingford.metrics import Metrics
from waxwingford.ports import Resources
from waxwingford.routing.tests.virtual_loop import VirtualLoop, end_loop
from waxwingford.scheduling import (
    Engine,
    InheritedLeases,
    JobSpec,
    OrderAccepted,
    Pace,
    PollResult,
    ServerEntry,
    Terms,
)
from waxwingford.shard._drivers import ServerDriver
from waxwingford.shard._order_sender import DriverPorts
from waxwingford.shard._supervision import ErrorReport
from waxwingford.shard.tests.virtual_shard import QUEUE, step

ANSWER_S = 0.002


class RecordingServer:
    """Server that accepts and records all orders."""

    def __init__(self):
        self.starts = []
        self.paces = []

    async def poll(self, address, order):
        await asyncio.sleep(ANSWER_S + order.wait_ms / 1000)
        return PollResult(0, (), ())

    async def start(self, address, order):
        await asyncio.sleep(ANSWER_S)
        self.starts.append(order)
        return OrderAccepted(0)

    async def pace(self, address, run, percent, fencing_token):
        await asyncio.sleep(ANSWER_S)
        self.paces.append(run)
        return OrderAccepted(0)


class DriverFixture:
    """Driver of one server, with control over the proof of ownership."""

    def __init__(self):
        self.loop = VirtualLoop()
        asyncio.set_event_loop(self.loop)
        self.recorder = RecordingServer()
        self.engine = Engine(7, 5000, InheritedLeases(0, {}))
        self.engine.configure(Terms(1, {'queue': QUEUE}))
        entry = ServerEntry(
            's0',
            's0:1',
            'service',
            'd',
            frozenset(),
            Resources(8000, 32_000, 0),
            draining=False,
        )
        self.engine.register([entry], 0)
        self.loop.run_until_complete(self.start_driver())

    async def start_driver(self):
        self.proof = asyncio.Event()
        ports = DriverPorts(
            self.recorder,
            self.proof.is_set,
            self.proof.wait,
            int,
            ErrorReport(Metrics()),
            float,
        )
        server = self.engine.state.server_by_id['s0']
        self.driver = ServerDriver(server, self.engine, ports)
        await asyncio.sleep(ANSWER_S * 2)

    def plan(self, count):
        self.engine.submit(
            JobSpec('00000000000000aa', 'queue', '', (step(count),)),
            self.now_ms(),
        )
        self.engine.decide(self.now_ms(), 0)
        return self.engine.stored(self.engine.take_batch())

    def now_ms(self):
        return int(self.loop.time() * 1000)


@given('a driver without a proof of ownership')
def driver_without_proof(context):
    context.driver_fixture = DriverFixture()
    context.add_cleanup(end_loop, context.driver_fixture.loop)


@when('{count:d} starts and then a change of pace are ordered')
def send_orders(context, count):
    fixture = context.driver_fixture
    starts = fixture.plan(count)
    assert len(starts) == count, starts

    async def order():
        for start in starts:
            fixture.driver.start(start.run)
        fixture.driver.pace(Pace('s0', starts[0].run.key, 50))

    fixture.loop.run_until_complete(order())


@when('{span_s:g} s pass at the driver')
def advance_driver_time(context, span_s):
    context.driver_fixture.loop.run_until_complete(asyncio.sleep(span_s))


@when('ownership is proven')
def prove_ownership(context):
    context.driver_fixture.proof.set()


@then('the server has received the change of pace and {count:d} starts')
def check_received_orders(context, count):
    recorder = context.driver_fixture.recorder
    assert len(recorder.paces) == 1, recorder.paces
    assert len(recorder.starts) == count, recorder.starts
