"""Decode a configuration file and report everything that nodes refuse."""

from collections.abc import Iterator
from dataclasses import dataclass
import json

from dahliashunt.config_check.findings import describe_value
from dahliashunt.config_check.findings import Finding
from dahliashunt.config_check.findings import Severity
from dahliashunt.field_rules import FieldProblem
from dahliashunt.forwarding.catalog import BrokenRoute
from dahliashunt.forwarding.catalog import Catalog
from dahliashunt.forwarding.workspaces import BrokenWorkspace
from dahliashunt.platform.catalog_records import CatalogRecords
from dahliashunt.platform.catalog_records import decode_records
from dahliashunt.platform.catalog_records import make_catalog
from dahliashunt.platform.catalog_records import refused_fields
from dahliashunt.platform.catalog_records import route_problems
from dahliashunt.platform.catalog_records import workspace_problems
from dahliashunt.platform.store import MAX_REPLY_BYTES
from dahliashunt.row_fields import FIELD_ERRORS
from dahliashunt.row_fields import parse_json

__all__ = ["MAX_FILE_BYTES", "ConfigFile", "Decoded", "read_config"]

MAX_FILE_BYTES = MAX_REPLY_BYTES * 3 // 4
"""Longest configuration that nodes read: the store answers in base64, in
which 3 bytes take 4."""


@dataclass(frozen=True, slots=True)
class Decoded:
    """Configuration that nodes would put in force.

    Attributes
    ----------
    fields : dict
        The parsed text.
    records : CatalogRecords
        In the order of `fields`.
    catalog : Catalog
    """

    fields: dict
    records: CatalogRecords
    catalog: Catalog


@dataclass(frozen=True, slots=True)
class ConfigFile:
    """A file and what nodes refuse of it.

    Attributes
    ----------
    text : str or None
        None if the file is no JSON text.
    errors : tuple of Finding
    fields : object
        The parsed text.
    decoded : Decoded or None
        None if nodes refuse the whole file.
    repeating : tuple of dict
        Parsed objects that have a field twice; some are not in `fields`.
    """

    text: str | None
    errors: tuple[Finding, ...]
    fields: object = None
    decoded: Decoded | None = None
    repeating: tuple[dict, ...] = ()

    def keys(self) -> set[str]:
        """Return the keys of its workspaces, which no report may contain."""
        keys = set()
        for each in _list(self.fields, "tenants"):
            found = each.get("api-keys") if isinstance(each, dict) else None
            listed = found if isinstance(found, list) else [found]
            keys.update(key for key in listed if isinstance(key, str))
        return keys


def read_config(data: bytes) -> ConfigFile:
    """Return the configuration in `data`, decoded as nodes do."""
    if len(data) > MAX_FILE_BYTES:
        return _unreadable(
            "too-long",
            f"more than {MAX_FILE_BYTES} bytes",
            f"at most {MAX_FILE_BYTES} bytes, which nodes read",
        )
    try:
        text = data.decode("utf-8")
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + 1
        return _unreadable("not-utf-8", "other bytes", "UTF-8 text", line)
    repeating = []

    def make_object(pairs):
        made = dict(pairs)
        if len(made) < len(pairs):
            repeating.append(made)
        return made

    try:
        fields = parse_json(text, make_object)
    except json.JSONDecodeError as error:
        # Some messages quote a character after a colon.
        found = error.msg.partition(":")[0].lower()
        return _unreadable("not-json", found, "JSON text", error.lineno)
    except ValueError:
        return _unreadable(
            "not-json",
            "nesting that is too deep, or a number that is too long",
            "JSON text",
        )
    return _decode(text, fields, tuple(repeating))


def _unreadable(code, found, expected, line=None):
    error = Finding(Severity.ERROR, code, (), found, expected, line)
    return ConfigFile(None, (error,))


def _decode(text, fields, repeating):
    try:
        records = decode_records(fields)
    except FIELD_ERRORS:
        records = None
    problems = refused_fields(fields) if records is None else ()
    errors = [_error("refused", each) for each in problems]
    errors += [_error("left-out", each) for each in _left_out(fields, records)]
    decoded = records and Decoded(fields, records, make_catalog(records))
    return ConfigFile(text, tuple(errors), fields, decoded, repeating)


def _error(code, problem: FieldProblem):
    return Finding(
        Severity.ERROR,
        code,
        problem.path,
        describe_value(problem.found, problem.is_number),
        problem.expected,
    )


def _left_out(fields, records) -> Iterator[FieldProblem]:
    """Yield the problems of routes and workspaces that nodes leave out.

    Without `records`, since the file is refused, each one is decoded again.
    """
    routes, workspaces = _list(fields, "routes"), _list(fields, "tenants")
    for at, each in enumerate(routes):
        if records is None or isinstance(records.routes[at], BrokenRoute):
            yield from route_problems(each, ("routes", at))
    for at, each in enumerate(workspaces):
        if records is None or isinstance(
            records.workspaces[at], BrokenWorkspace
        ):
            yield from workspace_problems(each, ("tenants", at))


def _list(fields, name):
    found = fields.get(name) if isinstance(fields, dict) else None
    return found if isinstance(found, list) else ()
