"""Steps for the HTTP API for clients."""

import asyncio
import json

from aiohttp import ClientSession
from behave import given, then, when

from waxwingford.platform._client_api import ClientApi
from waxwingford.platform._records import (
    decode_configuration,
)
from waxwingford.platform.tests.adapter_steps import (
    CONFIGURATION,
    run_with_server,
)
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
    async def _call(http_client, address):
        async with ClientSession() as session:
            url = f'http://{address}{path}'
            async with session.request(method, url, data=body) as response:
                return response.status, dict(response.headers)

    result = asyncio.run(run_with_server(context.client_api.handle, _call))
    context.status = result[0]
    context.headers = result[1]


@then('the client gets status {status:d}')
def check_status(context, status):
    assert context.status == status, context.status


@then('the response says when to retry')
def check_retry_after(context):
    assert context.headers['Retry-After'] == '1'
