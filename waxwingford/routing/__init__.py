"""Request routing: admission, load balancing, retries, idempotency keys."""

from waxwingford.routing._admission import AdmissionController, Admitted, Shed
from waxwingford.routing._dispatcher import (
    Drained,
    DrainTimedOut,
    RequestDispatcher,
)
from waxwingford.routing._evidence import (
    NeverSent,
    NotExecutedEvidence,
    ReportedNotExecuted,
    refuse,
    refuse_or_unknown,
)
from waxwingford.routing._key_store import KeyStore
from waxwingford.routing._limits import DispatchLimits, ServiceLimits
from waxwingford.routing._messages import (
    Answered,
    KeyLookupAnswer,
    KeyLookupState,
    LeasedServer,
    Outcome,
    PeerView,
    Refused,
    Rejected,
    Request,
    Unknown,
    Urgency,
)
from waxwingford.routing._peer_table import PeerTable
from waxwingford.routing._ports import PeerForwarder, RequestMetrics
from waxwingford.routing._retry_budget import RetryBudget
from waxwingford.routing._router import DispatchPorts
from waxwingford.routing._slots import Slot, SlotTable

__all__ = (
    'AdmissionController',
    'Admitted',
    'Answered',
    'DispatchLimits',
    'DispatchPorts',
    'DrainTimedOut',
    'Drained',
    'LeasedServer',
    'KeyStore',
    'NeverSent',
    'NotExecutedEvidence',
    'Outcome',
    'PeerForwarder',
    'PeerTable',
    'PeerView',
    'KeyLookupAnswer',
    'KeyLookupState',
    'Refused',
    'Rejected',
    'Request',
    'RequestDispatcher',
    'RequestMetrics',
    'RetryBudget',
    'ReportedNotExecuted',
    'ServiceLimits',
    'Shed',
    'Slot',
    'SlotTable',
    'Unknown',
    'Urgency',
    'refuse',
    'refuse_or_unknown',
)
