"""Checked reading of JSON values that another process has written.

`json.loads` accepts NaN and Infinity, integers of any length and strings with
lone surrogates, and it raises `RecursionError` on deep nesting. Later uses of
such values raise errors of other types, far from the row they came from. The
functions here raise only errors in `FIELD_ERRORS`.

No message quotes a value: its text may be long, and `repr` of a value that is
nested deeply raises `RecursionError` itself.
"""

import json
import re

__all__ = [
    "FIELD_ERRORS",
    "MAX_WHOLE",
    "digits_field",
    "header_field",
    "list_field",
    "parse_json",
    "text_field",
    "text_or_empty",
    "whole_field",
]

FIELD_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    TypeError,
    ValueError,
)
"""Types of the errors that a value of another type or range causes."""

_NO_HEADER = re.compile(r"[^\t -~\x80-\xff]")

MAX_WHOLE = 2**53
"""Largest absolute value of a number: JSON writers that keep numbers as
floats are exact up to it, and it fits into the 64 bits of a datagram."""


def parse_json(text: str | bytes, object_pairs_hook=None):
    """Return the value in `text`; raise `ValueError` if it can't be parsed.

    `object_pairs_hook` is that of `json.loads`.

    Examples
    --------
    >>> parse_json("[" * 100_000)
    Traceback (most recent call last):
    ValueError: the JSON text is nested too deeply
    """
    try:
        return json.loads(text, object_pairs_hook=object_pairs_hook)
    except RecursionError:
        raise ValueError("the JSON text is nested too deeply") from None


def digits_field(text: str) -> int | None:
    r"""Return the number in `text`, `MAX_WHOLE` at most; None without one.

    `str.isdigit` accepts characters that `int` rejects, and `int` rejects
    thousands of digits.

    Examples
    --------
    >>> digits_field("12"), digits_field("-1"), digits_field("\xb2")
    (12, None, None)
    """
    if not (text.isascii() and text.isdigit()):
        return None
    is_long = len(text) > len(str(MAX_WHOLE))
    return MAX_WHOLE if is_long else min(int(text), MAX_WHOLE)


def text_field(value) -> str:
    """Return a string that UTF-8 can encode.

    Raises
    ------
    TypeError, ValueError
        The value is no string, or has a lone surrogate.
    """
    if not isinstance(value, str):
        raise TypeError(f"expected a string, got {type(value).__name__}")
    value.encode()
    return value


def text_or_empty(value) -> str:
    """Return a string that UTF-8 can encode; "" for any other value."""
    try:
        return text_field(value)
    except (TypeError, ValueError):
        return ""


def header_field(value) -> str:
    """Return a string that may be the value of a header.

    Another one would add headers or requests to those that are sent on a
    connection, or raise an error once a replica was chosen.

    Raises
    ------
    TypeError, ValueError
        The value is no string, or has a control character or one that
        Latin-1 has not.
    """
    if _NO_HEADER.search(text_field(value)):
        raise ValueError("expected a string that a header can hold")
    return value


def list_field(value) -> list:
    """Return a list; raise `TypeError` for any other value."""
    if not isinstance(value, list):
        raise TypeError(f"expected a list, got {type(value).__name__}")
    return value


def whole_field(value, least: int = 0, most: int = MAX_WHOLE) -> int:
    """Return a whole number from `least` to `most`.

    A float without a fraction counts, since some writers have no integers.

    Raises
    ------
    TypeError, ValueError
        The value is no number, or another one.

    Examples
    --------
    >>> whole_field(8.0)
    8
    >>> whole_field(float("nan"))
    Traceback (most recent call last):
    ValueError: expected a whole number from 0 to 9007199254740992
    """
    if type(value) not in (int, float):
        raise TypeError(f"expected a number, got {type(value).__name__}")
    # A comparison with NaN is false.
    if not (least <= value <= most and value == int(value)):
        raise ValueError(f"expected a whole number from {least} to {most}")
    return int(value)
