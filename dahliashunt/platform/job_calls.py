"""Handle requests about batch jobs: submit, read results or a body, end."""

import asyncio
import contextlib
from dataclasses import dataclass
import enum
import hashlib
from urllib.parse import parse_qs
from urllib.parse import unquote

from dahliashunt.errors import ErrorKind
from dahliashunt.errors import RequestError
from dahliashunt.forwarding.catalog import Route
from dahliashunt.forwarding.node import Node
from dahliashunt.forwarding.workspaces import Workspace
from dahliashunt.ids import JobId
from dahliashunt.ids import WorkspaceId
from dahliashunt.jobs.model import Job
from dahliashunt.jobs.model import JobState
from dahliashunt.platform.job_bodies import decode_submission
from dahliashunt.platform.job_bodies import decoding_bytes
from dahliashunt.platform.job_bodies import encode_results
from dahliashunt.platform.job_parts import JobParts
from dahliashunt.platform.names import POLL_WAIT
from dahliashunt.platform.names import REQUEST_ID
from dahliashunt.row_fields import digits_field

__all__ = ["JobCalls"]

FEED_FRESHNESS_MS = 400
"""Maximum age of the feeds' state. A read without new results checks the
store if the feeds are older, since other nodes may have served newer ones."""

MAX_POLL_WAIT_MS = 1_500
"""Upper bound of the wait that a caller may request for results."""

PAGE_COPIES = 4
"""Copies of a page of results while it is read: the store's answer in base64,
its parts, and the texts."""

RETRY_ELSEWHERE_MS = 50
"""Retry-After of a job refused for a fault of this node alone: the caller's
retry goes to another node."""

_JSON = [("content-type", "application/json")]


class JobAction(enum.Enum):
    """Action that a request asks for on a job."""

    RESULTS = "results"
    BODY = "body"
    END = "end"


_ACTION_BY_ROUTE = {
    ("GET", "/api/lots/"): JobAction.RESULTS,
    ("DELETE", "/api/lots/"): JobAction.END,
    ("GET", "/api/items/"): JobAction.BODY,
}


@dataclass(frozen=True, slots=True)
class JobRequest:
    """A request about one job.

    Attributes
    ----------
    verb : Verb
    job_id : JobId
    first : int
        Position of the first result to return.
    wait_ms : int
        Maximum wait for a result.
    item_id : str
        Item whose body is requested; empty for other actions.
    """

    action: JobAction
    job_id: JobId
    first: int
    wait_ms: int
    item_id: str


