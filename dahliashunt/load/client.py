"""Send one request and time what comes back."""

from dataclasses import dataclass
from dataclasses import field
import json
import time

import aiohttp

from dahliashunt.load.mix import Ask
from dahliashunt.standins import expected_text

__all__ = ["ANSWERED", "CUT", "WRONG", "Outcome", "send"]

ANSWERED = "answered"
CUT = "connection_cut"
WRONG = "wrong_text"

_EVENT = b"data: "
_END = b"data: [DONE]"


@dataclass(slots=True)
class Outcome:
    """What became of one request; times in nanoseconds.

    Attributes
    ----------
    code : str
        `ANSWERED`, an error code of the entry, `CUT`, or `WRONG`.
    first_ns, whole_ns : int or None
        From the intended time of sending, not from the actual one: what
        a late sender hides would be hidden of the system too [1]_.
    gaps_ns : list of int
        Between events. Events that come in one read are 0 apart.

    References
    ----------
    .. [1] G. Tene, "How NOT to Measure Latency", 2013 (coordinated
       omission).
    """

    ask: Ask
    code: str = CUT
    ran: str = ""
    late_ns: int = 0
    first_ns: int | None = None
    whole_ns: int | None = None
    retry_after_s: float | None = None
    gaps_ns: list[int] = field(default_factory=list)


async def send(session, url: str, plan, ask: Ask, due_ns: int) -> Outcome:
    """Send a completion and return its outcome; never raises for one.

    Parameters
    ----------
    session : aiohttp.ClientSession
    url : str
        Base URL of an entry or an engine.
    plan : Plan
    ask : Ask
    due_ns : int
        Intended time of sending by ``time.perf_counter_ns``.
    """
    outcome = Outcome(ask, late_ns=time.perf_counter_ns() - due_ns)
    body = {
        "model": plan.model,
        "prompt": ask.prompt,
        "max_tokens": ask.tokens,
        "seed": plan.seed,
        "stream": ask.streamed,
    }
    headers = {"Authorization": f"Bearer {ask.key}"}
    try:
        async with session.post(
            f"{url}/v1/completions", json=body, headers=headers
        ) as answer:
            if answer.status != 200:
                await _refused(answer, outcome)
            elif ask.streamed:
                await _streamed(answer, outcome, plan, due_ns)
            else:
                await _whole(answer, outcome, plan, due_ns)
    except (aiohttp.ClientError, TimeoutError, OSError):
        outcome.code = CUT
    return outcome


async def _refused(answer, outcome):
    data = await answer.read()
    after = answer.headers.get("Retry-After")
    outcome.retry_after_s = float(after) if after else None
    outcome.code, outcome.ran = _error(data)


async def _streamed(answer, outcome, plan, due_ns):
    last = None
    held = []
    async for data in answer.content.iter_any():
        now = time.perf_counter_ns()
        held.append(data)
        events = data.count(_EVENT) - data.count(_END)
        if events <= 0:
            continue
        if last is None:
            outcome.first_ns = now - due_ns
        else:
            outcome.gaps_ns.append(now - last)
        outcome.gaps_ns += [0] * (events - 1)
        last = now
    whole = b"".join(held)
    if not whole.rstrip().endswith(_END):
        outcome.code, outcome.ran = _error(_last_event(whole))
        return
    outcome.whole_ns = time.perf_counter_ns() - due_ns
    outcome.code = ANSWERED
    if plan.check and _event_text(whole) != _wanted(plan, outcome.ask):
        outcome.code = WRONG


async def _whole(answer, outcome, plan, due_ns):
    data = await answer.read()
    outcome.whole_ns = time.perf_counter_ns() - due_ns
    outcome.code = ANSWERED
    if plan.check:
        text = json.loads(data)["choices"][0]["text"]
        if text != _wanted(plan, outcome.ask):
            outcome.code = WRONG


def _wanted(plan, ask):
    return expected_text(plan.model, ask.prompt, plan.seed, ask.tokens)


def _events(whole):
    for line in whole.split(b"\n"):
        if line.startswith(_EVENT) and not line.startswith(_END):
            yield line[len(_EVENT) :]


def _event_text(whole):
    parts = []
    for event in _events(whole):
        for choice in json.loads(event).get("choices", []):
            parts.append(choice.get("text") or "")
    return "".join(parts)


def _last_event(whole):
    events = list(_events(whole))
    return events[-1] if events else b""


def _error(data):
    try:
        error = json.loads(data)["error"]
        return error["code"] or CUT, error.get("ran", "")
    except (ValueError, KeyError, TypeError):
        return CUT, ""
