"""Decoding of documents that other programs have written.

A decoder reports malformed input by several exceptions: besides its own, deep
nesting is a ``RecursionError`` and a number that has no native representation
an ``OverflowError``. A reader that expects only some of them fails at the
others. Here, all of them become one.
"""

from ipaddress import IPv4Address
from typing import Annotated, Final, Generic, Protocol, TypeVar

import msgspec
from msgspec import Meta

Decoded = TypeVar('Decoded')
_Decoded = TypeVar('_Decoded', covariant=True)

#: Exceptions with which the decoders of libraries reject their input.
DECODER_ERRORS: Final = (
    msgspec.DecodeError,
    ValueError,
    TypeError,
    OverflowError,
    RecursionError,
)

#: Largest integer of 64 bits with a sign. A larger one can't be encoded again,
#: and a far larger one not be converted to a floating-point number.
MAX_INTEGER: Final = 9_223_372_036_854_775_807

#: Largest real number: up to it, floating-point numbers are exact.
MAX_REAL: Final = 9_007_199_254_740_992.0

#: Longest duration in seconds of a document: a year. The event loop can't wait
#: for all that a floating-point number can express.
MAX_DURATION: Final = 31_536_000.0

_MS_PER_SECOND: Final = 1000

MAX_PORT: Final = 65_535

#: A number of things, or a position that only grows.
Count = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]

#: An integer of either sign.
Number = Annotated[int, Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]

#: A real number of either sign; neither infinite nor NaN.
Measure = Annotated[float, Meta(ge=-MAX_REAL, le=MAX_REAL)]

#: A fraction or weight without a limit of its own.
Amount = Annotated[float, Meta(ge=0, le=MAX_REAL)]

#: A duration in seconds.
Seconds = Annotated[float, Meta(ge=0, le=MAX_DURATION)]

#: A duration in milliseconds.
Milliseconds = Annotated[float, Meta(ge=0, le=MAX_DURATION * _MS_PER_SECOND)]

#: Range of fingerprints and other numbers that only identify something.
IDENTIFIER: Final = Meta(ge=0, le=MAX_INTEGER)

Port = Annotated[int, Meta(ge=1, le=MAX_PORT)]


class UndecodableError(ValueError):
    """A document that is not valid, or not of the expected type."""


def decode_json(content: bytes | str, kind: type[Decoded]) -> Decoded:
    """Decode a JSON document.

    Raises:
        UndecodableError: If it is not valid or not of the type.
    """
    try:
        return msgspec.json.decode(content, type=kind)
    except DECODER_ERRORS as error:
        raise undecodable(error) from error


def decode_msgpack(content: bytes, kind: type[Decoded]) -> Decoded:
    """Decode a msgpack document.

    Raises:
        UndecodableError: If it is not valid or not of the type.
    """
    try:
        return msgspec.msgpack.decode(content, type=kind)
    except DECODER_ERRORS as error:
        raise undecodable(error) from error


class _Decoder(Protocol[_Decoded]):
    """A decoder of msgspec, which keeps what it knows of its type."""

    def decode(self, content: bytes, /) -> _Decoded:
        """Decode a document."""


class MessageDecoder(Generic[Decoded]):
    """Decodes many documents of one type, or of a union of types.

    Args:
        decoder: The library's decoder of the type.
    """

    def __init__(self, decoder: _Decoder[Decoded]) -> None:
        self._decoder = decoder

    def decode(self, content: bytes) -> Decoded:
        """Decode a document.

        Raises:
            UndecodableError: If it is not valid or not of the type.
        """
        try:
            return self._decoder.decode(content)
        except DECODER_ERRORS as error:
            raise undecodable(error) from error


def is_host_ip(text: str) -> bool:
    """Return whether a text is an IPv4 address that one machine can have.

    The unspecified address would be that of the connecting machine itself.
    """
    try:
        address = IPv4Address(text)
    except ValueError:
        return False
    return not (
        address.is_unspecified or address.is_multicast or address.is_reserved
    )


def undecodable(error: BaseException) -> UndecodableError:
    """Return the error for an exception of a decoder."""
    if isinstance(error, RecursionError):
        return UndecodableError('document is nested too deeply')
    return UndecodableError(str(error) or type(error).__name__)
