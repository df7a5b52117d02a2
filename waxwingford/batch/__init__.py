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
    JobRefused,
    JobRejected,
    JobUnknown,
    ReplySubmission,
    SubmissionOutcome,
    WriteSnapshot,
)
from waxwingford.batch._executor import is_too_late
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
    LogAway,
    LogEntries,
    LogRecovered,
    Message,
    ReadGroup,
    ServersReleased,
    SnapshotWritten,
    SubmitJob,
    Tick,
    VmListRead,
)
from waxwingford.batch._reader import read_group
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
    'JobUnknown',
    'JobView',
    'LogAway',
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
    'is_too_late',
    'read_group',
)
