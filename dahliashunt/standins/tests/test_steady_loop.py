import asyncio
import time

import pytest

from dahliashunt.adapters.table import HttpLimits
from dahliashunt.adapters.weights import HttpWeightStore
from dahliashunt.errors import PlatformUnavailable
from dahliashunt.standins import run_steadily
from dahliashunt.standins import serve_role

LIMITS = HttpLimits(connect_ms=200, idle_ms=100, total_ms=500)
STALL_S = 0.25


async def call_while_stalling():
    """Call a stand-in; the process stalls in the next turns of the loop."""
    loop = asyncio.get_running_loop()

    def stall(turns):
        time.sleep(STALL_S)
        if turns > 1:
            loop.call_soon(stall, turns - 1)

    async with serve_role("weights", rate=30) as standin:
        store = HttpWeightStore(standin.url, LIMITS)
        loop.call_soon(stall, 5)
        try:
            return await store.rate()
        finally:
            await store.close()


def test_a_stalled_process_does_not_time_out_its_own_calls():
    """Guards against tests that fail when their process is not scheduled."""
    with pytest.raises(PlatformUnavailable):
        asyncio.run(call_while_stalling())
    assert run_steadily(call_while_stalling()) == 30


def test_a_timeout_without_a_stall_takes_its_time():
    async def timed_out():
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.05):
                await asyncio.Event().wait()
        return loop.time() - began_s

    assert 0.05 <= run_steadily(timed_out()) < 0.06
