import contextlib

from aiohttp import ClientSession
import pytest

from dahliashunt.adapters.objects import HttpObjectStore
from dahliashunt.adapters.objects import MemoryObjectStore
from dahliashunt.adapters.table import HttpLimits
from dahliashunt.errors import PlatformUnavailable
from dahliashunt.errors import WriteOutcomeUnknown
from dahliashunt.standins import run_steadily
from dahliashunt.standins import serve_role

SHORT_LIMITS = HttpLimits(connect_ms=200, idle_ms=100, total_ms=500)


@contextlib.asynccontextmanager
async def http_store(**options):
    async with serve_role("objects", **options) as standin:
        store = HttpObjectStore(standin.url, SHORT_LIMITS)
        yield store, standin.app.faults, standin.url
        await store.close()


@contextlib.asynccontextmanager
async def memory_store():
    store = MemoryObjectStore()
    yield store, store, None


@pytest.fixture(params=[http_store, memory_store], ids=["http", "memory"])
def on_store(request):
    """Run a test's coroutine on each store adapter."""

    def run(test):
        async def body():
            async with request.param() as (store, faults, _):
                await test(store, faults)

        run_steadily(body())

    return run


@pytest.mark.parametrize("name", ["a", "jobs/1/items", "räder & 100%?#x"])
def test_objects_are_read_back_whole(on_store, name):
    async def test(store, faults):
        data = bytes(range(256)) * 400
        assert await store.get(name) is None
        await store.put(name, data)
        assert await store.get(name) == data
        await store.delete(name)
        assert await store.get(name) is None
        await store.delete(name)

    on_store(test)


def test_an_outage_has_no_effect(on_store):
    async def test(store, faults):
        faults.outage = True
        for call in (store.put("a", b"1"), store.get("a"), store.delete("a")):
            with pytest.raises(PlatformUnavailable):
                await call
        faults.outage = False
        assert await store.get("a") is None

    on_store(test)


def test_a_lost_answer_leaves_the_outcome_unknown(on_store):
    async def test(store, faults):
        faults.drop_answers = 1
        with pytest.raises(WriteOutcomeUnknown):
            await store.put("a", b"1")
        assert await store.get("a") == b"1"
        faults.drop_answers = 1
        with pytest.raises(WriteOutcomeUnknown):
            await store.delete("a")
        assert await store.get("a") is None

    on_store(test)


def test_no_write_is_repeated_behind_the_callers_back():
    # Guards against aiohttp's own retry of PUT and DELETE, which would hide
    # a lost response and could delete an object stored in between.
    async def test():
        async with http_store() as (store, faults, url):
            await store.put("a", b"1")
            faults.drop_answers = 1
            with pytest.raises(WriteOutcomeUnknown):
                await store.put("a", b"1")
            faults.drop_answers = 1
            with pytest.raises(WriteOutcomeUnknown):
                await store.delete("a")
            async with (
                ClientSession() as session,
                session.get(f"{url}/standin/counts") as response,
            ):
                counts = await response.json()
            assert (counts["puts"], counts["deletes"]) == (2, 1)

    run_steadily(test())


def test_after_a_silence_the_next_call_uses_a_new_connection():
    async def test():
        async with http_store() as (store, faults, _):
            await store.put("a", b"1")
            faults.set({"silent": True})
            with pytest.raises(PlatformUnavailable):
                await store.get("a")
            assert await store.get("a") == b"1"
            faults.set({"silent": True})
            with pytest.raises(WriteOutcomeUnknown):
                await store.put("b", b"1")
            assert await store.get("b") is None

    run_steadily(test())


def test_over_its_limit_the_store_refuses():
    async def test():
        async with http_store(writes_per_s=0.001) as (store, _, _):
            await store.put("a", b"1")
            with pytest.raises(PlatformUnavailable):
                await store.put("b", b"1")
            assert await store.get("b") is None

    run_steadily(test())
