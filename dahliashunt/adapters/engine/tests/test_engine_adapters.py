import asyncio
import contextlib
import itertools
import json

from aiohttp import ClientSession
from hypothesis import given
from hypothesis import strategies as st
import pytest

from dahliashunt.adapters.engine import create_engine_adapter
from dahliashunt.adapters.engine.http_engine import complete_events
from dahliashunt.adapters.engine.http_engine import HttpEngine
from dahliashunt.adapters.table import HttpLimits
from dahliashunt.errors import EngineError
from dahliashunt.errors import EngineLost
from dahliashunt.errors import EngineUnreachable
from dahliashunt.errors import StaleFence
from dahliashunt.errors import StreamUnknown
from dahliashunt.ids import FenceToken
from dahliashunt.ports.engine import EngineCall
from dahliashunt.ports.engine import LoadedModel
from dahliashunt.ports.engine import Order
from dahliashunt.standins import expected_answer
from dahliashunt.standins import expected_text
from dahliashunt.standins import run_steadily
from dahliashunt.standins import serve_role

SHORT_LIMITS = HttpLimits(
    connect_ms=500, idle_ms=200, total_ms=1000, connections=0
)
MANY_TOKENS = 10_000
TIMEOUT_MS = 20_000


@contextlib.asynccontextmanager
async def back_end(dialect="openai", role="engine", **options):
    async with serve_role(role, **options) as standin:
        engine = create_engine_adapter(dialect, standin.url, SHORT_LIMITS)
        yield engine, standin
        await engine.close()


def completion(attempt_id, tokens, **fields):
    body = {
        "model": "model-a",
        "prompt": "p",
        "max_tokens": tokens,
        "stream": True,
        **fields,
    }
    headers = {"X-Origin-Request-Id": "origin"}
    data = json.dumps(body).encode()
    return EngineCall(attempt_id, "POST", "/v1/completions", data, headers)


async def read_all(answer):
    return [events async for events in answer]


def text_of(pieces):
    events = b"".join(each.data for each in pieces).split(b"\n\n")[:-1]
    assert len(events) == sum(each.events for each in pieces)
    parsed = [
        json.loads(event.removeprefix(b"data: "))
        for event in events
        if event != b"data: [DONE]"
    ]
    return "".join(e["choices"][0]["text"] for e in parsed if e["choices"])


async def loaded(engine):
    """Return the engine's state once no load is in progress."""
    state = await engine.state()
    while state.loading:
        state = await engine.state()
    return state


async def counts(standin):
    async with (
        ClientSession() as session,
        session.get(f"{standin.url}/standin/counts") as response,
    ):
        return await response.json()


@pytest.mark.parametrize("options", [{}, {"base_ms": 0}])
def test_a_stream_comes_whole(options):
    async def test():
        async with back_end(**options) as (engine, standin):
            call = completion("a", 700 if options else 20)
            pieces = await read_all(engine.call(call, TIMEOUT_MS))
            tokens = sum(each.events for each in pieces) - 2
            assert text_of(pieces) == expected_text("model-a", "p", 0, tokens)
            found = await counts(standin)
            assert found["starts"] == found["finishes"] == {"a": 1}
            assert found["origin_finishes"] == {"origin": 1}

    run_steadily(test())


@pytest.mark.parametrize("offset", [0, 3, 5, 6])
def test_a_stream_is_resumed_from_any_event(offset):
    async def test():
        async with back_end() as (engine, _):
            pieces = await read_all(
                engine.call(completion("a/b", 5), TIMEOUT_MS)
            )
            whole = b"".join(each.data for each in pieces)
            events = whole.split(b"\n\n")[:-1]
            rest = await read_all(engine.resume("a/b", offset, TIMEOUT_MS))
            found = b"".join(each.data for each in rest)
            assert found.split(b"\n\n")[:-1] == events[offset:]
            assert await engine.streams() == ("a/b",)
            with pytest.raises(StreamUnknown):
                await read_all(engine.resume("other", 0, TIMEOUT_MS))

    run_steadily(test())


