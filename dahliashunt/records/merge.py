"""Three-way merge and difference of specs.

Notes
-----
Merging recurses into mappings and takes lists and scalars as one value.
The merge is the usual one of version control: what only one side changed
since the common base is taken from that side.
"""

from collections.abc import Iterator
from dataclasses import dataclass

__all__ = ["Difference", "Merge", "differences", "merge"]

_ABSENT = object()
Path = tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Difference:
    """A field that differs; ``None`` stands for an absent value."""

    path: Path
    before: object
    after: object

    @property
    def field(self) -> str:
        """Return the path as operators write it."""
        return ".".join(str(part) for part in self.path)


@dataclass(frozen=True, slots=True)
class Merge:
    """A merged spec, and the fields that both sides changed apart."""

    spec: dict
    clashes: tuple[Path, ...]


def differences(before: dict | None, after: dict | None) -> list[Difference]:
    """Return the fields in which two specs differ, in order of path.

    Examples
    --------
    >>> [d.field for d in differences({"a": {"b": 1}}, {"a": {"c": 1}})]
    ['a.b', 'a.c']
    """
    return list(_differences(before or {}, after or {}, ()))


def merge(
    base: dict,
    ours: dict,
    theirs: dict,
    whole: frozenset[Path] = frozenset(),
) -> Merge:
    """Return `theirs` with what `ours` changed since `base`.

    Parameters
    ----------
    base : dict
        What the writer of `ours` read.
    ours, theirs : dict
        The two sides; a field that both changed differently is taken
        from `ours` and listed as a clash.
    whole : frozenset of tuple of str
        Paths of mappings that are merged as one value.

    Returns
    -------
    Merge

    Examples
    --------
    >>> merge({"a": 1, "b": 1}, {"a": 2, "b": 1}, {"a": 1, "c": 3})
    Merge(spec={'a': 2, 'c': 3}, clashes=())
    """
    clashes: list[Path] = []
    spec = _merge_mappings(base, ours, theirs, (), whole, clashes)
    return Merge(spec, tuple(clashes))


def _merge_mappings(base, ours, theirs, path, whole, clashes):
    merged = {}
    for name in sorted({*base, *ours, *theirs}):
        value = _merge_values(
            base.get(name, _ABSENT),
            ours.get(name, _ABSENT),
            theirs.get(name, _ABSENT),
            (*path, name),
            whole,
            clashes,
        )
        if value is not _ABSENT:
            merged[name] = value
    return merged


def _merge_values(base, ours, theirs, path, whole, clashes):
    if _same(ours, theirs) or _same(ours, base):
        return theirs
    if _same(theirs, base):
        return ours
    if path not in whole and _mergeable(base, ours, theirs):
        sides = [{} if s is _ABSENT else s for s in (base, ours, theirs)]
        value = _merge_mappings(*sides, path, whole, clashes)
        return value if value or ours is not _ABSENT else _ABSENT
    clashes.append(path)
    return ours


def _same(one, other):
    """Compare as JSON does: 1 and True are not the same."""
    if isinstance(one, bool) is not isinstance(other, bool):
        return False
    return one is other or one == other


def _mergeable(*sides):
    return all(side is _ABSENT or isinstance(side, dict) for side in sides)


def _differences(before, after, path) -> Iterator[Difference]:
    for name in sorted({*before, *after}):
        old, new = before.get(name), after.get(name)
        here = (*path, name)
        if isinstance(old, dict) and isinstance(new, dict):
            yield from _differences(old, new, here)
        elif not _same(old, new):
            yield Difference(here, old, new)
