"""Batch items on records older than those that permitted them."""

import asyncio
import json

from dahliashunt.batch import BatchItem
from dahliashunt.batch import ItemEnd
from dahliashunt.batch.items import ItemRef
from dahliashunt.entry.access import Access
from dahliashunt.entry.batch_runner import BatchRunner
from dahliashunt.errors import ErrorKind
from dahliashunt.records.catalog import Catalog
from dahliashunt.records.record import Record
from dahliashunt.records.record import RecordKey
from dahliashunt.records.snapshot import Snapshot


def run_item(catalog, revision):
    """Return the outcome of an item that needs no engine to end."""
    body = {"model": "m", "messages": []}
    item = BatchItem(
        job_id="batch_1",
        caller="museum",
        ref=ItemRef(0, 0),
        request_id="r1",
        custom_id="a",
        url="/v1/chat/completions",
        model="m",
        body=json.dumps(body).encode(),
        revision=revision,
    )
    runner = BatchRunner(None, Access(catalog))
    return asyncio.run(runner.run(item))


def test_an_item_waits_for_the_records_that_permitted_it():
    # Guards against items failed for good by an entry whose records lack
    # their caller or model.
    for catalog in (Catalog(), catalog_at(6)):
        assert run_item(catalog, 7).end is ItemEnd.NOT_RUN


def test_an_item_whose_caller_was_removed_fails():
    # Guards against a wait without end for records that will not come.
    for catalog in (catalog_at(7), catalog_at(8)):
        outcome = run_item(catalog, 7)
        assert outcome.end is ItemEnd.FAILED
        assert outcome.kind is ErrorKind.NOT_PERMITTED


def catalog_at(revision):
    catalog = Catalog()
    spec = {"versions": ["1"], "max_tokens": 9}
    record = Record(RecordKey("Model", "m"), 1, revision, spec)
    catalog.advance(Snapshot(revision, [record]))
    return catalog
