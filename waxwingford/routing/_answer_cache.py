"""Answers kept for replay: the oldest go first when their bytes run out."""

import collections

from waxwingford.routing._key_messages import KeyId
from waxwingford.routing._messages import Answered


class AnswerCache:
    """Answers by key, bounded in bytes."""

    def __init__(self, max_bytes: int) -> None:
        """Start empty.

        :param max_bytes: bytes of bodies kept at most.
        """
        self._max_bytes = max_bytes
        self._bytes = 0
        self._answer_by_id: collections.OrderedDict[KeyId, Answered] = (
            collections.OrderedDict()
        )

    def put(self, key_id: KeyId, answer: Answered) -> None:
        """Keep an answer as long as there is room.

        :param key_id: member and key.
        :param answer: the answer.
        """
        self.discard(key_id)
        self._answer_by_id[key_id] = answer
        self._bytes += len(answer.body)
        while self._bytes > self._max_bytes:
            _, oldest = self._answer_by_id.popitem(last=False)
            self._bytes -= len(oldest.body)

    def get(self, key_id: KeyId) -> Answered | None:
        """Look an answer up.

        :param key_id: member and key.
        :returns: the answer, if it is still kept.
        """
        return self._answer_by_id.get(key_id)

    def discard(self, key_id: KeyId) -> None:
        """Forget an answer; nothing happens if there is none.

        :param key_id: member and key.
        """
        answer = self._answer_by_id.pop(key_id, None)
        if answer is not None:
            self._bytes -= len(answer.body)
