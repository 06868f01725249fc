"""Hashes of the prefix blocks in which an engine caches prompts."""

import hashlib

__all__ = ["BLOCK_TOKENS", "TOKEN_CHARS", "prefix_blocks"]

TOKEN_CHARS = 4
"""Characters counted as one token."""

BLOCK_TOKENS = 16
"""Tokens per cached block."""

_BLOCK_CHARS = BLOCK_TOKENS * TOKEN_CHARS
_NAME_BYTES = 6


def prefix_blocks(model: str, text: str) -> tuple[int, ...]:
    """Return the hash of each complete prefix block of a prompt.

    A block's hash covers all text before it, so two prompts share leading
    hashes as far as they share text.

    Parameters
    ----------
    model : str
        Model name; caches of different models are separate.
    text : str
        The prompt, or the messages as one text.

    Notes
    -----
    O(length of text). Hashes have 48 bits, which a JSON number that is
    read as a double holds exactly.

    Examples
    --------
    >>> one = prefix_blocks("m", "a" * 128 + "b" * 64)
    >>> two = prefix_blocks("m", "a" * 128 + "c" * 64)
    >>> len(one), one[:2] == two[:2], one[2] == two[2]
    (3, True, False)
    """
    running = hashlib.blake2b(model.encode(), digest_size=_NAME_BYTES)
    names = []
    whole = len(text) - len(text) % _BLOCK_CHARS
    for start in range(0, whole, _BLOCK_CHARS):
        running.update(text[start : start + _BLOCK_CHARS].encode())
        names.append(int.from_bytes(running.copy().digest(), "big"))
    return tuple(names)
