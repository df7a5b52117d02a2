"""Steps for the HTTP API for clients."""

import asyncio
import json

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
def send_request(context, method, path, body=''):
    async def _call():
        server = HttpServer(context.client_api.handle)
        await server.serve(f'{HOST}:0')
        url = f'http://{server.addresses[0]}{path}'
        async with (
            ClientSession() as session,
            session.request(method, url, data=body) as response,
        ):
            context.status = response.status
            context.headers = dict(response.headers)
        await server.close()

    asyncio.run(_call())


@then('the client gets status {status:d}')
def check_status(context, status):
    assert context.status == status, context.status


@then('the response says when to retry')
def check_retry_after(context):
    assert context.headers['Retry-After'] == '1'
