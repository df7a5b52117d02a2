"""Registry of plug-ins by name."""

import importlib
from collections.abc import Callable, Iterable
from typing import Generic, TypeVar

Plugin = TypeVar('Plugin')


class UnknownPlugin(KeyError):
    """No plug-in is registered under the name."""


class Registry(Generic[Plugin]):
    """Plug-ins of one kind, by name."""

    def __init__(self, kind: str) -> None:
        """Initialize an empty registry.

        :param kind: kind of plug-in for error messages, for example
            ``placement policy``.
        """
        self._kind = kind
        self._plugin_by_name: dict[str, Plugin] = {}

    def register(self, name: str) -> Callable[[Plugin], Plugin]:
        """Return a decorator that registers a plug-in.

        :param name: name of the plug-in in bundles and settings.
        :returns: decorator that returns the plug-in unchanged.
        :raises ValueError: by the decorator, if the name is already registered.
        """

        def _register(plugin: Plugin) -> Plugin:
            if name in self._plugin_by_name:
                raise ValueError(f'{self._kind} {name!r} is already registered')
            self._plugin_by_name[name] = plugin
            return plugin

        return _register

    def get(self, name: str) -> Plugin:
        """Look up a plug-in.

        :raises UnknownPlugin: if the name is not registered; the message lists
            the registered names.
        """
        if name not in self._plugin_by_name:
            known = ', '.join(sorted(self._plugin_by_name))
            raise UnknownPlugin(f'{self._kind} {name!r}; known: {known}')
        return self._plugin_by_name[name]

    def names(self) -> list[str]:
        """List the registered names.

        :returns: names in alphabetical order.
        """
        return sorted(self._plugin_by_name)


def load_plugins(modules: Iterable[str]) -> None:
    """Import modules that register plug-ins.

    :param modules: dotted module names.
    """
    for module in modules:
        importlib.import_module(module)
