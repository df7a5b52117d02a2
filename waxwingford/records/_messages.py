"""Records of a failure domain's stream, and the job that they speak of.

The stream is the only authority on jobs and attempts: the first valid record
in offset order wins (see :mod:`waxwingford.records._state`).  Records are
msgspec structs, written as arrays to keep the stream small.
"""

import msgspec

from waxwingford.ports import Resources, TaskKey


class JobSpec(msgspec.Struct, frozen=True, array_like=True):
    """A batch job as submitted.

    :ivar job_id: unique, ``<member>.<name>``; also the idempotency key of the
        submission.
    :ivar member: organisation that owns it.
    :ivar team: team of the member, for quotas.
    :ivar kind: batch kind, for example ``archive_rebuild``.
    :ivar task_count: tasks in the job, indexed from 0.
    :ivar resources: declared size of each task.
    :ivar run_ms: declared run time of a task, in milliseconds.
    :ivar priority: larger is more urgent, 0 to 100.
    :ivar finish_by_wall_ms: wall time by which it should be done, in
        milliseconds since the epoch; 0 for no deadline.
    :ivar lost_after_ms: an attempt gives up by itself after its holder went
        so long without the log, so that others may take it; 0 for never.
    :ivar payload: opaque work description for the backend server.
    :ivar submitted_wall_ms: wall time of the submission, in milliseconds.
    """

    job_id: str
    member: str
    team: str
    kind: str
    task_count: int
    resources: Resources
    run_ms: int
    priority: int = 0
    finish_by_wall_ms: int = 0
    lost_after_ms: int = 0
    payload: str = ''
    submitted_wall_ms: int = 0


class JobAccepted(msgspec.Struct, frozen=True, array_like=True, tag='accepted'):
    """The failure domain answers for the job from here on."""

    job: JobSpec


class JobCancelled(
    msgspec.Struct, frozen=True, array_like=True, tag='cancelled'
):
    """The member gave the job up.

    :ivar job_id: which job.
    :ivar member: who asked; must own the job.
    """

    job_id: str
    member: str


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """One attempt in a group of claims.

    :ivar key: task and attempt number.
    :ivar resume_from: checkpoint reference, empty for a fresh start.
    """

    key: TaskKey
    resume_from: str = ''


class TasksClaimed(msgspec.Struct, frozen=True, array_like=True, tag='claimed'):
    """Write-ahead of starts on one backend server.

    :ivar holder: ``<daemon>#<incarnation>`` that claims.
    :ivar server_id: backend server.
    :ivar boot_id: boot of the server that the claims are for.
    :ivar epoch: control lease epoch of the holder there.
    :ivar claims: attempts claimed.
    """

    holder: str
    server_id: str
    boot_id: str
    epoch: int
    claims: tuple[Claim, ...]


class AttemptEnded(msgspec.Struct, frozen=True, array_like=True, tag='ended'):
    """An attempt is proved over.

    :ivar key: which attempt.
    :ivar server_id: where it ran.
    :ivar how: ``done``, ``failed``, ``checkpointed``, ``stopped``, ``absent``
        (the server's current holder saw that it is not there) or ``lapsed``
        (see AttemptSuspected).
    :ivar detail: result, checkpoint reference or reason.
    :ivar ran_ms: run time of the attempt, in milliseconds.
    :ivar suspected_offset: for ``lapsed``, offset of the AttemptSuspected that
        it rests on.
    """

    key: TaskKey
    server_id: str
    how: str
    detail: str = ''
    ran_ms: int = 0
    suspected_offset: int = -1


class AttemptSuspected(
    msgspec.Struct, frozen=True, array_like=True, tag='suspected'
):
    """A daemon cannot reach the server of attempts that declare lost_after.

    :ivar keys: attempts suspected.
    :ivar by: ``<daemon>#<incarnation>``.
    """

    keys: tuple[TaskKey, ...]
    by: str


class AttemptAlive(msgspec.Struct, frozen=True, array_like=True, tag='alive'):
    """The holder objects to a suspicion: it still renews the attempts.

    :ivar keys: attempts renewed.
    :ivar by: ``<daemon>#<incarnation>``.
    """

    keys: tuple[TaskKey, ...]
    by: str


class ServerLost(msgspec.Struct, frozen=True, array_like=True, tag='lost'):
    """Operators declare a backend server lost; its attempts are over.

    :ivar server_id: backend server.
    :ivar boot_id: boot that was lost.
    :ivar statement: signed statement of the members' operators.
    """

    server_id: str
    boot_id: str
    statement: str


class SnapshotTaken(
    msgspec.Struct, frozen=True, array_like=True, tag='snapshot'
):
    """A complete snapshot stands in the snapshots' stream.

    :ivar covers_offset: first offset that it does not cover.
    """

    covers_offset: int


Record = (
    JobAccepted
    | JobCancelled
    | TasksClaimed
    | AttemptEnded
    | AttemptSuspected
    | AttemptAlive
    | ServerLost
    | SnapshotTaken
)


class RecordGroup(msgspec.Struct, frozen=True, array_like=True):
    """Group commit: the payload of one log entry.

    :ivar writer: ``<daemon>#<incarnation>``.
    :ivar sequence: counts the writer's groups; with writer it identifies the
        group, so that a lost acknowledgement is resolved by reading forward.
    :ivar records: in order.
    """

    writer: str
    sequence: int
    records: tuple[Record, ...]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(RecordGroup)


def encode_group(group: RecordGroup) -> bytes:
    """Serialize a group.

    :param group: records with writer and sequence.
    :returns: payload of one log entry.
    """
    return _encoder.encode(group)


def decode_group(payload: bytes) -> RecordGroup:
    """Read a group back.

    :param payload: payload of one log entry.
    :returns: the group.
    :raises msgspec.DecodeError: if it is not one.
    """
    return _decoder.decode(payload)
