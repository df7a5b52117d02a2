"""Canonical JSON, digest and merge patch (RFC 7396) of a bundle's body."""

import hashlib
from typing import Any

import msgspec

#: Guards against stack exhaustion; a valid body has four levels.
_MAX_DEPTH = 16

Body = dict[str, Any]

#: Hex digits of a digest in messages.
_SHORT_DIGEST_DIGITS = 12

_encoder = msgspec.json.Encoder(order='sorted')


class PatchTooDeep(Exception):
    """A merge patch exceeds the maximum nesting depth."""


def canonical_bytes(body: Body) -> bytes:
    """Encode a body in its canonical form.

    :returns: compact JSON with sorted keys.
    """
    return _encoder.encode(body)


def compute_digest(canonical: bytes) -> str:
    """Compute the digest that identifies a body.

    :returns: SHA-256 as 64 hex digits.
    """
    return hashlib.sha256(canonical).hexdigest()


def short_digest(digest: str) -> str:
    """Shorten the SHA-256 digest of a body for messages.

    :returns: its first 12 digits.
    """
    return digest[:_SHORT_DIGEST_DIGITS]


def merge_patch(target: Body, patch: Body, depth: int = 0) -> Body:
    """Apply a merge patch; null removes a key.

    :param target: body to patch; not modified.
    :param depth: nesting level of ``patch``, 0 at the root.
    :returns: patched body, which shares unchanged parts with the target.
    :raises PatchTooDeep: if the patch exceeds the maximum nesting depth.
    """
    if depth > _MAX_DEPTH:
        raise PatchTooDeep
    changed = {
        key: _merged_value(target.get(key), change, depth + 1)
        for key, change in patch.items()
        if change is not None
    }
    kept = {key: target[key] for key in target if key not in patch}
    return kept | changed


def _merged_value(before: Any, change: Any, depth: int) -> Any:
    if not isinstance(change, dict):
        return change
    base = before if isinstance(before, dict) else {}
    return merge_patch(base, change, depth)


def make_merge_patch(old: Body, new: Body) -> Body:
    """Compute the merge patch between two bodies.

    :param new: body after the change; must not contain nulls.
    :returns: smallest merge patch that turns ``old`` into ``new``.
    """
    patch: Body = dict.fromkeys(key for key in old if key not in new)
    for key, after in new.items():
        if key not in old:
            patch[key] = after
        elif not _canonically_equal(old[key], after):
            patch[key] = _value_patch(old[key], after)
    return patch


def _value_patch(before: Any, after: Any) -> Any:
    if isinstance(before, dict) and isinstance(after, dict):
        return make_merge_patch(before, after)
    return after


def _canonically_equal(before: Any, after: Any) -> bool:
    # In Python 1 == 1.0, but their canonical bytes and digests differ.
    return _encoder.encode(before) == _encoder.encode(after)
