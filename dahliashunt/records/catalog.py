"""What an entry looks up: records in force, in the form it needs.

Notes
-----
Callers are many and change often, so they are advanced one by one. All
other records together are some hundreds, and are read anew when one of
them changed. A record whose schema version is not known is applied in an
older one that it carries, and reported; one that carries none is left
out, and reported: for a caller that means no access, which is the safe
side of not understanding a limit.
"""

from collections.abc import Iterator
from dataclasses import dataclass
import hashlib

from dahliashunt.ids import CallerId
from dahliashunt.ids import EndpointId
from dahliashunt.ids import ModelId
from dahliashunt.ids import Revision
from dahliashunt.records.callers import Caller
from dahliashunt.records.callers import CallerIndex
from dahliashunt.records.callers import CallerProfile
from dahliashunt.records.callers import profile_of
from dahliashunt.records.fleet import adapter_of
from dahliashunt.records.fleet import AdapterInfo
from dahliashunt.records.fleet import batch_policy_of
from dahliashunt.records.fleet import BatchPolicy
from dahliashunt.records.fleet import Deployment
from dahliashunt.records.fleet import deployment_of
from dahliashunt.records.fleet import model_of
from dahliashunt.records.fleet import ModelInfo
from dahliashunt.records.fleet import Operator
from dahliashunt.records.fleet import operator_of
from dahliashunt.records.fleet import service_of
from dahliashunt.records.fleet import ServiceInfo
from dahliashunt.records.record import Kind
from dahliashunt.records.record import Record
from dahliashunt.records.record import RecordKey
from dahliashunt.records.schemas import Schemas
from dahliashunt.records.snapshot import Snapshot

__all__ = ["Catalog", "NotApplied"]

CALLERS_A_STEP = 25
"""Callers indexed between two yields: one to three milliseconds."""

_VIEWED = Schemas()
"""Versions that the views of this program are made from."""


@dataclass(frozen=True, slots=True)
class NotApplied:
    """A record that this program cannot apply as it was written."""

    key: RecordKey
    reason: str


