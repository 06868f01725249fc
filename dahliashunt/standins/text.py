"""The text that a stand-in engine answers: a function of the request."""

import hashlib

from dahliashunt.errors import SettingsError

__all__ = [
    "VOCABULARY",
    "answer_tokens",
    "expected_text",
    "parse_vocabulary",
    "prompt_text",
    "prompt_tokens",
    "words",
]

_WORDS = """
bisque crack glue kiln glaze limb wig eye mould paint wire joint gearbox
axle hinge rotor valve spring clutch bumper door panel drain coolant brake
oil filter stamp lot crate label shelf
"""

VOCABULARY = tuple(_WORDS.split())

_WORDS_IN_DIGEST = 64


def parse_vocabulary(text: str) -> tuple[str, ...]:
    """Return the words that an option names, or the usual ones.

    Raises
    ------
    SettingsError
        A word is more than letters and digits; events hold words as they
        are.
    """
    found = tuple(text.split(",")) if text else VOCABULARY
    for word in found:
        if not (word.isascii() and word.isalnum()):
            raise SettingsError(f"vocabulary: {word!r} is no plain word")
    return found


def prompt_text(body: dict) -> str:
    """Return a request body's prompt or messages as one text."""
    if "messages" not in body:
        prompt = body.get("prompt", "")
        return prompt if isinstance(prompt, str) else "\n".join(prompt)
    return "\n".join(
        f"{each.get('role', '')}: {each.get('content', '')}"
        for each in body["messages"]
    )


def prompt_tokens(text: str) -> int:
    """Return how many tokens the stand-in counts in `text`."""
    return len(text) // 4 + 1


def words(
    model: str,
    prompt: str,
    seed: int,
    first: int,
    last: int,
    vocabulary: tuple[str, ...] = VOCABULARY,
) -> list[str]:
    """Return tokens `first` to `last` (not included) of an answer.

    Examples
    --------
    >>> words("m", "p", 0, 1, 3) == words("m", "p", 0, 0, 9)[1:3]
    True
    """
    key = hashlib.blake2b(f"{model}\0{seed}\0{prompt}".encode()).digest()
    found = []
    first_block = first // _WORDS_IN_DIGEST
    for block in range(first_block, -(-last // _WORDS_IN_DIGEST)):
        digest = hashlib.blake2b(block.to_bytes(8, "big"), key=key).digest()
        found += [vocabulary[byte % len(vocabulary)] for byte in digest]
    skipped = first_block * _WORDS_IN_DIGEST
    return [f"{word} " for word in found[first - skipped : last - skipped]]


def expected_text(
    model: str,
    prompt: str,
    seed: int,
    max_tokens: int,
    vocabulary: tuple[str, ...] = VOCABULARY,
) -> str:
    """Return the whole answer to a request, to check one that came.

    Parameters
    ----------
    model : str
    prompt : str
        Of a chat, what `prompt_text` makes of the body.
    seed : int
        0 if the request names none.
    max_tokens : int
        Length of the answer.
    vocabulary : tuple of str
        The engine's, if it was given another.
    """
    return "".join(words(model, prompt, seed, 0, max_tokens, vocabulary))


def answer_tokens(model: str, prompt: str, seed: int, max_tokens: int) -> int:
    """Return the length of an answer where lengths vary by hash.

    Examples
    --------
    >>> 1 <= answer_tokens("m", "p", 0, 50) <= 50
    True
    """
    text = f"length\0{model}\0{seed}\0{prompt}"
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return 1 + int.from_bytes(digest, "big") % max_tokens
