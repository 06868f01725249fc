"""Descriptions of fields: what a value must be, and which are known.

A check has two uses: `problems` yields what is wrong with a value, and
`known` strips the fields that the description does not name, which is how
a write learns which fields its schema version can speak for.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
import difflib
import math
import re

__all__ = [
    "Choice",
    "Field",
    "Flag",
    "Integer",
    "ListOf",
    "MapOf",
    "Number",
    "Problem",
    "Struct",
    "Text",
    "kind_of",
]

ANNOTATION_PREFIX = "x_"
"""Fields that operators may add freely; kept and never interpreted."""

Path = tuple[str | int, ...]


@dataclass(frozen=True, slots=True)
class Problem:
    """A field of a value that is wrong, and why."""

    path: Path
    reason: str


class _Scalar:
    """A check of a value without fields of its own."""

    def known(self, value):
        """Return `value` as it is."""
        return value


@dataclass(frozen=True, slots=True)
class Text(_Scalar):
    """A text that matches `pattern`, described to people by `what`."""

    pattern: str = r"(?s).{1,500}"
    what: str = "a text of 1 to 500 characters"

    def problems(self, value, path: Path) -> Iterator[Problem]:
        """Yield what is wrong with `value`."""
        if not isinstance(value, str):
            yield Problem(path, f"must be {self.what}, is {kind_of(value)}")
        elif not re.fullmatch(self.pattern, value):
            yield Problem(path, f"must be {self.what}")


@dataclass(frozen=True, slots=True)
class Integer(_Scalar):
    """A whole number from `least` to `most`."""

    least: int = 0
    most: int = 2**53

    def problems(self, value, path: Path) -> Iterator[Problem]:
        """Yield what is wrong with `value`."""
        if isinstance(value, bool) or not isinstance(value, int):
            reason = f"must be a whole number, is {kind_of(value)}"
            yield Problem(path, reason)
        elif not self.least <= value <= self.most:
            reason = f"must be from {self.least} to {self.most}, is {value}"
            yield Problem(path, reason)


@dataclass(frozen=True, slots=True)
class Number(_Scalar):
    """A finite number from `least` to `most`."""

    least: float = 0.0
    most: float = 1e9

    def problems(self, value, path: Path) -> Iterator[Problem]:
        """Yield what is wrong with `value`."""
        if isinstance(value, bool) or not isinstance(value, int | float):
            yield Problem(path, f"must be a number, is {kind_of(value)}")
        elif not math.isfinite(value) or not (
            self.least <= value <= self.most
        ):
            reason = f"must be from {self.least} to {self.most}, is {value}"
            yield Problem(path, reason)


@dataclass(frozen=True, slots=True)
class Flag(_Scalar):
    """True or false."""

    def problems(self, value, path: Path) -> Iterator[Problem]:
        """Yield what is wrong with `value`."""
        if not isinstance(value, bool):
            yield Problem(path, f"must be true or false, is {kind_of(value)}")


@dataclass(frozen=True, slots=True)
class Choice(_Scalar):
    """One of a few texts."""

    of: tuple[str, ...]

    def problems(self, value, path: Path) -> Iterator[Problem]:
        """Yield what is wrong with `value`."""
        if value not in self.of:
            yield Problem(path, f"must be one of {', '.join(self.of)}")


@dataclass(frozen=True, slots=True)
class ListOf:
    """A list of `least` to `most` values of one description.

    With `unique` no value may come twice; of structs with an ``id`` no
    id may.
    """

    item: object
    least: int = 0
    most: int = 10_000
    unique: bool = True

    def problems(self, value, path: Path) -> Iterator[Problem]:
        """Yield what is wrong with `value`."""
        if not isinstance(value, list):
            yield Problem(path, f"must be a list, is {kind_of(value)}")
            return
        if not self.least <= len(value) <= self.most:
            reason = f"must have {self.least} to {self.most} entries"
            yield Problem(path, reason)
        seen = []
        for index, item in enumerate(value):
            yield from self.item.problems(item, (*path, index))
            ident = item.get("id") if isinstance(item, dict) else item
            if self.unique and ident is not None and ident in seen:
                yield Problem((*path, index), f"{ident!r} comes twice")
            seen.append(ident)

    def known(self, value):
        """Return the list with only the known fields of its items."""
        if not isinstance(value, list):
            return value
        return [self.item.known(item) for item in value]


@dataclass(frozen=True, slots=True)
class MapOf:
    """A mapping with any names of one description to values of another."""

    name: Text
    item: object

    def problems(self, value, path: Path) -> Iterator[Problem]:
        """Yield what is wrong with `value`."""
        if not isinstance(value, dict):
            yield Problem(path, f"must be a mapping, is {kind_of(value)}")
            return
        for name, item in value.items():
            yield from self.name.problems(name, (*path, name))
            yield from self.item.problems(item, (*path, name))

    def known(self, value):
        """Return the mapping with only the known fields of its values."""
        if not isinstance(value, dict):
            return value
        return {name: self.item.known(item) for name, item in value.items()}


@dataclass(frozen=True, slots=True)
class Field:
    """A named field of a `Struct`."""

    check: object
    required: bool = False


@dataclass(frozen=True, slots=True)
class Struct:
    """A mapping with named fields.

    Examples
    --------
    >>> spec = Struct({"floor": Field(Integer(0, 9), required=True)})
    >>> [p.reason for p in spec.problems({"flor": 1}, ())]
    ["unknown field; did you mean 'floor'?", 'is missing']
    >>> spec.known({"floor": 1, "later": 2})
    {'floor': 1}
    """

    fields: dict[str, Field] = field(default_factory=dict)

    def problems(self, value, path: Path) -> Iterator[Problem]:
        """Yield what is wrong with `value`."""
        if not isinstance(value, dict):
            yield Problem(path, f"must be a mapping, is {kind_of(value)}")
            return
        for name, item in value.items():
            if name in self.fields:
                check = self.fields[name].check
                yield from check.problems(item, (*path, name))
            elif not _is_annotation(name):
                yield Problem((*path, name), self._unknown(name))
        for name, one in self.fields.items():
            if one.required and name not in value:
                yield Problem((*path, name), "is missing")

    def known(self, value):
        """Return `value` without the fields that are not described."""
        if not isinstance(value, dict):
            return value
        kept = {}
        for name, item in value.items():
            if name in self.fields:
                kept[name] = self.fields[name].check.known(item)
            elif _is_annotation(name):
                kept[name] = item
        return kept

    def _unknown(self, name):
        near = difflib.get_close_matches(str(name), self.fields, n=1)
        hint = f"; did you mean {near[0]!r}?" if near else ""
        return f"unknown field{hint}"


def _is_annotation(name):
    return isinstance(name, str) and name.startswith(ANNOTATION_PREFIX)


def kind_of(value) -> str:
    """Return what a value is, in words for an operator."""
    names = {
        type(None): "empty",
        bool: "true or false",
        int: "a number",
        float: "a number",
        str: "a text",
        list: "a list",
        dict: "a mapping",
    }
    return names.get(type(value), "neither text nor number; quote it")
