"""What a check of a configuration reports."""

from dataclasses import dataclass
import enum

from dahliashunt.field_rules import MISSING
from dahliashunt.field_rules import Path

__all__ = [
    "Finding",
    "Severity",
    "describe_value",
    "number_text",
    "path_text",
    "warn",
]

MAX_SHOWN_NUMBER = 2**64
"""Larger integers are described by their type: they may have thousands of
digits, which `str` refuses to format."""


class Severity(enum.Enum):
    """Whether nodes refuse a value or only give it no effect."""

    ERROR = "error"
    WARNING = "warning"


@dataclass(frozen=True, slots=True)
class Finding:
    """One fault of a configuration.

    Attributes
    ----------
    severity : Severity
    code : str
        Stable name of the rule, for scripts.
    path : tuple
        Keys and indices that lead to the value.
    found, expected : str
        Never contain a key.
    line : int or None
        Line in the file, from 1; None if unknown.
    name : str
        Name of the route, service or workspace; empty for none.
    other : tuple
        Path of the entry that takes effect instead; empty for none.
    """

    severity: Severity
    code: str
    path: Path
    found: str
    expected: str
    line: int | None = None
    name: str = ""
    other: Path = ()


def warn(
    code: str, path: Path, found: str, expected: str, other: Path = ()
) -> Finding:
    """Return a warning."""
    return Finding(Severity.WARNING, code, path, found, expected, other=other)


def path_text(path: Path) -> str:
    """Return a path as text.

    Examples
    --------
    >>> path_text(("routes", 3, "traffic-split", 0, "weight"))
    'routes[3].traffic-split[0].weight'
    >>> path_text(())
    'the file'
    """
    text = "".join(
        f"[{each}]" if isinstance(each, int) else f".{each}" for each in path
    )
    return text.removeprefix(".") or "the file"


def number_text(value: float) -> str:
    """Return a finite number in all its digits.

    Examples
    --------
    >>> number_text(2_000_000.0), number_text(0.5)
    ('2000000', '0.5')
    """
    return str(int(value)) if value == int(value) else str(value)


def describe_value(value, shows_number: bool) -> str:
    """Return what a value is, without the text of a string.

    A string may be a key in the wrong place, and so may a number where none
    is expected.

    Examples
    --------
    >>> describe_value("secret", True), describe_value(-3, True)
    ('a string', '-3')
    >>> describe_value(10**400, True)
    'a number'
    """
    if value is MISSING:
        return "nothing"
    if value is None:
        return "null"
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, int | float):
        is_large = isinstance(value, int) and abs(value) > MAX_SHOWN_NUMBER
        return str(value) if shows_number and not is_large else "a number"
    if isinstance(value, str):
        return "a string" if value else "an empty string"
    return "a list" if isinstance(value, list) else "an object"
