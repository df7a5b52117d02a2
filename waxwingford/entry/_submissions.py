"""Parses and validates job submissions in JSON."""

import dataclasses
from typing import Annotated

import msgspec

from waxwingford.ports import Resources
from waxwingford.records import JobSpec

_MAX_TASKS = 100_000
_MAX_NAME_LENGTH = 128
_MAX_PAYLOAD_LENGTH = 65_536
_MAX_PRIORITY = 100
_MAX_DURATION_MS = 2_592_000_000
_MAX_WALL_MS = 253_402_300_800_000
_MAX_AMOUNT = 2_147_483_647

#: Releases the tasks of VMs that never return.  A shorter time than an outage of
#: the log would let running tasks lapse.
DEFAULT_LOST_AFTER_MS = 1_800_000

Name = Annotated[
    str,
    msgspec.Meta(pattern='^[a-z0-9][a-z0-9._-]*$', max_length=_MAX_NAME_LENGTH),
]
Amount = Annotated[int, msgspec.Meta(ge=0, le=_MAX_AMOUNT)]
DurationMs = Annotated[int, msgspec.Meta(ge=0, le=_MAX_DURATION_MS)]
WallMs = Annotated[int, msgspec.Meta(ge=0, le=_MAX_WALL_MS)]


class TaskResources(msgspec.Struct, forbid_unknown_fields=True):
    """Resources declared for a task.

    :ivar processors_milli: CPU, in thousandths of a core.
    :ivar memory_mb: memory, in MiB.
    :ivar accelerators: number of accelerator devices.
    """

    processors_milli: Amount
    memory_mb: Amount
    accelerators: Amount = 0


class Submission(msgspec.Struct, forbid_unknown_fields=True):
    """Job as submitted by an operator; fields as in ``records.JobSpec``.

    :ivar job_id: ID in the form ``<member>.<name>``.
    :ivar member: owner of the job; must be the member that signed.
    :ivar team: team of the member.
    :ivar task_count: number of tasks.
    :ivar resources: resources of each task, as an object or as an array of
        the three numbers in the order of its fields.
    :ivar run_ms: declared run time of a task, in milliseconds.
    :ivar priority: priority from 0 to 100.
    :ivar finish_by_wall_ms: deadline, in milliseconds since the Unix epoch; 0
        for none.
    :ivar lost_after_ms: time without contact to the log after which an attempt
        lapses, so that the task can run elsewhere, in milliseconds; 0 for
        never.
    :ivar payload: opaque description of the work.
    :ivar submitted_wall_ms: submission time, in milliseconds since the Unix
        epoch; 0 for the time of arrival.
    """

    job_id: Name
    member: Name
    team: Name
    kind: Name
    task_count: Annotated[int, msgspec.Meta(ge=1, le=_MAX_TASKS)]
    resources: TaskResources | tuple[Amount, Amount, Amount]
    run_ms: Annotated[int, msgspec.Meta(ge=1, le=_MAX_DURATION_MS)]
    priority: Annotated[int, msgspec.Meta(ge=0, le=_MAX_PRIORITY)] = 0
    finish_by_wall_ms: WallMs = 0
    lost_after_ms: DurationMs = DEFAULT_LOST_AFTER_MS
    payload: Annotated[str, msgspec.Meta(max_length=_MAX_PAYLOAD_LENGTH)] = ''
    submitted_wall_ms: WallMs = 0


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidSubmission:
    """The submission is invalid.

    :ivar reason: the field and what was expected.
    """

    reason: str


_decoder = msgspec.json.Decoder(Submission)


def read_submission(
    body: bytes, member: str, now_wall_ms: int
) -> JobSpec | InvalidSubmission:
    """Parse and validate a submission.

    :param body: JSON of the submission.
    :param member: member that signed the request.
    :param now_wall_ms: current time, in milliseconds since the Unix epoch.
    :returns: the job, or the reason why the submission is invalid.
    """
    try:
        submission = _decoder.decode(body)
    except msgspec.DecodeError as error:
        return InvalidSubmission(str(error))
    if submission.member != member:
        return InvalidSubmission(
            f'member is {submission.member!r}, expected {member!r}'
        )
    if not submission.job_id.startswith(f'{member}.'):
        return InvalidSubmission(
            f"job_id is {submission.job_id!r}, expected '{member}.<name>'"
        )
    fields = msgspec.structs.asdict(submission)
    declared = submission.resources
    fields['resources'] = Resources(
        *(
            msgspec.structs.astuple(declared)
            if isinstance(declared, TaskResources)
            else declared
        )
    )
    fields['submitted_wall_ms'] = submission.submitted_wall_ms or now_wall_ms
    return JobSpec(**fields)
