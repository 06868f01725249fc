"""The official client against the batch routes, over loopback."""

import asyncio
import json
import random
import socket

from blacksheep import Application
from blacksheep import Router
import httpx
import openai
import pytest
import uvicorn

from dahliashunt.adapters.clock import SystemClock
from dahliashunt.batch.policy import BatchPolicy
from dahliashunt.batch.service import BatchService
from dahliashunt.batch.tests.conftest import FakeObjects
from dahliashunt.batch.tests.conftest import FakeRunner
from dahliashunt.batch.tests.conftest import FakeTable
from dahliashunt.batch.tests.conftest import FirstCome
from dahliashunt.batch.tests.conftest import line
from dahliashunt.entry.batch_routes import add_batch_routes
from dahliashunt.errors import ErrorKind
from dahliashunt.errors import RequestError


class Context:
    """Callers by key; the model ``secret`` is nobody's."""

    def __init__(self, batch):
        self.batch = batch

    async def authenticate(self, request):
        header = request.get_first_header(b"Authorization") or b""
        key = header.decode().removeprefix("Bearer ")
        if not key.startswith("key-"):
            raise RequestError(ErrorKind.UNAUTHENTICATED, "unknown key")
        return key.removeprefix("key-")

    async def accepts(self, caller, model):
        if model == "secret":
            raise RequestError(ErrorKind.NOT_PERMITTED, "not this model")
        return 7


class Server(uvicorn.Server):
    """A server that tells when it listens."""

    async def startup(self, sockets=None):
        await super().startup(sockets)
        self.up.set()


class Site:
    """A server in this process and what stands behind it."""

    def __init__(self, policy):
        clock = SystemClock()
        self.table = FakeTable()
        self.objects = FakeObjects()
        self.runner = FakeRunner(clock, item_ms=1)
        self.batch = BatchService(
            self.table,
            self.objects,
            clock,
            random.Random(1),
            "entry-1",
            self.runner,
            FirstCome(),
            policy,
        )
        app = Application(router=Router())
        add_batch_routes(app, Context(self.batch))
        config = uvicorn.Config(app, log_config=None, lifespan="on")
        self.server = Server(config)
        self.server.up = asyncio.Event()
        self.socket = socket.create_server(("127.0.0.1", 0))
        self.url = f"http://127.0.0.1:{self.socket.getsockname()[1]}/v1"
        self.tasks = []

    async def start(self):
        loop = asyncio.get_running_loop()
        serving = self.server.serve(sockets=[self.socket])
        self.tasks = [loop.create_task(serving)]
        await self.server.up.wait()
        self.tasks.append(loop.create_task(self.batch.run()))

    async def stop(self):
        self.server.should_exit = True
        await self.tasks[0]
        self.tasks[1].cancel()
        await asyncio.gather(self.tasks[1], return_exceptions=True)

    def client(self, caller="museum", **options):
        return openai.AsyncOpenAI(
            base_url=self.url, api_key=f"key-{caller}", **options
        )

    async def ended(self, client, job):
        while job.status not in ("completed", "cancelled", "expired"):
            await asyncio.sleep(0.02)
            job = await client.batches.retrieve(job.id)
        return job


@pytest.fixture
def serve():
    """Run a scenario against a server with the policy given."""

    def run(scenario, **policy):
        async def main():
            site = Site(BatchPolicy(tick_ms=10, **policy))
            await site.start()
            try:
                await scenario(site)
            finally:
                await site.stop()

        asyncio.run(main())

    return run


def lot(items, model="m"):
    return b"".join(line(number, model) for number in range(items))


async def submit(client, file_id, **options):
    return await client.batches.create(
        input_file_id=file_id,
        endpoint="/v1/chat/completions",
        completion_window="24h",
        **options,
    )


async def upload(client, data):
    return await client.files.create(file=("lot.jsonl", data), purpose="batch")


