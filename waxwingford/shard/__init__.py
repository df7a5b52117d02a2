"""Shards: their stored intake and journal, owner election and queries."""

from waxwingford.shard._frontend import CancelNotKnown, ShardDesk
from waxwingford.shard._intake import (
    Intake,
    IntakeOutcome,
    MayBeStored,
    NotStored,
    Stored,
)
from waxwingford.shard._log_port import (
    Appended,
    AppendElsewhere,
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
    StoreRefused,
    StoreUnknown,
)
from waxwingford.shard._member import ShardMember
from waxwingford.shard._mirror import CatchUp, CaughtUp, Mirror
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
    SchedulerPlatform,
    scheduler_platforms,
)
from waxwingford.shard._server_drivers import ServerDirectory
from waxwingford.shard._ticket_requests import Advised, Advisor, NotAdvised

__all__ = (
    'Advised',
    'Advisor',
    'NotAdvised',
    'AppendElsewhere',
    'AppendFenced',
    'AppendOutOfOrder',
    'AppendOutcome',
    'Appended',
    'CancelNotKnown',
    'CatchUp',
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
    'ServerDirectory',
    'ShardDesk',
    'ShardMember',
    'SharedLog',
    'StoreRefused',
    'StoreUnknown',
    'Stored',
    'StoredRecord',
    'scheduler_platforms',
    'serve_queries',
)
