"""Marks of what requests contain, by which hosts know one that comes again."""

from hashlib import blake2b
from typing import Final, NewType

#: 63 bits that stand for a request's caller, path and body, whatever its id.
#: Callers can't make one that is another caller's, so nobody can get a
#: stranger's requests refused.
ContentMark = NewType('ContentMark', int)

_BYTES: Final = 8
#: One bit less than they have, so that a signed integer can hold it.
_POSITIVE: Final = 0x7FFFFFFFFFFFFFFF


def mark_content(caller: str, target: bytes, body: bytes) -> ContentMark:
    """Return the mark of a request.

    Args:
        caller: Whose it is, and of which host; unlike for each caller.
        target: Path and query.
        body: The whole body.
    """
    digest = blake2b(digest_size=_BYTES)
    for part in (caller.encode(), target):
        # Its length first, so that no part can look like the end of another.
        digest.update(len(part).to_bytes(_BYTES, 'big'))
        digest.update(part)
    digest.update(body)
    return ContentMark(int.from_bytes(digest.digest(), 'big') & _POSITIVE)


def spell_mark(mark: ContentMark) -> str:
    """Return a mark as logs show it."""
    return f'{mark:016x}'
