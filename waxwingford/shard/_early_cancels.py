"""Bounds the cancellations of jobs that an owner doesn't know.

Each of them is kept for as long as the store may apply an append of its job late.
"""

import contextlib
from collections.abc import Iterator

from waxwingford.scheduling import Engine

#: Memory in bytes that an owner keeps for a job that has ended, or was cancelled before
#: it is known.
ENDED_JOB_BYTES = 1024
#: Part of the memory for jobs that cancellations of unknown jobs may take.
EARLY_CANCELS_PART = 0.125


class EarlyCancels:
    """Counts the cancellations of unknown jobs that are kept or being stored."""

    def __init__(self, max_job_bytes: int) -> None:
        """Count nothing until the engine is known.

        :param max_job_bytes: memory of the owner for jobs, in bytes; 0 for no bound.
        """
        self._max_bytes = max_job_bytes * EARLY_CANCELS_PART
        self._engine: Engine | None = None
        self._being_stored = 0

    @property
    def kept_bytes(self) -> int:
        """Memory that they take, in bytes."""
        kept = self._being_stored
        if self._engine is not None:
            kept += len(self._engine.state.past.cancelled_early)
        return kept * ENDED_JOB_BYTES

    def follow(self, engine: Engine) -> None:
        """Count what a new owner keeps."""
        self._engine = engine

    @contextlib.contextmanager
    def reserve(self, job_id: str) -> Iterator[bool]:
        """Count a cancellation while it is stored.

        :yields: whether it may be stored; that of a known job always may.
        """
        engine = self._engine
        if engine is None or engine.state.phase(job_id) is not None:
            yield True
        elif self._max_bytes and self.kept_bytes >= self._max_bytes:
            yield False
        else:
            self._being_stored += 1
            try:
                yield True
            finally:
                self._being_stored -= 1
