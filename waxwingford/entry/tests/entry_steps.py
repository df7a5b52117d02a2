"""Steps for the HTTP entry."""

import asyncio
import contextlib
import json

from behave import fixture, given, then, use_fixture, when

from waxwingford.entry.tests.entry_support import OUTCOMES, EntryOnLoopback

_MEMBER = {'Waxwingford-Member': 'qadri'}
_PATH = '/v1/services/dispatcher/checkin'
_JOB_CALLS = {
    'the state': ('GET', ''),
    'cancellation': ('POST', '/cancel'),
    'eviction': ('POST', '/tasks/0/evict'),
}


@fixture
def entry_on_loopback(context):
    entry = EntryOnLoopback()
    context.entry = entry
    yield entry
    entry.close()


@given('an entry on loopback with small bounds')
def small_entry(context):
    use_fixture(entry_on_loopback, context)


def ask(context, method, path, **options):
    answer = context.entry.ask(method, path, **options)
    context.status = answer.status
    context.headers = answer.headers
    context.body = answer.body


def send_part(context, head, part):
    reader, writer = context.entry.open()
    writer.write(f'{head}\r\nWaxwingford-Member: qadri\r\n\r\n'.encode())
    writer.write(part)
    return reader, writer


def send_slow_body(context, length):
    head = f'POST {_PATH} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}'
    return send_part(context, head, bytes(10))


@when("the dispatcher's outcome is {outcome} and a request comes")
def outcome_and_request(context, outcome):
    context.entry.dispatcher.outcome = OUTCOMES[outcome]
    ask(context, 'POST', _PATH, headers=_MEMBER, data=b'flat 7')


@then('the status is {status:d} and the outcome header is "{tag}"')
def status_and_outcome(context, status, tag):
    assert context.status == status, (context.status, context.body)
    assert context.headers['Waxwingford-Outcome'] == tag
    assert int(context.headers['Content-Length']) == len(context.body)


@then('the caller is told to come back after {retry}')
def told_to_come_back(context, retry):
    given = context.headers.get('Retry-After', '')
    given_ms = context.headers.get('Waxwingford-Retry-After-Ms', '')
    told = f'{given} s and {given_ms} ms' if given else 'nothing'
    assert told == retry, told
    assert context.headers['Waxwingford-Request-Id'] == 'gulberg-1/1/1'


@when('a request comes with the header "{name}" as "{text}"')
def wrong_header(context, name, text):
    values = [text]
    if text.endswith(' twice'):
        values = text.removesuffix(' twice').split(',')
    headers = [*_MEMBER.items(), *((name, value) for value in values)]
    ask(context, 'POST', _PATH, headers=headers)


@then('the reason names "{name}"')
def reason_names(context, name):
    assert name in json.loads(context.body)['reason'], context.body


@then('the dispatcher got nothing')
def dispatcher_got_nothing(context):
    assert not context.entry.dispatcher.requests, (
        context.entry.dispatcher.requests
    )


@when('a request of member "{member}" comes for service "{service}"')
def request_for_service(context, member, service):
    path = f'/v1/services/{service}/reserve'
    ask(context, 'POST', path, headers={'Waxwingford-Member': member})


@when('a body of {size:d} bytes comes with a length')
def body_with_length(context, size):
    ask(context, 'POST', _PATH, headers=_MEMBER, data=bytes(size))


