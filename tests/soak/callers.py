"""Callers of the fleet, who note what they were told and check it."""

import asyncio
import collections
from dataclasses import dataclass
import itertools
import zlib

from dahliashunt.adapters.http1 import ConnectFailed
from dahliashunt.adapters.http1 import End
from dahliashunt.adapters.http1 import open_connection
from dahliashunt.adapters.http1 import ResponseHead
from dahliashunt.platform.standins.caller import caller_request
from dahliashunt.platform.standins.caller import decode_page
from dahliashunt.platform.standins.caller import encode_job
from dahliashunt.platform.standins.caller import exchange
from dahliashunt.platform.standins.caller import JobItem
from dahliashunt.platform.standins.caller import results_target
from tests.soak.fleet import BUDGET_MS
from tests.soak.replica import CRASH_PATH
from tests.soak.replica import event_bytes
from tests.soak.replica import EVENTS
from tests.soak.replica import STATUS_BY_ENDING
from tests.soak.replica import VERSIONS
from tests.soak.workspaces import authorization_of

__all__ = ["Answered", "Caller", "JobCaller", "is_right", "versions_of"]

SLACK_MS = 2_500
"""Beyond its time a request may take so long on this machine: the answer
to a request given up on crosses a proxy and a busy loop."""

NOT_RUN = (408, 421, 429, 503)

EVENT_END = b"\n\n"

CRASHING_PART = "bad"
MIDDLE_PARTS = 50
"""Second parts of the prompts of sound requests."""


@dataclass
class Answered:
    """One request and what its caller saw.

    Attributes
    ----------
    status : int or None
        None if no head came.
    whole : bool
        The answer ended as a whole one does.
    late : bool
        Nothing at all came within the time and its slack.
    kept : bool
        Sent on a connection that had carried a request before.
    resumes : str
        The request whose stream this one takes up; empty for none.
    had : bytes
        The events of that stream which the caller had.
    """

    request_id: str
    entry: int
    path: str
    began_s: float
    ended_s: float = 0.0
    status: int | None = None
    whole: bool = False
    late: bool = False
    kept: bool = False
    body: bytes = b""
    retry_after: str | None = None
    resumes: str = ""
    had: bytes = b""

    @property
    def events(self):
        """Whole events that the caller has, those it had before included."""
        return (self.had + self.body).split(EVENT_END)[:-1]


class Caller:
    """Sends requests to the entries' proxies, one connection each.

    Attributes
    ----------
    answers : list of Answered
    """

    def __init__(self, fleet, rng, name="c", crashes_by_part=False):
        self.answers = []
        self._crashes_by_part = crashes_by_part
        self._fleet = fleet
        self._rng = rng
        self._name = name
        self._numbers = itertools.count()

    async def keep_calling(self, stop, gap_ms):
        """Send requests until `stop` is set, about one a gap."""
        loop = asyncio.get_running_loop()
        async with asyncio.TaskGroup() as group:
            while not stop.is_set():
                group.create_task(self.call_once(loop))
                gap_s = self._rng.expovariate(1_000 / gap_ms)
                await asyncio.sleep(gap_s)

    async def resend_crash(self, stop, gap_ms):
        """Send the request, or those with the part, that crash replicas."""
        loop = asyncio.get_running_loop()
        while not stop.is_set():
            await self.call_once(loop, CRASH_PATH)
            await asyncio.sleep(self._rng.uniform(0.2, 2) * gap_ms / 1_000)

    async def crash_together(self):
        """Send requests that crash replicas to all entries at once."""
        loop = asyncio.get_running_loop()
        await asyncio.gather(
            *(
                self.call_once(loop, CRASH_PATH, entry)
                for entry in range(len(self._fleet.entries))
            )
        )

    async def reuse_connections(self, stop):
        """Send requests one after another, as long as a connection lasts."""
        while not stop.is_set():
            entry = self._fleet.pick_entry(self._rng)
            address = self._fleet.caller_links[entry].address
            try:
                connection = await open_connection(*address, BUDGET_MS)
            except ConnectFailed:
                await asyncio.sleep(0.1)
                continue
            while connection.usable and not stop.is_set():
                await self._call_on(connection, entry)
            connection.abort()

    async def _call_on(self, connection, entry):
        loop = asyncio.get_running_loop()
        path = self._rng.choice(("/a/x", "/once/x"))
        request_id = f"{self._name}{next(self._numbers)}"
        answered = Answered(request_id, entry, path, loop.time())
        answered.kept = connection.used > 0
        self.answers.append(answered)
        asked = _request("POST", path, request_id, b"{}")
        events = await exchange(
            connection, asked, BUDGET_MS + SLACK_MS, keep=True
        )
        answered.ended_s = loop.time()
        _note(answered, events)

    async def call_once(self, loop, path=None, entry=None, broken=None):
        """Send one request and note the answer.

        A stream that broke off after some events is taken up, here with the
        answer `broken`.
        """
        if path is None:
            path = self._rng.choices(("/a/x", "/once/x"), (1, 1))[0]
        if entry is None:
            entry = self._fleet.pick_entry(self._rng)
        request_id = f"{self._name}{next(self._numbers)}"
        answered = Answered(request_id, entry, path, loop.time())
        more = _resume(answered, broken) if broken is not None else {}
        if path == CRASH_PATH and self._crashes_by_part:
            more = {
                "body": request_id.encode(),
                "prompt_parts": prompt_parts(request_id, CRASHING_PART),
            }
        self.answers.append(answered)
        address = self._fleet.caller_links[entry].address
        events = await call(address, "POST", path, request_id, **more)
        answered.ended_s = loop.time()
        _note(answered, events)
        if _may_go_on(answered):
            await self.call_once(loop, path, broken=answered)
        return answered


