"""Serving records: schemas, the sequence of changes, and following it."""

from dahliashunt.records import kinds  # noqa: F401  registers the schemas
from dahliashunt.records.callers import Caller
from dahliashunt.records.callers import CallerProfile
from dahliashunt.records.catalog import Catalog
from dahliashunt.records.catalog import NotApplied
from dahliashunt.records.delta import decode_changed
from dahliashunt.records.delta import encode_changed
from dahliashunt.records.documents import Document
from dahliashunt.records.documents import documents_to_yaml
from dahliashunt.records.documents import InvalidDocuments
from dahliashunt.records.documents import read_documents
from dahliashunt.records.fetch import follow
from dahliashunt.records.fetch import read_snapshot
from dahliashunt.records.follower import Follower
from dahliashunt.records.follower import poll_interval_ms
from dahliashunt.records.placement import wanted_models
from dahliashunt.records.record import Change
from dahliashunt.records.record import Head
from dahliashunt.records.record import Kind
from dahliashunt.records.record import Record
from dahliashunt.records.record import RecordKey
from dahliashunt.records.schemas import Schemas
from dahliashunt.records.schemas import SchemaUnknown
from dahliashunt.records.sequence import Conflict
from dahliashunt.records.sequence import Proposal
from dahliashunt.records.sequence import RecordConflict
from dahliashunt.records.snapshot import BadSnapshot
from dahliashunt.records.snapshot import Snapshot
from dahliashunt.records.store import Outcome
from dahliashunt.records.store import RecordStore

__all__ = [
    "BadSnapshot",
    "Caller",
    "CallerProfile",
    "Catalog",
    "Change",
    "Conflict",
    "Document",
    "Follower",
    "Head",
    "InvalidDocuments",
    "Kind",
    "NotApplied",
    "Outcome",
    "Proposal",
    "Record",
    "RecordConflict",
    "RecordKey",
    "RecordStore",
    "SchemaUnknown",
    "Schemas",
    "Snapshot",
    "decode_changed",
    "documents_to_yaml",
    "encode_changed",
    "follow",
    "poll_interval_ms",
    "read_documents",
    "read_snapshot",
    "wanted_models",
]
