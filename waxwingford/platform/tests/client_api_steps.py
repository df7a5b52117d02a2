"""Steps for the HTTP API for clients."""

import asyncio
import itertools
import json

import msgspec
from aiohttp import ClientSession
from behave import given, then, when

from waxwingford.http_server import HttpServer
from waxwingford.platform._client_api import ClientApi
from waxwingford.platform._records import (
    decode_configuration,
)
from waxwingford.platform.tests.adapter_steps import CONFIGURATION, HOST
from waxwingford.shard import (
    CancelNotKnown,
    JobNotKnown,
    Stored,
)

LARGE_BODY_BYTES = 100_000


class FakeDesk:
    """Stores all submissions and finds no job."""

    async def submit(self, spec, deadline_s):
        return Stored()

    async def cancel(self, job_id, deadline_s):
        return CancelNotKnown()

    async def phase(self, job_id):
        return JobNotKnown()

    async def pending(self, queue):
        return 4


@given('a client API with one queue and no jobs')
def create_client_api(context):
    context.client_api = ClientApi(FakeDesk())
    raw = json.dumps(CONFIGURATION).encode()
    context.client_api.configuration = decode_configuration(raw)


@given('a client API without a configuration')
def create_unconfigured_api(context):
    context.client_api = ClientApi(FakeDesk())


@when('a client sends {method} to {path} with "{body}"')
@when('a client sends {method} to {path} with ""')
def send_request(context, method, path, body='', headers=None):
    async def _call():
        server = HttpServer(context.client_api.handle)
        await server.serve(f'{HOST}:0')
        url = f'http://{server.addresses[0]}{path}'
        async with (
            ClientSession() as session,
            session.request(
                method, url, data=body, headers=headers
            ) as response,
        ):
            context.status = response.status
            context.headers = dict(response.headers)
        await server.close()

    asyncio.run(_call())


@when('a client submits a job with a timeout of {digits:d} digits')
def submit_with_timeout(context, digits):
    headers = {'X-Deadline-Ms': '9' * digits}
    body = '{"spec":"","steps":[]}'
    send_request(context, 'POST', '/q/00000000000000aa', body, headers)


@when('a client submits a job of {count:d} steps')
def submit_steps(context, count):
    api = context.client_api
    api.configuration = msgspec.structs.replace(
        api.configuration, body_bytes=LARGE_BODY_BYTES
    )
    steps = ','.join(itertools.repeat('{}', count))
    body = f'{{"spec":"","steps":[{steps}]}}'
    send_request(context, 'POST', '/q/00000000000000aa', body)


@then('the client gets status {status:d}')
def check_status(context, status):
    assert context.status == status, context.status


@then('the response says when to retry')
def check_retry_after(context):
    assert context.headers['Retry-After'] == '1'
