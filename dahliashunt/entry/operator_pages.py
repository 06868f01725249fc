"""The longer answers to operators: lists, differences, the handover."""

from typing import Any

from dahliashunt.errors import ErrorKind
from dahliashunt.errors import RequestError
from dahliashunt.ids import Revision
from dahliashunt.records import Kind
from dahliashunt.records import Record
from dahliashunt.records import RecordKey
from dahliashunt.records import RecordStore
from dahliashunt.records import SchemaUnknown
from dahliashunt.records import Snapshot
from dahliashunt.records.handover import Handover
from dahliashunt.records.handover import handover_view
from dahliashunt.records.handover import SHIFT_MS
from dahliashunt.records.views import difference_view
from dahliashunt.records.views import document_view

__all__ = ["diff_page", "handover_page", "list_page", "record_or_refuse"]

MAX_LIST = 1_000
MAX_HANDOVER_CHANGES = 200
"""Changes on a handover page; beyond it says how many more there are."""


def record_or_refuse(
    record: Record | None, key: RecordKey, at: int | None
) -> Record:
    """Return a live record, or say that there is none."""
    if record is not None and record.spec is not None:
        return record
    when = "" if at is None else f" at revision {at}"
    raise RequestError(ErrorKind.NOT_FOUND, f"there is no {key}{when}")


async def list_page(
    records: RecordStore,
    snapshot: Snapshot,
    at: Revision | None,
    kind: str | None,
    after: str | None,
    limit: int,
    version: int | None,
) -> dict[str, Any]:
    """Return a page of records.

    Parameters
    ----------
    records : RecordStore
    snapshot : Snapshot
        What is in force here, and what is listed unless `at` is given.
    at : Revision, optional
        List them as they were then.
    kind, after : str, optional
        Only this kind; only what follows this kind/name.
    limit : int
    version : int, optional
        Schema version to show records in, where it can be.
    """
    if at is None:
        at = snapshot.revision
    elif at > (await records.head()).revision:
        raise RequestError(ErrorKind.NOT_FOUND, f"there is no revision {at}")
    limit = min(limit, MAX_LIST)
    start = RecordKey(kind or "", "")
    last = None if after is None else RecordKey(*after.partition("/")[::2])
    page: list[Record] = []
    found = records.log.records_at(snapshot, at, max(start, last or start))
    async for record in found:
        if kind is not None and record.key.kind != kind:
            break
        if record.key != last:
            page.append(record)
        if len(page) > limit:
            break
    return {
        "revision": at,
        "records": [_shown(r, records, version) for r in page[:limit]],
        "has_more": len(page) > limit,
    }


async def diff_page(
    records: RecordStore, first: Revision, last: Revision
) -> dict[str, Any]:
    """Return in which records two revisions differ, and how."""
    head = (await records.head()).revision
    for revision in (first, last):
        if revision > head:
            raise RequestError(
                ErrorKind.NOT_FOUND, f"there is no revision {revision}"
            )
    low, high = min(first, last), max(first, last)
    before_by_key = await records.log.states_at(low, high)
    after_by_key: dict[RecordKey, Record | None] = {}
    async for change in records.log.back(high, low):
        for item in change.items:
            after_by_key.setdefault(item.key, item.after)
    if first > last:
        before_by_key, after_by_key = after_by_key, before_by_key
    differing = []
    for key in sorted(before_by_key):
        found = difference_view(before_by_key[key], after_by_key[key])
        if found:
            differing.append(
                {"kind": key.kind, "name": key.name, "difference": found}
            )
    return {"from": first, "to": last, "records": differing}


async def handover_page(
    context, since: int | None, since_ms: int | None
) -> dict[str, Any]:
    """Return the handover page at the head of the sequence.

    Parameters
    ----------
    context : OperatorContext
    since : int, optional
        List the changes after this revision.
    since_ms : int, optional
        List those written since; by default a shift before the last one.
    """
    records = context.records
    head = (await records.head()).revision
    newest = await records.log.change(head) if head else None
    if since is None and since_ms is None and newest is not None:
        since_ms = newest.wall_ms - SHIFT_MS
    changes = await records.log.latest(
        head,
        MAX_HANDOVER_CHANGES,
        since_wall_ms=since_ms or 0,
        after=Revision(since or 0),
    )
    others, callers = [], 0
    async for record in records.log.records_at(context.catalog.snapshot, head):
        if record.key.kind == Kind.CALLER.value:
            callers += 1
        else:
            others.append(record)
    page = Handover(
        head=newest,
        since=changes[-1].revision - 1 if changes else since or head,
        records=tuple(others),
        callers=callers,
        changes=changes,
        nodes=context.nodes(),
        endpoints=context.endpoints(),
        jobs=await context.jobs(),
        alerts=context.alerts(),
    )
    return handover_view(page, records.schemas)


def _shown(record, records, version):
    try:
        return document_view(record, records.schemas, version)
    except SchemaUnknown:
        return document_view(record, records.schemas)
