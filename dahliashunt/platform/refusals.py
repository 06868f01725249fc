"""Refusals of requests that a node has no memory for."""

from collections.abc import Callable
import random

from dahliashunt.adapters.http_server import Refusal
from dahliashunt.errors import ANSWERS
from dahliashunt.errors import ErrorKind
from dahliashunt.platform.names import REQUEST_ID

__all__ = ["memory_refusal", "retry_delay_ms"]

RETRY_BOUNDS_MS = (200, 600)
"""Bounds of Retry-After: room is made within a few hundred milliseconds, and
the retry meets another node."""

_TEXT = b"not run: this node holds too many unfinished or large requests"


def retry_delay_ms(rng: random.Random) -> int:
    """Return the Retry-After of a request that found no memory."""
    return rng.randint(*RETRY_BOUNDS_MS)


def memory_refusal(rng: random.Random) -> Callable:
    """Return a function that makes the `Refusal` of a request's headers."""

    def refuse(headers):
        delay_s = retry_delay_ms(rng) / 1000
        fields = [
            ("content-type", "text/plain; charset=utf-8"),
            ("retry-after", f"{delay_s:.3f}"),
        ]
        for name, value in headers:
            if name == REQUEST_ID.encode():
                fields.append((REQUEST_ID, value.decode("latin-1")))
                break
        status = ANSWERS[ErrorKind.OVERLOADED].status
        return Refusal(status, tuple(fields), _TEXT)

    return refuse