@when('a body of {size:d} bytes comes in chunks')
def body_in_chunks(context, size):
    async def _chunks():
        for _ in range(10):
            yield bytes(size // 10)

    ask(context, 'POST', _PATH, headers=_MEMBER, data=_chunks())


@when('two slow bodies of {size:d} bytes are under way')
def slow_bodies(context, size):
    context.open = [send_slow_body(context, size) for _ in range(2)]
    # Their heads have been read once the entry has both connections.
    context.entry.wait_until(lambda: context.entry.site.connections() == 2)
    context.entry.run(asyncio.sleep(0.05))


@then('a retry that is not idempotent is told "{tag}" instead')
def retry_told(context, tag):
    headers = {
        **_MEMBER,
        'Idempotency-Key': 'k',
        'Waxwingford-Attempt': '2',
    }
    ask(context, 'POST', _PATH, headers=headers, data=bytes(2000))
    assert context.headers['Waxwingford-Outcome'] == tag, context.body


@when('a caller sends 10 of {length:d} bytes and waits')
def part_of_body(context, length):
    context.connection = send_slow_body(context, length)


@then('the answer begins with "{text}"')
def answer_begins(context, text):
    line = context.entry.run(context.connection[0].readline())
    assert line.decode().startswith(text), line
    context.connection[1].close()


@when('a caller sends 10 of {length:d} bytes and closes the connection')
def part_and_close(context, length):
    _, writer = send_slow_body(context, length)
    context.entry.wait_until(context.entry.site.connections)
    writer.close()


@then('the entry has no connection left')
def no_connection_left(context):
    context.entry.wait_until(lambda: not context.entry.site.connections())


@when('a caller asks for {size:d} bytes and does not read them')
def asks_and_does_not_read(context, size):
    context.size = size
    head = f'POST /v1/services/dispatcher/{size} HTTP/1.1\r\nHost: x'
    context.connection = send_part(context, head, b'')
    context.connection[1].transport.pause_reading()
    context.entry.wait_until(lambda: context.entry.dispatcher.requests)


@then('the caller finds its connection reset before the whole answer')
def connection_reset(context):
    context.connection[1].transport.resume_reading()
    # Anything but a reset, also an orderly end before the length, fails here.
    with contextlib.suppress(ConnectionResetError):
        whole = context.entry.run(
            context.connection[0].readexactly(context.size)
        )
        raise AssertionError(f'{len(whole)} bytes came')
    context.connection[1].close()


@when('{count:d} connections are open of {most:d} allowed')
def connections_open(context, count, most):
    context.open = [context.entry.open() for _ in range(count)]
    site = context.entry.site
    context.entry.wait_until(lambda: site.connections() == most)


@then('a further one is refused at once and closed')
def further_refused(context):
    reader, writer = context.entry.open()
    text = context.entry.run(reader.read()).decode()
    writer.close()
    assert text.startswith('HTTP/1.1 503'), text
    assert 'Waxwingford-Outcome: refused' in text, text
    assert 'Retry-After: 1' in text, text


@then('once one of them is closed a request is served again')
def served_again(context):
    context.open.pop()[1].close()
    context.entry.wait_until(lambda: context.entry.site.connections() < 4)
    ask(context, 'POST', _PATH, headers=_MEMBER)
    assert context.status == 200, context.status
    for _, writer in context.open:
        writer.close()


@when('a connection is opened and nothing is sent')
def connection_idle(context):
    context.open = [context.entry.open()]
    context.entry.wait_until(context.entry.site.connections)


@when('"{member}" asks for {what} of job "{job_id}"')
def asks_for_job(context, member, what, job_id):
    method, below = _JOB_CALLS[what]
    headers = {'Signed-By': member}
    context.job_answers = []
    for asked in ('qadri.nothing', job_id):
        ask(context, method, f'/v1/jobs/{asked}{below}', headers=headers)
        text = context.body.decode().replace(asked, 'JOB')
        context.job_answers.append((context.status, text))


@then('the answer is the same as for job "qadri.nothing"')
def same_answer(context):
    first, second = context.job_answers
    assert first == second, context.job_answers


@then('the job dispatcher was asked for no change')
def no_job_change(context):
    assert not context.entry.jobs.changes, context.entry.jobs.changes


def submit(context, member, headers, job_id='qadri.night'):
    job = {
        'job_id': job_id,
        'member': member,
        'team': 'archive',
        'kind': 'archive_rebuild',
        'task_count': 2,
        'resources': {'processors_milli': 1000, 'memory_mb': 512},
        'run_ms': 5000,
    }
    ask(context, 'POST', '/v1/jobs', json=job, headers=headers)


@when('an unsigned job is submitted')
def unsigned_job(context):
    submit(context, 'qadri', {})


@when('"{signer}" submits a job of "{member}" under the id "{job_id}"')
def submits_job_as(context, signer, member, job_id):
    submit(context, member, {'Signed-By': signer}, job_id)


@when('"{signer}" submits a job of "{member}"')
def submits_job(context, signer, member):
    submit(context, member, {'Signed-By': signer})
