"""Steps for the chain of bundles."""

import msgspec
from behave import given, then, when

from waxwingford.bundles import (
    AlreadyInForce,
    BundleChain,
    FromLog,
    InForce,
    RejectedBundle,
    encode_record,
    sign_digest,
)
from waxwingford.bundles._canonical import merge_patch
from waxwingford.bundles.tests.consortium import (
    TRUST,
    UNPINNED_KEY,
    first_body,
    make_bodies,
    next_body,
    signed_payload,
    signed_record,
)

replace_fields = msgspec.structs.replace


def with_signatures(record, *members, **others):
    kept = {member: record.signature_by_member[member] for member in members}
    return replace_fields(record, signature_by_member={**kept, **others})


def nested_patch(levels):
    patch = {}
    for _ in range(levels):
        patch = {'teams': patch}
    return patch


SMALL_QUOTA = {'processors_milli': 1, 'memory_mb': 1}
#: Invalid changes in an otherwise valid, fully signed successor.
SIGNED_CHANGES = {
    'with a share above 1': {'members': {'qadri': {'share': 1.1}}},
    'with shares that sum above 1': {'members': {'svatbena': {'share': 0.5}}},
    'reserving above any server': {
        'services': {'report_desk': {'reserved': {'processors_milli': 32_001}}}
    },
    'with a quota of a stranger': {'teams': {'stranger/a': SMALL_QUOTA}},
    'with an unknown domain': {
        'services': {'report_desk': {'failure_domains': ['clifton']}}
    },
    'with a member without a key': {'members': {'stranger': {'share': 0}}},
    'with an unknown key': {'services': {'report_desk': {'target_p99': 9}}},
    'with a body above 512 KiB': {
        'teams': {
            f'qadri/team{index:0>55}': SMALL_QUOTA for index in range(5050)
        }
    },
}
FAULTS = {
    'unsigned': lambda old, good: with_signatures(good),
    'signed by one member': lambda old, good: with_signatures(good, 'qadri'),
    'signed with a wrong key': lambda old, good: with_signatures(
        good, 'qadri', svatbena=sign_digest(UNPINNED_KEY, good.digest)
    ),
    'also signed by a stranger': lambda old, good: with_signatures(
        good, *TRUST, stranger=sign_digest(UNPINNED_KEY, good.digest)
    ),
    'of the version before': lambda old, good: signed_record(old[0]),
    'of the same version': lambda old, good: signed_record(
        next_body(old[0], 55)
    ),
    'of a skipped version': lambda old, good: signed_record(
        next_body(good.body, 61)
    ),
    'with a wrong predecessor': lambda old, good: signed_record(
        next_body(next_body(old[0], 55), 60)
    ),
    'with a changed body': lambda old, good: replace_fields(
        good, body=next_body(old[1], 7)
    ),
    'with a changed version': lambda old, good: replace_fields(
        signed_record({**good.body, 'version': 4}), version=3
    ),
    'with a patch nested too deep': lambda old, good: replace_fields(
        good, body=None, patch=nested_patch(40)
    ),
    'with neither body nor patch': lambda old, good: replace_fields(
        good, body=None
    ),
}
DEEPLY_NESTED = '{{"version":3,"body":{0}'.format('{"a":' * 90_000).encode()
RAW_PAYLOADS = {
    'with an oversized record': b'{}'.ljust(600_000),
    'with a body nested too deep': DEEPLY_NESTED,
    'not JSON': b'\xff\x00',
}


@given('a bundle chain with version 2 in force')
def chain_at_version_two(context):
    context.bodies = make_bodies(2)
    context.chain = BundleChain(TRUST)
    context.verdicts = [
        context.chain.offer_payload(signed_payload(body), FromLog(offset))
        for offset, body in enumerate(context.bodies)
    ]
    context.before = context.chain.current
    assert all(isinstance(seen, InForce) for seen in context.verdicts)


@when('a bundle record is offered that is {fault}')
def offer_bad_record(context, fault):
    body = next_body(context.bodies[1], 99)
    change = SIGNED_CHANGES.get(fault)
    make = FAULTS.get(fault)
    if change:
        payload = signed_payload(merge_patch(body, change))
    elif make:
        payload = encode_record(make(context.bodies, signed_record(body)))
    else:
        payload = RAW_PAYLOADS[fault]
    context.verdicts.append(context.chain.offer_payload(payload, FromLog(9)))


@when('two competing successors of version 2 are offered at offsets 7 and 8')
def offer_competing(context):
    context.competing_bodies = [
        next_body(context.bodies[1], ms) for ms in (50, 60)
    ]
    context.verdicts = [
        context.chain.offer_payload(
            signed_payload(body, context.bodies[1]), FromLog(offset)
        )
        for offset, body in enumerate(context.competing_bodies, 7)
    ]


@when('the record of version 2 is offered again')
def offer_again(context):
    context.verdicts.append(
        context.chain.offer_payload(
            signed_payload(context.bodies[1]), FromLog(5)
        )
    )


@then('the bundle is rejected with "{reason}"')
def rejected_with(context, reason):
    verdict = context.verdicts[-1]
    assert isinstance(verdict, RejectedBundle), verdict
    assert reason in verdict.reason, verdict.reason


@then('version 2 stays in force and accepts a valid successor')
def still_at_version_two(context):
    assert context.chain.current == context.before
    # A valid successor still takes force after the rejected one.
    good = signed_payload(next_body(context.bodies[1], 99), context.bodies[1])
    verdict = context.chain.offer_payload(good, FromLog(10))
    assert isinstance(verdict, InForce), verdict


@then('version 3 from offset 7 is in force')
def lower_offset_in_force(context):
    service = context.chain.current.bundle.services['report_desk']
    assert (context.chain.version, service.target_p99_ms) == (3, 50)


@then('the bundle is already in force')
def assert_already_in_force(context):
    assert context.verdicts[-1] == AlreadyInForce(2), context.verdicts


@given('a bundle of 680 teams')
def large_bundle(context):
    context.body = first_body(680)
    context.chain = BundleChain(TRUST)
    context.chain.offer_payload(signed_payload(context.body), FromLog(0))


@when('one quota is changed')
def change_quota(context):
    after = next_body(context.body, 120)
    after['teams']['qadri/team7']['memory_mb'] += 1
    context.payload = signed_payload(after, context.body)
    context.whole = signed_record(after)


@then('the record takes less than 1000 bytes and gives the same digest')
def small_record(context):
    verdict = context.chain.offer_payload(context.payload, FromLog(1))
    assert len(context.payload) < 1000, len(context.payload)
    assert verdict.in_force.digest == context.whole.digest
