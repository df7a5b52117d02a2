"""Colocation policies: learned interference, and baselines to compare with.

Importing this package registers them in ``placement.policies``.
"""

from waxwingford.colocation._baselines import (
    BestFitPolicy,
    EvictAtOncePolicy,
    LeastLoadedPolicy,
    RandomPolicy,
)
from waxwingford.colocation._learned import LearnedPolicy
from waxwingford.colocation._mechanisms import Mechanisms

__all__ = (
    'BestFitPolicy',
    'EvictAtOncePolicy',
    'LearnedPolicy',
    'LeastLoadedPolicy',
    'Mechanisms',
    'RandomPolicy',
)
