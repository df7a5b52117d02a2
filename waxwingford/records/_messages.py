"""Records of a failure domain's stream and their encoding.

The stream is the source of truth for jobs and attempts: of conflicting
records, the first in offset order is valid.
"""

import msgspec

from waxwingford.ports import AttemptKey, Resources


class JobSpec(msgspec.Struct, frozen=True, array_like=True):
    """Specification of a batch job, as submitted.

    :ivar job_id: unique id, ``<member>.<name>``; also the idempotency key of
        the submission.
    :ivar member: member organisation that owns the job.
    :ivar team: team of the member that is charged for the job.
    :ivar kind: batch kind, for example ``archive_rebuild``.
    :ivar task_count: number of tasks; their indices start at 0.
    :ivar resources: declared size of each task.
    :ivar run_ms: declared run time of each task, in milliseconds.
    :ivar priority: 0 to 100; larger is more urgent.
    :ivar finish_by_wall_ms: deadline as wall-clock time, in milliseconds since
        the epoch; 0 for none.
    :ivar lost_after_ms: time without log access of the holder, in
        milliseconds, after which an attempt stops itself so that the task may
        be claimed again; 0 for never.
    :ivar payload: opaque work description, passed to the backend server.
    :ivar submitted_wall_ms: wall-clock time of the submission, in milliseconds
        since the epoch.
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
    """The failure domain has accepted responsibility for a job."""

    job: JobSpec


class JobCancelled(
    msgspec.Struct, frozen=True, array_like=True, tag='cancelled'
):
    """A member has cancelled its job.

    :ivar member: member that requested it; must own the job.
    """

    job_id: str
    member: str


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """Claim of one attempt.

    :ivar key: task id and attempt number.
    :ivar resume_from: checkpoint reference, empty to start from scratch.
    """

    key: AttemptKey
    resume_from: str = ''


class TasksClaimed(msgspec.Struct, frozen=True, array_like=True, tag='claimed'):
    """Attempts are claimed for a backend server, before they are started.

    :ivar holder: ``<daemon>#<incarnation>`` that claims the attempts.
    :ivar boot_id: boot of the server for which the claims are valid.
    :ivar epoch: epoch of the holder's control lease on the server.
    """

    holder: str
    server_id: str
    boot_id: str
    epoch: int
    claims: tuple[Claim, ...]


class AttemptEnded(msgspec.Struct, frozen=True, array_like=True, tag='ended'):
    """An attempt is known to have ended.

    :ivar server_id: identifier of the server on which it was claimed.
    :ivar how: ``done``, ``failed``, ``checkpointed``, ``stopped``, ``absent``
        (the server's current holder found that it does not exist) or
        ``lapsed`` (see :class:`AttemptSuspected`).
    :ivar detail: result, checkpoint reference or reason, depending on ``how``.
    :ivar ran_ms: run time of the attempt, in milliseconds.
    :ivar suspected_offset: for ``lapsed``, offset of the
        :class:`AttemptSuspected` record that it refers to.
    """

    key: AttemptKey
    server_id: str
    how: str
    detail: str = ''
    ran_ms: int = 0
    suspected_offset: int = -1


class AttemptSuspected(
    msgspec.Struct, frozen=True, array_like=True, tag='suspected'
):
    """A daemon suspects attempts because it cannot reach their server.

    Applies only to attempts of jobs with a ``lost_after_ms``.

    :ivar by: ``<daemon>#<incarnation>`` that suspects them.
    """

    keys: tuple[AttemptKey, ...]
    by: str


class SuspicionRefuted(
    msgspec.Struct, frozen=True, array_like=True, tag='alive'
):
    """The holder refutes a suspicion: it still renews the attempts.

    :ivar keys: identifiers of the renewed attempts.
    :ivar by: ``<daemon>#<incarnation>`` of the holder.
    """

    keys: tuple[AttemptKey, ...]
    by: str


class ServerLost(msgspec.Struct, frozen=True, array_like=True, tag='lost'):
    """Operators have declared a backend server lost; its attempts have ended.

    :ivar boot_id: boot of the server that was lost.
    :ivar statement: statement signed by the members' operators.
    """

    server_id: str
    boot_id: str
    statement: str


class SnapshotTaken(
    msgspec.Struct, frozen=True, array_like=True, tag='snapshot'
):
    """A complete snapshot was written to the snapshot stream.

    :ivar covers_offset: first offset that the snapshot does not cover.
    """

    covers_offset: int


Record = (
    JobAccepted
    | JobCancelled
    | TasksClaimed
    | AttemptEnded
    | AttemptSuspected
    | SuspicionRefuted
    | ServerLost
    | SnapshotTaken
)


class RecordGroup(msgspec.Struct, frozen=True, array_like=True):
    """Records that are committed together in one log entry.

    :ivar writer: ``<daemon>#<incarnation>`` that wrote the group.
    :ivar sequence: number of the group, increasing per writer; with the writer
        it identifies the group if an acknowledgement is lost.
    :ivar records: records in the order in which they are applied.
    """

    writer: str
    sequence: int
    records: tuple[Record, ...]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(RecordGroup)


def encode_group(group: RecordGroup) -> bytes:
    """Encode a record group.

    :returns: payload of one log entry.
    """
    return _encoder.encode(group)


def decode_group(payload: bytes) -> RecordGroup:
    """Decode a record group.

    :param payload: payload of one log entry.
    :raises msgspec.DecodeError: if the payload is not a valid group.
    """
    return _decoder.decode(payload)
