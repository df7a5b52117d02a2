"""Batch jobs: admission, placement and control of their attempts."""

from waxwingford.batch._controller import DomainController
from waxwingford.batch._effects import (
    Append,
    Control,
    Drained,
    Effect,
    EmitEvent,
    JobAcceptedOutcome,
    JobCancelledOutcome,
    JobOutcomeUnknown,
    JobRefused,
    JobRejected,
    ReplySubmission,
    SubmissionOutcome,
    WriteSnapshot,
)
from waxwingford.batch._executor import is_expired
from waxwingford.batch._first_fit import FirstFit
from waxwingford.batch._messages import (
    AliveDaemons,
    AppendResult,
    BundleSettings,
    BusyShares,
    CancelJob,
    ControlResult,
    Drain,
    EvictTask,
    LogEntries,
    LogReadFailed,
    LogRecovered,
    Message,
    ReadGroup,
    ServersReleased,
    SnapshotWritten,
    SubmitJob,
    Tick,
    VmListRead,
)
from waxwingford.batch._reader import decode_entry
from waxwingford.batch._settings import BatchSettings
from waxwingford.batch._shell import BatchTask
from waxwingford.batch._status import ServerStatus, TaskCounts
from waxwingford.batch._views import JobView, TaskView

__all__ = (
    'AliveDaemons',
    'Append',
    'AppendResult',
    'BatchSettings',
    'BatchTask',
    'BundleSettings',
    'BusyShares',
    'CancelJob',
    'Control',
    'ControlResult',
    'DomainController',
    'Drain',
    'Drained',
    'Effect',
    'EvictTask',
    'FirstFit',
    'JobAcceptedOutcome',
    'JobCancelledOutcome',
    'JobRefused',
    'JobRejected',
    'JobOutcomeUnknown',
    'JobView',
    'LogReadFailed',
    'LogRecovered',
    'LogEntries',
    'Message',
    'EmitEvent',
    'ReadGroup',
    'ReplySubmission',
    'ServerStatus',
    'ServersReleased',
    'SnapshotWritten',
    'SubmissionOutcome',
    'SubmitJob',
    'TaskCounts',
    'TaskView',
    'Tick',
    'VmListRead',
    'WriteSnapshot',
    'is_expired',
    'decode_entry',
)
