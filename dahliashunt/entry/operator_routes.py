"""HTTP routes for operators: records, drains, status and handover.

Notes
-----
Every route needs an operator's key as bearer token. Any role may read;
``drain`` may drain endpoints, and ``write`` may change records. The key's
operator and id are what the history names as the author.
"""

import dataclasses
from typing import Protocol

from blacksheep import Application
from blacksheep import Request
from blacksheep import Response

from dahliashunt.entry.operator_answers import answer
from dahliashunt.entry.operator_pages import diff_page
from dahliashunt.entry.operator_pages import handover_page
from dahliashunt.entry.operator_pages import list_page
from dahliashunt.entry.operator_pages import record_or_refuse
from dahliashunt.entry.operator_requests import body_of
from dahliashunt.entry.operator_requests import change_id_of
from dahliashunt.entry.operator_requests import check_spec
from dahliashunt.entry.operator_requests import flag
from dahliashunt.entry.operator_requests import key_of
from dahliashunt.entry.operator_requests import keys_of
from dahliashunt.entry.operator_requests import number
from dahliashunt.entry.operator_requests import parse_key
from dahliashunt.entry.operator_requests import revision_of
from dahliashunt.entry.operator_requests import string
from dahliashunt.entry.operator_requests import text
from dahliashunt.entry.operator_requests import with_bases
from dahliashunt.errors import PlatformError
from dahliashunt.ids import Revision
from dahliashunt.records import Catalog
from dahliashunt.records import Document
from dahliashunt.records import Kind
from dahliashunt.records import Proposal
from dahliashunt.records import read_documents
from dahliashunt.records import RecordStore
from dahliashunt.records.kinds.policies import ROLES
from dahliashunt.records.status import Alert
from dahliashunt.records.status import EndpointStatus
from dahliashunt.records.status import JobStatus
from dahliashunt.records.status import NodeStatus
from dahliashunt.records.views import change_view
from dahliashunt.records.views import document_view
from dahliashunt.records.views import outcome_view
from dahliashunt.records.views import status_view

__all__ = ["OperatorContext", "add_operator_routes"]

MAX_HISTORY = 1_000


class OperatorContext(Protocol):
    """What the routes need of the entry.

    Attributes
    ----------
    records : RecordStore
    catalog : Catalog
        What is in force here.
    bootstrap_key_sha256 : str or None
        Hash of a key with all roles, from the settings, to write the
        first Operator record with.
    """

    records: RecordStore
    catalog: Catalog
    bootstrap_key_sha256: str | None

    def nodes(self) -> tuple[NodeStatus, ...]:
        """Return all nodes that this entry knows of, itself included."""

    def endpoints(self) -> tuple[EndpointStatus, ...]:
        """Return all endpoints that this entry knows of."""

    async def jobs(self) -> tuple[JobStatus, ...]:
        """Return the batch jobs that are not at their end."""

    def alerts(self) -> tuple[Alert, ...]:
        """Return what an operator should look at."""


def add_operator_routes(app: Application, context: OperatorContext) -> None:
    """Add all routes under ``/operator`` to an application."""
    routes = _Routes(context)

    def add(method, path, handler, *roles):
        async def respond(request: Request) -> Response:
            return await answer(request, context, handler, roles)

        app.router.add(method, f"/operator/{path}", respond)

    add("GET", "records", routes.list_records, *ROLES)
    add("POST", "records", routes.apply, "write")
    add("GET", "records/{kind}/{name}", routes.get_record, *ROLES)
    add("GET", "history", routes.history, *ROLES)
    add("POST", "restore/{revision}", routes.restore, "write")
    add("GET", "diff", routes.diff, *ROLES)
    add("GET", "status", routes.status, *ROLES)
    add("GET", "endpoints", routes.endpoints, *ROLES)
    add("POST", "endpoints/{name}/drain", routes.drain, "drain", "write")
    add("POST", "endpoints/{name}/undrain", routes.undrain, "drain", "write")
    add("GET", "handover", routes.handover, *ROLES)