class Catalog:
    """Records in force, indexed for an entry.

    Parameters
    ----------
    schemas : Schemas, optional
        What this program knows.

    Attributes
    ----------
    revision : Revision
    models_by_id, adapters_by_name, deployments_by_name, services_by_name,
    policies_by_name : dict
    drained : frozenset of EndpointId
        Endpoints that get no new work.
    """

    def __init__(self, schemas: Schemas | None = None):
        self._schemas = schemas or Schemas()
        self._snapshot = Snapshot(Revision(0))
        self._callers = CallerIndex()
        self._not_applied_by_key: dict[RecordKey, NotApplied] = {}
        self._rebuild()

    @property
    def revision(self) -> Revision:
        """Return the revision that is in force."""
        return self._snapshot.revision

    @property
    def snapshot(self) -> Snapshot:
        """Return the snapshot that this is an index of."""
        return self._snapshot

    @property
    def callers(self) -> CallerIndex:
        """Return the index of callers by key."""
        return self._callers

    @property
    def not_applied(self) -> tuple[NotApplied, ...]:
        """Return what cannot be applied as written, in order."""
        keys = sorted(self._not_applied_by_key)
        return tuple(self._not_applied_by_key[key] for key in keys)

    def advance(self, snapshot: Snapshot) -> None:
        """Bring a later snapshot in force in one step."""
        for _ in self.advance_in_steps(snapshot):
            pass

    def advance_in_steps(self, snapshot: Snapshot) -> Iterator[int]:
        """Bring a later snapshot in force, yielding now and then.

        Yields
        ------
        int
            Callers indexed so far. The caller's loop may run other tasks
            between two steps; until the last one, lookups see callers
            of either revision and all else of the old one.

        Notes
        -----
        Indexing 44,000 callers at start takes about a second, which in
        one step would hold up every request of an entry.
        """
        if snapshot.revision <= self.revision:
            return
        changed = snapshot.since(self.revision)
        others = False
        for count, record in enumerate(changed, 1):
            if record.key.kind == Kind.CALLER.value:
                self._put_caller(record)
            else:
                others = True
            if count % CALLERS_A_STEP == 0:
                yield count
        self._snapshot = snapshot
        if others:
            self._rebuild()

    def caller_by_key(self, key: str) -> Caller | None:
        """Return the caller with this API key, or None."""
        return self._callers.by_key(key)

    def caller(self, caller_id: CallerId) -> CallerProfile | None:
        """Return a caller's limits and permissions by its name."""
        key = RecordKey(Kind.CALLER.value, caller_id)
        spec = self._spec(self._snapshot.get(key), note=False)
        return None if spec is None else profile_of(spec)

    def operator_by_key(self, key: str) -> tuple[Operator, str] | None:
        """Return the operator with this key and the key's id, or None."""
        digest = hashlib.sha256(key.encode()).hexdigest()
        return self._operator_by_sha256.get(digest)

    def models_for(self, profile: CallerProfile) -> tuple[ModelInfo, ...]:
        """Return the models that a caller may use, in order of id."""
        return tuple(
            model
            for model_id, model in self.models_by_id.items()
            if profile.may_use(model_id)
        )

    def _put_caller(self, record: Record):
        before = self._snapshot.get(record.key)
        old = self._spec(before, note=False)
        new = self._spec(record, note=True)
        self._callers.put(record.key.name, old, new)

    def _rebuild(self):
        self._not_applied_by_key = {
            key: noted
            for key, noted in self._not_applied_by_key.items()
            if key.kind == Kind.CALLER.value
        }
        fleet = self._infos
        self.models_by_id: dict[ModelId, ModelInfo] = fleet(
            Kind.MODEL, model_of
        )
        self.adapters_by_name: dict[str, AdapterInfo] = fleet(
            Kind.ADAPTER, adapter_of
        )
        self.deployments_by_name: dict[str, Deployment] = fleet(
            Kind.DEPLOYMENT, deployment_of
        )
        self.services_by_name: dict[str, ServiceInfo] = fleet(
            Kind.SERVICE, service_of
        )
        self.policies_by_name: dict[str, BatchPolicy] = fleet(
            Kind.BATCH_POLICY, batch_policy_of
        )
        drains = self._infos(Kind.ENDPOINT_DRAIN, lambda name, spec: name)
        self.drained = frozenset(EndpointId(name) for name in drains)
        operators: dict[str, Operator] = fleet(Kind.OPERATOR, operator_of)
        self._operator_by_sha256 = {
            key.sha256: (operator, key.key_id)
            for operator in operators.values()
            for key in operator.keys
        }
        self._note_unknown_kinds()

    def _infos(self, kind, make):
        infos = {}
        for record in self._snapshot.of_kind(kind.value):
            spec = self._spec(record, note=True)
            if spec is not None:
                infos[record.key.name] = make(record.key.name, spec)
        return infos

    def _note_unknown_kinds(self):
        known = {kind.value for kind in Kind}
        for record in self._snapshot.not_of_kinds(known):
            self._note(record, "unknown kind")

    def _spec(self, record, note):
        """Return a record's spec in the newest version known, or None."""
        if record is None or record.spec is None:
            if record is not None and note:
                self._not_applied_by_key.pop(record.key, None)
            return None
        kind = record.key.kind
        readable = self._schemas.readable(record)
        if note:
            self._note_version(record, readable)
        if readable is None:
            return None
        version, spec = readable
        return _VIEWED.convert(kind, spec, version, _VIEWED.newest(kind))

    def _note_version(self, record, readable):
        version = record.schema_version
        if readable is None:
            self._note(record, f"schema_version {version} is not known")
        elif readable[0] != version:
            reason = f"schema_version {version} applied as {readable[0]}"
            self._note(record, reason)
        else:
            self._not_applied_by_key.pop(record.key, None)

    def _note(self, record, reason):
        noted = NotApplied(record.key, reason)
        self._not_applied_by_key[record.key] = noted
