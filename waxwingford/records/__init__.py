"""Records of a failure domain's stream and the state derived from them."""

from waxwingford.records._fold import DomainState
from waxwingford.records._messages import (
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
    SuspicionRefuted,
    TasksClaimed,
    decode_group,
    encode_group,
)
from waxwingford.records._rules import validate_job
from waxwingford.records._snapshot import (
    SnapshotAssembler,
    encode_snapshot,
    restore,
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
    'SuspicionRefuted',
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
    'validate_job',
    'restore',
    'encode_snapshot',
    'team_key',
)
