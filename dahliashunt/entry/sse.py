"""Turn an engine's server-sent events into what the caller asked for."""

import json

from dahliashunt.errors import ErrorKind
from dahliashunt.errors import Ran
from dahliashunt.errors import RequestError

__all__ = ["DONE", "drop_usage", "error_event", "whole_answer"]

DONE = b"data: [DONE]\n\n"

_PREFIX = b"data: "


def error_event(error: dict) -> bytes:
    """Return an error as the last event of a stream that cannot go on."""
    return _PREFIX + json.dumps(error).encode() + b"\n\n"


def drop_usage(data: bytes) -> bytes:
    """Return events without those that carry only usage.

    The engine is always asked for usage; a caller that did not ask must
    not get an event without choices.
    """
    if b'"choices":[]' not in data and b'"choices": []' not in data:
        return data
    kept = [
        event
        for event in data.split(b"\n\n")
        if event
        and b'"choices":[]' not in event
        and b'"choices": []' not in event
    ]
    return b"".join(event + b"\n\n" for event in kept)


def whole_answer(data: bytes) -> bytes:
    """Return the answer object that a whole stream of events adds up to.

    Parameters
    ----------
    data : bytes
        All events of one answer, the end mark last.

    Raises
    ------
    RequestError
        ENDPOINT_FAILED: the end mark is missing or an event cannot be
        read. A cut answer must never look like a whole one.
    """
    if not data.endswith(DONE):
        raise _cut("the end of the answer is missing")
    try:
        events = [
            json.loads(event[len(_PREFIX) :])
            for event in data[: -len(DONE)].split(b"\n\n")
            if event
        ]
    except ValueError:
        raise _cut("the answer cannot be read") from None
    if not events:
        raise _cut("the answer is empty")
    return json.dumps(_joined(events)).encode()


def _cut(message):
    return RequestError(ErrorKind.ENDPOINT_FAILED, message, Ran.YES)


def _joined(events):
    first = events[0]
    chat = first.get("object") == "chat.completion.chunk"
    choice_by_index = {}
    usage = None
    for event in events:
        if "error" in event:
            raise _cut(str(event["error"].get("message", "engine error")))
        usage = event.get("usage") or usage
        for choice in event.get("choices", ()):
            _add_choice(choice_by_index, choice, chat)
    answer = {
        "id": first.get("id"),
        "object": "chat.completion" if chat else "text_completion",
        "created": first.get("created"),
        "model": first.get("model"),
        "choices": [
            _choice(choice_by_index[at], chat)
            for at in sorted(choice_by_index)
        ],
    }
    if usage is not None:
        answer["usage"] = usage
    return answer


def _add_choice(choice_by_index, choice, chat):
    index = choice.get("index", 0)
    joined = choice_by_index.setdefault(
        index, {"index": index, "texts": [], "finish_reason": None}
    )
    if chat:
        joined["texts"].append(choice.get("delta", {}).get("content") or "")
    else:
        joined["texts"].append(choice.get("text") or "")
    if choice.get("finish_reason"):
        joined["finish_reason"] = choice["finish_reason"]


def _choice(joined, chat):
    text = "".join(joined["texts"])
    choice = {
        "index": joined["index"],
        "finish_reason": joined["finish_reason"],
        "logprobs": None,
    }
    if chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return choice
