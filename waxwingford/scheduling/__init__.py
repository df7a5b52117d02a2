"""Scheduling decisions of a shard, free of I/O.

Modules are imported when a name of them is first used: a daemon that does not own
the shard needs few of them.
"""

from waxwingford._lazy import lazy_names

__all__, __getattr__ = lazy_names(
    __name__,
    {
        '_backend_client': (
            'Address',
            'BackendClient',
            'EndKind',
            'EndReport',
            'OrderAccepted',
            'OrderNotSent',
            'OrderOutcome',
            'OrderOutcomeUnknown',
            'OrderRefused',
            'PollOrder',
            'PollOutcome',
            'PollResult',
            'RefusalReason',
            'RunKey',
            'RunningReport',
            'ServerReplaced',
            'StartOrder',
            'TaskKey',
        ),
        '_backlog': (
            'Backlog',
            'Decision',
        ),
        '_engine': (
            'MAX_LEASE_MS',
            'Engine',
        ),
        '_features': (
            'NO_FEATURES',
            'Features',
        ),
        '_incarnations': ('Incarnation',),
        '_job_document': (
            'DocumentFault',
            'decode_job',
        ),
        '_notes': ('Note',),
        '_orders': (
            'Batch',
            'Order',
            'Pace',
            'Start',
            'Stop',
        ),
        '_refusal_times': (
            'needs_room',
            'spread_retry_s',
        ),
        '_lease_withholding': ('take_listed',),
        '_placement_answer': (
            'Candidate',
            'GangReport',
            'PlacementReport',
            'StepReport',
        ),
        '_placement_report': (
            'Moment',
            'explain_placement',
        ),
        '_placement_view': ('PlacementView',),
        '_recovery': ('InheritedLeases',),
        '_room_forecast': ('RoomForecast',),
        '_rows': (
            'ENDED_PREFIX',
            'InvalidSpecError',
            'decode_end',
            'decode_spec',
            'encode_spec',
            'tells_begun',
        ),
        '_spec_checks': (
            'MAX_STEPS',
            'SpecFault',
            'find_fault',
        ),
        '_servers': (
            'Server',
            'ServerEntry',
            'owes_stops',
        ),
        '_specs': (
            'JobSpec',
            'QueueTerms',
            'StepSpec',
            'Terms',
        ),
        '_state': (
            'JobPhase',
            'Run',
            'RunPhase',
        ),
    },
)
