"""Steps for a worker that restarts under its id."""

import asyncio
import json

from behave import given, then, when

from waxwingford.platform._http_client import HttpClient
from waxwingford.platform._workers import PlatformWorkers
from waxwingford.platform.tests.adapter_steps import HOST
from waxwingford.scheduling import Address, PollOrder

FIRST_START_MS = 1_767_225_600_000
SECOND_START_MS = FIRST_START_MS + 5000


class RestartingWorker:
    """Answers polls, and restarts in place after some of them."""

    def __init__(self, polls):
        self.polls_left = polls
        self.started_ms = FIRST_START_MS
        self.acknowledged = []

    async def serve(self):
        self.server = await asyncio.start_server(self._answer, HOST, 0)
        return f'{HOST}:{self.server.sockets[0].getsockname()[1]}'

    async def _answer(self, reader, writer):
        while True:
            try:
                head = await reader.readuntil(b'\r\n\r\n')
            except asyncio.IncompleteReadError:
                return
            length = int(head.split(b'Content-Length: ')[1].split(b'\r\n')[0])
            body = json.loads(await reader.readexactly(length))
            self.acknowledged.append(body['ack-cursor'])
            answer = json.dumps(
                {
                    'clock-ms': 5,
                    'running': [],
                    'ended-runs': [],
                    'born': self.started_ms,
                }
            ).encode()
            writer.write(
                b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(answer)
            )
            writer.write(answer)
            self.polls_left -= 1
            if not self.polls_left:
                # No connection outlasts the process.
                self.started_ms = SECOND_START_MS
                await writer.drain()
                writer.close()
                return


@given('a worker, restarting in place after {polls:d} polls')
def create_restarting_worker(context, polls):
    context.worker = RestartingWorker(polls)


@when(
    'it is polled {count:d} times, acknowledging end {number:d} of the'
    ' {which} incarnation'
)
def poll_acknowledging(context, count, number, which):
    started_ms = FIRST_START_MS if which == 'first' else SECOND_START_MS
    order = PollOrder(1, number, None, 0, started_ms)

    async def _poll():
        http_client = HttpClient()
        workers = PlatformWorkers(http_client)
        address = Address('i-1', await context.worker.serve())
        for _ in range(count):
            answer = await workers.poll(address, order)
            assert answer.acknowledged_end == context.worker.acknowledged[-1]
            # The closed connection is noticed.
            await asyncio.sleep(0.01)
        await http_client.close()
        context.worker.server.close()

    asyncio.run(_poll())


@then('the polls have acknowledged {numbers}')
def check_acknowledged(context, numbers):
    expected = [int(number) for number in numbers.split(', ')]
    assert context.worker.acknowledged == expected, context.worker.acknowledged
