"""Digests of API keys, under which callers are looked up."""

import hashlib

__all__ = ["DIGEST_BYTES", "key_digest"]

DIGEST_BYTES = 16
"""Of SHA-256: as safe from chance as the long random key itself."""


def key_digest(key: str) -> bytes:
    """Return the digest of an API key.

    Examples
    --------
    >>> len(key_digest("secret")) == DIGEST_BYTES
    True
    """
    return hashlib.sha256(key.encode()).digest()[:DIGEST_BYTES]
