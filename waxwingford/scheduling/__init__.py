"""Scheduling decisions of a shard, free of I/O."""

from waxwingford.scheduling._backend_client import (
    Address,
    Denial,
    EndKind,
    EndReport,
    Looked,
    LookOrder,
    LookOutcome,
    OrderDenied,
    OrderNotSent,
    OrderOutcome,
    OrderTaken,
    OrderUnknown,
    RunKey,
    RunningReport,
    ServerReplaced,
    StartOrder,
    TaskKey,
    TaskRunners,
)
from waxwingford.scheduling._engine import Engine
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
    'Batch',
    'ENDED_PREFIX',
    'Denial',
    'EndKind',
    'EndReport',
    'Engine',
    'InheritedLeases',
    'JobPhase',
    'JobSpec',
    'LookOrder',
    'LookOutcome',
    'Looked',
    'Note',
    'Order',
    'OrderDenied',
    'OrderNotSent',
    'OrderOutcome',
    'OrderTaken',
    'OrderUnknown',
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
    'TaskRunners',
    'Terms',
    'decode_end',
    'decode_spec',
    'encode_spec',
)
