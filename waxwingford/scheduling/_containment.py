"""Limits what an unexpected error in a decision ends to the work on one item."""

import traceback
from collections.abc import Callable

from waxwingford.scheduling._notes import NoteBuffer

#: Innermost calls that are noted with an error.
_NOTED_CALLS = 3


def note_failure(
    notes: NoteBuffer, work: str, subject: str, error: Exception
) -> None:
    """Note an unexpected error, which must not end other work.

    :param work: what was done, for example ``place``.
    :param subject: job or server that it was done for.
    """
    calls = traceback.extract_tb(error.__traceback__)[-_NOTED_CALLS:]
    notes.add_failure(
        work,
        subject,
        reason=f'{type(error).__name__}: {error}',
        where=' > '.join(f'{call.name}:{call.lineno}' for call in calls),
    )


def attempt(
    notes: NoteBuffer, work: str, subject: str, action: Callable[[], object]
) -> bool:
    """Do work whose unexpected errors are noted and not passed on.

    :param work: what is done, for example ``maintain``.
    :param subject: job or server that it is done for, empty for all.
    :returns: whether it was done without an error.
    """
    try:
        action()
    except Exception as error:
        note_failure(notes, work, subject, error)
        return False
    return True
