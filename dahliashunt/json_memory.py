"""Memory that parsing a JSON text takes, estimated before it is parsed."""

import re

__all__ = ["MAX_VALUES", "TooManyValues", "parsing_bytes"]

MAX_VALUES = 262_144
"""Most values in a text: over 600 header fields for each of 200 items."""

VALUE_BYTES = 100
"""Memory of an empty array or object, with its place in the one around it."""

COPIES = 2
"""Copies of a text while it is parsed: decoded, and the values of its
members. What is made of them follows when the decoded text is freed."""

WIDE_COPIES = 8
"""The same where a character takes four bytes in all of them."""

_WIDE = re.compile(rb"[\xc4-\xff]|\\u")
"""Characters beyond Latin-1, or an escape, in UTF-8: strings that hold one
take up to four bytes for each character."""


class TooManyValues(ValueError):
    """A text has more than `MAX_VALUES` values."""


def parsing_bytes(text: bytes) -> int:
    """Return the memory that parsing a JSON text takes at most.

    Complexity O(n): counts what may begin a value or a member.

    Raises
    ------
    TooManyValues

    Examples
    --------
    >>> parsing_bytes(b'{"a": [1]}')
    320
    """
    values = sum(text.count(mark) for mark in (b"[", b"{", b",", b":"))
    if values > MAX_VALUES:
        raise TooManyValues(f"more than {MAX_VALUES} values")
    copies = WIDE_COPIES if _WIDE.search(text) else COPIES
    return copies * len(text) + VALUE_BYTES * values
