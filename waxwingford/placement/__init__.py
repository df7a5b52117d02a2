"""Placement of batch tasks: views, policies' registry, quotas, quarantine."""

from waxwingford.placement._failures import (
    FailureVerdict,
    QuarantineLimits,
    ServerQuarantined,
    TaskStopped,
    TryElsewhere,
)
from waxwingford.placement._fit import (
    NOTHING,
    NeverFits,
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
    'NeverFits',
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
    'TryElsewhere',
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
