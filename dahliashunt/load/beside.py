"""Batch jobs beside the online load, through the files and batches API."""

import asyncio
import json
import time
import uuid

import aiohttp

from dahliashunt.errors import DahliashuntError
from dahliashunt.load.plan import Plan

__all__ = ["BatchLoad", "SubmitRefused"]

POLL_S = 0.25
SUBMIT_TRIES = 20
_ENDED = frozenset(("completed", "cancelled", "expired", "failed"))


class SubmitRefused(DahliashuntError):
    """A batch job could not be submitted; the text is the entry's."""


class BatchLoad:
    """Submits a plan's jobs, counts what is done, cancels the rest.

    Parameters
    ----------
    session : aiohttp.ClientSession
    plan : Plan
    """

    def __init__(self, session: aiohttp.ClientSession, plan: Plan):
        self._session = session
        self._url = plan.entries[0]
        self._plan = plan
        self._batch = plan.batch
        self._headers = {"Authorization": f"Bearer {plan.batch.key}"}
        self._ids: list[str] = []
        self.progress: list[tuple[float, int]] = []
        self.ended = False
        self.submit_refusals = 0

    async def submit(self) -> None:
        """Submit all jobs."""
        name = f"load-{uuid.uuid4().hex[:8]}"
        for number in range(self._batch.jobs):
            await self._submit(f"{name}-{number}")

    async def watch(self) -> None:
        """Note the number of items done until cancelled."""
        while True:
            counts = await asyncio.gather(*map(self._done, self._ids))
            done = sum(count for count, _ in counts)
            self.ended = all(ended for _, ended in counts)
            self.progress.append((time.perf_counter(), done))
            await asyncio.sleep(POLL_S)

    async def cancel(self) -> None:
        """Cancel the jobs and wait until they have ended."""
        for batch_id in self._ids:
            url = f"{self._url}/v1/batches/{batch_id}/cancel"
            async with self._session.post(url, headers=self._headers):
                pass
        while not await self._all_ended():  # noqa: ASYNC110
            await asyncio.sleep(POLL_S)

    def rate(self, first: float, last: float) -> float:
        """Return items done a second between two times.

        A job that ended early ends the span: from then on there was
        nothing to do.
        """
        inside = [(at, n) for at, n in self.progress if first <= at <= last]
        if len(inside) < 2:
            return 0.0
        most = inside[-1][1]
        at_end = next(at for at, n in inside if n == most)
        if not self.ended:
            at_end = inside[-1][0]
        span = at_end - inside[0][0]
        return (most - inside[0][1]) / span if span > 0 else 0.0

    async def _submit(self, name):
        lines = [self._line(name, at) for at in range(self._batch.items)]
        data = "\n".join(lines).encode()

        def upload():
            form = aiohttp.FormData()
            form.add_field("purpose", "batch")
            form.add_field("file", data, filename=f"{name}.jsonl")
            return {"data": form}

        file = await self._post("/v1/files", upload)
        job = {
            "input_file_id": file["id"],
            "endpoint": "/v1/completions",
            "completion_window": "24h",
            "metadata": {"job_key": name},
        }
        made = await self._post("/v1/batches", lambda: {"json": job})
        self._ids.append(made["id"])

    def _line(self, name, at):
        body = {
            "model": self._plan.model,
            "prompt": f"catalogue {name}, entry {at}",
            "max_tokens": self._batch.tokens,
            "seed": 1,
        }
        return json.dumps(
            {
                "custom_id": f"{name}-{at}",
                "method": "POST",
                "url": "/v1/completions",
                "body": body,
            }
        )

    async def _post(self, path, make):
        """Send what `make` returns, again after a refusal with 503.

        The job key makes the second send of a job safe; a file that was
        stored twice costs only its place.
        """
        url = f"{self._url}{path}"
        for _ in range(SUBMIT_TRIES):
            async with self._session.post(
                url, headers=self._headers, **make()
            ) as answer:
                if answer.status == 200:
                    return await answer.json()
                text = await answer.text()
            if answer.status != 503:
                break
            self.submit_refusals += 1
            await asyncio.sleep(float(answer.headers.get("Retry-After", 1)))
        raise SubmitRefused(f"{path}: {answer.status} {text}")

    async def _all_ended(self):
        return all([(await self._done(each))[1] for each in self._ids])

    async def _done(self, batch_id):
        url = f"{self._url}/v1/batches/{batch_id}"
        async with self._session.get(url, headers=self._headers) as answer:
            if answer.status != 200:
                return 0, False
            batch = await answer.json()
        counts = batch["request_counts"]
        done = counts["completed"] + counts["failed"]
        return done, batch["status"] in _ENDED