def _resume(answered, broken):
    """Make `answered` go on after `broken`; return its headers' fields."""
    answered.resumes = broken.resumes or broken.request_id
    answered.had = EVENT_END.join([*broken.events, b""])
    return {"resumes": answered.resumes, "last_event": len(broken.events)}


def _may_go_on(answered):
    """Tell whether a caller takes up the stream that broke off."""
    is_cut = answered.status == 200 and not answered.whole
    return is_cut and answered.path == "/a/x" and bool(answered.events)


def _note(answered, events):
    if events is None:
        answered.late = True
        return
    for event in events:
        if isinstance(event, ResponseHead):
            answered.status = event.status
            answered.retry_after = event.get("retry-after")
        elif isinstance(event, bytes):
            answered.body += event
        else:
            answered.whole = event is End.WHOLE


async def call(address, method, path, request_id, body=b"{}", **more):
    """Send a request; return its events, None if it never ended.

    A connection that cannot be made gives a broken end.
    """
    limit_ms = BUDGET_MS + SLACK_MS
    try:
        connection = await open_connection(*address, limit_ms)
    except ConnectFailed:
        return [End.BROKEN]
    asked = _request(method, path, request_id, body, **more)
    return await exchange(connection, asked, limit_ms)


def _request(method, path, request_id, body, **more):
    return caller_request(
        method,
        path,
        body,
        request_id=request_id,
        budget_ms=BUDGET_MS,
        wait_ms=300,
        authorization=authorization_of(request_id),
        **{"prompt_parts": prompt_parts(request_id), **more},
    )


def prompt_parts(request_id, middle=None):
    """Return a prompt that begins as all others do."""
    middle = middle or f"m{zlib.crc32(request_id.encode()) % MIDDLE_PARTS}"
    return f"first:9,{middle}:9,{request_id}:9"


def versions_of(answered):
    """Return the versions whose texts begin with the caller's events."""
    events = [each + EVENT_END for each in answered.events]
    return [
        version
        for version in VERSIONS
        if events
        == [event_bytes(n, version) for n in range(1, len(events) + 1)]
    ]


def is_right(answered):
    """Tell whether a whole answer of 200 is what one version makes."""
    has_rest = not (answered.had + answered.body).endswith(EVENT_END)
    is_whole = len(answered.events) == EVENTS and not has_rest
    return is_whole and bool(versions_of(answered))


class JobCaller:
    """Submits jobs until they are accepted, and reads their results.

    Attributes
    ----------
    accepted : set of str
    pages : dict
        By job, results by position as first read.
    changed : list of str
        Positions that were read anew with another result.
    """

    def __init__(self, fleet, rng):
        self.accepted = set()
        self.pages = collections.defaultdict(dict)
        self.changed = []
        self.total_by_job = {}
        self._fleet = fleet
        self._rng = rng

    async def submit(self, job, items):
        """Send a job again and again until an entry has accepted it.

        One item of each ending in `STATUS_BY_ENDING` fails at each run.
        """
        endings = [*STATUS_BY_ENDING, *[""] * (items - len(STATUS_BY_ENDING))]
        body = encode_job(
            [
                JobItem(f"{job}-{n}{ending}", f"/j/{job}", EVENTS)
                for n, ending in enumerate(endings)
            ]
        )
        while job not in self.accepted:
            events = await self._call("POST", f"/j/{job}", job, body)
            if _status(events) == 202:
                self.accepted.add(job)
                self.total_by_job[job] = items
            else:
                await asyncio.sleep(0.2)

    async def read(self, job):
        """Read one page of results, from a position read before or not."""
        after = self._rng.randint(0, len(self.pages[job]))
        target = results_target(job, after)
        events = await self._call("GET", target, f"read-{job}")
        if _status(events) != 200 or events[-1] is not End.WHOLE:
            await asyncio.sleep(0.2)
            return
        parts = (event for event in events if isinstance(event, bytes))
        page = decode_page(b"".join(parts))
        for offset, result in enumerate(page.results):
            self._keep(job, after + offset, result)

    def _keep(self, job, position, result):
        held = self.pages[job].setdefault(position, result)
        if held != result:
            self.changed.append(f"{job} at {position}: {held} then {result}")

    def is_read(self, job):
        """Tell whether as many results were read as the job has items."""
        return len(self.pages[job]) >= self.total_by_job[job]

    async def _call(self, method, path, request_id, body=b""):
        address = self._rng.choice(self._fleet.caller_links).address
        return await call(address, method, path, request_id, body)


def _status(events):
    heads = [e for e in events or () if isinstance(e, ResponseHead)]
    return heads[0].status if heads else None
