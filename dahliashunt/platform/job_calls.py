"""Calls about batch jobs: submit, read results, read a body, end."""

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
from dahliashunt.platform.job_bodies import encode_results
from dahliashunt.platform.job_parts import JobParts
from dahliashunt.platform.names import POLL_WAIT
from dahliashunt.platform.names import REQUEST_ID

__all__ = ["JobCalls"]

FRESH_MS = 400
"""What the feeds said so long ago is trusted to be all there is; beyond
it an empty answer is checked against the store, so that a result that was
read at another node is never missing here a second later."""

MOST_WAIT_MS = 1_500
"""Longest that a read waits for a result: callers wait a little over the
second that they ask for."""

ELSEWHERE_MS = 50
"""Retry-After of a job that only this node can't take: the caller's next
try goes to another one."""

_JSON = [("content-type", "application/json")]


class Verb(enum.Enum):
    """What a call wants of a job."""

    RESULTS = "results"
    BODY = "body"
    END = "end"


_VERB_BY_CALL = {
    ("GET", "/api/lots/"): Verb.RESULTS,
    ("DELETE", "/api/lots/"): Verb.END,
    ("GET", "/api/items/"): Verb.BODY,
}


@dataclass(frozen=True, slots=True)
class AboutJob:
    """A call about one job.

    Attributes
    ----------
    verb : Verb
    job_id : JobId
    first : int
        Position from which results are wanted.
    wait_ms : int
        How long the call may wait for a result.
    item_id : str
        Whose body is wanted.
    """

    verb: Verb
    job_id: JobId
    first: int
    wait_ms: int
    item_id: str


class JobCalls:
    """Answers calls about jobs.

    Parameters
    ----------
    node : Node
    jobs : JobParts
    followers : list of TableFollower
        Of the jobs' tables.
    """

    def __init__(self, node: Node, jobs: JobParts, followers):
        self._node = node
        self._view = jobs.view
        self._ledger = jobs.ledger
        self._store = jobs.store
        self._followers = followers
        self._answer_by_verb = {
            Verb.RESULTS: self._results,
            Verb.BODY: self._body,
            Verb.END: self._end,
        }

    def parse(self, method, path, query, headers) -> AboutJob | None:
        """Return the call about a job, or None if it is none."""
        for (verb_method, prefix), verb in _VERB_BY_CALL.items():
            if method == verb_method and path.startswith(prefix):
                return self._about(verb, path[len(prefix) :], query, headers)
        return None

    def _about(self, verb, name, query, headers):
        fields = parse_qs(query)
        first = fields.get("after", ["0"])[0]
        wait = headers.get(POLL_WAIT, "0")
        if not first.isdigit() or not wait.isdigit():
            raise RequestError(
                ErrorKind.BAD_REQUEST, "after and the wait are numbers"
            )
        return AboutJob(
            verb=verb,
            job_id=JobId(unquote(name)),
            first=int(first),
            wait_ms=min(int(wait), MOST_WAIT_MS),
            item_id=fields.get("id", [""])[0],
        )

    async def answer(
        self, about: AboutJob, workspace: Workspace | None, exchange
    ) -> None:
        """Answer a call about a job.

        To another workspace it is as if there were no such job. A job that
        belongs to nobody came without a key, and may be read without one.
        """
        job = await self._ledger.find(about.job_id)
        if job is None:
            raise _no_job()
        if job.workspace and self._node.requires_keys:
            self._node.require_key(workspace)
            if job.workspace != _id_of(workspace):
                raise _no_job()
        await self._answer_by_verb[about.verb](job, about, exchange)

    async def submit(
        self,
        route: Route,
        workspace: Workspace | None,
        headers,
        body,
        exchange,
    ) -> None:
        """Accept a job; 202 means that it is kept for good."""
        node = self._node
        job_id = JobId(headers.get(REQUEST_ID, ""))
        if not job_id:
            raise RequestError(ErrorKind.BAD_REQUEST, "the job has no id")
        if node.is_stale():
            raise RequestError(
                ErrorKind.STORE_UNAVAILABLE,
                "this node is cut off from the store",
                retry_after_ms=ELSEWHERE_MS,
            )
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
            workspace=_id_of(workspace),
        )
        is_new = await self._ledger.accept(job, body, route.max_waiting_tokens)
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

    async def _results(self, job, about, exchange):
        node = self._node
        until_ms = node.clock.now_ms() + about.wait_ms
        while True:
            if len(self._view.progress(job).listed) > about.first:
                break
            left_ms = until_ms - node.clock.now_ms()
            if left_ms <= 0 or not self._may_grow(job):
                await self._make_sure(job)
                break
            await self._view.wait(left_ms)
        results = await self._ledger.results(job, about.first)
        body = encode_results(len(job.items), about.first, results)
        await exchange.whole(200, _JSON, body)

    def _may_grow(self, job):
        known = self._view.job(job.job_id)
        return known is not None and known.state is JobState.OPEN

    async def _make_sure(self, job):
        """Read the progress itself unless the feeds are fresh."""
        now_ms = self._node.clock.now_ms()
        heard = [follower.heard_ms for follower in self._followers]
        if any(h is None or now_ms - h > FRESH_MS for h in heard):
            await self._ledger.refresh_progress(job)

    async def _body(self, job, about, exchange):
        payload = await self._ledger.payload(job)
        for each in decode_submission(payload):
            if each.item.item_id == about.item_id:
                await exchange.whole(200, [], each.body)
                return
        raise RequestError(ErrorKind.NOT_FOUND, "the job has no such item")

    async def _end(self, job, about, exchange):
        await self._ledger.set_state(job.job_id, JobState.ENDED)
        self._node.log.info("job_ended", job_id=job.job_id)
        await exchange.whole(200, [], b"")


def _id_of(workspace):
    return workspace.workspace_id if workspace else WorkspaceId("")


def _no_job():
    return RequestError(ErrorKind.NOT_FOUND, "there is no such job")
