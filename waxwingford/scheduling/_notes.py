"""Notes of decisions and state changes of an engine, for the logs."""

import collections
from typing import NamedTuple

#: Maximum number of unreadable records that are noted.
MAX_UNREADABLE = 100
#: Maximum number of kinds of work and subjects whose failures are told apart.
MAX_FAILING = 1000


class Note(NamedTuple):
    """A decision or state change.

    :ivar event: name of the event, for example ``run.planned``.
    :ivar subject: identifier of the job, task, server or record concerned.
    :ivar fields: values that led to the decision, by name.
    """

    event: str
    subject: str
    fields: dict[str, object]


class NoteBuffer:
    """Notes that have not been logged yet."""

    def __init__(self) -> None:
        self._notes: list[Note] = []
        self._unreadable_keys: set[str] = set()
        self._failures: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    def add(self, event: str, subject: object, **fields: object) -> None:
        """Add a note.

        :param subject: identifier of the job, task, server or record concerned.
        :param fields: values that led to the decision.
        """
        self._notes.append(Note(event, str(subject), fields))

    def add_unreadable(self, key: str, error: Exception) -> None:
        """Note an unreadable record, once per key.

        At most ``MAX_UNREADABLE`` keys are noted, because records are read
        repeatedly.

        :param error: error of the decoder.
        """
        known = key in self._unreadable_keys
        if not known and len(self._unreadable_keys) < MAX_UNREADABLE:
            self._unreadable_keys.add(key)
            self.add('record.unreadable', key, reason=str(error))

    def add_failure(self, work: str, subject: str, **fields: object) -> None:
        """Note that work has ended with an unexpected error.

        Only failures whose count is a power of two are noted, as the same work is
        tried again with each decision.

        :param work: what was done.
        :param subject: identifier of the job or server that it was done for.
        :param fields: description of the error.
        """
        if len(self._failures) >= MAX_FAILING:
            self._failures.clear()
        self._failures[work, subject] += 1
        count = self._failures[work, subject]
        is_power_of_two = not count & (count - 1)
        if is_power_of_two:
            self.add('work.failed', subject, work=work, times=count, **fields)

    def take(self) -> list[Note]:
        """Remove and return all notes."""
        notes = self._notes
        self._notes = []
        return notes
