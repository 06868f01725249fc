import asyncio
import json

from aiohttp import ClientSession
import pytest

from dahliashunt.adapters.clock import VirtualClock
from dahliashunt.adapters.instances import HttpInstanceList
from dahliashunt.adapters.instances import instance_fields
from dahliashunt.adapters.table import HttpLimits
from dahliashunt.adapters.weights import HttpWeightStore
from dahliashunt.errors import PlatformUnavailable
from dahliashunt.ports.instances import Instance
from dahliashunt.ports.instances import InstanceKind
from dahliashunt.ports.instances import InstanceState
from dahliashunt.standins import create_app
from dahliashunt.standins import run_steadily
from dahliashunt.standins import serve
from dahliashunt.standins import serve_role

ENTRY = Instance(
    "entry-1", InstanceKind.ENTRY, InstanceState.LIVE, "::1", 1, "hall-a"
)
AGENT = Instance(
    "agent-1",
    InstanceKind.AGENT,
    InstanceState.LEAVING,
    "127.0.0.1",
    2,
    "hall-b",
    "engine-1",
)
SHORT = HttpLimits(connect_ms=200, idle_ms=100, total_ms=500)


async def post(url, value):
    async with (
        ClientSession() as session,
        session.post(url, data=json.dumps(value)) as response,
    ):
        return response.status


def test_the_instance_list_lags():
    async def test():
        clock = VirtualClock()
        app = create_app("instances", {"lag_ms": 2000}, clock)
        async with serve(app) as url:
            listed = HttpInstanceList(url, SHORT)
            wanted = (ENTRY, AGENT)
            fields = [instance_fields(each) for each in wanted]
            await post(f"{url}/standin/instances", fields)
            await clock.advance(1999)
            assert await listed.read() == ()
            await clock.advance(1)
            assert await listed.read() == wanted
            await post(f"{url}/standin/instances", [])
            assert await listed.read() == wanted
            await clock.advance(2000)
            assert await listed.read() == ()
            await listed.close()

    run_steadily(test())


@pytest.mark.parametrize("fault", ["outage", "silent", "freeze"])
@pytest.mark.parametrize(
    ("role", "adapter", "name"),
    [
        ("instances", HttpInstanceList, "read"),
        ("weights", HttpWeightStore, "sizes"),
        ("weights", HttpWeightStore, "rate"),
    ],
)
def test_a_faulty_platform_service_is_unavailable(role, adapter, name, fault):
    async def test():
        async with serve_role(role) as standin:
            service = adapter(standin.url, SHORT)
            before = await getattr(service, name)()
            standin.app.faults.set({fault: True})
            with pytest.raises(PlatformUnavailable):
                await getattr(service, name)()
            if fault != "silent":
                standin.app.faults.set({fault: False})
            assert await getattr(service, name)() == before
            await service.close()

    run_steadily(test())


def test_the_weight_store_tells_sizes_and_rate():
    async def test():
        sizes = "a@v1:10,b:20"
        async with serve_role("weights", sizes=sizes, rate=30) as standin:
            store = HttpWeightStore(standin.url)
            assert await store.sizes() == {"a@v1": 10, "b": 20}
            assert await store.rate() == 30
            await store.close()

    run_steadily(test())


def test_fetches_share_the_weight_stores_rate():
    # Ten engines that load at once each wait ten times as long; a second
    # fetch that joins halfway halves the first one's rest.
    async def test():
        clock = VirtualClock()
        options = {"sizes": "a:1000", "rate": 1000}
        app = create_app("weights", options, clock)
        async with serve(app) as url:
            fetch = f"{url}/fetch"
            first = asyncio.create_task(post(fetch, {"name": "a"}))
            await until_fetches(url, 1)
            await clock.advance(500)
            second = asyncio.create_task(post(fetch, {"name": "a"}))
            await until_fetches(url, 2)
            await clock.advance(999)
            assert not first.done()
            await clock.advance(1)
            assert await first == 200
            await clock.advance(499)
            assert not second.done()
            await clock.advance(1)
            assert await second == 200

    run_steadily(test())


async def until_fetches(url, count):
    found = -1
    while found != count:
        async with (
            ClientSession() as session,
            session.get(f"{url}/standin/counts") as response,
        ):
            found = (await response.json())["fetches"].get("a", 0)


def test_an_unknown_fault_is_refused():
    async def test():
        async with serve_role("table") as standin:
            url = f"{standin.url}/standin/faults"
            assert await post(url, {"silnet": True}) == 400
            assert await post(url, {"outage": True}) == 200
            assert standin.app.faults.outage

    run_steadily(test())