def test_client_runs_a_batch(serve):
    async def scenario(site):
        client = site.client()
        file = await upload(client, lot(30) + b"not json\n")
        assert file.bytes == len(lot(30)) + 9
        job = await submit(client, file.id, metadata={"lot": "7"})
        assert job.status == "in_progress"
        done = await site.ended(client, job)
        counts = done.request_counts
        assert (counts.total, counts.completed, counts.failed) == (31, 30, 1)
        assert done.metadata == {"lot": "7"}
        assert done.completed_at is not None
        output = await client.files.content(done.output_file_id)
        lines = [json.loads(text) for text in output.text.splitlines()]
        assert len({entry["custom_id"] for entry in lines}) == 30
        about = await client.files.retrieve(done.output_file_id)
        assert about.bytes == len(output.content)
        errors = await client.files.content(done.error_file_id)
        assert json.loads(errors.text)["error"]["code"] == "bad_request"
        back = await client.files.content(file.id)
        assert back.content == lot(30) + b"not json\n"

    serve(scenario, chunk_lines=8)


def test_sync_client_lists_and_cancels(serve):
    async def scenario(site):
        site.runner.gate.clear()

        def use():
            client = openai.OpenAI(base_url=site.url, api_key="key-museum")
            ids = []
            for number in range(3):
                file = client.files.create(
                    file=("a.jsonl", lot(2)), purpose="batch"
                )
                job = client.batches.create(
                    input_file_id=file.id,
                    endpoint="/v1/chat/completions",
                    completion_window="24h",
                    metadata={"job_key": f"lot-{number}"},
                )
                ids.append(job.id)
            listed = [job.id for job in client.batches.list(limit=2)]
            assert sorted(listed) == sorted(ids)
            files = [entry.id for entry in client.files.list()]
            assert len(files) == 3
            job = client.batches.cancel(ids[0])
            assert job.status in ("cancelling", "cancelled")
            return ids[0]

        job_id = await asyncio.to_thread(use)
        client = site.client()
        job = await client.batches.retrieve(job_id)
        assert (await site.ended(client, job)).status == "cancelled"
        assert sum(site.runner.cancelled.values()) == 2

    serve(scenario)


def test_others_see_nothing(serve):
    async def scenario(site):
        client, other = site.client(), site.client("rival")
        file = await upload(client, lot(3))
        job = await site.ended(client, await submit(client, file.id))
        for call in (
            other.files.retrieve(file.id),
            other.files.content(file.id),
            other.files.delete(file.id),
            other.files.content(job.output_file_id),
            other.batches.retrieve(job.id),
            other.batches.cancel(job.id),
            submit(other, file.id),
        ):
            with pytest.raises(openai.NotFoundError):
                await call
        assert not [entry async for entry in other.batches.list()]
        with pytest.raises(openai.ConflictError):
            await client.files.delete(job.output_file_id)
        with pytest.raises(openai.AuthenticationError):
            await openai.AsyncOpenAI(
                base_url=site.url, api_key="x"
            ).files.list()

    serve(scenario)


def test_resend_finds_the_first_job(serve):
    # An application sends its lot, sees no answer and sends it again; the
    # second answer must name the first job. Another lot under the same
    # key is a mistake, and the museum must hear of it.
    async def scenario(site):
        client = site.client()
        file = await upload(client, lot(3))
        headers = {"Idempotency-Key": "lot-9"}
        jobs = await asyncio.gather(
            *(submit(client, file.id, extra_headers=headers) for _ in "abc")
        )
        assert len({job.id for job in jobs}) == 1
        other = await upload(client, lot(2))
        with pytest.raises(openai.UnprocessableEntityError) as caught:
            await submit(client, other.id, extra_headers=headers)
        assert caught.value.body["code"] == "key_reused"

    serve(scenario)


@pytest.mark.parametrize(
    ("fields", "param"),
    [
        ({"endpoint": "/v1/embeddings"}, "endpoint"),
        ({"completion_window": "soon"}, "completion_window"),
        ({"input_file_id": 7}, "input_file_id"),
        ({"metadata": {"a": 1}}, "metadata"),
    ],
)
def test_wrong_fields_are_named(serve, fields, param):
    async def scenario(site):
        body = {
            "input_file_id": "file-1",
            "endpoint": "/v1/completions",
            "completion_window": "24h",
        }
        async with httpx.AsyncClient(
            headers={"Authorization": "Bearer key-museum"}
        ) as client:
            answer = await client.post(
                f"{site.url}/batches", json={**body, **fields}
            )
        assert answer.status_code == 400
        error = answer.json()["error"]
        assert (error["param"], error["ran"]) == (param, "no")

    serve(scenario)


