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
from waxwingford.colocation._model import InterferenceModel, Setting, Term

__all__ = (
    'BestFitPolicy',
    'EvictAtOncePolicy',
    'InterferenceModel',
    'LearnedPolicy',
    'LeastLoadedPolicy',
    'Mechanisms',
    'RandomPolicy',
    'Setting',
    'Term',
)
