"""Colocation policies: a learned interference model and baselines.

Importing this package registers the policies in ``placement.policies``.
"""

from waxwingford.colocation._baselines import (
    BestFitPolicy,
    EvictAtOncePolicy,
    LeastLoadedPolicy,
    RandomPolicy,
)
from waxwingford.colocation._learned import LearnedPolicy
from waxwingford.colocation._mechanisms import Mechanisms
from waxwingford.colocation._model import InterferenceModel, Term, WorkloadMix

__all__ = (
    'BestFitPolicy',
    'EvictAtOncePolicy',
    'InterferenceModel',
    'LearnedPolicy',
    'LeastLoadedPolicy',
    'Mechanisms',
    'RandomPolicy',
    'WorkloadMix',
    'Term',
)
