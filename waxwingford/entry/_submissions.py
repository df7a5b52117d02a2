"""Submissions of jobs as JSON, checked."""

import dataclasses
from typing import Annotated

import msgspec

from waxwingford.ports import Resources
from waxwingford.records import JobSpec

_MOST_TASKS = 100_000
_MOST_NAME = 128
_MOST_PAYLOAD = 65_536
_MOST_PRIORITY = 100
_MOST_MS = 2_592_000_000
_MOST_WALL_MS = 253_402_300_800_000
_MOST_AMOUNT = 2_147_483_647

#: A job that says nothing gives a server out of contact up after 30 minutes.
#: VMs die every day and most never come back under their name; without a
#: default the tasks of each would stay claimed for ever.  A shorter time would
#: let running tasks lapse in an outage of the log that is no longer than that.
DEFAULT_LOST_AFTER_MS = 1_800_000

Name = Annotated[
    str,
    msgspec.Meta(pattern='^[a-z0-9][a-z0-9._-]*$', max_length=_MOST_NAME),
]
Amount = Annotated[int, msgspec.Meta(ge=0, le=_MOST_AMOUNT)]
Millis = Annotated[int, msgspec.Meta(ge=0, le=_MOST_MS)]
WallMs = Annotated[int, msgspec.Meta(ge=0, le=_MOST_WALL_MS)]


class Size(msgspec.Struct, forbid_unknown_fields=True):
    """Declared size of a task.

    :ivar processors_milli: thousandths of a core.
    :ivar memory_mb: mebibytes.
    :ivar accelerators: whole devices.
    """

    processors_milli: Amount
    memory_mb: Amount
    accelerators: Amount = 0


class Submission(msgspec.Struct, forbid_unknown_fields=True):
    """A job as an operator writes it; fields as in ``records.JobSpec``.

    :ivar job_id: ``<member>.<name>``.
    :ivar member: must be the member that signed.
    :ivar team: team of the member.
    :ivar kind: batch kind.
    :ivar task_count: tasks in the job.
    :ivar resources: declared size of each task; an object, or the three
        numbers in this order.
    :ivar run_ms: declared run time of a task, in milliseconds.
    :ivar priority: 0 to 100.
    :ivar finish_by_wall_ms: wall time, milliseconds since the epoch; 0 for
        none.
    :ivar lost_after_ms: in milliseconds; 0 for never; 30 minutes by default.
    :ivar payload: opaque work description.
    :ivar submitted_wall_ms: wall time; 0 for the time of arrival.
    """

    job_id: Name
    member: Name
    team: Name
    kind: Name
    task_count: Annotated[int, msgspec.Meta(ge=1, le=_MOST_TASKS)]
    resources: Size | tuple[Amount, Amount, Amount]
    run_ms: Annotated[int, msgspec.Meta(ge=1, le=_MOST_MS)]
    priority: Annotated[int, msgspec.Meta(ge=0, le=_MOST_PRIORITY)] = 0
    finish_by_wall_ms: WallMs = 0
    lost_after_ms: Millis = DEFAULT_LOST_AFTER_MS
    payload: Annotated[str, msgspec.Meta(max_length=_MOST_PAYLOAD)] = ''
    submitted_wall_ms: WallMs = 0


@dataclasses.dataclass(frozen=True, slots=True)
class SubmissionFault:
    """The submission is wrong.

    :ivar reason: names the field and what was expected.
    """

    reason: str


_decoder = msgspec.json.Decoder(Submission)


def read_submission(
    body: bytes, member: str, now_wall_ms: int
) -> JobSpec | SubmissionFault:
    """Read a job.

    :param body: JSON.
    :param member: who signed.
    :param now_wall_ms: present time, milliseconds since the epoch.
    :returns: the job, or what is wrong.
    """
    try:
        given = _decoder.decode(body)
    except msgspec.DecodeError as error:
        return SubmissionFault(str(error))
    if given.member != member:
        return SubmissionFault(
            f'member is {given.member!r}, expected {member!r}'
        )
    if not given.job_id.startswith(f'{member}.'):
        return SubmissionFault(
            f"job_id is {given.job_id!r}, expected '{member}.<name>'"
        )
    fields = msgspec.structs.asdict(given)
    size = given.resources
    fields['resources'] = Resources(
        *(msgspec.structs.astuple(size) if isinstance(size, Size) else size)
    )
    fields['submitted_wall_ms'] = given.submitted_wall_ms or now_wall_ms
    return JobSpec(**fields)
