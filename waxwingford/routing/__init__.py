"""Request path decisions: candidates, limits, retries, at most once."""

from waxwingford.routing._admission import Admission, Admitted, Shed
from waxwingford.routing._desk import Drained, DrainTimedOut, RequestDesk
from waxwingford.routing._evidence import (
    NeverSent,
    NotRunEvidence,
    ServerSaidNotRun,
    refuse,
    turn_away,
)
from waxwingford.routing._keys import KeyMemory
from waxwingford.routing._limits import DeskLimits, ServiceLimits
from waxwingford.routing._messages import (
    Answered,
    HeldServer,
    Outcome,
    PeerView,
    RecallAnswer,
    RecallState,
    Refused,
    Rejected,
    Request,
    Unknown,
    Urgency,
)
from waxwingford.routing._ports import PeerForwarder, RequestMetrics
from waxwingford.routing._retry_budget import RetryBudget
from waxwingford.routing._router import DeskPorts
from waxwingford.routing._slots import Slot, SlotTable
from waxwingford.routing._spill import PeerTable

__all__ = (
    'Admission',
    'Admitted',
    'Answered',
    'DeskLimits',
    'DeskPorts',
    'DrainTimedOut',
    'Drained',
    'HeldServer',
    'KeyMemory',
    'NeverSent',
    'NotRunEvidence',
    'Outcome',
    'PeerForwarder',
    'PeerTable',
    'PeerView',
    'RecallAnswer',
    'RecallState',
    'Refused',
    'Rejected',
    'Request',
    'RequestDesk',
    'RequestMetrics',
    'RetryBudget',
    'ServerSaidNotRun',
    'ServiceLimits',
    'Shed',
    'Slot',
    'SlotTable',
    'Unknown',
    'Urgency',
    'refuse',
    'turn_away',
)