class JobCalls:
    """Handle requests about batch jobs.

    Parameters
    ----------
    node : Node
    jobs : JobParts
    followers : list of TableFollower
        Followers of the job and progress tables.
    max_store_calls : int
        Requests that may call the store at the same time; others wait.
    """

    def __init__(
        self, node: Node, jobs: JobParts, followers, max_store_calls: int
    ):
        self._store_calls = asyncio.Semaphore(max_store_calls)
        self._node = node
        self._view = jobs.view
        self._ledger = jobs.ledger
        self._store = jobs.store
        self._followers = followers
        self._handler_by_action = {
            JobAction.RESULTS: self._results,
            JobAction.BODY: self._body,
            JobAction.END: self._end,
        }

    @contextlib.asynccontextmanager
    async def _store_call(self):
        """Take a turn to call the store for a caller."""
        if self._store_calls.locked():
            self._node.metrics.count("callers_waited_for_store")
        async with self._store_calls:
            yield

    def parse(self, method, path, query, headers) -> JobRequest | None:
        """Return the request about a job, or None for another path."""
        for (expected_method, prefix), action in _ACTION_BY_ROUTE.items():
            if method == expected_method and path.startswith(prefix):
                return self._parse_request(
                    action, path[len(prefix) :], query, headers
                )
        return None

    def _parse_request(self, action, name, query, headers):
        fields = parse_qs(query)
        first = digits_field(fields.get("after", ["0"])[0])
        wait_ms = digits_field(headers.get(POLL_WAIT, "0"))
        if first is None or wait_ms is None:
            raise RequestError(
                ErrorKind.BAD_REQUEST, "after and the wait are numbers"
            )
        return JobRequest(
            action=action,
            job_id=JobId(unquote(name)),
            first=first,
            wait_ms=min(wait_ms, MAX_POLL_WAIT_MS),
            item_id=fields.get("id", [""])[0],
        )

    async def answer(
        self, job_request: JobRequest, workspace: Workspace | None, exchange
    ) -> None:
        """Answer a request about a job.

        A job of another workspace is reported as not found. A job that was
        submitted without a key may be read without one.
        """
        async with self._store_call():
            job = await self._ledger.find(job_request.job_id)
        if job is None:
            raise _job_not_found()
        if job.workspace and self._node.requires_keys:
            self._node.require_key(workspace)
            if job.workspace != _workspace_id(workspace):
                raise _job_not_found()
        await self._handler_by_action[job_request.action](
            job, job_request, exchange
        )

    async def submit(
        self,
        route: Route,
        workspace: Workspace | None,
        headers,
        body,
        exchange,
    ) -> None:
        """Accept a job; answers 202 once it is stored durably."""
        node = self._node
        job_id = JobId(headers.get(REQUEST_ID, ""))
        if not job_id:
            raise RequestError(ErrorKind.BAD_REQUEST, "the job has no id")
        if node.is_stale():
            raise RequestError(
                ErrorKind.STORE_UNAVAILABLE,
                "this node is cut off from the store",
                retry_after_ms=RETRY_ELSEWHERE_MS,
            )
        with exchange.holding(decoding_bytes(body)):
            items = tuple(each.item for each in decode_submission(body))
        digest = hashlib.blake2b(body, digest_size=8).hexdigest()
        job = Job(
            job_id=job_id,
            route=route.name,
            host=headers.get("host", ""),
            items=items,
            payload=f"job-{job_id}-{digest}",
            accepted_ms=self._store.now_ms(),
            accepted_by=self._ledger.owner,
            workspace=_workspace_id(workspace),
        )
        async with self._store_call():
            is_new = await self._ledger.accept(
                job, body, route.max_waiting_tokens
            )
        event = "job_accepted" if is_new else "job_repeated"
        node.metrics.count(event)
        node.log.info(
            event,
            job_id=job_id,
            route=route.name,
            workspace=job.workspace,
            items=len(items),
            tokens=job.tokens,
        )
        await exchange.whole(202, [], b"")

    async def _results(self, job, job_request, exchange):
        node = self._node
        until_ms = node.clock.now_ms() + job_request.wait_ms
        while True:
            if len(self._view.progress(job).listed) > job_request.first:
                break
            left_ms = until_ms - node.clock.now_ms()
            if left_ms <= 0 or not self._is_open(job):
                await self._refresh_if_stale(job)
                break
            await self._view.wait(left_ms)
        first = job_request.first
        characters = self._ledger.page_characters(job, first)
        with exchange.holding(characters * PAGE_COPIES):
            async with self._store_call():
                results = await self._ledger.results(job, first)
            body = encode_results(len(job.items), first, results)
            del results
        with exchange.holding(len(body)):
            await exchange.whole(200, _JSON, body)

    def _is_open(self, job):
        known = self._view.job(job.job_id)
        return known is not None and known.state is JobState.OPEN

    async def _refresh_if_stale(self, job):
        """Read the job's progress from the store if a feed is stale."""
        now_ms = self._node.clock.now_ms()
        heard = [follower.heard_ms for follower in self._followers]
        if any(h is None or now_ms - h > FEED_FRESHNESS_MS for h in heard):
            async with self._store_call():
                await self._ledger.refresh_progress(job)

    async def _body(self, job, job_request, exchange):
        body = await self._read_body(job, job_request.item_id, exchange)
        with exchange.holding(len(body)):
            await exchange.whole(200, [], body)

    async def _read_body(self, job, item_id, exchange):
        """Return an item's body; the job's payload is not kept."""
        async with self._store_call():
            payload = await self._ledger.payload(job, for_caller=True)
        with exchange.holding(decoding_bytes(payload)):
            for each in decode_submission(payload):
                if each.item.item_id == item_id:
                    return each.body
        raise RequestError(ErrorKind.NOT_FOUND, "the job has no such item")

    async def _end(self, job, job_request, exchange):
        async with self._store_call():
            await self._ledger.set_state(job.job_id, JobState.ENDED)
        self._node.log.info("job_ended", job_id=job.job_id)
        await exchange.whole(200, [], b"")


def _workspace_id(workspace):
    return workspace.workspace_id if workspace else WorkspaceId("")


def _job_not_found():
    return RequestError(ErrorKind.NOT_FOUND, "there is no such job")
