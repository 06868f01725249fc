"""Understand requests of the OpenAI dialect.

Only what the system itself needs is checked: the rest of the body is the
engine's business and goes to it as it came.
"""

from dataclasses import dataclass
import hashlib
import json
import zlib

from dahliashunt.errors import ErrorKind
from dahliashunt.errors import RequestError
from dahliashunt.ids import CallerId
from dahliashunt.ids import Fingerprint
from dahliashunt.ids import ModelId

__all__ = [
    "CHAT_PATH",
    "COMPLETIONS_PATH",
    "ModelCall",
    "fingerprint",
    "parse_model_call",
    "prefix_keys",
    "prompt_text",
]

CHAT_PATH = "/v1/chat/completions"
COMPLETIONS_PATH = "/v1/completions"

DEFAULT_MAX_TOKENS = 256
MAX_TOKENS_LIMIT = 32_768

PREFIX_BLOCK_CHARS = 256
MAX_PREFIX_BLOCKS = 16

CHARS_A_TOKEN = 4

_NUMBER = (int, float)

KIND_BY_FIELD = {
    "frequency_penalty": _NUMBER,
    "logit_bias": (dict,),
    "n": (int,),
    "presence_penalty": _NUMBER,
    "response_format": (dict,),
    "seed": (int,),
    "stop": (str, list),
    "temperature": _NUMBER,
    "tools": (list,),
    "top_p": _NUMBER,
    "user": (str,),
}
"""Types of the dialect's fields that only the engine uses. A wrong one is
refused here with its name: engines answer it in forms of their own, some
only after the request has waited for its slot."""


@dataclass(frozen=True, slots=True)
class ModelCall:
    """An understood call of a model.

    Attributes
    ----------
    body : bytes
        For the engine: as it came, but asking for a stream with usage.
    streamed : bool
        Whether the caller asked for a stream.
    wants_usage : bool
        Whether the caller wants usage in its stream.
    """

    model: ModelId
    body: bytes
    streamed: bool
    wants_usage: bool
    prompt_tokens: int
    max_tokens: int
    prefix_keys: tuple[int, ...]


def _bad(message, param):
    return RequestError(ErrorKind.BAD_REQUEST, message, param=param)


def parse_model_call(path: str, raw: bytes) -> ModelCall:
    """Parse and check the body of a completion request.

    Parameters
    ----------
    path : str
        `CHAT_PATH` or `COMPLETIONS_PATH`.
    raw : bytes
        The body.

    Raises
    ------
    RequestError
        BAD_REQUEST, naming the field.

    Examples
    --------
    >>> call = parse_model_call(
    ...     COMPLETIONS_PATH, b'{"model": "m", "prompt": "abcd"}'
    ... )
    >>> call.prompt_tokens, call.streamed
    (2, False)
    """
    try:
        body = json.loads(raw)
    except (ValueError, RecursionError) as error:
        raise _bad(f"the body is not JSON: {error}", None) from None
    if not isinstance(body, dict):
        raise _bad("the body is not a JSON object", None)
    model = _field(body, "model", str, required=True)
    streamed = _field(body, "stream", bool) or False
    options = _field(body, "stream_options", dict) or {}
    max_tokens = _max_tokens(body)
    for name, kinds in KIND_BY_FIELD.items():
        _check_kind(body.get(name), name, kinds)
    text = prompt_text(path, body)
    forwarded = {
        **body,
        "stream": True,
        "stream_options": {**options, "include_usage": True},
    }
    return ModelCall(
        model=ModelId(model),
        body=json.dumps(forwarded, separators=(",", ":")).encode(),
        streamed=streamed,
        wants_usage=bool(options.get("include_usage")),
        prompt_tokens=len(text) // CHARS_A_TOKEN + 1,
        max_tokens=max_tokens,
        prefix_keys=prefix_keys(model, text),
    )


def _field(body, name, kind, required=False):
    value = body.get(name)
    if value is None and required:
        raise _bad(f"'{name}' is missing", name)
    _check_kind(value, name, (kind,))
    return value


def _check_kind(value, name, kinds):
    if value is None:
        return
    # bool is a subclass of int: true is no number of tokens.
    if isinstance(value, kinds) and (
        bool in kinds or not isinstance(value, bool)
    ):
        return
    wanted = " or ".join(kind.__name__ for kind in kinds)
    raise _bad(f"'{name}' must be of type {wanted}", name)


def _max_tokens(body):
    name = "max_tokens"
    if body.get("max_completion_tokens") is not None:
        name = "max_completion_tokens"
    value = _field(body, name, int)
    if value is None:
        return DEFAULT_MAX_TOKENS
    if not 1 <= value <= MAX_TOKENS_LIMIT:
        raise _bad(f"'{name}' must be from 1 to {MAX_TOKENS_LIMIT}", name)
    return value


def prompt_text(path: str, body: dict) -> str:
    """Return the prompt as one text, checking its form."""
    if path == COMPLETIONS_PATH:
        prompt = body.get("prompt")
        if not isinstance(prompt, str):
            raise _bad("'prompt' must be of type str", "prompt")
        return prompt
    messages = _field(body, "messages", list, required=True)
    if not messages:
        raise _bad("'messages' is empty", "messages")
    return "\n".join(
        _message_text(at, message) for at, message in enumerate(messages)
    )


def _message_text(at, message):
    name = f"messages[{at}]"
    if not isinstance(message, dict) or not isinstance(
        message.get("role"), str
    ):
        raise _bad(f"'{name}.role' is missing", f"{name}.role")
    content = message.get("content")
    if content is None or isinstance(content, str):
        return f"{message['role']}:{content or ''}"
    if isinstance(content, list):
        parts = [json.dumps(part, sort_keys=True) for part in content]
        return f"{message['role']}:{''.join(parts)}"
    raise _bad(f"'{name}.content' must be text or parts", f"{name}.content")


def prefix_keys(model: str, text: str) -> tuple[int, ...]:
    """Return hashes of the growing block prefixes of `text`.

    Requests that share the first blocks share the first keys; that is
    what routing by prefix looks at.

    Examples
    --------
    >>> a = prefix_keys("m", "x" * 512 + "a" * 256)
    >>> b = prefix_keys("m", "x" * 512 + "b" * 256)
    >>> [p == q for p, q in zip(a, b)]
    [True, True, False]
    """
    keys = []
    value = zlib.crc32(model.encode())
    whole_blocks = min(len(text) // PREFIX_BLOCK_CHARS, MAX_PREFIX_BLOCKS)
    for at in range(whole_blocks):
        start = at * PREFIX_BLOCK_CHARS
        block = text[start : start + PREFIX_BLOCK_CHARS]
        value = zlib.crc32(block.encode("utf-8", "replace"), value)
        keys.append(value)
    return tuple(keys)


def fingerprint(caller: CallerId, path: str, raw: bytes) -> Fingerprint:
    """Return the digest that is equal for resends of one request."""
    digest = hashlib.blake2b(raw, digest_size=16)
    digest.update(f"\0{caller}\0{path}".encode())
    return Fingerprint(digest.hexdigest())
