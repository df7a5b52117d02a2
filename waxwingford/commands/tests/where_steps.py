"""Steps for the command that explains where a job would go."""

import asyncio
import contextlib
import io
import json
import pathlib
import tempfile
import threading
import types
from http import HTTPStatus
from unittest import mock

import msgspec
from behave import fixture, given, then, use_fixture, when

from waxwingford.commands.main import run
from waxwingford.commands.tests.commands_steps import unused_port
from waxwingford.metrics import Metrics
from waxwingford.scheduler import _explanations as explanations
from waxwingford.scheduler._explanations import PlacementExplanations
from waxwingford.scheduler._readiness import ReadinessServer
from waxwingford.scheduling import QueueTerms, Terms
from waxwingford.scheduling.tests.engine_harness import EngineHarness
from waxwingford.shard._load_report import LoadReport
from waxwingford.shard._owner_ports import OwnerView

NEEDS = {'processors_milli': 2000, 'memory_mb': 500}
TWO_STEPS = {
    'queue': 'queue',
    'steps': [
        {'count': 4, 'needs': NEEDS, 'estimate_ms': 700},
        {
            'count': 2,
            'needs': NEEDS,
            'estimate_ms': 700,
            'after': [0],
            'best_effort': True,
        },
    ],
}


@fixture
def serve_daemons(context, explanations):
    """Serve the metrics ports of daemons from a thread."""
    loop = asyncio.new_event_loop()
    servers = [make_server(one) for one in explanations]

    async def start():
        for server in servers:
            await server.serve('127.0.0.1:0')

    loop.run_until_complete(start())
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    yield [server._server.addresses[0] for server in servers]
    for server in servers:
        asyncio.run_coroutine_threadsafe(server.close(), loop).result()
    loop.call_soon_threadsafe(loop.stop)
    thread.join()
    loop.close()


def make_server(explanations):
    async def explain(request):
        return explanations.answer(request)

    return ReadinessServer(str, str, explain)


class ManualClock:
    """Clock that advances only while an owner reports its load."""

    def __init__(self):
        self.now_s = 0
        self.span_s = 0

    def __call__(self):
        return self.now_s

    def pass_span(self):
        self.now_s += self.span_s


@given(
    'the owner of a shard with 3 servers, one of them draining, and a standby'
)
def start_daemons(context):
    harness = EngineHarness(3, 8)
    harness.drain('s0')
    context.load = LoadReport()
    context.clock = ManualClock()

    def load_report():
        context.clock.pass_span()
        return context.load

    context.harness = harness
    view = OwnerView(harness.engine.placement_view, load_report)
    owner = types.SimpleNamespace(ready=True, view=view)
    record = types.SimpleNamespace(daemon_id='d0', metrics_endpoint='')
    members = (
        types.SimpleNamespace(owner=owner),
        types.SimpleNamespace(
            owner=None, owner_record=record, knows_owner=True
        ),
    )
    answers = [
        PlacementExplanations(f'd{number}', member, Metrics(), context.clock)
        for number, member in enumerate(members)
    ]
    context.members = members
    addresses = use_fixture(serve_daemons, context, answers)
    record.metrics_endpoint = addresses[0]
    context.address_by_daemon = dict(
        zip(('the owner', 'the standby'), addresses, strict=True)
    )
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.file = pathlib.Path(folder.name, 'job.json')


def ask(context, document, daemon, *options):
    context.file.write_text(json.dumps(document))
    address = context.address_by_daemon[daemon]
    arguments = 'where', str(context.file), '--owner', address, *options
    output = io.StringIO()
    with (
        contextlib.redirect_stdout(output),
        contextlib.redirect_stderr(output),
    ):
        context.code = run(arguments)
    context.output = output.getvalue()


@when('a job of two steps is asked for at {daemon:w} {name:w}')
def ask_two_steps(context, daemon, name):
    ask(context, TWO_STEPS, f'{daemon} {name}')


@when('a job of two steps is asked for at the owner as JSON')
def ask_json(context):
    ask(context, TWO_STEPS, 'the owner', '--json')


@when('a job of two steps is asked for at an unused port')
def ask_nobody(context):
    port = use_fixture(unused_port, context)
    context.address_by_daemon['nobody'] = f'127.0.0.1:{port}'
    ask(context, TWO_STEPS, 'nobody')


@when('a job with {key} set to {value} is asked for at the owner')
def ask_wrong(context, key, value):
    changed = {'3': 3, 'True': True}.get(value, value.strip("'"))
    ask(context, {**TWO_STEPS, key: changed}, 'the owner')


@when('the owner has lost the shard')
def lose_shard(context):
    context.members[1].knows_owner = False


@when('the owner refuses best-effort jobs for {span_s:d} s')
def refuse(context, span_s):
    context.load = LoadReport(best_effort_retry_s=span_s)


@when('the servers have no room for {span_s:d} s')
def refuse_for_room(context, span_s):
    queue = QueueTerms('queue', 'service', 1, 3)
    context.harness.engine.configure(Terms(1, {'queue': queue}))
    context.load = LoadReport(room_retry_s={'service': span_s})


@when('{count:d} questions take {span_ms:d} ms each')
def spend_time(context, count, span_ms):
    context.clock.span_s = span_ms / 1000
    for _ in range(count):
        ask(context, TWO_STEPS, 'the owner')
        assert context.code == 0, context.output
    context.clock.span_s = 0


@when('{span_ms:d} ms have passed')
def pass_time(context, span_ms):
    context.clock.now_s += span_ms / 1000


@when('the owner answers with {change} of the report')
def change_report(context, change):
    explain = explanations.PlacementExplanations._explain
    change_answer = CHANGE_BY_NAME[change]

    def explain_otherwise(self, raw, view):
        response = explain(self, raw, view)
        answer = json.loads(response.body)
        change_answer(answer)
        return msgspec.structs.replace(
            response, body=json.dumps(answer).encode()
        )

    patched = mock.patch.object(
        explanations.PlacementExplanations, '_explain', explain_otherwise
    )
    patched.start()
    context.add_cleanup(patched.stop)


CHANGE_BY_NAME = {
    'a new key': lambda answer: answer.update(new=1),
    'a new key of a step': lambda answer: answer['steps'][0].update(new=1),
    'no key "queue"': lambda answer: answer.pop('queue'),
    'no key "gang"': lambda answer: answer['steps'][0].pop('gang'),
    'text as steps': lambda answer: answer.update(steps='none'),
}


@when('the owner rejects a job with a new key and without "given"')
def reject_otherwise(context):
    def reject(self, raw, view):
        return explanations._respond(
            HTTPStatus.BAD_REQUEST, {'key': 'queue', 'new': 1}
        )

    patched = mock.patch.object(
        explanations.PlacementExplanations, '_explain', reject
    )
    patched.start()
    context.add_cleanup(patched.stop)


@then('it exits with {code:d} and prints these lines')
def check_lines(context, code):
    assert context.code == code, context.output
    for row in context.table:
        assert row['line'] in context.output, context.output


@then('it exits with {code:d} and prints: {text}')
def check_text(context, code, text):
    assert context.code == code, (context.code, context.output)
    assert text in context.output, context.output


@then('it exits with 0 and prints the report of 2 steps')
def check_json(context):
    report = json.loads(context.output)
    assert context.code == 0, context.output
    assert [step['fitting'] for step in report['steps']] == [2, 2], report
