"""Placement of batch tasks: policy interface, quotas, sizes, quarantine."""

from waxwingford.placement._failures import (
    FailureVerdict,
    QuarantineLimits,
    RetryElsewhere,
    ServerQuarantined,
    TaskStopped,
)
from waxwingford.placement._fit import (
    NO_RESOURCES,
    InfeasibleSize,
    add,
    check_feasibility,
    fits,
    free_resources,
    largest,
    smallest,
    subtract,
    sum_resources,
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
    'NO_RESOURCES',
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
    'free_resources',
    'largest',
    'check_feasibility',
    'policies',
    'smallest',
    'subtract',
    'sum_resources',
)
