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

__all__ = (
    'BestFitPolicy',
    'EvictAtOncePolicy',
    'LearnedPolicy',
    'LeastLoadedPolicy',
    'RandomPolicy',
)
