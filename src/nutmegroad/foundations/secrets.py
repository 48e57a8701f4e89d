"""How secrets are hashed and compared.

Every comparison takes the same time wherever two texts differ, so that
nobody can find a secret out piece by piece.
"""

import hashlib
import hmac


def hash_of(secret: str) -> str:
    """Return what a document keeps of a secret.

    A caller may send what is no text; it has a hash nevertheless.
    """
    content = secret.encode(errors='surrogateescape')
    return hashlib.sha256(content).hexdigest()


def is_same(given: str, known: str) -> bool:
    """Tell whether two texts are the same, in constant time."""
    return hmac.compare_digest(
        given.encode(errors='surrogateescape'),
        known.encode(errors='surrogateescape'),
    )
