"""Registry of schemas by kind and version, and conversion between them."""

from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass

from dahliashunt.errors import DahliashuntError
from dahliashunt.errors import ErrorKind
from dahliashunt.errors import RequestError
from dahliashunt.records.fields import Problem
from dahliashunt.records.fields import Struct
from dahliashunt.records.record import Kind
from dahliashunt.records.record import Record

__all__ = [
    "REGISTERED",
    "EntryTooOld",
    "Schema",
    "SchemaUnknown",
    "Schemas",
    "register",
]


class SchemaUnknown(DahliashuntError):
    """A kind or schema version that the program does not know."""


class EntryTooOld(RequestError):
    """The request needs a program that knows a newer schema version."""

    def __init__(self, message: str):
        super().__init__(ErrorKind.CONFLICT, message, param="schema_version")


@dataclass(frozen=True, slots=True)
class Schema:
    """One schema version of one kind.

    Attributes
    ----------
    spec : Struct
        The fields.
    upgrade, downgrade : callable, optional
        From the spec of the version below to this one's, and back. Both
        see known fields only.
    check : callable, optional
        Yields problems that involve several fields.
    whole : frozenset of tuple of str
        Paths whose value is merged as one, never field by field.
    """

    spec: Struct
    upgrade: Callable[[dict], dict] | None = None
    downgrade: Callable[[dict], dict] | None = None
    check: Callable[[dict], Iterator[Problem]] | None = None
    whole: frozenset[tuple[str, ...]] = frozenset()


REGISTERED: dict[str, dict[int, Callable[[], Schema]]] = {}
"""Functions that describe schemas, by kind and then by version."""


def register(kind: Kind, version: int) -> Callable:
    """Return a decorator that registers a function describing a schema.

    Parameters
    ----------
    kind : Kind
    version : int
        Versions of a kind are registered upwards from 1.
    """

    def decorate(describe: Callable[[], Schema]):
        by_version = REGISTERED.setdefault(kind.value, {})
        if version != len(by_version) + 1:
            raise ValueError(f"{kind.value} version {version} out of order")
        by_version[version] = describe
        return describe

    return decorate


class Schemas:
    """The schemas that a program knows.

    Parameters
    ----------
    newest : dict of str to int, optional
        Highest known version by kind, 0 to forget the kind: how a test
        or a staged roll-out plays an older program.

    Examples
    --------
    >>> Schemas({"Caller": 1}).newest("Caller")
    1
    """

    def __init__(self, newest: dict[str, int] | None = None):
        limits = newest or {}
        self._by_kind = {
            kind: {
                version: describe()
                for version, describe in by_version.items()
                if version <= limits.get(kind, len(by_version))
            }
            for kind, by_version in REGISTERED.items()
        }

    def newest(self, kind: str) -> int:
        """Return the highest version known of `kind`; 0 if none is."""
        return len(self._by_kind.get(kind, ()))

    def knows(self, kind: str, version: int) -> bool:
        """Return whether this program can read that version."""
        return version in self._by_kind.get(kind, ())

    def get(self, kind: str, version: int) -> Schema:
        """Return a schema, or raise `SchemaUnknown`."""
        if not self.knows(kind, version):
            raise SchemaUnknown(self._why_unknown(kind, version))
        return self._by_kind[kind][version]

    def problems(self, kind: str, version: int, spec) -> list[Problem]:
        """Return what is wrong with `spec`; paths start below it."""
        schema = self.get(kind, version)
        found = list(schema.spec.problems(spec, ()))
        if not found and schema.check is not None:
            found.extend(schema.check(spec))
        return found

    def known(self, kind: str, version: int, spec: dict) -> dict:
        """Return `spec` without the fields that its version lacks."""
        return self.get(kind, version).spec.known(spec)

    def convert(
        self, kind: str, spec: dict, from_version: int, to_version: int
    ) -> dict:
        """Return `spec` in another version; loses what that one lacks."""
        spec = self.known(kind, from_version, spec)
        version = from_version
        while version < to_version:
            version += 1
            spec = self.get(kind, version).upgrade(spec)
        while version > to_version:
            spec = self.get(kind, version).downgrade(spec)
            version -= 1
        return spec

    def older(self, kind: str, version: int, spec: dict) -> dict[int, dict]:
        """Return `spec` in each version below `version`."""
        return {
            below: self.convert(kind, spec, version, below)
            for below in range(1, version)
        }

    def readable(self, record: Record) -> tuple[int, dict] | None:
        """Return the newest version of a record that is known here.

        Returns
        -------
        tuple of int and dict, or None
            Version and spec; None if no known version is carried.
        """
        kind = record.key.kind
        if self.knows(kind, record.schema_version):
            return record.schema_version, record.spec
        for version in sorted(record.older, reverse=True):
            if self.knows(kind, version):
                return version, record.older[version]
        return None

    def _why_unknown(self, kind, version):
        newest = self.newest(kind)
        if not newest:
            known = ", ".join(sorted(self._by_kind))
            return f"unknown kind {kind!r}; there are {known}"
        return (
            f"schema_version {version} of {kind} is not known here; "
            f"this program knows 1 to {newest}"
        )