def test_a_dropped_reader_can_come_back_to_its_stream():
    # Guards against losing or repeating a response when its agent restarts.
    async def test():
        async with back_end(base_ms=2) as (engine, standin):
            answer = engine.call(completion("a", 60), TIMEOUT_MS)
            first = await anext(answer)
            await answer.aclose()
            rest = await read_all(engine.resume("a", first.events, TIMEOUT_MS))
            text = text_of([first, *rest])
            assert text == expected_text("model-a", "p", 0, 60)
            assert (await counts(standin))["starts"] == {"a": 1}

    run_steadily(test())


def test_a_stream_whose_reader_never_comes_back_is_cancelled():
    # Guards against streams of a lost agent that keep the engine busy.
    async def test():
        options = {"orphan_ms": 20, "kv_tokens": 10**9}
        async with back_end(**options) as (engine, standin):
            answer = engine.call(completion("a", 10**6), TIMEOUT_MS)
            await anext(answer)
            await answer.aclose()
            async with asyncio.timeout(60):
                found = await counts(standin)
                while not found["cancels"]:
                    found = await counts(standin)
            assert found["cancels"] == {"a": 1}
            assert found["totals"]["orphans"] == 1

    run_steadily(test())


def test_a_stream_cut_off_by_its_engine_is_an_error_not_an_end():
    # Guards against passing on a truncated stream as a complete response.
    async def test():
        async with back_end() as (engine, standin):
            answer = engine.call(completion("a", MANY_TOKENS), TIMEOUT_MS)
            await anext(answer)
            await engine.cancel("a")
            with pytest.raises(EngineLost):
                await read_all(answer)
            await engine.cancel("a")
            await engine.cancel("other")
            assert (await counts(standin))["cancels"] == {"a": 1}

    run_steadily(test())


def test_exported_work_is_imported_by_another_engine():
    async def test():
        async with back_end() as (one, _), back_end() as (two, _):
            answer = one.call(completion("a", 8000), TIMEOUT_MS)
            await anext(answer)
            handle = await one.export_kv("a")
            await answer.aclose()
            assert await one.export_kv("a") is None
            assert await one.export_kv("other") is None
            call = completion("b", 8000, kv_handle=handle)
            made = int(handle.rpartition("-")[2])
            answer = two.call(call, TIMEOUT_MS)
            first = await anext(answer)
            await answer.aclose()
            assert first.events >= made >= 1

    run_steadily(test())


def test_an_engine_that_is_gone_is_unreachable():
    async def test():
        async with back_end() as (engine, _):
            pass
        with pytest.raises(EngineUnreachable):
            await read_all(engine.call(completion("a", 1), TIMEOUT_MS))
        with pytest.raises(EngineUnreachable):
            await engine.state()

    run_steadily(test())


def test_after_a_silence_the_stream_is_resumed_on_a_new_connection():
    # Guards against a stream that hangs on a silent connection.
    async def test():
        async with back_end(base_ms=2) as (engine, standin):
            answer = engine.call(completion("a", 60), TIMEOUT_MS)
            got = [await anext(answer)]
            standin.app.faults.set({"silent": True})
            with pytest.raises(EngineLost):
                async for events in answer:
                    got.append(events)
            offset = sum(each.events for each in got)
            got += await read_all(engine.resume("a", offset, TIMEOUT_MS))
            assert text_of(got) == expected_text("model-a", "p", 0, 60)

    run_steadily(test())


@pytest.mark.parametrize(
    ("role", "dialect", "mark"),
    [
        ("engine", "openai", "CRASH-ENGINE"),
        ("service", "plain", "CRASH-SERVICE"),
    ],
)
def test_a_request_that_crashes_its_back_end_is_lost(role, dialect, mark):
    async def test():
        options = {"role": role, "dialect": dialect, "crash": "restart"}
        async with back_end(**options) as (engine, _):
            before = await engine.state()
            bystander = engine.call(completion("a", MANY_TOKENS), TIMEOUT_MS)
            await anext(bystander)
            call = completion("b", 1, prompt=mark)
            with pytest.raises(EngineLost):
                await read_all(engine.call(call, TIMEOUT_MS))
            if role == "engine":
                with pytest.raises(EngineLost):
                    await read_all(bystander)
                assert await engine.streams() == ()
                after = await engine.state()
                assert after.incarnation != before.incarnation

    run_steadily(test())


