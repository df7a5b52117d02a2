"""Packages that import their modules when a name of them is first used."""

import importlib
import sys
from collections.abc import Callable, Mapping


def lazy_names(
    package: str, names_by_module: Mapping[str, tuple[str, ...]]
) -> tuple[tuple[str, ...], Callable[[str], object]]:
    """Make the public names of a package load on demand.

    :param package: dotted name of the package.
    :param names_by_module: public names, by the module that defines them.
    :returns: ``__all__`` and ``__getattr__`` of the package.
    """
    module_by_name = {
        name: module
        for module, names in names_by_module.items()
        for name in names
    }

    def load(name: str) -> object:
        if name not in module_by_name:
            raise AttributeError(
                f'module {package!r} has no attribute {name!r}'
            )
        module = importlib.import_module(f'{package}.{module_by_name[name]}')
        found = getattr(module, name)
        setattr(sys.modules[package], name, found)
        return found

    return tuple(module_by_name), load
