"""Answers to questions for the phase of a job."""

import msgspec

from waxwingford.scheduling import JobPhase


class JobKnown(msgspec.Struct, frozen=True):
    """The job is stored."""

    phase: JobPhase


class JobNotKnown(msgspec.Struct, frozen=True):
    """The store has no such job."""


class NotAnswered(msgspec.Struct, frozen=True):
    """It could not be determined whether the job is stored."""

    reason: str


JobAnswer = JobKnown | JobNotKnown | NotAnswered
