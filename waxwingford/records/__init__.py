"""Records of a failure domain's stream and the state derived from them."""

from waxwingford.records._fold import DomainState
from waxwingford.records._messages import (
    AttemptAlive,
    AttemptEnded,
    AttemptSuspected,
    Claim,
    JobAccepted,
    JobCancelled,
    JobSpec,
    Record,
    RecordGroup,
    ServerLost,
    SnapshotTaken,
    TasksClaimed,
    decode_group,
    encode_group,
)
from waxwingford.records._rules import refuse_job
from waxwingford.records._snapshot import (
    SnapshotAssembler,
    restore,
    snapshot_chunks,
)
from waxwingford.records._state import (
    NOT_SUSPECTED,
    FinishedJob,
    JobState,
    TaskStage,
    TaskState,
    team_key,
)
from waxwingford.records._verdicts import Invalid, Valid, Verdict

__all__ = (
    'AttemptAlive',
    'AttemptEnded',
    'AttemptSuspected',
    'Claim',
    'DomainState',
    'FinishedJob',
    'Invalid',
    'JobAccepted',
    'JobCancelled',
    'JobSpec',
    'JobState',
    'NOT_SUSPECTED',
    'Record',
    'RecordGroup',
    'ServerLost',
    'SnapshotTaken',
    'SnapshotAssembler',
    'TaskStage',
    'TaskState',
    'TasksClaimed',
    'Valid',
    'Verdict',
    'decode_group',
    'encode_group',
    'refuse_job',
    'restore',
    'snapshot_chunks',
    'team_key',
)
