"""Typed messages to plain data and back."""

from collections.abc import Iterator
from typing import Any

import msgspec

from nutmegroad.peers import Message


def tag_of(kind: type[Message]) -> str:
    """Return the name under which messages of a kind travel."""
    return str(kind.__struct_config__.tag)


def to_plain(message: Message) -> dict[str, Any]:
    """Return a message as plain data, its tag among it."""
    plain: dict[str, Any] = msgspec.to_builtins(message)
    return plain


def from_plain(plain: object, kind: type[Message]) -> Message | None:
    """Return a typed message, or None where the data is not one."""
    try:
        return msgspec.convert(plain, kind)
    except msgspec.ValidationError:
        return None


def plain_tag(plain: object) -> str:
    """Return the name that plain data carries, empty if it has none."""
    tag = plain.get('type') if isinstance(plain, dict) else None
    return tag if isinstance(tag, str) else ''


class Kinds:
    """Finds the kind of message that a name stands for.

    Kinds with a handler come first; a reply needs no handler, so all
    other subclasses of ``Message`` are known by their names too.
    """

    def __init__(self) -> None:
        self._known: dict[str, type[Message]] = {}

    def add(self, kind: type[Message]) -> None:
        """Let the name of a kind stand for it from now on."""
        self._known[tag_of(kind)] = kind

    def decode(self, plain: object) -> Message | None:
        """Return a typed message, or None where the data is not one."""
        kind = self._find(plain_tag(plain))
        return None if kind is None else from_plain(plain, kind)

    def _find(self, tag: str) -> type[Message] | None:
        if tag not in self._known:
            found = {tag_of(kind): kind for kind in _subclasses(Message)}
            self._known = {**found, **self._known}
        return self._known.get(tag)


def _subclasses(kind: type[Message]) -> Iterator[type[Message]]:
    for subclass in kind.__subclasses__():
        yield subclass
        yield from _subclasses(subclass)
