"""Registry of colocation policies; the bundle selects the active one."""

from collections.abc import Callable, Mapping

from waxwingford.kernel import Registry
from waxwingford.placement._views import ColocationPolicy, PolicyWeights

PolicyFactory = Callable[[Mapping[str, PolicyWeights], int], ColocationPolicy]

#: Policy factories by name; they take the weights by service and a seed.
policies: Registry[PolicyFactory] = Registry('colocation policy')
