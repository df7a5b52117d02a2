"""Versions of a bundle, and their signed records, for measurements."""

import copy

import msgspec
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from waxwingford.bundles import (
    Body,
    Bundle,
    body_of,
    canonical_bytes,
    digest_of,
    encode_record,
    make_record,
    public_text,
    sign_digest,
)

_KEYS = {
    member: Ed25519PrivateKey.from_private_bytes(bytes([index]) * 32)
    for index, member in enumerate(('qadri', 'svatbena'), 1)
}
#: Public key of each member that signs.
TRUST = {member: public_text(key) for member, key in _KEYS.items()}


def make_first(teams: int) -> Bundle:
    """Make a first version.

    :param teams: teams with quotas.
    :returns: bundle.
    """
    size = {'processors_milli': 8000, 'memory_mb': 16_000}
    return Bundle.model_validate_json(
        msgspec.json.encode(
            {
                'version': 1,
                'predecessor': '',
                'members': {'qadri': {'share': 1.0}},
                'failure_domains': {
                    f'domain{index}': {'region': 'lahore', 'daemons': []}
                    for index in range(18)
                },
                'largest_server': size,
                'services': {},
                'teams': {f'qadri/team{index}': size for index in range(teams)},
            }
        )
    )


def make_next(before: Bundle) -> Bundle:
    """Make a successor that changes one quota.

    :param before: version before.
    :returns: bundle.
    """
    body = copy.deepcopy(body_of(before))
    body['predecessor'] = digest_of(canonical_bytes(body_of(before)))
    body['version'] += 1
    body['teams']['qadri/team1']['memory_mb'] += 1
    return Bundle.model_validate_json(msgspec.json.encode(body))


def make_payload(bundle: Bundle, before: Body) -> bytes:
    """Sign a bundle and write its record.

    :param bundle: what to publish.
    :param before: body that it succeeds, empty for none.
    :returns: payload.
    """
    digest = digest_of(canonical_bytes(body_of(bundle)))
    signatures = {
        member: sign_digest(key, digest) for member, key in _KEYS.items()
    }
    return encode_record(make_record(bundle, signatures, before))
