"""Steps for evacuations in the operators' records, without a network."""

import asyncio

from behave import given, then, when

from waxwingford.platform._adapter import UsersPlatform
from waxwingford.platform.tests.adapter_steps import CONFIGURATION
from waxwingford.platform.tests.foreign_steps import encode
from waxwingford.routing.tests.virtual_loop import VirtualLoop, end_loop
from waxwingford.shard import (
    NewestPage,
    RecordsExpired,
    RecordsRead,
    StoredRecord,
    StoreRefused,
)

SETTLE_S = 2


class OperatorLog:
    """Topic of operators, which is retained by key when its history is lost."""

    def __init__(self):
        self.records = []
        self.first = 0
        self.failures = 0

    def write(self, key, payload):
        self.records.append(StoredRecord(len(self.records), key, payload))

    async def read_newest(self, topic, after_key):
        await asyncio.sleep(0)
        newest = {record.key: record for record in self.records}
        kept = [record for record in newest.values() if record.payload]
        return NewestPage(tuple(kept), False, len(self.records))

    async def read(self, topic, from_offset, wait_ms):
        await asyncio.sleep(wait_ms / 1000)
        if self.failures:
            self.failures -= 1
            return StoreRefused('busy')
        if from_offset < self.first:
            return RecordsExpired(self.first)
        end = len(self.records)
        return RecordsRead(tuple(self.records[from_offset:]), end, end)


@given('an operator that has published a configuration')
def publish(context):
    context.log = OperatorLog()
    context.log.write('config', encode(CONFIGURATION))
    context.version = CONFIGURATION['version']


def change(context, action):
    log = context.log
    match action.split():
        case ['writes', 'config']:
            context.version += 1
            log.write(
                'config', encode({**CONFIGURATION, 'version': context.version})
            )
        case ['writes', key]:
            log.write(key, b'{}')
        case ['deletes', key, *others]:
            log.write(key, None)
            log.first = len(log.records) if others else 0
        case ['the', 'store', 'forgets', *_]:
            log.first = len(log.records) + 1
            log.write('other', b'{}')
        case ['the', 'store', 'fails', 'once']:
            log.failures = 1
        case _:
            raise NotImplementedError(action)


@when('operators make these changes: {changes}')
def follow_changes(context, changes):
    context.read = []

    def _apply(terms):
        if not context.read or terms.supersedes(context.read[-1]):
            context.read.append(terms)

    async def _follow():
        platform = UsersPlatform('127.0.0.1:1', '')
        platform.log = context.log
        task = asyncio.create_task(
            platform.follow_configuration(_apply, lambda: None)
        )
        await asyncio.sleep(SETTLE_S)
        for action in changes.split('; '):
            change(context, action)
            await asyncio.sleep(SETTLE_S)
        task.cancel()

    loop = VirtualLoop()
    loop.run_until_complete(_follow())
    end_loop(loop)


@then('the evacuated domains are "{domains}" in turn')
def check_domains(context, domains):
    expected = [frozenset(_names(part.strip())) for part in domains.split(',')]
    read = [terms.evacuated_domains for terms in context.read]
    assert read == expected, read


def _names(part):
    if part == '(no name)':
        return ['']
    return part.split('+') if part else []
