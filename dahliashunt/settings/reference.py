"""Write the reference of settings from their typed schemas."""

import dataclasses
import enum
import re
import types
import typing

from dahliashunt.settings.units import ByteSize
from dahliashunt.settings.units import Milliseconds

__all__ = ["reference"]

_NAME_BY_KIND = {
    Milliseconds: "duration, such as `250ms` or `2s`",
    ByteSize: "size, such as `64KB` or `8MB`",
    str: "text",
    int: "integer",
    float: "number",
    bool: "true or false",
}


def reference(title: str, schema: type) -> str:
    """Return a Markdown section on all keys of `schema`.

    Parameters
    ----------
    title : str
    schema : type
        A settings dataclass, described by numpydoc Attributes.

    Examples
    --------
    >>> @dataclasses.dataclass(frozen=True)
    ... class Listen:
    ...     '''Where it listens.'''
    ...     port: int = 0
    >>> print(reference("demo", Listen))
    ## demo
    <BLANKLINE>
    | key | kind | default | meaning |
    |---|---|---|---|
    | `port` | integer | `0` |  |
    <BLANKLINE>
    """
    rows = [
        f"## {title}",
        "",
        "| key | kind | default | meaning |",
        "|---|---|---|---|",
    ]
    rows += [f"| {' | '.join(row)} |" for row in _rows(schema, "")]
    return "\n".join(rows) + "\n"


def _rows(schema, prefix):
    kinds = typing.get_type_hints(schema)
    meaning_by_name = _meanings(schema)
    for field in dataclasses.fields(schema):
        kind = _inner(kinds[field.name])
        key = f"{prefix}{field.name}"
        meaning = meaning_by_name.get(field.name, "")
        if dataclasses.is_dataclass(kind):
            is_list = typing.get_origin(kinds[field.name]) is tuple
            yield from _rows(kind, f"{key}{'[]' if is_list else ''}.")
            continue
        yield (
            f"`{key}`",
            _kind_name(kinds[field.name]),
            _default(field, kinds[field.name]),
            meaning,
        )


def _inner(kind):
    if typing.get_origin(kind) in (tuple, typing.Union, types.UnionType):
        return typing.get_args(kind)[0]
    return kind


def _kind_name(kind):
    if typing.get_origin(kind) is tuple:
        return f"list of {_kind_name(typing.get_args(kind)[0])}"
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return " or ".join(f"`{member.value}`" for member in kind)
    return _NAME_BY_KIND.get(kind, getattr(kind, "__name__", str(kind)))


def _default(field, kind):
    value = field.default
    if value is dataclasses.MISSING:
        return "**must be given**"
    if isinstance(value, enum.Enum):
        return f"`{value.value}`"
    if value in ("", ()):
        return "none"
    if kind is Milliseconds:
        return f"`{value}ms`" if value % 1000 else f"`{value // 1000}s`"
    if kind is ByteSize:
        return f"`{value // 1000}KB`"
    return f"`{str(value).lower() if isinstance(value, bool) else value}`"


def _meanings(schema):
    """Return the meaning of each attribute from the numpydoc text."""
    doc = schema.__doc__ or ""
    _, _, attributes = doc.partition("Attributes\n    ----------\n")
    meaning_by_name = {}
    for block in re.split(r"\n    (?=\w)", "\n" + attributes):
        head, _, text = block.partition("\n")
        meaning = " ".join(text.split())
        for name in head.partition(":")[0].split(","):
            meaning_by_name[name.strip()] = meaning
    return meaning_by_name
