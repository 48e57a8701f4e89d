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
from typing import NewType

from nutmegroad.fleet.content_fingerprints import (
    DIGEST_BYTES,
    ContentFingerprint,
    format_fingerprint,
    truncate_digest,
)

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
