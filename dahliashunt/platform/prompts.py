"""Headers that describe a request's prompt."""

from dahliashunt.platform.names import WHITESPACE
from dahliashunt.row_fields import digits_field

__all__ = [
    "MAX_TOKENS",
    "prompt_and_output",
    "shared_parts",
    "shared_tokens",
    "token_sum",
]

MAX_TOKENS = 2**31 - 1
"""Largest count that is read; a slot request carries 32 bits."""


def shared_parts(text: str) -> tuple[str, ...]:
    """Return the ids of all parts of a prompt but its last one.

    The last part belongs to this request alone.

    Examples
    --------
    >>> shared_parts("5c1e:800,91bd:410,e440:250")
    ('5c1e', '91bd')
    """
    return tuple(part for part, _ in _shared(text))


def shared_tokens(text: str) -> tuple[int, ...]:
    """Return the lengths of `shared_parts`; 0 where it is invalid.

    Examples
    --------
    >>> shared_tokens("5c1e:800,91bd:x,e440:250")
    (800, 0)
    """
    return tuple(_count(tokens) or 0 for _, tokens in _shared(text))


def prompt_and_output(text: str) -> tuple[int, int]:
    """Return the prompt tokens and the maximum output; zeros if invalid.

    Examples
    --------
    >>> prompt_and_output("1460,80"), prompt_and_output("1460")
    ((1460, 80), (0, 0))
    """
    counts = [_count(number) for number in text.split(",")]
    if len(counts) != 2 or None in counts:
        return 0, 0
    return counts[0], counts[1]


def token_sum(text: str) -> int:
    """Return the sum of prompt and output tokens; 0 if invalid.

    Examples
    --------
    >>> token_sum("1460,80"), token_sum("")
    (1540, 0)
    """
    numbers = [
        digits_field(part.strip(WHITESPACE)) for part in text.split(",")
    ]
    return 0 if None in numbers else sum(numbers)


def _shared(text):
    pairs = [part.partition(":") for part in text.split(",")]
    named = (
        (part.strip(WHITESPACE), tokens) for part, _, tokens in pairs[:-1]
    )
    return [(part, tokens) for part, tokens in named if part]


def _count(text):
    """Return a count of tokens, or None if invalid."""
    digits = text.strip(WHITESPACE)
    if not (digits.isascii() and digits.isdigit() and len(digits) <= 10):
        return None
    return min(int(digits), MAX_TOKENS)
