"""Answers of a stand-in engine as events or as one JSON object."""

import json

from dahliashunt.standins.engine_request import CompletionRequest

__all__ = ["EventWriter", "whole_answer"]

_DONE = b"data: [DONE]\n\n"
_TOKEN_MARK = "\0"
_MARK_AS_JSON = "\\u0000"
_EXTRA_EVENTS = 2
_CREATED = 0


class EventWriter:
    """Server-sent events of one answer, numbered from 0.

    There is one for each token, one with the usage, and ``[DONE]``.

    Parameters
    ----------
    stream_id : str
    request : CompletionRequest

    Notes
    -----
    Events are not kept: each is a function of the request, so a resumed
    stream writes them anew. All token events but the first and the last
    differ only in their word, so their JSON text is made once.
    """

    def __init__(self, stream_id: str, request: CompletionRequest):
        self._stream_id = stream_id
        self._request = request
        event = self._token_event(_TOKEN_MARK, None, first=False)
        self._before, _, self._after = event.partition(_MARK_AS_JSON)

    def ready(self, made: int, finished: bool) -> int:
        """Return how many events there are once `made` tokens are."""
        return made + _EXTRA_EVENTS if finished else made

    def write(self, first: int, last: int, cached_tokens: int) -> bytes:
        """Return events `first` to `last` (not included)."""
        tokens = self._request.tokens
        found = self._request.words(first, last)
        text = "".join(
            self._event(number, word)
            for number, word in enumerate(found, start=first)
        ).encode()
        if first <= tokens < last:
            text += self._usage_event(cached_tokens)
        if first <= tokens + 1 < last:
            text += _DONE
        return text

    def _event(self, number, word) -> str:
        ends = number == self._request.tokens - 1
        if number and not ends:
            return f"{self._before}{word}{self._after}"
        reason = _finish_reason(self._request) if ends else None
        return self._token_event(word, reason, first=not number)

    def _token_event(self, word, reason, first) -> str:
        if self._request.chat:
            role = {"role": "assistant"} if first else {}
            piece = {"delta": {**role, "content": word}}
        else:
            piece = {"text": word}
        choice = {"index": 0, **piece, "finish_reason": reason}
        return _sse(self._envelope([choice]))

    def _usage_event(self, cached_tokens) -> bytes:
        fields = self._envelope([])
        fields["usage"] = _usage(self._request, cached_tokens)
        return _sse(fields).encode()

    def _envelope(self, choices) -> dict:
        kind = "chat.completion.chunk"
        return {
            "object": kind if self._request.chat else "text_completion",
            "created": _CREATED,
            "model": self._request.model,
            "choices": choices,
            "id": self._stream_id,
        }


def whole_answer(
    stream_id: str, request: CompletionRequest, cached_tokens: int
) -> dict:
    """Return the JSON object of an answer that is not streamed."""
    text = "".join(request.words(0, request.tokens))
    if request.chat:
        piece = {"message": {"role": "assistant", "content": text}}
    else:
        piece = {"text": text}
    choice = {"index": 0, **piece, "finish_reason": _finish_reason(request)}
    return {
        "id": stream_id,
        "object": "chat.completion" if request.chat else "text_completion",
        "created": _CREATED,
        "model": request.model,
        "choices": [choice],
        "usage": _usage(request, cached_tokens),
    }


def _sse(fields) -> str:
    return f"data: {json.dumps(fields)}\n\n"


def _finish_reason(request) -> str:
    return "stop" if request.cut_short else "length"


def _usage(request, cached_tokens) -> dict:
    return {
        "prompt_tokens": request.prompt_tokens,
        "completion_tokens": request.tokens,
        "total_tokens": request.prompt_tokens + request.tokens,
        "prompt_tokens_details": {"cached_tokens": cached_tokens},
    }
