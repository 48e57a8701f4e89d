"""Hashing and comparison of secrets.

Comparisons take the same time wherever two texts differ, so that a secret
cannot be guessed piece by piece from response times.
"""

import hashlib
import hmac


def hash_secret(secret: str) -> str:
    """Return the SHA-256 hash of a secret, as documents store it.

    A secret that is not valid text, as a caller may send it, has a hash too.
    """
    content = secret.encode(errors='surrogateescape')
    return hashlib.sha256(content).hexdigest()


def secrets_equal(given: str, known: str) -> bool:
    """Return whether two texts are equal, in constant time."""
    return hmac.compare_digest(
        given.encode(errors='surrogateescape'),
        known.encode(errors='surrogateescape'),
    )
