"""Attributes of requests to which crashes of upstreams may be due.

What crashes an upstream is not always the request as a whole. It may be a part
of its prompt, its body whoever sends it, its session, or its size. Crashes are
therefore recorded for each attribute, so that requests which have the cause in
common add up although no two of them are alike.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum, unique
from hashlib import blake2b
from typing import Final, NewType

#: 63-bit fingerprint of a request's caller, path and body; the request id is
#: not part of it. A caller can't produce the fingerprint of another caller's
#: request, so nobody can get somebody else's requests refused.
ContentFingerprint = NewType('ContentFingerprint', int)

#: Size of the digest that a fingerprint is made of.
DIGEST_BYTES: Final = 8
#: Drops the top bit, so that the fingerprint fits a signed 64-bit integer.
_POSITIVE: Final = 0x7FFFFFFFFFFFFFFF

#: 63-bit fingerprint of an attribute and its value.
AttributeFingerprint = NewType('AttributeFingerprint', int)


@unique
class Scope(IntEnum):
    """How many requests have an attribute in common."""

    #: One request and its repeats.
    REQUEST = 0
    #: Some requests: those with the same part, body or session.
    SHARED = 1
    #: A large fraction of all requests.
    BROAD = 2


@dataclass(frozen=True, slots=True)
class Attribute:
    """An attribute of a request, with its value.

    Attributes:
        fingerprint: Its fingerprint.
        scope: How many requests have it in common.
        label: Kind and value, for logs and refusals.
    """

    fingerprint: AttributeFingerprint
    scope: Scope
    label: str


#: The attributes of one request.
RequestAttributes = tuple[Attribute, ...]


def fingerprint_content(
    caller: str, target: bytes, body: bytes
) -> ContentFingerprint:
    """Return the fingerprint of a request.

    Args:
        caller: Caller and workspace of the request; differs between callers.
        target: Path and query.
        body: The complete body.
    """
    digest = blake2b(digest_size=DIGEST_BYTES)
    for part in (caller.encode(), target):
        # The length prefix keeps the end of one part from being read as the
        # start of the next.
        digest.update(len(part).to_bytes(DIGEST_BYTES, 'big'))
        digest.update(part)
    digest.update(body)
    return ContentFingerprint(truncate_digest(digest.digest()))


def truncate_digest(digest: bytes) -> int:
    """Return the 63-bit fingerprint of a digest of eight bytes."""
    return int.from_bytes(digest, 'big') & _POSITIVE


def format_fingerprint(fingerprint: int) -> str:
    """Return a fingerprint as 16 hexadecimal digits, as logs show it."""
    return f'{fingerprint:016x}'


def content_attribute(content: ContentFingerprint) -> Attribute:
    """Return the attribute that a request shares with its repeats only."""
    return Attribute(
        AttributeFingerprint(content),
        Scope.REQUEST,
        f'content {format_fingerprint(content)}',
    )


def shared_attributes(kind: str, names: Iterable[str]) -> RequestAttributes:
    """Return an attribute for each value that other requests may have.

    Args:
        kind: Kind of the attribute, for example ``part``.
        names: Its values.
    """
    return tuple(_make(kind, name, Scope.SHARED) for name in names)


def broad_attributes(**names: str) -> RequestAttributes:
    """Return an attribute for each value that many requests have.

    Args:
        names: The values by kind; empty ones are left out.
    """
    return tuple(
        _make(kind, name, Scope.BROAD) for kind, name in names.items() if name
    )


def size_range(size: int) -> str:
    """Return the range of sizes, within a factor of two, that a size is in."""
    return f'2^{size.bit_length()}'


def digest_body(target: str, body: bytes) -> str:
    """Return a digest of a body, whoever sends it.

    Args:
        target: Method, path and query, or the task.
        body: The body.
    """
    digest = blake2b(
        target.encode('utf-8', 'surrogateescape'), digest_size=DIGEST_BYTES
    )
    # The separator can't be part of a target.
    digest.update(b'\0')
    digest.update(body)
    return digest.hexdigest()


def _make(kind: str, text: str, scope: Scope) -> Attribute:
    """Return an attribute."""
    label = f'{kind} {text}'
    content = label.encode('utf-8', 'surrogateescape')
    digest = blake2b(content, digest_size=DIGEST_BYTES).digest()
    fingerprint = AttributeFingerprint(truncate_digest(digest))
    return Attribute(fingerprint, scope, label)
