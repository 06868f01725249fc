"""An entry beside rows of other writers in all its tables."""

import asyncio
import json

import pytest

from dahliashunt.errors import PlatformUnavailable
from dahliashunt.errors import WriteOutcomeUnknown
from dahliashunt.platform.standins.settings import replica_fields
from dahliashunt.platform.standins.settings import route_fields
from dahliashunt.ports.table import Write

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


def relist(store, replica, born):
    fields = replica_fields(replica.address, born=born)
    store.list_replica(replica.replica_id, fields)


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


def test_a_restart_under_one_id_shows_in_loads_and_connections(platform):
    # Guards against loads and connections of an earlier incarnation.
    async def scenario(p):
        (entry,), (replica,) = p.entries, p.replicas
        known, registry = entry.known_replicas, entry.node.registry
        async with p.agent() as server:
            server.replica_restarted("i-0", 1, 8, 0)
            relist(p.store, replica, 1)
            await p.until(lambda: registry.get("i-0").born_ms == 1)
            await p.until(lambda: p.hears_agents(entry))
            assert (await p.call()).status == 200
            assert known.ordered(registry.all(), "")
            opened = replica.connections
            relist(p.store, replica, 2)
            await p.until(lambda: registry.get("i-0").born_ms == 2)
            assert known.load(registry.get("i-0")) is None
            assert known.is_heard(registry.get("i-0"))
            assert (await p.call()).status == 200
            assert replica.connections == opened + 1
            server.replica_restarted("i-0", 2, 8, 0)
            await p.until(lambda: p.hears_agents(entry))

    platform(scenario, ROUTE, engine=True)


def test_an_agent_announces_its_replicas_restart(platform):
    # Guards against an agent that stops at a foreign row, or that keeps to
    # the incarnation that it has found at its start.
    async def scenario(p):
        (entry,), (replica,) = p.entries, p.replicas
        known, registry = entry.known_replicas, entry.node.registry
        report = {"runs": [], "num-running": 0, "num-waiting": 0}
        replica.then(body=json.dumps(report).encode())
        write_foreign_rows(p.store)
        relist(p.store, replica, 1)
        async with p.run_agent(replica):
            await p.until(lambda: p.hears_agents(entry))
            replica.cut_all()
            relist(p.store, replica, 2)
            await p.until(lambda: registry.get("i-0").born_ms == 2)
            await p.until(lambda: p.hears_agents(entry))
            assert known.load(registry.get("i-0")).state.born_ms == 2
            assert (await p.call()).status == 200

    platform(scenario, ROUTE, engine=True)


@pytest.mark.parametrize(
    "body",
    [
        "[1]",
        DEEP,
        '{"rows": 7, "ver": 1}',
        '{"rows": [{}], "ver": 1}',
        '{"rows": [7], "ver": 1}',
        '{"rows": [{"table": "t", "key": "k"}], "ver": 1}',
        '{"rows": [{"table": "t", "key": "k", "ver": "1"}], "ver": 1}',
        '{"rows": [{"table": "t", "key": 5, "ver": 1}], "ver": 1}',
        '{"rows": [{"table": "t", "key": "k", "ver": 1}], "ver": 1,'
        ' "truncated": true}',
        '{"rows": [], "ver": 1, "now-ms": NaN}',
    ],
)
def test_a_broken_answer_of_the_store_is_an_outage(
    platform, monkeypatch, body
):
    # Guards against an error of another type, which ends what reads.
    async def scenario(p):
        store = p.entries[0].jobs.store
        answer = (200, body.encode())
        with monkeypatch.context() as patched:
            patched.setattr(p.store, "_handle_get", lambda fields: answer)
            if "NaN" in body:
                assert (await store.snapshot("servers//")).rows == ()
                return
            with pytest.raises(PlatformUnavailable):
                async with asyncio.timeout(5):
                    await store.snapshot("servers//")

    platform(scenario, ROUTE)


@pytest.mark.parametrize("status", [200, 412])
@pytest.mark.parametrize("body", ["x", "[]", "{}", DEEP, '{"ver": "1"}'])
def test_a_broken_answer_to_a_write_is_no_proof(
    platform, monkeypatch, body, status
):
    # Guards against a write that is said to have failed, and an error of
    # another type, which ends what writes.
    async def scenario(p):
        store = p.entries[0].jobs.store
        answer = (status, body.encode())
        error = WriteOutcomeUnknown if status == 200 else PlatformUnavailable
        with monkeypatch.context() as patched:
            patched.setattr(p.store, "_transact", lambda call: answer)
            with pytest.raises(error):
                await store.transact((Write("t/p/k", "v"),))

    platform(scenario, ROUTE)