@pytest.mark.parametrize("checks", [True, False])
def test_old_orders_are_refused_only_where_tokens_are_checked(checks):
    async def test():
        async with back_end(checks_fence=checks, load_ms=0) as (engine, _):
            new = LoadedModel("model-b", "v2", ("x",))
            await engine.order(Order("serve", (new,), FenceToken(5)))
            assert (await loaded(engine)).models == (new,)
            old = Order("idle", (), FenceToken(4))
            if checks:
                with pytest.raises(StaleFence):
                    await engine.order(old)
            else:
                await engine.order(old)
            state = await engine.state()
            assert state.checks_fence is checks
            assert state.role == ("serve" if checks else "idle")
            assert state.models == ((new,) if checks else ())

    run_steadily(test())


def test_loads_come_from_the_weight_store():
    async def test():
        sizes = "model-b@v2:1000,x:500"
        async with (
            serve_role("weights", sizes=sizes, rate=1_000_000) as store,
            back_end(weights=store.url) as (engine, standin),
        ):
            wanted = (
                LoadedModel("model-a"),
                LoadedModel("model-b", "v2", ("x",)),
                LoadedModel("missing"),
            )
            await engine.order(Order("serve", wanted, FenceToken(1)))
            assert (await loaded(engine)).models == wanted[:2]
            fetches = (await counts(store))["fetches"]
            assert fetches == {"model-b@v2": 1, "x": 1}
            orders = (await counts(standin))["orders"]
            assert orders == {"taken": 1, "loads": 1, "failed_loads": 1}

    run_steadily(test())


def test_cache_events_name_the_blocks_of_a_prompt():
    async def test():
        options = {"cache_lag_ms": 0, "cache_loss": 0.0}
        async with back_end(**options) as (engine, _):
            call = completion("a", 1, prompt="x" * 200)
            await read_all(engine.call(call, TIMEOUT_MS))
            events = await engine.cache_events(0)
            assert [each.seq for each in events] == [1, 2, 3]
            assert len({each.prefix for each in events}) == 3
            assert await engine.cache_events(2) == events[2:]
            assert (await engine.load()).kv_total_tokens == 200_000

    run_steadily(test())


def test_a_plain_service_answers_each_call_once():
    async def test():
        async with back_end("plain", "service") as (service, standin):
            call = EngineCall("a", "POST", "/stamp/k7", b"title")
            pieces = await read_all(service.call(call, TIMEOUT_MS))
            found = json.loads(b"".join(each.data for each in pieces))
            assert found == expected_answer("POST", "/stamp/k7", b"title")
            assert (await counts(standin))["stamps"] == {"k7": 1}
            with pytest.raises(StreamUnknown):
                await read_all(service.resume("a", 0, TIMEOUT_MS))
            assert await service.streams() == ()

    run_steadily(test())


def test_a_stamp_whose_answer_is_lost_is_not_repeated():
    # Guards against an HTTP client that retries a call that took effect.
    async def test():
        async with back_end("plain", "service") as (service, standin):
            for method in ("POST", "PUT", "DELETE"):
                standin.app.faults.drop_answers = 1
                call = EngineCall("a", method, "/stamp/k7", b"title")
                with pytest.raises(EngineLost):
                    await read_all(service.call(call, TIMEOUT_MS))
            assert (await counts(standin))["calls"] == {"/stamp/k7": 3}

    run_steadily(test())


def test_an_engine_that_answers_an_error_is_neither_lost_nor_gone():
    async def test():
        async with back_end() as (engine, standin):
            standin.app.faults.outage = True
            with pytest.raises(EngineError) as caught:
                await engine.state()
            assert type(caught.value) is EngineError

    run_steadily(test())


