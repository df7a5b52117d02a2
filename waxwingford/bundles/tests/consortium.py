"""Test support: members with fixed keys, and bundles signed by them."""

import copy
import random

from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from waxwingford.bundles import (
    Body,
    BundleReader,
    BundleRecord,
    ReaderDependencies,
    canonical_bytes,
    compute_digest,
    encode_public_key,
    encode_record,
    make_merge_patch,
    sign_digest,
)
from waxwingford.metrics import Metrics

KEY_BY_MEMBER = {
    member: Ed25519PrivateKey.from_private_bytes(bytes([index]) * 32)
    for index, member in enumerate(('qadri', 'svatbena'), 1)
}
UNPINNED_KEY = Ed25519PrivateKey.from_private_bytes(b'x' * 32)
TRUST = {
    member: encode_public_key(key) for member, key in KEY_BY_MEMBER.items()
}
RESOURCES = {'processors_milli': 8000, 'memory_mb': 16_000, 'accelerators': 0}


def make_reader(log, peers, clock, domain_peers, on_bundle_change, note):
    """Make a reader that pins the keys of all members."""
    return BundleReader(
        ReaderDependencies(
            log=log,
            peers=peers,
            clock=clock,
            key_by_member=TRUST,
            domain_peers=domain_peers,
            on_bundle_change=on_bundle_change,
            note=note,
            counters=Metrics(),
            rng=random.Random(str(sorted(domain_peers))),
        )
    )


def first_body(teams: int = 2) -> Body:
    """Make the body of version 1."""
    return {
        'version': 1,
        'predecessor': '',
        'members': {'qadri': {'share': 0.7}, 'svatbena': {'share': 0.3}},
        'failure_domains': {
            'gulberg': {'region': 'lahore', 'daemons': ['qadri-1', 'qadri-2']}
        },
        'largest_server': {**RESOURCES, 'processors_milli': 32_000},
        'services': {
            'report_desk': {
                'member': 'qadri',
                'target_p99_ms': 120,
                'tail_weight': 0.8,
                'eviction_weight': 0.2,
                'reserved': dict(RESOURCES),
                'concurrency_by_member': {'qadri': 192},
            }
        },
        'teams': {
            f'qadri/team{index}': {**RESOURCES, 'may_borrow': True}
            for index in range(teams)
        },
    }


def next_body(before: Body, target_ms: int) -> Body:
    """Make a successor that changes the latency target of one service."""
    body = copy.deepcopy(before)
    body['version'] += 1
    body['predecessor'] = compute_digest(canonical_bytes(before))
    body['services']['report_desk']['target_p99_ms'] = target_ms
    return body


def signed_record(
    body: Body, before: Body | None = None, as_of: int | None = None
) -> BundleRecord:
    """Make a record of a body, signed by every member."""
    digest = compute_digest(canonical_bytes(body))
    return BundleRecord(
        version=body['version'],
        predecessor=body['predecessor'],
        digest=digest,
        signature_by_member={
            member: sign_digest(key, digest)
            for member, key in KEY_BY_MEMBER.items()
        },
        body=None if before else body,
        patch=make_merge_patch(before, body) if before else None,
        as_of=as_of,
    )


def signed_payload(
    body: Body, before: Body | None = None, as_of: int | None = None
) -> bytes:
    """Make a serialized record of a body, signed by every member."""
    return encode_record(signed_record(body, before, as_of))


def make_bodies(count: int) -> list[Body]:
    """Make the bodies of versions 1 to ``count``."""
    chain = [first_body()]
    for target_ms in range(101, 100 + count):
        chain.append(next_body(chain[-1], target_ms))
    return chain
