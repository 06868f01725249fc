"""Notes of where streams began, for callers that take them up elsewhere.

Load pattern: an entry that dies loses hundreds of running streams. Their
callers take them up at other entries within a second, while replicas of
several software versions serve.

Without it the next entry does not know at which version a stream began:
it joins texts that do not fit together, or it refuses all of these callers.
"""

import hashlib

from dahliashunt.decisions.rate_limits import evict_old
from dahliashunt.ids import RequestId
from dahliashunt.ids import SoftwareVersion

__all__ = ["OriginTable", "origin_key", "stream_key"]

NOTE_EXPIRY_MS = 600_000
"""Time after its begin in which a stream may be taken up."""

MAX_NOTES = 50_000
"""Notes that one node keeps; bounds the memory to some 10 MB."""


def stream_key(request_id: RequestId) -> int:
    """Return the signed 64-bit digest that stands for a stream.

    Parameters
    ----------
    request_id : RequestId
        The caller's attempt that brought the stream's first event.
    """
    return _digest(request_id, 8)


def origin_key(service: str, version: SoftwareVersion) -> int:
    """Return the signed 32-bit digest of a service's software version."""
    return _digest(f"{service}\0{version}", 4)


def _digest(text, size):
    digest = hashlib.blake2b(text.encode(), digest_size=size).digest()
    return int.from_bytes(digest, signed=True)


class OriginTable:
    """Origins by stream, each kept for `NOTE_EXPIRY_MS`.

    Examples
    --------
    >>> table = OriginTable()
    >>> table.note(0, 7, 42)
    >>> table.get(1_000, 7)
    42
    >>> table.get(NOTE_EXPIRY_MS, 7) is None
    True
    """

    def __init__(self):
        self._note_by_stream: dict[int, tuple[int, int]] = {}

    def __len__(self) -> int:
        return len(self._note_by_stream)

    def note(self, now_ms: int, stream: int, origin: int) -> None:
        """Note that `stream` has events of `origin`."""
        notes = self._note_by_stream
        evict_old(notes, lambda note: now_ms - note[1] >= NOTE_EXPIRY_MS)
        if len(notes) >= MAX_NOTES:
            del notes[next(iter(notes))]
        notes[stream] = (origin, now_ms)

    def get(self, now_ms: int, stream: int) -> int | None:
        """Return the origin of `stream`, or None without a note."""
        origin, noted_ms = self._note_by_stream.get(stream, (None, now_ms))
        return origin if now_ms - noted_ms < NOTE_EXPIRY_MS else None
