"""Encodes typed messages as msgpack streams and decodes them, with limits."""

from collections.abc import Iterator
from typing import Any, Final, TypeVar

import msgpack
import msgspec

from nutmegroad.contracts.peers import Message

#: Exceptions that ``msgpack`` raises for an invalid stream.
_UNPACK_ERRORS: Final = (
    msgpack.exceptions.UnpackException,
    ValueError,
    TypeError,
    OverflowError,
    RecursionError,
)
#: Maximum items that an array or map may announce. The unpacker reserves
#: memory for all of them in advance, so that a few bytes could otherwise claim
#: a gigabyte.
_MAX_ITEMS: Final = 20_000
#: Types that msgpack carries natively; bytes are not encoded as text.
_NATIVE_TYPES: Final = (bytes,)


Kind = TypeVar('Kind', bound=msgspec.Struct)


class StreamError(Exception):
    """A stream contains data that no valid peer sends."""


class Unpacker:
    """Splits a stream of bytes into unpacked objects.

    Args:
        max_bytes: Maximum size of one object.
        max_items: Maximum items of an array or map.
    """

    def __init__(self, max_bytes: int, max_items: int = _MAX_ITEMS) -> None:
        self._unpacker = msgpack.Unpacker(
            max_buffer_size=max_bytes,
            max_array_len=max_items,
            max_map_len=max_items,
            strict_map_key=False,
        )
        self._max_bytes = max_bytes
        self._fed_bytes = 0
        self._unpacked_bytes = 0

    def feed(self, chunk: bytes) -> Iterator[tuple[object, int]]:
        """Yield each object that is complete, and its size in bytes.

        Raises:
            StreamError: If the stream is invalid or an object is too large.
        """
        self._fed_bytes += len(chunk)
        try:
            self._unpacker.feed(chunk)
        except _UNPACK_ERRORS as error:
            message = f'Buffered data exceeds {self._max_bytes} bytes.'
            raise StreamError(message) from error
        return self._unpack()

    def take_remaining(self, limit: int) -> bytes:
        """Return up to ``limit`` bytes that were fed but not unpacked."""
        return bytes(self._unpacker.read_bytes(limit))

    def _unpack(self) -> Iterator[tuple[object, int]]:
        while True:
            try:
                unpacked = self._unpacker.unpack()
            except msgpack.OutOfData:
                break
            except _UNPACK_ERRORS as error:
                raise StreamError('The stream is not valid msgpack.') from error
            size = self._unpacker.tell() - self._unpacked_bytes
            self._unpacked_bytes += size
            yield unpacked, size
        # The unpacker limits its buffer only; an array that arrives item by
        # item would grow without limit.
        if self._fed_bytes - self._unpacked_bytes > self._max_bytes:
            message = f'An object exceeds {self._max_bytes} bytes.'
            raise StreamError(message)


def pack(plain: object) -> bytes:
    """Serialise plain data as msgpack."""
    packed: bytes = msgpack.packb(plain)
    return packed


def as_plain(struct: msgspec.Struct) -> Any:
    """Convert a struct to plain data, including its tag if any."""
    return msgspec.to_builtins(struct, builtin_types=_NATIVE_TYPES)


def as_struct(
    plain: object,
    kind: type[Kind],
) -> Kind | None:
    """Convert plain data to a struct; None if it does not match."""
    try:
        return msgspec.convert(plain, kind, builtin_types=_NATIVE_TYPES)
    except (msgspec.ValidationError, RecursionError):
        return None


def tag_of(kind: type[Message]) -> str:
    """Return the tag that identifies a message type in the stream."""
    return str(kind.__struct_config__.tag)


class MessageTypes:
    """Message types by their tags.

    Types with a handler take precedence; replies need no handler, so all other
    subclasses of ``Message`` are found by their tags too.
    """

    def __init__(self) -> None:
        self._types_by_tag: dict[str, type[Message]] = {}

    def add(self, kind: type[Message]) -> None:
        """Register a message type."""
        self._types_by_tag[tag_of(kind)] = kind

    def decode(self, plain: object) -> Message | None:
        """Decode a message; None if its type or content is invalid."""
        kind = self._find_type(_plain_tag(plain))
        return None if kind is None else as_struct(plain, kind)

    def _find_type(self, tag: str) -> type[Message] | None:
        if tag not in self._types_by_tag:
            discovered = {tag_of(kind): kind for kind in _subclasses(Message)}
            self._types_by_tag = {**discovered, **self._types_by_tag}
        return self._types_by_tag.get(tag)


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
