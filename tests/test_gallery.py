"""Each program of the gallery runs, and does what it says."""

import asyncio

import pytest
import structlog

from dahliashunt.local.fleet import serve_local
from dahliashunt.process import Signals
from examples.gallery import batch_job
from examples.gallery import drive_agent
from examples.gallery import drive_entry
from examples.gallery import resend_once
from examples.gallery import stream_answer


@pytest.fixture
def run_beside_local():
    """Return a runner of `program(url)` beside the whole system."""

    def run(program):
        return asyncio.run(_run(program))

    return run


async def _run(program):
    signals = Signals()
    port = asyncio.get_running_loop().create_future()
    served = asyncio.create_task(
        serve_local(0, signals, structlog.get_logger(), port.set_result)
    )
    await asyncio.wait({served, port}, return_when=asyncio.FIRST_COMPLETED)
    if served.done():
        served.result()
    try:
        return await program(f"http://127.0.0.1:{port.result()}")
    finally:
        signals.leave.set()
        await served


def test_stream_comes_in_pieces(run_beside_local):
    pieces = []
    text = run_beside_local(
        lambda url: stream_answer.stream(url, write=pieces.append)
    )
    assert len(pieces) > 1
    assert "".join(pieces) == text


def test_job_is_found_by_its_key_and_answers_each_item(run_beside_local):
    answer_by_id = run_beside_local(lambda url: batch_job.run(url, items=3))
    assert sorted(answer_by_id) == ["doll-0", "doll-1", "doll-2"]
    assert all(answer_by_id.values())


def test_resend_gets_the_answer_of_the_one_run(run_beside_local):
    first, again, other = run_beside_local(resend_once.run)
    assert first[0] == 200
    assert again == first
    assert other[0] == 422
    assert other[1]["error"]["code"] == "key_reused"
    assert other[1]["error"]["ran"] == "no"


def test_burst_is_answered_or_refused_at_once():
    lines = []
    done, refused = drive_entry.play(40, lines.append)
    assert done + refused == 40
    assert done and refused
    assert any(" refuse " in line for line in lines)


def test_batch_gives_way_to_online():
    started, preempted = drive_agent.play(write=lambda line: None)
    online = [name for name in started if name.startswith("online")]
    assert online
    assert preempted
    assert all(name.startswith("item") for name in preempted)
