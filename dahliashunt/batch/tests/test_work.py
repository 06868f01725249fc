"""Properties of one claim's work and of cutting a file."""

import itertools
import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from dahliashunt.batch.cutter import Cutter
from dahliashunt.batch.items import ItemEnd
from dahliashunt.batch.items import ItemOutcome
from dahliashunt.batch.lease import Claim
from dahliashunt.batch.policy import BatchPolicy
from dahliashunt.batch.tests.conftest import line
from dahliashunt.batch.tests.model import new_job
from dahliashunt.batch.work import ClaimWork
from dahliashunt.errors import ErrorKind
from dahliashunt.errors import RequestError

OUTCOMES = [
    ItemOutcome(ItemEnd.DONE, 200, b"{}"),
    ItemOutcome(ItemEnd.DONE, 400, b"{}"),
    ItemOutcome(ItemEnd.DONE, 200, b"x" * 5_000),
    ItemOutcome(ItemEnd.NOT_RUN),
    ItemOutcome(ItemEnd.UNKNOWN),
    ItemOutcome(ItemEnd.FAILED, kind=ErrorKind.CONVICTED),
    ItemOutcome(ItemEnd.FAILED, kind=ErrorKind.ENDPOINT_FAILED),
]


@settings(derandomize=True, max_examples=200, deadline=None, database=None)
@given(
    lines=st.lists(st.integers(1, 7), min_size=1, max_size=4),
    seed=st.integers(0, 10_000),
)
def test_every_item_is_committed_once(lines, seed):
    # Items end in every way and in any order, loaded chunks are dropped
    # and loaded again, and the owner is replaced by one that starts from
    # what is committed. Each item gets one line, and nothing stays held.
    rng = random.Random(seed)
    policy = BatchPolicy(
        chunk_lines=7, commit_items=3, max_result_bytes=4_000, retry_max_ms=50
    )
    job = new_job(tuple(lines), group_chunks=len(lines))
    claim = Claim(job.job_id, 0, "a", 1, version=1)
    chunks, now, committed = {}, 0, 0
    work, running = ClaimWork(job, claim, chunks, policy, rng), []
    while not work.finished:
        now += 20
        if rng.random() < 0.03:
            work, running = ClaimWork(job, claim, chunks, policy, rng), []
        if rng.random() < 0.1:
            work.unload()
        running += work.start(rng.randrange(4), now)
        chunk = work.next_load()
        if chunk is not None:
            texts = [_text(rng, index) for index in range(lines[chunk])]
            work.load(chunk, texts, now)
        rng.shuffle(running)
        for _ in range(rng.randrange(len(running) + 1)):
            work.ended(running.pop(), rng.choice(OUTCOMES), now)
        while batch := work.due_commit(now):
            part = batch.part
            assert batch.data.count(b"\n") == (
                part.done.bit_count() + part.failed.bit_count()
            )
            assert len(batch.data) == part.output_bytes + part.error_bytes
            committed += batch.data.count(b"\n")
            chunks[batch.after.chunk] = batch.after
            work.committed(batch.after)
    assert committed == sum(lines)
    assert work.held_bytes == 0
    assert not work.unsettled


def _text(rng, index):
    if rng.random() < 0.1:
        return b'{"custom_id": 7}'
    return (
        line(index)
        .rstrip()
        .replace(b"chat/completions", b"x")
        .replace(b"/v1/x", b"e")
    )


@settings(derandomize=True, max_examples=200, deadline=None, database=None)
@given(
    texts=st.lists(
        st.binary(max_size=30).map(lambda b: b.replace(b"\n", b" ")),
        max_size=30,
    ),
    cuts=st.lists(st.integers(0, 900), max_size=10),
    ends=st.booleans(),
)
def test_chunks_are_the_files_lines(texts, cuts, ends):
    # However the network cuts an upload, the chunks hold its lines in
    # order, each whole, and none that is blank.
    data = b"\n".join(texts) + (b"\n" if ends else b"")
    policy = BatchPolicy(chunk_lines=4, chunk_bytes=60)
    cutter = Cutter(policy)
    wanted = [text.strip() for text in texts if text.strip()]
    bounds = [0, *sorted(cuts), len(data)]
    chunks = []
    for start, end in itertools.pairwise(bounds):
        chunks += cutter.feed(data[start:end])
    if not wanted:
        with pytest.raises(RequestError):
            chunks += cutter.rest()
        return
    chunks += cutter.rest()
    assert b"".join(chunks).split(b"\n")[:-1] == wanted
    assert [chunk.count(b"\n") for chunk in chunks] == cutter.lines
    assert cutter.size == sum(map(len, chunks))
    assert max(cutter.lines) <= policy.chunk_lines


def test_a_first_line_that_is_not_json_is_named():
    # A file with a comma too many was answered as a job for model ''.
    cutter = Cutter(BatchPolicy())
    list(cutter.feed(b'\n{"custom_id": "a",}\n'))
    list(cutter.rest())
    with pytest.raises(RequestError, match="line 2 of the file is not JSON"):
        _ = cutter.model
