"""Services and engines that answer without end."""

import pytest

from dahliashunt.adapters.engine import HttpEngine
from dahliashunt.adapters.table.calls import PlatformCalls
from dahliashunt.adapters.table.sessions import HttpLimits
from dahliashunt.adapters.table.sessions import MAX_BODY_BYTES
from dahliashunt.errors import EngineLost
from dahliashunt.errors import PlatformUnavailable
from dahliashunt.platform.standins import Endless
from dahliashunt.platform.standins import EndlessPeer
from dahliashunt.ports.engine import EngineCall
from dahliashunt.standins import run_steadily

LIMITS = HttpLimits(idle_ms=20_000, total_ms=20_000)
MAX_SENT_BYTES = MAX_BODY_BYTES + 8_000_000

COMPLETE = {Endless.LATES}
"""Responses that are complete, and followed by surplus bytes."""


def run_at(peer, call):
    """Return what ``call(base URL)`` returns or raises at `peer`."""

    async def main():
        host, port = await peer.start()
        try:
            return await call(f"http://{host}:{port}")
        finally:
            await peer.stop()

    return run_steadily(main())


@pytest.mark.parametrize(
    "endless",
    [each for each in Endless if each not in COMPLETE],
    ids=lambda each: each.name,
)
def test_an_endless_answer_of_a_service_is_not_read(endless):
    """Guards against answers that fill the memory or the network."""
    peer = EndlessPeer(endless)

    async def read(url):
        calls = PlatformCalls(url, LIMITS)
        with pytest.raises(PlatformUnavailable) as caught:
            await calls.read("GET", "/instances")
        await calls.close()
        return str(caught.value)

    assert "TimeoutError" not in run_at(peer, read)
    assert peer.sent < MAX_SENT_BYTES


def test_an_event_without_end_is_not_read():
    """Guards against an engine's event that fills the memory of an agent."""
    peer = EndlessPeer(Endless.ENGINE_EVENT)

    async def call(url):
        engine = HttpEngine(url, LIMITS)
        with pytest.raises(EngineLost, match="an event exceeds"):
            async for _ in engine.call(
                EngineCall("a1", "POST", "/v1/x", b"{}", {}), 20_000
            ):
                pass
        await engine.close()

    run_at(peer, call)
    assert peer.sent < MAX_SENT_BYTES
