"""Shards: their stored intake and journal, owner election and queries."""

from waxwingford.shard._frontend import CancelNotKnown, ShardFrontend
from waxwingford.shard._intake import (
    Intake,
    IntakeOutcome,
    MayBeStored,
    NotStored,
    Stored,
)
from waxwingford.shard._log_port import (
    Appended,
    AppendEndMismatch,
    AppendFenced,
    AppendOutcome,
    AppendOutOfOrder,
    Fence,
    KeyedRecord,
    NewestOutcome,
    NewestPage,
    ReadOutcome,
    RecordsExpired,
    RecordsRead,
    SharedLog,
    StoredRecord,
    StoreOutcomeUnknown,
    StoreRefused,
)
from waxwingford.shard._member import ShardMember
from waxwingford.shard._mirror import CatchUpOutcome, CaughtUp, Mirror
from waxwingford.shard._observer import Observer
from waxwingford.shard._owner import Owner, OwnerPorts, OwnerSettings
from waxwingford.shard._peers import (
    JobAnswer,
    JobKnown,
    JobNotKnown,
    NotAnswered,
    OwnerLink,
    serve_queries,
)
from waxwingford.shard._platform_port import (
    CallTraffic,
    SchedulerPlatform,
    scheduler_platforms,
)
from waxwingford.shard._server_drivers import RegistrationSource
from waxwingford.shard._ticket_requests import (
    AdviceClient,
    TicketsIssued,
    TicketsUnavailable,
)

__all__ = (
    'CallTraffic',
    'TicketsIssued',
    'AdviceClient',
    'TicketsUnavailable',
    'AppendEndMismatch',
    'AppendFenced',
    'AppendOutOfOrder',
    'AppendOutcome',
    'Appended',
    'CancelNotKnown',
    'CatchUpOutcome',
    'CaughtUp',
    'Fence',
    'Intake',
    'IntakeOutcome',
    'JobAnswer',
    'JobKnown',
    'JobNotKnown',
    'KeyedRecord',
    'MayBeStored',
    'Mirror',
    'NewestOutcome',
    'NewestPage',
    'NotAnswered',
    'NotStored',
    'Observer',
    'Owner',
    'OwnerLink',
    'OwnerPorts',
    'OwnerSettings',
    'ReadOutcome',
    'RecordsExpired',
    'RecordsRead',
    'SchedulerPlatform',
    'RegistrationSource',
    'ShardFrontend',
    'ShardMember',
    'SharedLog',
    'StoreRefused',
    'StoreOutcomeUnknown',
    'Stored',
    'StoredRecord',
    'scheduler_platforms',
    'serve_queries',
)