def test_uploads_are_bounded_and_whole(serve):
    # A file over the limit, one cut off before its closing boundary and
    # headers without an end must be refused, and leave nothing behind.
    async def scenario(site):
        client = site.client()
        with pytest.raises(openai.APIStatusError) as caught:
            await upload(client, lot(2000))
        assert caught.value.status_code == 413
        part = (
            b'--x\r\nContent-Disposition: form-data; name="file";'
            b' filename="a"\r\n\r\n' + lot(2)
        )
        for body in (part, b"--x\r\n" + b"a" * 400_000, b"--x\r\na\r\n\r\n"):
            async with httpx.AsyncClient() as raw:
                answer = await raw.post(
                    f"{site.url}/files",
                    content=body,
                    headers={
                        "Authorization": "Bearer key-museum",
                        "Content-Type": "multipart/form-data; boundary=x",
                    },
                )
            assert answer.status_code in (400, 413), answer.text
        assert not site.objects.data
        assert not [entry async for entry in client.files.list()]

    serve(scenario, max_file_bytes=100_000)


def test_outage_refuses_as_not_run(serve):
    async def scenario(site):
        client = site.client(max_retries=0)
        file = await upload(client, lot(3))
        site.table.out = True
        with pytest.raises(openai.InternalServerError) as caught:
            await submit(client, file.id)
        assert caught.value.status_code == 503
        assert caught.value.body["ran"] == "no"
        assert int(caught.value.response.headers["Retry-After"]) > 0
        site.table.out = False
        job = await site.ended(client, await submit(client, file.id))
        site.objects.out = True
        with pytest.raises(openai.InternalServerError):
            await client.files.content(job.output_file_id)

    serve(scenario)


def test_unknown_acceptance_says_so(serve):
    # The store took the job and its answer was lost, then the store went
    # out: the museum hears "unknown", sends again, and finds its one job.
    async def scenario(site):
        client = site.client(max_retries=0)
        file = await upload(client, lot(3))

        def lose(writes):
            site.table.out = writes[0].key.startswith("batch/job/")
            return site.table.out

        site.table.lose = lose
        with pytest.raises(openai.InternalServerError) as caught:
            await submit(client, file.id)
        assert caught.value.body["ran"] == "unknown"
        site.table.lose, site.table.out = (lambda writes: False), False
        await submit(client, file.id)
        assert len([job async for job in client.batches.list()]) == 1

    serve(scenario)


def test_cut_download_is_visible(serve):
    # The object store goes out in the middle of a download. The client
    # must see a broken answer, never a shorter file that looks whole.
    async def scenario(site):
        client = site.client(max_retries=0)
        file = await upload(client, lot(20))
        get = site.objects.get

        async def fail_later(name):
            site.objects.out = name.endswith("/00001")
            return await get(name)

        site.objects.get = fail_later
        with pytest.raises((openai.APIConnectionError, httpx.HTTPError)):
            await client.files.content(file.id)

    serve(scenario, chunk_lines=5)


def test_model_must_be_permitted(serve):
    async def scenario(site):
        client = site.client()
        file = await upload(client, lot(2, "secret"))
        with pytest.raises(openai.PermissionDeniedError):
            await submit(client, file.id)

    serve(scenario)


def test_an_item_carries_the_revision_that_permitted_its_job(serve):
    # Guards against an owner that can't tell that its records are older.
    async def scenario(site):
        seen = []

        def outcome(item):
            seen.append(item.revision)
            return site.runner.answer(item)

        site.runner.outcome = outcome
        client = site.client()
        file = await upload(client, lot(2))
        await site.ended(client, await submit(client, file.id))
        assert seen == [7, 7]

    serve(scenario)
