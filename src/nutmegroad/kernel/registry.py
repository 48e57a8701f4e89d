"""The registry of plug-ins, by kind and name.

A plug-in module registers its factory when it is imported. The modules to
import are listed in ``daemon.plugins``.
"""

from collections.abc import Callable
from typing import Any, TypeVar

from nutmegroad.foundations.exceptions import RegistryError

Factory = TypeVar('Factory', bound=Callable[..., Any])

_factories: dict[str, dict[str, Callable[..., Any]]] = {}


def register(kind: str, name: str) -> Callable[[Factory], Factory]:
    """Return a decorator that registers a factory.

    Args:
        kind: The kind of plug-in, such as ``part`` or ``table``.
        name: The name, unique within the kind.

    Raises:
        RegistryError: If the name is already registered.
    """

    def decorate(factory: Factory) -> Factory:
        """Register the factory and return it."""
        named = _factories.setdefault(kind, {})
        if name in named:
            message = (
                f'Plug-in {name!r} of kind {kind!r} is already registered.'
            )
            raise RegistryError(message)
        named[name] = factory
        return factory

    return decorate


def registered(kind: str) -> dict[str, Callable[..., Any]]:
    """Return all factories of a kind, by name."""
    return dict(_factories.get(kind, {}))


def lookup(kind: str, name: str) -> Callable[..., Any]:
    """Return the factory of a plug-in.

    Raises:
        RegistryError: If there is no such plug-in.
    """
    named = _factories.get(kind, {})
    if name in named:
        return named[name]
    choices = ', '.join(sorted(named)) or 'none'
    message = f'No plug-in {name!r} of kind {kind!r}; known are: {choices}.'
    raise RegistryError(message)
