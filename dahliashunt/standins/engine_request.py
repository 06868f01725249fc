"""What a stand-in engine understands of a completion request."""

from dataclasses import dataclass
import hashlib
import json

from dahliashunt.standins.text import answer_tokens
from dahliashunt.standins.text import prompt_text
from dahliashunt.standins.text import prompt_tokens
from dahliashunt.standins.text import VOCABULARY
from dahliashunt.standins.text import words

__all__ = ["CompletionRequest", "UnreadableRequest", "parse_completion"]

_DEFAULT_MAX_TOKENS = 16


class UnreadableRequest(Exception):
    """The body is no completion request."""


@dataclass(frozen=True, slots=True)
class CompletionRequest:
    """One completion or chat completion.

    Attributes
    ----------
    model, prompt : str
        Messages are one text.
    seed : int
    tokens : int
        Length of the answer.
    cut_short : bool
        Whether the answer ends before the length that was asked for.
    chat, stream : bool
    kv_handle : str
        Of an exported KV cache, or empty.
    vocabulary : tuple of str
        Words of the answer.
    """

    model: str
    prompt: str
    seed: int
    tokens: int
    cut_short: bool
    chat: bool
    stream: bool
    kv_handle: str
    vocabulary: tuple[str, ...]

    @property
    def prompt_tokens(self) -> int:
        """Return the tokens of the prompt."""
        return prompt_tokens(self.prompt)

    def words(self, first: int, last: int) -> list[str]:
        """Return tokens `first` to `last` (not included) of the answer."""
        last = min(last, self.tokens)
        return words(
            self.model, self.prompt, self.seed, first, last, self.vocabulary
        )

    def digest(self) -> str:
        """Return a digest of all that decides the answer's text."""
        text = f"{self.model}\0{self.seed}\0{self.prompt}"
        return hashlib.blake2b(text.encode(), digest_size=8).hexdigest()


def parse_completion(
    data: bytes,
    chat: bool,
    hashed_length: bool,
    vocabulary: tuple[str, ...] = VOCABULARY,
) -> CompletionRequest:
    """Return the request in a body.

    Parameters
    ----------
    data : bytes
    chat : bool
        Whether it came as a chat completion.
    hashed_length : bool
        Whether answers may be shorter than asked, by hash.
    vocabulary : tuple of str

    Raises
    ------
    UnreadableRequest
        The body is none.
    """
    try:
        body = json.loads(data)
        return _from_body(body, chat, hashed_length, vocabulary)
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise UnreadableRequest(str(error)) from error


def _from_body(body, chat, hashed_length, vocabulary):
    model = str(body["model"])
    prompt = prompt_text(body)
    seed = int(body.get("seed") or 0)
    asked = body.get("max_completion_tokens") or body.get("max_tokens")
    max_tokens = _DEFAULT_MAX_TOKENS if asked is None else int(asked)
    if max_tokens < 1:
        raise UnreadableRequest(f"max_tokens {max_tokens}")
    tokens = max_tokens
    if hashed_length:
        tokens = answer_tokens(model, prompt, seed, max_tokens)
    return CompletionRequest(
        model=model,
        prompt=prompt,
        seed=seed,
        tokens=tokens,
        cut_short=tokens < max_tokens,
        chat=chat,
        stream=bool(body.get("stream")),
        kv_handle=str(body.get("kv_handle") or ""),
        vocabulary=vocabulary,
    )
