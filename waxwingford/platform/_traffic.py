"""Bytes that a daemon exchanges with the store, workers and services."""

import collections
from collections.abc import Mapping

from waxwingford.shard import CallTraffic


class Traffic:
    """Counts the bytes of each kind of call.

    :ivar by_call: totals by the name of the call.
    """

    def __init__(self) -> None:
        self.by_call: collections.defaultdict[str, CallTraffic] = (
            collections.defaultdict(CallTraffic)
        )

    def count(self, call: str, sent_bytes: int, received_bytes: int) -> None:
        """Add a call."""
        total = self.by_call[call]
        self.by_call[call] = CallTraffic(
            total.calls + 1,
            total.sent_bytes + sent_bytes,
            total.received_bytes + received_bytes,
        )


def name_call(path: str, query: Mapping[str, str]) -> str:
    """Name the kind of a call, with the topic of calls to the store.

    :param path: path of the request.
    """
    name = path.rsplit('/', 1)[-1]
    topic = query.get('topic')
    return name if topic is None else f'{name} {topic}'
