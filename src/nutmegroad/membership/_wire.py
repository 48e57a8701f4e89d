"""Typed messages to msgpack streams and back, with limits."""

from collections.abc import Iterator
from typing import Any, Final, TypeVar

import msgpack
import msgspec

from nutmegroad.contracts.peers import Message

#: What an unreadable stream raises from ``msgpack``.
_UNREADABLE: Final = (
    msgpack.exceptions.UnpackException,
    ValueError,
    TypeError,
    OverflowError,
    RecursionError,
)
#: Items that an array or map may announce. The unpacker reserves room for
#: as many at once, so that a few bytes could otherwise claim a gigabyte.
_MOST_ITEMS: Final = 20_000
#: Bytes are carried as they are, not as text.
_AS_THEY_ARE: Final = (bytes,)


Kind = TypeVar('Kind', bound=msgspec.Struct)


class StreamError(Exception):
    """A stream holds what no peer of ours would send."""


class Unpacker:
    """Cuts a stream of bytes into unpacked objects.

    Args:
        most_bytes: Size that one object may have.
        most_items: Items that an array or map may have.
    """

    def __init__(self, most_bytes: int, most_items: int = _MOST_ITEMS) -> None:
        self._unpacker = msgpack.Unpacker(
            max_buffer_size=most_bytes,
            max_array_len=most_items,
            max_map_len=most_items,
            strict_map_key=False,
        )
        self._most_bytes = most_bytes
        self._fed = 0
        self._done = 0

    def feed(self, chunk: bytes) -> Iterator[tuple[object, int]]:
        """Yield each object that is complete now, and its size in bytes.

        Raises:
            StreamError: If the stream is too large or unreadable.
        """
        self._fed += len(chunk)
        try:
            self._unpacker.feed(chunk)
        except _UNREADABLE as error:
            raise StreamError('The message is too large.') from error
        return self._unpack()

    def rest(self, most: int) -> bytes:
        """Return up to ``most`` bytes that were fed but not unpacked."""
        return bytes(self._unpacker.read_bytes(most))

    def _unpack(self) -> Iterator[tuple[object, int]]:
        while True:
            try:
                unpacked = self._unpacker.unpack()
            except msgpack.OutOfData:
                break
            except _UNREADABLE as error:
                raise StreamError('The stream is unreadable.') from error
            size = self._unpacker.tell() - self._done
            self._done += size
            yield unpacked, size
        # The unpacker bounds its buffer only: an array that arrives item
        # by item would grow without end.
        if self._fed - self._done > self._most_bytes:
            raise StreamError('The message is too large.')


def pack(plain: object) -> bytes:
    """Return plain data as msgpack."""
    packed: bytes = msgpack.packb(plain)
    return packed


def as_plain(thing: msgspec.Struct) -> Any:
    """Return a struct as plain data, its tag among it if it has one."""
    return msgspec.to_builtins(thing, builtin_types=_AS_THEY_ARE)


def as_struct(
    plain: object,
    kind: type[Kind],
) -> Kind | None:
    """Return a typed struct, or None where the data is not one."""
    try:
        return msgspec.convert(plain, kind, builtin_types=_AS_THEY_ARE)
    except (msgspec.ValidationError, RecursionError):
        return None


def tag_of(kind: type[Message]) -> str:
    """Return the name under which messages of a kind travel."""
    return str(kind.__struct_config__.tag)


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
        kind = self._find(_plain_tag(plain))
        return None if kind is None else as_struct(plain, kind)

    def _find(self, tag: str) -> type[Message] | None:
        if tag not in self._known:
            found = {tag_of(kind): kind for kind in _subclasses(Message)}
            self._known = {**found, **self._known}
        return self._known.get(tag)


def _plain_tag(plain: object) -> str:
    tag: object = None
    if isinstance(plain, dict):
        tag = plain.get('type')
    elif isinstance(plain, list) and plain:
        tag = plain[0]
    return tag if isinstance(tag, str) else ''


def _subclasses(kind: type[Message]) -> Iterator[type[Message]]:
    for subclass in kind.__subclasses__():
        yield subclass
        yield from _subclasses(subclass)
