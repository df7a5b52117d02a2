"""Canonical bytes, digest and merge patch (RFC 7396) of a bundle's body."""

import hashlib
from typing import Any

import msgspec

#: A body is four levels deep; more can only be an attempt to exhaust us.
_MAX_DEPTH = 16

Body = dict[str, Any]

#: Digits of a digest in texts for people.
_SHOWN_DIGITS = 12

_encoder = msgspec.json.Encoder(order='sorted')


class TooDeep(Exception):
    """A patch nests deeper than any bundle."""


def canonical_bytes(body: Body) -> bytes:
    """Write a body in its one canonical form.

    :param body: JSON object.
    :returns: compact JSON with sorted keys.
    """
    return _encoder.encode(body)


def digest_of(canonical: bytes) -> str:
    """Name a body by its digest.

    :param canonical: its canonical bytes.
    :returns: hex SHA-256.
    """
    return hashlib.sha256(canonical).hexdigest()


def short_digest(digest: str) -> str:
    """Shorten a digest for people.

    :param digest: hex digest.
    :returns: its first digits.
    """
    return digest[:_SHOWN_DIGITS]


def merge_patch(target: Body, patch: Body, depth: int = 0) -> Body:
    """Apply a merge patch; null removes a key.

    :param target: what the patch was made against; it is not changed.
    :param patch: the patch.
    :param depth: levels above this one.
    :returns: the result, which shares unchanged parts with the target.
    :raises TooDeep: if the patch nests too deep.
    """
    if depth > _MAX_DEPTH:
        raise TooDeep
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


def make_patch(old: Body, new: Body) -> Body:
    """Find the patch that turns one body into another.

    :param old: body before.
    :param new: body after; without nulls.
    :returns: smallest merge patch.
    """
    patch: Body = dict.fromkeys(key for key in old if key not in new)
    for key, after in new.items():
        if key not in old:
            patch[key] = after
        elif not _same(old[key], after):
            patch[key] = _change(old[key], after)
    return patch


def _change(before: Any, after: Any) -> Any:
    if isinstance(before, dict) and isinstance(after, dict):
        return make_patch(before, after)
    return after


def _same(before: Any, after: Any) -> bool:
    # By canonical form: 1 equals 1.0, but has another digest.
    return _encoder.encode(before) == _encoder.encode(after)
