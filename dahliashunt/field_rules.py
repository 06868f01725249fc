"""Rules by which the fields of a foreign record are decoded.

A node decodes a record up to its first invalid field. A check of a file
reports all of them. Both go by the same rules.
"""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from dahliashunt.row_fields import FIELD_ERRORS

__all__ = [
    "MISSING",
    "FieldProblem",
    "FieldRule",
    "Path",
    "decode_fields",
    "invalid_fields",
]

Path = tuple[str | int, ...]

MISSING = object()
"""Stands for the value of a field that is absent."""


@dataclass(frozen=True, slots=True)
class FieldProblem:
    """Value that can't be decoded.

    Attributes
    ----------
    path : tuple
        Keys and indices that lead to the value.
    expected : str
    found : object
        The value, or `MISSING`. It may be a secret in the wrong place.
    is_number : bool
        Whether a number is expected.
    """

    path: Path
    expected: str
    found: object
    is_number: bool = False


@dataclass(frozen=True, slots=True)
class FieldRule:
    """How one field of a record is decoded.

    Attributes
    ----------
    key : str
    expected : str
        Description of the valid values.
    read : callable
        Returns the decoded field of a record, or raises an error of
        `FIELD_ERRORS`.
    is_number : bool
    stand_in : str
        Key of the field that is used if this one is absent or 0; a problem
        of that one is not reported twice.
    problems : callable or None
        Given the record and its path, yields the problems within a composed
        field; None for a plain one.
    """

    key: str
    expected: str
    read: Callable[[Any], Any]
    is_number: bool = False
    stand_in: str = ""
    problems: Callable[[Any, Path], Iterator[FieldProblem]] | None = None


def decode_fields(rules: Mapping[str, FieldRule], fields) -> dict[str, Any]:
    """Return the decoded fields of a record by the names in `rules`.

    Raises
    ------
    ArithmeticError, AttributeError, LookupError, TypeError, ValueError
        The first field, in the order of `rules`, that is invalid.
    """
    return {name: rule.read(fields) for name, rule in rules.items()}


def invalid_fields(
    rules: Mapping[str, FieldRule], fields, path: Path
) -> Iterator[FieldProblem]:
    """Yield every problem of a record at `path`.

    Yields nothing if and only if `decode_fields` raises nothing.

    Examples
    --------
    >>> rules = {"size": FieldRule("size", "a number", lambda f: f["size"])}
    >>> [each.path for each in invalid_fields(rules, {}, ("disks", 0))]
    [('disks', 0, 'size')]
    """
    if not isinstance(fields, dict):
        yield FieldProblem(path, "an object", fields)
        return
    for rule in rules.values():
        if rule.stand_in and not fields.get(rule.key):
            continue
        try:
            rule.read(fields)
        except FIELD_ERRORS:
            if rule.problems is not None:
                yield from rule.problems(fields, path)
                continue
            yield FieldProblem(
                (*path, rule.key),
                rule.expected,
                fields.get(rule.key, MISSING),
                rule.is_number,
            )
