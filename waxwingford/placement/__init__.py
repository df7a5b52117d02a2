"""Placement of batch tasks: policy interface, quotas, sizes, quarantine."""

from waxwingford.placement._failures import (
    FailureVerdict,
    QuarantineLimits,
    RetryElsewhere,
    ServerQuarantined,
    TaskStopped,
)
from waxwingford.placement._fit import (
    NOTHING,
    InfeasibleSize,
    add,
    fits,
    free_on,
    largest,
    never_fits,
    smallest,
    subtract,
    total_of,
)
from waxwingford.placement._quarantine import Quarantine
from waxwingford.placement._quotas import QuotaTracker, TeamName
from waxwingford.placement._registry import PolicyFactory, policies
from waxwingford.placement._sizes import SizeTracker
from waxwingford.placement._views import (
    ColocationPolicy,
    Evict,
    PendingTask,
    Placement,
    PolicyWeights,
    Reaction,
    RunningTask,
    ServerView,
    Stop,
    Throttle,
)

__all__ = (
    'NOTHING',
    'ColocationPolicy',
    'Evict',
    'FailureVerdict',
    'InfeasibleSize',
    'PendingTask',
    'Placement',
    'PolicyFactory',
    'PolicyWeights',
    'Quarantine',
    'QuarantineLimits',
    'QuotaTracker',
    'Reaction',
    'RunningTask',
    'ServerQuarantined',
    'ServerView',
    'SizeTracker',
    'Stop',
    'TaskStopped',
    'TeamName',
    'Throttle',
    'RetryElsewhere',
    'add',
    'fits',
    'free_on',
    'largest',
    'never_fits',
    'policies',
    'smallest',
    'subtract',
    'total_of',
)
