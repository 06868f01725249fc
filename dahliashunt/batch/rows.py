"""Keys of batch rows; all are under ``batch/``, apart from records.

Part of a key that comes from outside is quoted, so that no caller's name
can reach into another's range.
"""

import json
from typing import Any
from urllib.parse import quote

from dahliashunt.ids import CallerId
from dahliashunt.ids import JobId

__all__ = [
    "CLAIMS",
    "NODES",
    "STOPS",
    "chunk_key",
    "chunk_range",
    "claim_key",
    "claim_range",
    "decode",
    "encode",
    "file_key",
    "file_range",
    "index_key",
    "index_range",
    "job_key",
    "known_fields",
    "newest_first",
    "node_key",
    "prefix_end",
    "stop_key",
]

CLAIMS = "batch/claim/"
NODES = "batch/node/"
STOPS = "batch/stop/"

_LAST_MS = 10**13 - 1


def encode(fields: dict[str, Any]) -> str:
    """Return `fields` as compact JSON in a fixed order."""
    return json.dumps(fields, separators=(",", ":"), sort_keys=True)


def decode(value: str) -> dict[str, Any]:
    """Return the fields of a row's value."""
    return json.loads(value)


def known_fields(record: type, value: str) -> dict[str, Any]:
    """Return the fields of a row's value that a record class has.

    Entries of two versions run side by side while they are replaced; one
    must read the rows of a newer one that knows more fields.
    """
    fields = decode(value)
    return {name: fields[name] for name in record.__slots__ if name in fields}


def prefix_end(prefix: str) -> str:
    """Return the first key after all that start with `prefix`.

    Examples
    --------
    >>> prefix_end("batch/node/")
    'batch/node0'
    """
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


def newest_first(wall_ms: int) -> str:
    """Return 13 digits that sort later times before earlier ones.

    Examples
    --------
    >>> newest_first(2) < newest_first(1)
    True
    """
    return f"{_LAST_MS - wall_ms:013d}"


def job_key(job_id: JobId) -> str:
    """Return the key of a job's row."""
    return f"batch/job/{job_id}"


def claim_key(job_id: JobId, group: int) -> str:
    """Return the key of the claim on one group of a job's chunks."""
    return f"{CLAIMS}{job_id}/{group:05d}"


def claim_range(job_id: JobId) -> tuple[str, str]:
    """Return the key range of a job's claims."""
    prefix = f"{CLAIMS}{job_id}/"
    return prefix, prefix_end(prefix)


def chunk_key(job_id: JobId, chunk: int) -> str:
    """Return the key of one chunk's completion row."""
    return f"batch/chunk/{job_id}/{chunk:05d}"


def chunk_range(job_id: JobId, first: int, end: int | None) -> tuple[str, str]:
    """Return the key range of chunks ``first <= n < end`` of a job."""
    start = chunk_key(job_id, first)
    if end is None:
        return start, prefix_end(f"batch/chunk/{job_id}/")
    return start, chunk_key(job_id, end)


def node_key(owner: str) -> str:
    """Return the key of the heartbeat row of one run of a node."""
    return f"{NODES}{owner}"


def stop_key(job_id: JobId) -> str:
    """Return the key of the marker that tells owners to stop a job."""
    return f"{STOPS}{job_id}"


def index_key(caller: CallerId, created_ms: int, job_id: JobId) -> str:
    """Return the key that lists a caller's job, newest first."""
    return f"{index_range(caller)[0]}{newest_first(created_ms)}-{job_id}"


def index_range(caller: CallerId) -> tuple[str, str]:
    """Return the key range that lists a caller's jobs."""
    prefix = f"batch/by-caller/{quote(caller, safe='')}/"
    return prefix, prefix_end(prefix)


def file_key(caller: CallerId, file_id: str) -> str:
    """Return the key of a file's row."""
    return f"{file_range(caller)[0]}{quote(file_id, safe='')}"


def file_range(caller: CallerId) -> tuple[str, str]:
    """Return the key range of a caller's files, newest first."""
    prefix = f"batch/file/{quote(caller, safe='')}/"
    return prefix, prefix_end(prefix)