class _Routes:
    """One handler a route: a request and its author in, an answer out."""

    def __init__(self, context: OperatorContext):
        self._context = context
        self._records = context.records

    async def list_records(self, request, who):
        at = number(request, "at")
        return await list_page(
            self._records,
            self._context.catalog.snapshot,
            at=None if at is None else Revision(at),
            kind=text(request, "kind"),
            after=text(request, "after"),
            limit=number(request, "limit") or 500,
            version=number(request, "schema_version"),
        )

    async def get_record(self, request, who):
        key = key_of(request)
        at = number(request, "at")
        record = await self._records.get(key, at)
        record = record_or_refuse(record, key, at)
        version = number(request, "schema_version")
        return document_view(record, self._records.schemas, version)

    async def apply(self, request, who):
        body = await body_of(request)
        documents = read_documents(
            string(body, "documents"),
            self._records.schemas,
            string(body, "file", "-"),
        )
        proposal = Proposal(
            change_id_of(body),
            who,
            with_bases(documents, body),
            flag(body, "merge"),
            string(body, "note", ""),
        )
        dry_run = flag(body, "dry_run")
        return outcome_view(await self._records.apply(proposal, dry_run))

    async def history(self, request, who):
        head = await self._records.head()
        before = number(request, "before")
        until = head.revision
        if before is not None:
            until = min(until, Revision(max(0, before - 1)))
        limit = min(number(request, "limit") or 50, MAX_HISTORY)
        name = text(request, "record")
        if name is not None:
            record = await self._records.get(parse_key(name))
            changes = await self._records.log.of_record(record, until, limit)
        else:
            changes = await self._records.log.latest(
                until,
                limit,
                number(request, "since_ms") or 0,
                Revision(number(request, "since") or 0),
            )
        return {
            "head": head.revision,
            "changes": [change_view(change) for change in changes],
        }

    async def restore(self, request, who):
        body = await body_of(request)
        outcome = await self._records.restore(
            revision_of(request),
            change_id_of(body),
            who,
            keys_of(body),
            string(body, "note", ""),
            flag(body, "dry_run"),
        )
        return outcome_view(outcome)

    async def diff(self, request, who):
        head = await self._records.head()
        first = Revision(number(request, "from") or 0)
        last = Revision(number(request, "to") or head.revision)
        return await diff_page(self._records, first, last)

    async def status(self, request, who):
        nodes = self._context.nodes()
        try:
            head, known = (await self._records.head()).revision, True
        except PlatformError:
            heard = [node.revision for node in nodes]
            head = max([self._context.catalog.revision, *heard])
            known = False
        return status_view(head, nodes, known)

    async def endpoints(self, request, who):
        drained = self._context.catalog.drained
        return {
            "revision": self._context.catalog.revision,
            "endpoints": [
                {
                    **dataclasses.asdict(endpoint),
                    "drained": endpoint.endpoint_id in drained,
                }
                for endpoint in sorted(
                    self._context.endpoints(), key=lambda e: e.endpoint_id
                )
            ],
        }

    async def drain(self, request, who):
        body = await body_of(request)
        reason = string(body, "reason", "")
        spec = {"reason": reason} if reason else {}
        return await self._set_drain(request, who, body, spec)

    async def undrain(self, request, who):
        return await self._set_drain(
            request, who, await body_of(request), None
        )

    async def handover(self, request, who):
        return await handover_page(
            self._context,
            number(request, "since"),
            number(request, "since_ms"),
        )

    async def _set_drain(self, request, who, body, spec):
        key = key_of(request, Kind.ENDPOINT_DRAIN.value)
        current = await self._records.get(key)
        base = current.revision if current else Revision(0)
        document = Document(key, 1, base, spec)
        check_spec(document, self._records.schemas)
        proposal = Proposal(
            change_id_of(body),
            who,
            (document,),
            digest=f"{key} {spec}",
        )
        outcome = await self._records.apply(proposal)
        known = {one.endpoint_id for one in self._context.endpoints()}
        return {**outcome_view(outcome), "known": key.name in known}
