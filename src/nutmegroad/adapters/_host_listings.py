"""Decoding of the platform's host list, entry by entry.

Other programs may add entries to the list. One that can't be decoded is left
out, so that it keeps no host from the others.
"""

import re
from collections import deque
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final, TypeVar

from nutmegroad.adapters._platform_bodies import (
    HostEntry,
    ListingBody,
    UpstreamEntry,
)
from nutmegroad.contracts.platform import Listing
from nutmegroad.foundations.decoding import UndecodableError, decode_json

Entry = TypeVar('Entry', HostEntry, UpstreamEntry)
Info = TypeVar('Info')

#: A text, whose brackets count for nothing, or a bracket.
_TOKEN: Final = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)

#: How brackets change the nesting.
_STEPS: Final = MappingProxyType({b'[': 1, b'{': 1, b']': -1, b'}': -1})

#: Nesting of the tokens of the list: its parts, and their entries.
_PART_DEPTH: Final = 1
_ENTRY_DEPTH: Final = 2


@dataclass(frozen=True, slots=True)
class DecodedListing:
    """A host list, and what was left out of it.

    Attributes:
        listing: The entries that could be decoded.
        rejected: Why each of the others could not.
    """

    listing: Listing
    rejected: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class _Token:
    """A text or a bracket of JSON.

    Attributes:
        text: The token.
        start: Its position.
        end: The position after it.
        before: Number of open brackets before it.
        after: Number of open brackets after it.
    """

    text: bytes
    start: int
    end: int
    before: int
    after: int

    def begins(self, depth: int) -> bool:
        """Return whether something begins within ``depth`` brackets."""
        return self.before == depth and self.after > depth

    def ends(self, depth: int) -> bool:
        """Return whether something ends within ``depth`` brackets."""
        return self.after == depth and self.before > depth


def decode_listing(content: bytes) -> DecodedListing:
    """Decode a host list, without the entries that are invalid.

    Raises:
        UndecodableError: If it is no list, or not complete.
    """
    try:
        return DecodedListing(decode_json(content, ListingBody).to_listing())
    except ValueError:
        return _decode_entries(split_entries(content))


def _decode_entries(parts: Mapping[bytes, list[bytes]]) -> DecodedListing:
    """Decode the entries of each part that are valid."""
    rejected: list[str] = []
    hosts = _decode(
        parts.get(b'"hosts"', ()), HostEntry, HostEntry.to_host, rejected
    )
    upstreams = _decode(
        parts.get(b'"upstreams"', ()),
        UpstreamEntry,
        UpstreamEntry.to_upstream,
        rejected,
    )
    return DecodedListing(Listing(hosts, upstreams), tuple(rejected))


def split_entries(content: bytes) -> dict[bytes, list[bytes]]:
    """Split the JSON of a list into its entries, which may be invalid.

    A decoder fails at the whole document if one entry is nested too deeply, or
    holds text that is not valid Unicode.

    Returns:
        The entries by the name of their part, as a JSON text.

    Raises:
        UndecodableError: If it is no list, or not complete.
    """
    parts: dict[bytes, list[bytes]] = {}
    part = b''
    began = 0
    for token in _tokens(content):
        if token.before == token.after == _PART_DEPTH:
            part = token.text
        elif token.begins(_ENTRY_DEPTH):
            began = token.start
        elif token.ends(_ENTRY_DEPTH):
            parts.setdefault(part, []).append(content[began : token.end])
    if not _is_complete(content):
        raise UndecodableError('no complete list of hosts and upstreams')
    return parts


def _is_complete(content: bytes) -> bool:
    """Return whether JSON is an object whose brackets are all closed."""
    last = deque(_tokens(content), maxlen=1)
    return content.startswith(b'{') and bool(last) and not last[0].after


def _tokens(content: bytes) -> Iterator[_Token]:
    """Yield the texts and brackets of JSON."""
    depth = 0
    for found in _TOKEN.finditer(content):
        text = found.group()
        after = depth + _STEPS.get(text, 0)
        yield _Token(text, found.start(), found.end(), depth, after)
        depth = after


def _decode(
    entries: Iterable[bytes],
    kind: type[Entry],
    convert: Callable[[Entry], Info],
    rejected: list[str],
) -> tuple[Info, ...]:
    """Decode entries, and add to ``rejected`` why one could not be."""
    decoded = []
    for entry in entries:
        try:
            decoded.append(convert(decode_json(entry, kind)))
        except ValueError as problem:
            rejected.append(f'{kind.__name__}: {problem}')
    return tuple(decoded)
