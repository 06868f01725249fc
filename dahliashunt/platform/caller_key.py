"""The key in a caller's request."""

from dahliashunt.platform.names import AUTHORIZATION
from dahliashunt.platform.names import KEY_SCHEME
from dahliashunt.platform.names import WHITESPACE

__all__ = ["caller_key", "is_sendable"]


def caller_key(headers: dict[str, str]) -> str | None:
    """Return the key in the Authorization header, or None."""
    scheme, _, key = headers.get(AUTHORIZATION, "").partition(" ")
    if scheme.lower() != KEY_SCHEME.lower():
        return None
    return key.strip(WHITESPACE)


def is_sendable(key: str) -> bool:
    r"""Return whether a request can carry `key`.

    An empty key is none: a request with the scheme alone would have it.

    Examples
    --------
    >>> [is_sendable(key) for key in ("k-1", "", " k", "a\nb", "\u20ac")]
    [True, False, False, False, False]
    """
    if not key or not key.isprintable():
        return False
    if not key.isascii() and max(key) > "\u00ff":
        return False
    return caller_key({AUTHORIZATION: f"{KEY_SCHEME} {key}"}) == key