def test_a_resume_that_is_refused_can_be_tried_again():
    async def test():
        async with back_end() as (engine, standin):
            await read_all(engine.call(completion("a", 3), TIMEOUT_MS))
            standin.app.faults.outage = True
            with pytest.raises(EngineLost):
                await read_all(engine.resume("a", 0, TIMEOUT_MS))
            standin.app.faults.outage = False
            rest = await read_all(engine.resume("a", 0, TIMEOUT_MS))
            assert text_of(rest) == expected_text("model-a", "p", 0, 3)

    run_steadily(test())


@given(cuts=st.lists(st.integers(0, 60), max_size=8).map(sorted))
def test_events_stay_whole_however_the_reads_cut_them(cuts):
    body = b"data: 1\n\ndata: two\n\ndata: {}\n\ndata: [DONE]\n\n"
    edges = [0, *cuts, len(body)]
    reads = [body[a:b] for a, b in itertools.pairwise(edges) if a < b]
    found = run_steadily(read_all(complete_events(ChunkedBody(reads))))
    assert b"".join(found) == body
    assert all(data.endswith(b"\n\n") for data in found)


class ChunkedBody:
    """Response body that arrives in the given reads."""

    def __init__(self, reads):
        self.reads = reads

    async def iter_any(self):
        for data in self.reads:
            yield data


def test_headers_of_the_callers_own_connection_are_left_out():
    # Guards against request smuggling by a transfer coding beside a length.
    async def test():
        headers = {
            "Transfer-Encoding": "chunked",
            "Content-Length": "99",
            "X-Own": "2",
        }
        call = EngineCall("a", "PUT", "/x", b"body", headers)
        async with recording_server("X-Own: 1") as (port, seen):
            service = create_engine_adapter(
                "plain", f"http://127.0.0.1:{port}"
            )
            (piece,) = await read_all(service.call(call, TIMEOUT_MS))
            await service.close()
        assert (piece.status, piece.data, piece.events) == (204, b"", 1)
        assert piece.headers == {"x-own": "1"}
        lines = seen[0].lower().split(b"\r\n")[1:-2]
        names = sorted(line.partition(b":")[0] for line in lines)
        assert names == [
            b"accept",
            b"content-length",
            b"host",
            b"x-own",
            b"x-request-id",
        ]
        assert b"content-length: 4" in lines

    run_steadily(test())


def test_one_callers_cookie_does_not_go_out_with_the_next_call():
    # Guards against a cookie jar that sends one caller's cookie for another.
    async def test():
        async with recording_server("Set-Cookie: who=first") as (port, seen):
            service = create_engine_adapter(
                "plain", f"http://localhost:{port}"
            )
            for attempt_id in "ab":
                call = EngineCall(attempt_id, "GET", "/", b"")
                (piece,) = await read_all(service.call(call, TIMEOUT_MS))
                assert piece.headers == {"set-cookie": "who=first"}
            await service.close()
        assert len(seen) == 2
        assert b"cookie" not in seen[1].lower()

    run_steadily(test())


@contextlib.asynccontextmanager
async def recording_server(header):
    """Yield a server's port and the list of request heads it received."""
    heads = []

    async def answer(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError):
            while True:
                heads.append(await reader.readuntil(b"\r\n\r\n"))
                answer = f"HTTP/1.1 204 No Content\r\n{header}\r\n\r\n"
                writer.write(answer.encode())
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    async with server:
        yield server.sockets[0].getsockname()[1], heads


@pytest.mark.parametrize("status", [200, 204, 206])
def test_a_success_that_is_no_event_stream_is_lost(status):
    """Guards against foreign bytes that a caller gets as a model's answer."""

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        body = b"" if status == 204 else b"\x00\x01 not a response"
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)

    async def test():
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        engine = HttpEngine(f"http://{host}:{port}")
        call = EngineCall("a1", "POST", "/v1/completions", b"{}", {})
        try:
            with pytest.raises(EngineLost):
                await read_all(engine.call(call, 1_000))
        finally:
            await engine.close()
            server.close()

    asyncio.run(test())
