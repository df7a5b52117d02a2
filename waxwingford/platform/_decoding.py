"""Decoding of JSON from other writers."""

from typing import TypeVar

import msgspec

#: Largest whole number that every JSON implementation represents exactly.
MAX_EXACT_NUMBER = 9_007_199_254_740_992

Content = TypeVar('Content')


def decode_json(decoder: msgspec.json.Decoder[Content], raw: bytes) -> Content:
    """Decode JSON.

    :raises msgspec.MsgspecError: if it is malformed, or nested so deeply that the
        decoder gives up, also in fields that it skips.
    """
    try:
        return decoder.decode(raw)
    except RecursionError as error:
        raise msgspec.DecodeError('JSON is nested too deeply') from error
