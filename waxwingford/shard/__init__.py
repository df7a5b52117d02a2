"""Shards: their stored intake and journal, owner election and queries.

Modules are imported when a name of them is first used: a daemon that does not own
the shard needs few of them.
"""

from waxwingford._lazy import lazy_names

__all__, __getattr__ = lazy_names(
    __name__,
    {
        '_advice_port': (
            'AdviceClient',
            'TicketsIssued',
            'TicketsUnavailable',
        ),
        '_frontend': (
            'CancelNotKnown',
            'ShardFrontend',
        ),
        '_intake': (
            'Intake',
            'IntakeOutcome',
            'JobInvalid',
            'MayBeStored',
            'NotStored',
            'RowRejected',
            'Stored',
        ),
        '_job_answers': (
            'JobAnswer',
            'JobKnown',
            'JobNotKnown',
            'NotAnswered',
        ),
        '_log_port': (
            'Appended',
            'AppendEndMismatch',
            'AppendFenced',
            'AppendOutcome',
            'AppendOutOfOrder',
            'AppendRejected',
            'Fence',
            'KeyedRecord',
            'LogLimits',
            'NewestOutcome',
            'NewestPage',
            'ReadOutcome',
            'RecordsExpired',
            'RecordsRead',
            'SharedLog',
            'StoredRecord',
            'StoreOutcomeUnknown',
            'StoreRefused',
        ),
        '_member': ('ShardMember',),
        '_mirror': (
            'CatchUpOutcome',
            'CaughtUp',
            'Mirror',
        ),
        '_observer': ('Observer',),
        '_owner': ('Owner',),
        '_owner_ports': ('OwnerPorts', 'OwnerSettings'),
        '_owner_link': ('OwnerLink',),
        '_peers': ('serve_queries',),
        '_platform_port': (
            'CallTraffic',
            'SchedulerPlatform',
            'scheduler_platforms',
        ),
        '_registration_port': ('RegistrationSource',),
        '_supervision': ('ErrorReport', 'Supervisor'),
    },
)
