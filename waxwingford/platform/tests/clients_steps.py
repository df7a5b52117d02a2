"""Steps for requests of clients."""

import asyncio
import json

from aiohttp import ClientSession
from behave import given, then, when

from waxwingford.platform._client_api import ClientApi
from waxwingford.platform._records import (
    decode_configuration,
)
from waxwingford.platform.tests.adapter_steps import CONFIGURATION, serve
from waxwingford.shard import (
    CancelNotKnown,
    JobNotKnown,
    Stored,
)


class EmptyDesk:
    """Takes everything and knows nothing."""

    async def submit(self, spec, until_s):
        return Stored()

    async def cancel(self, job_id, until_s):
        return CancelNotKnown()

    async def phase(self, job_id):
        return JobNotKnown()

    async def pending(self, queue):
        return 4


@given('an entry with one queue, whose desk knows nothing')
def entry(context):
    context.entry = ClientApi(EmptyDesk())
    raw = json.dumps(CONFIGURATION).encode()
    context.entry.configuration = decode_configuration(raw)


@given('an entry without a configuration')
def bare_entry(context):
    context.entry = ClientApi(EmptyDesk())


@when('a client sends {method} to {path} with "{body}"')
@when('a client sends {method} to {path} with ""')
def send(context, method, path, body=''):
    async def _work(http_client, address):
        async with ClientSession() as session:
            url = f'http://{address}{path}'
            async with session.request(method, url, data=body) as response:
                return response.status, dict(response.headers)

    found = asyncio.run(serve(context.entry.handle, _work))
    context.status = found[0]
    context.headers = found[1]


@then('the client is answered {status:d}')
def answered(context, status):
    assert context.status == status, context.status


@then('is told when to come back')
def come_back(context):
    assert context.headers['Retry-After'] == '1'
