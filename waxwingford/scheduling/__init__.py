"""Scheduling decisions of a shard, free of I/O."""

from waxwingford.scheduling._backend_client import (
    Address,
    BackendClient,
    EndKind,
    EndReport,
    OrderAccepted,
    OrderNotSent,
    OrderOutcome,
    OrderOutcomeUnknown,
    OrderRefused,
    PollOrder,
    PollOutcome,
    PollResult,
    RefusalReason,
    RunKey,
    RunningReport,
    ServerReplaced,
    StartOrder,
    TaskKey,
)
from waxwingford.scheduling._backlog import Backlog, Decision
from waxwingford.scheduling._engine import MAX_LEASE_MS, Engine
from waxwingford.scheduling._incarnations import Incarnation
from waxwingford.scheduling._notes import Note
from waxwingford.scheduling._orders import Batch, Order, Pace, Start, Stop
from waxwingford.scheduling._recovery import InheritedLeases
from waxwingford.scheduling._rows import (
    ENDED_PREFIX,
    decode_end,
    decode_spec,
    encode_spec,
)
from waxwingford.scheduling._servers import Server, ServerEntry
from waxwingford.scheduling._specs import JobSpec, QueueTerms, StepSpec, Terms
from waxwingford.scheduling._state import JobPhase, Run, RunPhase

__all__ = (
    'Address',
    'Backlog',
    'Batch',
    'Decision',
    'ENDED_PREFIX',
    'RefusalReason',
    'EndKind',
    'EndReport',
    'Engine',
    'Incarnation',
    'InheritedLeases',
    'JobPhase',
    'MAX_LEASE_MS',
    'JobSpec',
    'PollOrder',
    'PollOutcome',
    'PollResult',
    'Note',
    'Order',
    'OrderRefused',
    'OrderNotSent',
    'OrderOutcome',
    'OrderAccepted',
    'OrderOutcomeUnknown',
    'Pace',
    'QueueTerms',
    'Run',
    'RunKey',
    'RunPhase',
    'RunningReport',
    'Server',
    'ServerEntry',
    'ServerReplaced',
    'Start',
    'StartOrder',
    'StepSpec',
    'Stop',
    'TaskKey',
    'BackendClient',
    'Terms',
    'decode_end',
    'decode_spec',
    'encode_spec',
)
