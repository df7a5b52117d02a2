"""Size-bounded cache of answers that retries replay."""

import collections

from waxwingford.routing._key_messages import KeyId
from waxwingford.routing._messages import Answered


class AnswerCache:
    """Answers by key; the oldest are evicted when the cache is full."""

    def __init__(self, max_bytes: int) -> None:
        """Create an empty cache.

        :param max_bytes: maximum total size of the bodies, in bytes.
        """
        self._max_bytes = max_bytes
        self._bytes = 0
        self._answer_by_id: collections.OrderedDict[KeyId, Answered] = (
            collections.OrderedDict()
        )

    def put(self, key_id: KeyId, answer: Answered) -> None:
        """Store an answer, evicting the oldest ones if necessary."""
        self.discard(key_id)
        self._answer_by_id[key_id] = answer
        self._bytes += len(answer.body)
        while self._bytes > self._max_bytes:
            _, oldest = self._answer_by_id.popitem(last=False)
            self._bytes -= len(oldest.body)

    def get(self, key_id: KeyId) -> Answered | None:
        """Look up an answer."""
        return self._answer_by_id.get(key_id)

    def discard(self, key_id: KeyId) -> None:
        """Remove an answer if present."""
        answer = self._answer_by_id.pop(key_id, None)
        if answer is not None:
            self._bytes -= len(answer.body)
