"""Reading YAML documents of records, with the line of each field.

Notes
-----
Aliases and merge keys are refused: a few lines of them expand to
gigabytes, and a record that reads differently from what it holds is what
a shift cannot check. So is a mapping that names a field twice.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
import math

import yaml

from dahliashunt.errors import ErrorKind
from dahliashunt.errors import RequestError
from dahliashunt.ids import Revision
from dahliashunt.records.fields import Field
from dahliashunt.records.fields import Flag
from dahliashunt.records.fields import Integer
from dahliashunt.records.fields import kind_of
from dahliashunt.records.fields import Problem
from dahliashunt.records.fields import Struct
from dahliashunt.records.fields import Text
from dahliashunt.records.kinds.common import NAME
from dahliashunt.records.record import RecordKey
from dahliashunt.records.schemas import Schemas
from dahliashunt.records.schemas import SchemaUnknown

__all__ = [
    "Document",
    "DocumentProblem",
    "InvalidDocuments",
    "documents_to_yaml",
    "read_documents",
]

MAX_BYTES = 4_000_000
MAX_DOCUMENTS = 500
"""Records in one change: what one transaction and one answer carry."""

_MERGE_TAG = "tag:yaml.org,2002:merge"
_LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
_DUMPER = getattr(yaml, "CSafeDumper", yaml.SafeDumper)


class _Json:
    """Accepts what JSON can hold; the spec's schema looks further.

    YAML reads dates, sets and infinite numbers, which the table's rows
    cannot hold; in an annotation no schema would find them.
    """

    def problems(self, value, path) -> Iterator[Problem]:
        """Yield what is wrong with `value`."""
        if isinstance(value, dict):
            for name, item in value.items():
                if not isinstance(name, str):
                    yield Problem((*path, name), "must be named by a text")
                yield from self.problems(item, (*path, name))
        elif isinstance(value, list):
            for index, item in enumerate(value):
                yield from self.problems(item, (*path, index))
        elif isinstance(value, float) and not math.isfinite(value):
            yield Problem(path, "must be a finite number")
        elif not isinstance(value, str | int | float | None):
            yield Problem(path, f"is {kind_of(value)}")


_ENVELOPE = Struct(
    {
        "schema_version": Field(Integer(1, 1000), required=True),
        "kind": Field(Text(r"[A-Za-z]{1,60}", "a kind"), required=True),
        "name": Field(NAME, required=True),
        "revision": Field(Integer()),
        "delete": Field(Flag()),
        "spec": Field(_Json()),
    }
)


@dataclass(frozen=True, slots=True)
class DocumentProblem:
    """What is wrong in a file: where, in which field, and why.

    `too_old` tells that a newer program may know better.
    """

    file: str
    line: int
    field: str
    reason: str
    too_old: bool = False

    def __str__(self):
        return f"{self.file}:{self.line}: {self.field}: {self.reason}"


class InvalidDocuments(RequestError):
    """Documents that are not accepted; nothing of them was applied."""

    def __init__(self, problems: list[DocumentProblem]):
        shown = "; ".join(str(problem) for problem in problems[:20])
        more = len(problems) - 20
        if more > 0:
            shown += f"; and {more} more"
        super().__init__(
            ErrorKind.BAD_REQUEST, shown, param=problems[0].field or None
        )
        self.problems = tuple(problems)


@dataclass(frozen=True, slots=True)
class Document:
    """One record as a writer wants it.

    Attributes
    ----------
    base : Revision
        Revision of the record that the writer read; 0 if there was none.
    spec : dict or None
        None deletes the record.
    """

    key: RecordKey
    schema_version: int
    base: Revision
    spec: dict | None
    file: str = "-"
    lines: dict[tuple, int] = field(default_factory=dict, compare=False)

    def problem(
        self, path: tuple, reason: str, too_old: bool = False
    ) -> DocumentProblem:
        """Return a problem at `path` of this document."""
        where = path
        while where not in self.lines and where:
            where = where[:-1]
        name = ".".join(str(part) for part in path)
        return DocumentProblem(
            self.file, self.lines.get(where, 1), name, reason, too_old
        )


def read_documents(
    text: str, schemas: Schemas, file: str = "-"
) -> tuple[Document, ...]:
    """Read and validate all documents of a file.

    Parameters
    ----------
    text : str
    schemas : Schemas
        What this program knows.
    file : str
        Name for messages.

    Returns
    -------
    tuple of Document

    Raises
    ------
    InvalidDocuments
        Any document is wrong; all problems are listed.
    """
    problems: list[DocumentProblem] = []
    documents = []
    for value, lines in _parse(text, file):
        document = _document(value, lines, file, problems)
        if document is not None:
            problems.extend(_spec_problems(document, schemas))
            documents.append(document)
    problems.extend(_twice(documents))
    if not documents and not problems:
        problems.append(DocumentProblem(file, 1, "", "there is no document"))
    if len(documents) > MAX_DOCUMENTS:
        raise RequestError(
            ErrorKind.TOO_LARGE,
            f"{len(documents)} records; one change has at most "
            f"{MAX_DOCUMENTS}",
        )
    if problems:
        raise InvalidDocuments(problems)
    return tuple(documents)


def documents_to_yaml(documents: list[dict]) -> str:
    """Return plain documents as one YAML text, fields in our order."""
    return yaml.dump_all(
        documents,
        Dumper=_DUMPER,
        sort_keys=False,
        allow_unicode=True,
        explicit_start=True,
    )


def _parse(text, file):
    if len(text.encode()) > MAX_BYTES:
        raise RequestError(
            ErrorKind.TOO_LARGE, f"{file}: more than {MAX_BYTES} bytes"
        )
    loader = _LOADER(text)
    try:
        while loader.check_node():
            node = loader.get_node()
            lines: dict[tuple, int] = {}
            problems: list[DocumentProblem] = []
            _walk(node, (), lines, file, problems, set())
            if problems:
                raise InvalidDocuments(problems)
            if node.tag != "tag:yaml.org,2002:null":
                yield loader.construct_document(node), lines
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        raise InvalidDocuments([_syntax(error, text, file)]) from None
    finally:
        loader.dispose()


def _syntax(error, text, file):
    mark = getattr(error, "problem_mark", None)
    line = mark.line + 1 if mark is not None else 1
    line = min(line, text.count("\n") + 1)
    reason = getattr(error, "problem", None) or "cannot be read"
    return DocumentProblem(file, line, "", f"not YAML: {reason}")


def _walk(node, path, lines, file, problems, seen):
    """Note the line of each field; find aliases and doubled fields."""
    line = node.start_mark.line + 1
    lines.setdefault(path, line)
    if id(node) in seen:
        reason = "aliases are not supported"
        name = ".".join(str(part) for part in path)
        problems.append(DocumentProblem(file, line, name, reason))
        return
    seen.add(id(node))
    if isinstance(node, yaml.MappingNode):
        _walk_mapping(node, path, lines, file, problems, seen)
    elif isinstance(node, yaml.SequenceNode):
        for index, item in enumerate(node.value):
            _walk(item, (*path, index), lines, file, problems, seen)


def _walk_mapping(node, path, lines, file, problems, seen):
    names = set()
    for key, value in node.value:
        line = key.start_mark.line + 1
        reason = None
        if not isinstance(key, yaml.ScalarNode) or key.tag == _MERGE_TAG:
            reason = "merge keys and complex keys are not supported"
        elif key.value in names:
            reason = f"{key.value!r} comes twice"
        if reason is not None:
            name = ".".join(str(part) for part in path)
            problems.append(DocumentProblem(file, line, name, reason))
            continue
        names.add(key.value)
        lines[(*path, key.value)] = line
        _walk(value, (*path, key.value), lines, file, problems, seen)


def _document(value, lines, file, problems):
    """Return the document, or None after listing what is wrong."""
    found = list(_ENVELOPE.problems(value, ()))
    if isinstance(value, dict) and not found:
        found = list(_envelope_rest(value))
    if found:
        blank = Document(RecordKey("", ""), 1, Revision(0), None, file, lines)
        problems.extend(blank.problem(p.path, p.reason) for p in found)
        return None
    return Document(
        key=RecordKey(value["kind"], value["name"]),
        schema_version=value["schema_version"],
        base=Revision(value.get("revision", 0)),
        spec=None if value.get("delete") else value["spec"],
        file=file,
        lines=lines,
    )


def _envelope_rest(value):
    if value.get("delete"):
        if value.get("spec") is not None:
            yield Problem(("spec",), "must not be there beside delete")
    elif not isinstance(value.get("spec"), dict):
        yield Problem(("spec",), "must be a mapping")


def _spec_problems(document, schemas):
    kind, version = document.key.kind, document.schema_version
    try:
        schemas.get(kind, version)
    except SchemaUnknown as error:
        known = schemas.newest(kind)
        path = ("schema_version",) if known else ("kind",)
        return [document.problem(path, str(error), too_old=True)]
    if document.spec is None:
        return []
    return [
        document.problem(("spec", *problem.path), problem.reason)
        for problem in schemas.problems(kind, version, document.spec)
    ]


def _twice(documents):
    seen = set()
    for document in documents:
        if document.key in seen:
            reason = f"{document.key} comes twice in one change"
            yield document.problem(("name",), reason)
        seen.add(document.key)
