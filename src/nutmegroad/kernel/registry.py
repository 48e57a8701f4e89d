"""Where plug-ins register themselves, by kind and name.

A plug-in module registers its factory when it is imported; the list of
modules to import is in ``plugins``. Adding a plug-in is one new module.
"""

from collections.abc import Callable
from typing import Any, TypeVar

from nutmegroad.foundations.exceptions import RegistryError

Factory = TypeVar('Factory', bound=Callable[..., Any])

_factories: dict[str, dict[str, Callable[..., Any]]] = {}


def register(kind: str, name: str) -> Callable[[Factory], Factory]:
    """Return a decorator that registers a factory.

    Args:
        kind: What it makes, such as ``part`` or ``table``.
        name: Its name, unique among its kind.

    Raises:
        RegistryError: If the name is taken by another factory.
    """

    def decorate(factory: Factory) -> Factory:
        """Put the factory into the registry."""
        named = _factories.setdefault(kind, {})
        if name in named:
            message = f'There are two plug-ins {name!r} of kind {kind!r}.'
            raise RegistryError(message)
        named[name] = factory
        return factory

    return decorate


def registered(kind: str) -> dict[str, Callable[..., Any]]:
    """Return the factories of a kind by name."""
    return dict(_factories.get(kind, {}))


def lookup(kind: str, name: str) -> Callable[..., Any]:
    """Return one factory.

    Raises:
        RegistryError: If there is none of that name.
    """
    named = _factories.get(kind, {})
    if name in named:
        return named[name]
    choices = ', '.join(sorted(named)) or 'none'
    message = f'There is no plug-in {name!r} of kind {kind!r}; {choices}.'
    raise RegistryError(message)
