"""Steps for the HTTP interface of a daemon."""

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


@given('an HTTP interface on loopback with low limits')
def entry_with_low_limits(context):
    use_fixture(entry_on_loopback, context)


def send_request(context, method, path, **options):
    response = context.entry.send_request(method, path, **options)
    context.status = response.status
    context.headers = response.headers
    context.body = response.body


def send_partial_request(context, head, part):
    reader, writer = context.entry.open()
    writer.write(f'{head}\r\nWaxwingford-Member: qadri\r\n\r\n'.encode())
    writer.write(part)
    return reader, writer


def send_partial_body(context, length):
    head = f'POST {_PATH} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}'
    return send_partial_request(context, head, bytes(10))


@when('a request has the outcome {outcome}')
def request_with_outcome(context, outcome):
    context.entry.dispatcher.outcome = OUTCOMES[outcome]
    send_request(context, 'POST', _PATH, headers=_MEMBER, data=b'flat 7')


@then('the status is {status:d} and the outcome header is "{tag}"')
def status_and_outcome(context, status, tag):
    assert context.status == status, (context.status, context.body)
    assert context.headers['Waxwingford-Outcome'] == tag
    assert int(context.headers['Content-Length']) == len(context.body)


@then('the retry delay in the response is {retry}')
def retry_delay_is(context, retry):
    given = context.headers.get('Retry-After', '')
    given_ms = context.headers.get('Waxwingford-Retry-After-Ms', '')
    delay = f'{given} s and {given_ms} ms' if given else 'none'
    assert delay == retry, delay
    assert context.headers['Waxwingford-Request-Id'] == 'gulberg-1/1/1'


@when('a request has the header "{name}" with the value "{text}"')
def request_with_header(context, name, text):
    values = [text]
    if text.endswith(' twice'):
        values = text.removesuffix(' twice').split(',')
    headers = [*_MEMBER.items(), *((name, value) for value in values)]
    send_request(context, 'POST', _PATH, headers=headers)


@then('the reason names "{name}"')
def reason_names(context, name):
    assert name in json.loads(context.body)['reason'], context.body


@then('the dispatcher received no request')
def dispatcher_received_no_request(context):
    assert not context.entry.dispatcher.requests, (
        context.entry.dispatcher.requests
    )


@when('member "{member}" sends a request to service "{service}"')
def request_for_service(context, member, service):
    path = f'/v1/services/{service}/reserve'
    send_request(context, 'POST', path, headers={'Waxwingford-Member': member})


@when('a body of {size:d} bytes is sent with a Content-Length')
def body_with_length(context, size):
    send_request(context, 'POST', _PATH, headers=_MEMBER, data=bytes(size))


@when('a body of {size:d} bytes is sent in chunks')
def body_in_chunks(context, size):
    async def _chunks():
        for _ in range(10):
            yield bytes(size // 10)

    send_request(context, 'POST', _PATH, headers=_MEMBER, data=_chunks())


@when('two bodies of {size:d} bytes are in progress')
def bodies_in_progress(context, size):
    context.open = [send_partial_body(context, size) for _ in range(2)]
    # Both connections are counted before their request heads are read.
    context.entry.wait_until(lambda: context.entry.site.connections() == 2)
    context.entry.run(asyncio.sleep(0.05))


@then('a retry that is not idempotent has the outcome header "{tag}"')
def retry_has_outcome(context, tag):
    headers = {
        **_MEMBER,
        'Idempotency-Key': 'k',
        'Waxwingford-Attempt': '2',
    }
    send_request(context, 'POST', _PATH, headers=headers, data=bytes(2000))
    assert context.headers['Waxwingford-Outcome'] == tag, context.body


@when('a caller sends 10 of {length:d} bytes and waits')
def send_part_and_wait(context, length):
    context.connection = send_partial_body(context, length)


@then('the response begins with "{text}"')
def response_begins(context, text):
    line = context.entry.run(context.connection[0].readline())
    assert line.decode().startswith(text), line
    context.connection[1].close()


@when('a caller sends 10 of {length:d} bytes and closes the connection')
def send_part_and_close(context, length):
    _, writer = send_partial_body(context, length)
    context.entry.wait_until(context.entry.site.connections)
    writer.close()


@then('the HTTP interface has no open connection')
def no_connection_left(context):
    context.entry.wait_until(lambda: not context.entry.site.connections())


@when('a caller requests {size:d} bytes and does not read them')
def request_without_reading(context, size):
    context.size = size
    head = f'POST /v1/services/dispatcher/{size} HTTP/1.1\r\nHost: x'
    context.connection = send_partial_request(context, head, b'')
    context.connection[1].transport.pause_reading()
    context.entry.wait_until(lambda: context.entry.dispatcher.requests)


@then('the connection is reset before the end of the response')
def connection_reset(context):
    context.connection[1].transport.resume_reading()
    # Any other end fails, including an orderly close of a short response.
    with contextlib.suppress(ConnectionResetError):
        received = context.entry.run(
            context.connection[0].readexactly(context.size)
        )
        raise AssertionError(f'{len(received)} bytes received without a reset')
    context.connection[1].close()


@when('{count:d} connections are open with a limit of {limit:d}')
def connections_open(context, count, limit):
    context.open = [context.entry.open() for _ in range(count)]
    site = context.entry.site
    context.entry.wait_until(lambda: site.connections() == limit)


@then('another connection is refused and closed')
def connection_refused(context):
    reader, writer = context.entry.open()
    text = context.entry.run(reader.read()).decode()
    writer.close()
    assert text.startswith('HTTP/1.1 503'), text
    assert 'Waxwingford-Outcome: refused' in text, text
    assert 'Retry-After: 1' in text, text


@then('after one connection is closed a request is served')
def request_served(context):
    context.open.pop()[1].close()
    context.entry.wait_until(lambda: context.entry.site.connections() < 4)
    send_request(context, 'POST', _PATH, headers=_MEMBER)
    assert context.status == 200, context.status
    for _, writer in context.open:
        writer.close()


@when('a connection is opened and nothing is sent')
def connection_idle(context):
    context.open = [context.entry.open()]
    context.entry.wait_until(context.entry.site.connections)


@when('"{member}" requests {what} of job "{job_id}"')
def request_job(context, member, what, job_id):
    method, suffix = _JOB_CALLS[what]
    headers = {'Signed-By': member}
    context.job_responses = []
    for requested_id in ('qadri.nothing', job_id):
        send_request(
            context, method, f'/v1/jobs/{requested_id}{suffix}', headers=headers
        )
        text = context.body.decode().replace(requested_id, 'JOB')
        context.job_responses.append((context.status, text))


@then('the response is the same as for job "qadri.nothing"')
def same_response(context):
    first, second = context.job_responses
    assert first == second, context.job_responses


@then('the job service received no change')
def job_service_unchanged(context):
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
    send_request(context, 'POST', '/v1/jobs', json=job, headers=headers)


@when('an unsigned job is submitted')
def unsigned_job(context):
    submit(context, 'qadri', {})


@when('"{signer}" submits a job of "{member}" under the id "{job_id}"')
def submits_job_as(context, signer, member, job_id):
    submit(context, member, {'Signed-By': signer}, job_id)


@when('"{signer}" submits a job of "{member}"')
def submits_job(context, signer, member):
    submit(context, member, {'Signed-By': signer})
