"""Fingerprints of request contents.

Hosts use them to recognize a request that arrives again under another id.
"""

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
