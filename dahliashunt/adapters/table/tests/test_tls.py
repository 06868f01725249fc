import asyncio
import pathlib
import ssl

import pytest

from dahliashunt.adapters.engine import HttpEngine
from dahliashunt.adapters.table import HttpTableService
from dahliashunt.errors import EngineUnreachable
from dahliashunt.errors import PlatformUnavailable
from dahliashunt.ports.table import Write
from dahliashunt.standins import create_app
from dahliashunt.standins import serve

# Self-signed test certificate and key for 127.0.0.1.
PEM = str(pathlib.Path(__file__).with_name("loopback.pem"))


def test_calls_go_over_tls():
    async def test():
        tls = ssl.create_default_context(cafile=PEM)
        async with serve(create_app("table"), certificate=PEM) as url:
            assert url.startswith("https://")
            table = HttpTableService(url, tls=tls)
            assert await table.transact((Write("a", "1"),)) == (1,)
            assert (await table.read("a")).value == "1"
            await table.close()
        async with serve(create_app("engine"), certificate=PEM) as url:
            engine = HttpEngine(url, tls=tls)
            assert (await engine.state()).role == "serve"
            await engine.close()

    asyncio.run(test())


def test_nothing_is_sent_to_a_peer_that_is_not_trusted():
    async def test():
        async with serve(create_app("table"), certificate=PEM) as url:
            table = HttpTableService(url)
            with pytest.raises(PlatformUnavailable):
                await table.transact((Write("a", "1"),))
            await table.close()
            engine = HttpEngine(url)
            with pytest.raises(EngineUnreachable):
                await engine.state()
            await engine.close()

    asyncio.run(test())
