"""An entry beside rows of other writers in all its tables."""

import pytest

from dahliashunt.platform.standins.settings import replica_fields
from dahliashunt.platform.standins.settings import route_fields

ROUTE = route_fields(kind="idempotent", resumable=False)
DEEP = "[" * 100_000
UNREADABLE = (
    b"\xff\xfe",
    b"",
    "null",
    "[]",
    DEEP,
    {"address": "a..b:80", "state": "ready", "service": "llm"},
)
TABLES = ("servers", "jobs", "beats", "losses", "quotas")
SHARDED = ("progress", "partials", "results")


def write_foreign_rows(store):
    for number, value in enumerate(UNREADABLE):
        for table in TABLES:
            store.put(table, f"foreign-{number}", value)
        for table in SHARDED:
            store.put(table, f"foreign-{number}", value, part="0")
    store.put("op", "other", DEEP)


def names(entry):
    return {each.replica_id for each in entry.node.registry.all()}


@pytest.mark.parametrize("is_before", [True, False])
def test_rows_of_other_writers_change_nothing(platform, is_before):
    # Guards against a row that ends a follower, of an entry that runs or
    # of one that starts then: no later row was applied.
    async def scenario(p):
        entry = p.entries[0]
        write_foreign_rows(p.store)
        if is_before:
            entry = await p.add_entry()
        await p.add_replica()
        await p.until(lambda: len(names(entry)) == 2)
        assert entry.node.ready
        assert not entry.node.metrics.counts_by_name.keys() & {
            ("follower_failures", (("table", table),)) for table in TABLES
        }
        assert (await p.call(entry=entry)).status == 200

    platform(scenario, ROUTE)


def test_a_follower_that_failed_makes_the_entry_unready(platform, monkeypatch):
    # Guards against an entry that takes connections and follows no row.
    async def scenario(p):
        (entry,) = p.entries
        registry = entry.node.registry

        def fail(*args):
            raise TypeError

        with monkeypatch.context() as patched:
            patched.setattr(registry, "put", fail)
            p.store.list_replica("i-9", replica_fields(("127.0.0.1", 9)))
            await p.until(lambda: not entry.node.ready)
            assert (await p.call(port=1)).status == 503
            assert (await p.call()).status == 200
        p.store.unlist_replica("i-9")
        await p.until(lambda: entry.node.ready)

        assert names(entry) == {"i-0"}

    platform(scenario, ROUTE)
