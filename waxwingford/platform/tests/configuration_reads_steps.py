"""Steps for a daemon that follows the configuration, without a network."""

import asyncio
import base64
import contextlib
import struct
from http import HTTPStatus

import msgspec
from behave import given, then, when

from waxwingford.platform._adapter import UsersPlatform
from waxwingford.platform._http_client import HttpResponse, NoResponse
from waxwingford.platform._store import PlatformLog
from waxwingford.platform.tests.adapter_steps import CONFIGURATION
from waxwingford.platform.tests.foreign_steps import encode
from waxwingford.routing.tests.virtual_loop import VirtualLoop, end_loop

KEY = 'config'
TIMEOUT_S = 10
MS_PER_S = 1000
SETTLE_S = 0.7


class HinderedStore:
    """HTTP client of a store whose reads are answered late, or not."""

    def __init__(self, hindered):
        self._hindered = hindered.split()
        self.payloads = [encode(CONFIGURATION)]
        self.written = asyncio.Event()
        self.written_s = None
        #: Set once a read is in progress that gets no answer.
        self.silenced = asyncio.Event()
        self.may_silence = False

    def write(self, version):
        self.payloads.append(encode({**CONFIGURATION, 'version': version}))
        self.written_s = asyncio.get_running_loop().time()
        self.written.set()

    async def get(self, address, path, query, timeout_s):
        try:
            return await asyncio.wait_for(self._answer(path, query), timeout_s)
        except TimeoutError:
            return NoResponse('timeout')

    async def _answer(self, path, query):
        if path == '/api/log-newest':
            return HttpResponse(HTTPStatus.OK, self._newest())
        wait_s = int(query.get('wait-ms', 0)) / MS_PER_S
        match self._hindered:
            case ['not', *_] if self.may_silence and not self.silenced.is_set():
                self.silenced.set()
                await asyncio.sleep(TIMEOUT_S)
            case ['answered', 'after', delay_s, 's']:
                await asyncio.sleep(float(delay_s))
            case ['refused', 'for', span_s, 's'] if self._is_refusing(span_s):
                await asyncio.sleep(0)
                return HttpResponse(HTTPStatus.SERVICE_UNAVAILABLE, b'')
        body = await self._read(int(query['from']), wait_s)
        return HttpResponse(HTTPStatus.OK, body)

    def _is_refusing(self, span_s):
        if self.written_s is None:
            return False
        now_s = asyncio.get_running_loop().time()
        return now_s - self.written_s < float(span_s)

    def _newest(self):
        item = {
            'key': KEY,
            'offset': len(self.payloads) - 1,
            'value': base64.b64encode(self.payloads[-1]).decode(),
        }
        page = {'items': [item], 'has-more': False, 'end': len(self.payloads)}
        return msgspec.json.encode(page)

    async def _read(self, first, wait_s):
        if first >= len(self.payloads):
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.written.wait(), wait_s)
        end = len(self.payloads)
        key = KEY.encode()
        bodies = [
            bytes((len(key),)) + key + payload
            for payload in self.payloads[first:]
        ]
        rows = [struct.pack('>I', len(body)) + body for body in bodies]
        return struct.pack('>QQ', end, 0) + b''.join(rows)


@given('a store whose reads are {hindered}')
def describe_store(context, hindered):
    context.hindered = hindered


@when('operators write a version')
def follow_hindered(context):
    loop = VirtualLoop()
    context.add_cleanup(end_loop, loop)
    version = CONFIGURATION['version'] + 1
    loop.run_until_complete(follow_until(context, version))


async def follow_until(context, version):
    store = HinderedStore(context.hindered)
    platform = UsersPlatform('127.0.0.1:1', '')
    platform.log = PlatformLog(store, '127.0.0.1:1')
    applied = asyncio.Event()

    def apply(terms):
        if terms.version == version:
            applied.set()

    task = asyncio.create_task(
        platform.follow_configuration(apply, lambda: None)
    )
    await asyncio.sleep(SETTLE_S)
    store.may_silence = True
    if context.hindered.startswith('not'):
        await store.silenced.wait()
    store.write(version)
    async with asyncio.timeout(TIMEOUT_S):
        await applied.wait()
    now_s = asyncio.get_running_loop().time()
    context.applied_after_s = now_s - store.written_s
    task.cancel()


@then('the daemon applies it within {span_s:g} s')
def check_applied(context, span_s):
    assert context.applied_after_s <= span_s, context.applied_after_s
