"""Generated bundle versions and their signed records."""

import copy

import msgspec
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from waxwingford.bundles import (
    Body,
    Bundle,
    bundle_body,
    canonical_bytes,
    compute_digest,
    encode_public_key,
    encode_record,
    make_record,
    sign_digest,
)

_KEYS = {
    member: Ed25519PrivateKey.from_private_bytes(bytes([index]) * 32)
    for index, member in enumerate(('qadri', 'svatbena'), 1)
}
#: Public key of each signing member.
TRUST = {member: encode_public_key(key) for member, key in _KEYS.items()}


def make_first(teams: int) -> Bundle:
    """Create the first version of a bundle.

    :param teams: number of teams with quotas.
    :returns: first version.
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
    """Create the next version, which changes one quota.

    :param before: preceding version.
    :returns: next version.
    """
    body = copy.deepcopy(bundle_body(before))
    body['predecessor'] = compute_digest(canonical_bytes(bundle_body(before)))
    body['version'] += 1
    body['teams']['qadri/team1']['memory_mb'] += 1
    return Bundle.model_validate_json(msgspec.json.encode(body))


def make_payload(bundle: Bundle, before: Body) -> bytes:
    """Sign a bundle and encode its record.

    :param bundle: bundle to publish.
    :param before: body of the preceding version; empty for the first.
    :returns: payload for the log.
    """
    digest = compute_digest(canonical_bytes(bundle_body(bundle)))
    signatures = {
        member: sign_digest(key, digest) for member, key in _KEYS.items()
    }
    return encode_record(make_record(bundle, signatures, before))
