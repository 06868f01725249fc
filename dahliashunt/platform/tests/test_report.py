"""Load reports of replicas, and what an agent publishes of them."""

import asyncio
import json

import pytest
import structlog

from dahliashunt.adapters.clock import VirtualClock
from dahliashunt.adapters.slots.server import SlotServer
from dahliashunt.decisions.replica_speed import RunProgress
from dahliashunt.decisions.slot_allocator import SlotAllocator
from dahliashunt.decisions.slot_messages import SlotRequest
from dahliashunt.decisions.slot_messages import Use
from dahliashunt.metrics import Metrics
from dahliashunt.platform.dialect import decode_report


def report(**fields):
    known = {"num-running": 1, "num-waiting": 0, **fields}
    return decode_report(json.dumps(known).encode())


def test_a_report_states_memory_and_progress():
    found = report(
        runs=[["r", 420, 20, 0]], **{"kv-used": 420, "kv-total": 147_261}
    )
    assert found.run_by_id == {"r": RunProgress(420, 20)}
    assert (found.kv_used, found.kv_total) == (420, 147_261)


@pytest.mark.parametrize(
    "run", [["r"], ["r", "x", 1], ["r", None, None, 0], ["r", True, 1]]
)
def test_a_run_without_its_progress_still_holds_a_slot(run):
    # Guards against a report that is refused whole for an optional field.
    found = report(runs=[run], **{"kv-used": "x", "kv-total": -4})
    assert found.running == {"r"}
    assert not found.run_by_id
    assert (found.kv_used, found.kv_total) == (0, 0)


@pytest.mark.parametrize(
    ("born", "born_ms"),
    [(5, 5), (5.0, 5), (None, 0), ("5", 0), (-1, 0), (True, 0), (2**70, 0)],
)
def test_a_start_is_a_whole_number_or_unknown(born, born_ms):
    # Guards against an agent that ends on a report of another writer.
    assert report(born=born).born_ms == born_ms


def test_an_agent_publishes_speed_and_unread_tokens():
    clock, metrics = VirtualClock(), Metrics("a")
    allocator = SlotAllocator(8)
    server = SlotServer(allocator, clock, metrics, structlog.get_logger())
    ask = SlotRequest("r#1", "r", None, Use.ONLINE, prompt_tokens=32_000)
    allocator.ask(ask, 0)
    assert server._state().waiting_tokens == 32_000
    for step in range(5):
        tokens = 32_000 + 50 * step
        server.report_progress({"r": RunProgress(tokens, 1 + 50 * step)})
        asyncio.run(clock.advance(100))
    state = server._state()
    assert state.token_us == 2_000
    assert not state.waiting_tokens
    assert 'replica_token_us{node="a"} 2000' in metrics.text()
